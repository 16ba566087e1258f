"""When refused requests should return."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    import random

#: Longest and shortest `Retry-After`, seconds.
RETRY_AFTER_RANGE = (1.0, 60.0)
#: Share by which a `Retry-After` is spread at random.
RETRY_SPREAD = 0.25


@attrs.define
class RetryCalendar:
    """Spreads the return of refused requests over the time that capacity needs.

    Attributes:
        booked_until: When the last refused request was told to return, seconds.
    """

    booked_until: float = 0.0

    def book(self, wait: float, rate: float, rng: random.Random, now: float) -> float:
        """Return the seconds after which a refused request should return.

        Args:
            wait: Seconds until the requests that wait have started.
            rate: Requests a second that end.
            rng: Source of randomness.
            now: Present time in seconds.
        """
        shortest, longest = RETRY_AFTER_RANGE
        start = max(now + wait, self.booked_until)
        self.booked_until = min(start + 1.0 / max(rate, 0.1), now + longest)
        if start - now >= longest:
            return rng.uniform(longest / 2, longest)
        spread = 1.0 + rng.random() * RETRY_SPREAD
        return max(shortest, (start - now) * spread)
