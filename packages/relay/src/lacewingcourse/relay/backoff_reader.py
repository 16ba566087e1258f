"""Reads the delays that endpoints ask for when they reject a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.relay.decoding import Undecodable
from lacewingcourse.relay.ports import AnswerKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.backoff import BackoffTable
    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.ports import AnswerHead, Sending

#: HTTP statuses with which an endpoint turns a request away for a time.
BACKOFF_STATUSES = frozenset({429, 503})


@attrs.define
class BackoffReader:
    """Stores and logs the delays that endpoints ask for.

    Attributes:
        backoffs: Delays that endpoints asked for.
        log: Decision log.
        clock: Returns the present time in seconds.
        on_unreadable: Called for each delay that cannot be decoded.
    """

    backoffs: BackoffTable
    log: DecisionLog
    clock: Callable[[], float]
    on_unreadable: Callable[[], None] = lambda: None

    def observe(self, sending: Sending, head: AnswerHead, sent_at: float) -> None:
        """Store the delay that the head of an answer asks for, if any.

        Args:
            sending: The send that is answered.
            head: Head of the answer.
            sent_at: Time of the send, seconds.
        """
        delay = head.retry_after
        if head.status not in BACKOFF_STATUSES or delay is None:
            return
        if head.answer_kind is AnswerKind.FOREIGN:
            return
        if isinstance(delay, Undecodable):
            self.on_unreadable()
            self.log.log_event(
                "backoff_unreadable", endpoint=sending.incarnation, reason=delay.reason
            )
            return
        if delay <= 0.0:
            return
        for endpoint in sorted(_endpoints_of(sending, head)):
            remaining = self.backoffs.record(endpoint, delay, self.clock())
            self.log.log_event(
                "backoff",
                endpoint=endpoint,
                status=head.status,
                named_s=delay,
                remaining_s=round(remaining, 3),
                answered_by=sending.incarnation,
            )


def _endpoints_of(sending: Sending, head: AnswerHead) -> set[str]:
    """Return the endpoint that answered and the part of the path that it blames."""
    parts = sending.path.parts if sending.path is not None else ()
    at_fault = {p.endpoint for p in parts if p.address == head.fault_address}
    return {sending.incarnation} | at_fault
