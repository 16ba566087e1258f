"""Reads the limits that endpoints name in their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.request_limits import NO_LIMIT
from lacewingcourse.relay.decoding import Undecodable
from lacewingcourse.relay.ports import AnswerKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.request_limits import LimitTable
    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.ports import AnswerHead, Sending


@attrs.define
class LimitReader:
    """Stores and logs the limits that endpoints name.

    Attributes:
        limits: Limits that endpoints have named.
        log: Decision log.
        clock: Returns the present time in seconds.
        on_unreadable: Called for each limit that cannot be decoded.
    """

    limits: LimitTable
    log: DecisionLog
    clock: Callable[[], float]
    on_unreadable: Callable[[], None] = lambda: None

    def observe(self, sending: Sending, head: AnswerHead, sent_at: float) -> None:
        """Store the limit that the head of an answer names, or that it names none.

        Only an answer of the endpoint itself withdraws a limit: a rejection may lack
        the header.

        Args:
            sending: The send that is answered.
            head: Head of the answer.
            sent_at: Time of the send, seconds.
        """
        named = head.limit
        if head.answer_kind is AnswerKind.FOREIGN:
            return
        if isinstance(named, Undecodable):
            self.on_unreadable()
            self.log.log_event(
                "limit_unreadable", endpoint=sending.incarnation, reason=named.reason
            )
            return
        if named == NO_LIMIT and head.answer_kind is not AnswerKind.ANSWERED:
            return
        endpoint, before = sending.incarnation, self.limits.named(sending.incarnation)
        if self.limits.observe(endpoint, named, sent_at, self.clock()):
            self.log.limit(endpoint, named, before, "answer")
