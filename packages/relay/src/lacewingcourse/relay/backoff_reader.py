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
        on_recovery: Called when an endpoint whose delay has passed may be sent more.
    """

    backoffs: BackoffTable
    log: DecisionLog
    clock: Callable[[], float]
    on_unreadable: Callable[[], None] = lambda: None
    on_recovery: Callable[[], None] = lambda: None

    def observe(self, sending: Sending, head: AnswerHead, sent_at: float) -> None:
        """Store what the head of an answer says of the endpoint's delay, if anything.

        Args:
            sending: The send that is answered.
            head: Head of the answer.
            sent_at: Time of the send, seconds.
        """
        if head.answer_kind is AnswerKind.FOREIGN:
            return
        accepted = head.answer_kind is AnswerKind.ANSWERED
        if self.backoffs.record_answer(sending.incarnations, accepted, sent_at):
            self.on_recovery()
        delay = head.retry_after
        if head.status not in BACKOFF_STATUSES or delay is None:
            return
        if isinstance(delay, Undecodable):
            self.on_unreadable()
            self.log.log_event(
                "backoff_unreadable", endpoint=sending.incarnation, reason=delay.reason
            )
            return
        if delay <= 0.0:
            return
        endpoint = _endpoint_of(sending, head)
        remaining = self.backoffs.record(endpoint, delay, self.clock())
        self.log.log_event(
            "backoff",
            endpoint=endpoint,
            status=head.status,
            named_s=delay,
            remaining_s=round(remaining, 3),
            answered_by=sending.incarnation,
        )


def _endpoint_of(sending: Sending, head: AnswerHead) -> str:
    """Return the part of the path that an answer blames, or else who answered."""
    for part in sending.path.parts if sending.path is not None else ():
        if part.address == head.fault_address:
            return part.endpoint
    return sending.incarnation
