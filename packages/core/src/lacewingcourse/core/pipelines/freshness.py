"""How old knowledge of the platform is, and when this entry reads it itself."""

from __future__ import annotations

import attrs

#: Age in seconds that is told of knowledge that there never was.
NEVER = 1e6


@attrs.define
class Freshness:
    """Knowledge that one entry reads and the others hear from it.

    The first entry by rank reads as soon as its knowledge is old; each further one
    waits a little longer and so reads only if those before it fell silent or are
    turned away.

    Attributes:
        patience: Age in seconds at which the entries after the first read themselves.
        step: Seconds that each further entry waits longer.
        confirmed_at: When what is known here was last known to be the newest.
        next_try: Time before which no further read is made, after a failure.
    """

    patience: float
    step: float
    confirmed_at: float = float("-inf")
    next_try: float = float("-inf")

    def confirm(self, at: float) -> None:
        """Note that what is known was the newest at some time."""
        self.confirmed_at = max(self.confirmed_at, at)

    def expire(self) -> None:
        """Forget when what is known was last confirmed, so that it is read again."""
        self.confirmed_at = float("-inf")
        self.next_try = float("-inf")

    def failed(self, retry_at: float) -> None:
        """Note a failed read."""
        self.next_try = retry_at

    def due(self, rank: int, now: float) -> bool:
        """Tell whether this entry reads now."""
        if now < self.next_try:
            return False
        if rank == 0:
            return True
        return now - self.confirmed_at > self.patience + self.step * (rank - 1)

    def age(self, now: float) -> float:
        """Return how old the knowledge is, in seconds."""
        return min(NEVER, now - self.confirmed_at)
