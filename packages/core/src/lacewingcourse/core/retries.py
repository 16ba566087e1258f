"""Which lost attempts are tried again: within a budget, and never too late."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import ErrorKind, Refusal

if TYPE_CHECKING:
    from lacewingcourse.core.configuration import WorkClass

#: Retries that each new request pays for.
RETRY_SHARE = 0.2
#: Retries that are saved up at the most, and at hand at the start.
RETRY_RESERVE = 20.0


@attrs.frozen
class LostAttempt:
    """An attempt that cannot go on.

    Attributes:
        work_class: Class of work of the request, or None.
        arrived_at: When the request arrived, seconds.
        delivered: Tokens that the caller has.
        repeatable: Whether the request may be run again.
    """

    work_class: WorkClass | None
    arrived_at: float
    delivered: int
    repeatable: bool = True


@attrs.define
class RetryBudget:
    """Retries as a share of the traffic, so that they cannot multiply a failure.

    An answer that a caller already reads is continued even without balance, each
    at most once: the debt is bounded by the answers in flight, and new requests pay
    it off before anything else is retried.

    Attributes:
        balance: Retries at hand; negative while there is debt.
        requests: Requests seen.
        retries: Retries allowed.
        denied: Retries denied.
    """

    balance: float = RETRY_RESERVE
    requests: int = 0
    retries: int = 0
    denied: int = 0

    def on_request(self) -> None:
        """Note a new request."""
        self.requests += 1
        self.balance = min(RETRY_RESERVE, self.balance + RETRY_SHARE)

    def refusal_of(
        self, lost: LostAttempt, in_flight: int, now: float
    ) -> Refusal | None:
        """Return why an attempt is not followed by another, None if it is.

        Args:
            lost: The attempt.
            in_flight: Answers in flight at this entry.
            now: Present time in seconds.
        """
        if not lost.repeatable:
            reason = "the request may not be run again"
            return Refusal(ErrorKind.STAGE_LOST, reason)
        if past_deadline(lost, now):
            return Refusal(ErrorKind.DEADLINE_EXCEEDED, "its class target has passed")
        least = -float(in_flight) if lost.delivered else 1.0
        if self.balance < least:
            self.denied += 1
            return Refusal(ErrorKind.STAGE_LOST, "too many requests are being retried")
        self.balance -= 1.0
        self.retries += 1
        return None


def past_deadline(lost: LostAttempt, now: float) -> bool:
    """Tell whether a new attempt could only come too late."""
    work_class = lost.work_class
    if work_class is None:
        return False
    waited = now - lost.arrived_at
    if work_class.answer is not None and waited >= work_class.answer:
        return True
    if lost.delivered or work_class.first_token is None:
        return False
    return waited >= work_class.first_token
