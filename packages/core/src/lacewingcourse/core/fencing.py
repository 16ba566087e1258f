"""The agent's fence: orders under an old fencing number are refused."""

from __future__ import annotations

import attrs

from lacewingcourse.core.errors import ErrorKind, Refusal

#: Seconds after which an order that came too early may be sent again.
LEARN_RETRY = 1.0


@attrs.define
class OrderFence:
    """Highest fencing number of each duty that this agent knows.

    After a start nothing is known, and what was known before is lost. So every
    order is refused until the log was read to its end once.

    Attributes:
        numbers: Highest number by duty; None until learned from the log.
    """

    numbers: dict[str, int] | None = None

    def learn(self, numbers: dict[str, int]) -> None:
        """Take the highest numbers of valid records of the log."""
        known = self.numbers or {}
        duties = {*known, *numbers}
        self.numbers = {
            duty: max(known.get(duty, -1), numbers.get(duty, -1)) for duty in duties
        }

    def check(self, duty: str, number: int) -> Refusal | None:
        """Refuse an old number; remember a newer one.

        Args:
            duty: Duty that the order was given under.
            number: Its fencing number.
        """
        if self.numbers is None:
            reason = "the fencing number in force is not yet known"
            return Refusal(ErrorKind.NOT_READY, reason, retry_after=LEARN_RETRY)
        highest = self.numbers.get(duty, -1)
        if number < highest:
            reason = f"number {number} is older than {highest}"
            return Refusal(ErrorKind.STALE_FENCING, reason)
        self.numbers[duty] = number
        return None
