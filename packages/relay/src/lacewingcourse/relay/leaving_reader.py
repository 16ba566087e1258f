"""Reads in the answers of endpoints that these are leaving."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.relay.ports import AnswerKind

if TYPE_CHECKING:
    from lacewingcourse.core.pipelines.fleet import Fleet
    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.ports import AnswerHead, Sending


@attrs.define
class LeavingReader:
    """Stores and logs that endpoints are leaving.

    Attributes:
        fleet: Known endpoints.
        log: Decision log.
    """

    fleet: Fleet
    log: DecisionLog

    def observe(self, sending: Sending, head: AnswerHead, sent_at: float) -> None:
        """Store that an endpoint leaves if the head of its answer says so.

        Args:
            sending: The send that is answered.
            head: Head of the answer.
            sent_at: Time of the send, seconds.
        """
        # A misdirected request was answered by another endpoint at the address.
        if not head.leaving or head.misdirected:
            return
        if head.answer_kind is AnswerKind.FOREIGN:
            return
        if self.fleet.record_leaving(sending.incarnation):
            self.log.log_event("endpoint_leaving", endpoint=sending.incarnation)
