"""How old knowledge of the platform is, and when this entry reads it itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

#: Age in seconds that is told of knowledge that there never was.
UNKNOWN_AGE = 1e6
#: Seconds after which a source that gave no answer is asked again, at first and at the
#: most. The longest leaves time to pass on what one entry reads within two seconds.
MIN_RETRY_DELAY = 0.25
MAX_RETRY_DELAY = 1.0
#: Share of a delay that is drawn, so that entries do not ask together.
JITTER_SHARE = 0.25


#: When a source that gave no answer is asked again: returns the seconds until then,
#: from the failures before and a number from 0 to 1 that is drawn.
RETRY_DELAYS: Registry[Callable[[int, float], float]] = Registry(
    "delay before a source is asked again"
)


@RETRY_DELAYS.register("fixed")
def fixed_delay(failures: int, draw: float) -> float:
    """Wait the same time after each failure."""
    return MIN_RETRY_DELAY


@RETRY_DELAYS.register("backoff")
def backoff_delay(failures: int, draw: float) -> float:
    """Wait twice as long after each failure, up to a limit.

    While the source is away for seconds every entry asks it; the first that has an
    answer tells the others.
    """
    delay = min(MAX_RETRY_DELAY, MIN_RETRY_DELAY * 2**failures)
    return delay * (1 - JITTER_SHARE * draw)


#: Shares of the time in which a change must be known everywhere: how long a read waits
#: for a change, and the ages at which the second and the last entry read themselves.
#: What is left is for one read and its answer.
WAIT_SHARE = 0.25
TAKEOVER_SHARE = 0.4
MAX_AGE_SHARE = 0.45
#: Share of it that each further entry waits longer.
STEP_SHARE = 0.0125
#: Share of it after which something that is not known may have come meanwhile. No entry
#: whose reads are answered gets there.
STALE_SHARE = 0.6


@attrs.frozen
class PropagationBudget:
    """How the time in which a change must be known everywhere is divided.

    An entry whose reads are answered knows each change in time by its own reads,
    whatever others do: it reads when nobody has told it for `last` that what it knows
    is the newest.

    Attributes:
        bound: Seconds from the acknowledgement of a change by which every entry that
            reaches the source must know it.
    """

    bound: float

    @property
    def wait(self) -> float:
        """Seconds for which a read waits for a change."""
        return WAIT_SHARE * self.bound

    @property
    def max_age(self) -> float:
        """Age in seconds at which every entry reads."""
        return MAX_AGE_SHARE * self.bound

    @property
    def stale(self) -> float:
        """Age in seconds from which nothing can be said not to exist."""
        return STALE_SHARE * self.bound

    def freshness(self) -> Freshness:
        """Return the age of knowledge that there is not yet."""
        found = Freshness(0.0, 0.0)
        self.apply(found)
        return found

    def apply(self, freshness: Freshness) -> None:
        """Set the ages at which entries read themselves."""
        freshness.takeover_age = TAKEOVER_SHARE * self.bound
        freshness.takeover_step = STEP_SHARE * self.bound
        freshness.max_age = self.max_age


@attrs.define
class Freshness:
    """Knowledge that one entry reads and the others hear from it.

    The first entries by rank read as soon as their knowledge is old; each further one
    waits a little longer and so reads only if those before it fell silent or are
    turned away.

    Attributes:
        patience: Age in seconds at which the entries after the first read themselves.
        step: Seconds that each further entry waits longer.
        last: Age in seconds at which an entry reads whatever its rank.
        confirmed_at: When what is known here was last known to be the newest.
        next_try: Time before which no further read is made.
        retry_delay: Returns the seconds after which a failed read is made again.
        failures: Failed reads in succession.
    """

    takeover_age: float
    takeover_step: float
    max_age: float = float("inf")
    confirmed_at: float = float("-inf")
    next_try: float = float("-inf")
    retry_delay: Callable[[int, float], float] = backoff_delay
    failures: int = 0

    def confirm(self, at: float) -> None:
        """Note that what is known was the newest at some time."""
        self.confirmed_at = max(self.confirmed_at, at)

    def expire(self) -> None:
        """Forget when what is known was last confirmed, so that it is read again."""
        self.confirmed_at = float("-inf")
        self.next_try = float("-inf")
        self.failures = 0

    def failed(self, now: float, draw: float) -> None:
        """Note a failed read.

        Args:
            now: Present time in seconds.
            draw: A number from 0 to 1 that spreads the entries.
        """
        self.next_try = now + self.retry_delay(self.failures, draw)
        self.failures += 1

    def succeeded(self, now: float, known_at: float, interval: float = 0.0) -> None:
        """Note a read that brought all there was.

        Args:
            now: Present time in seconds.
            known_at: When what it brought was the newest. An answer may have been on
                its way since it was asked for.
            interval: Seconds until the next one.
        """
        self.failures = 0
        self.confirm(known_at)
        self.next_try = now + interval

    def due(self, rank: int, now: float) -> bool:
        """Tell whether this entry reads now."""
        if now < self.next_try:
            return False
        if rank == 0:
            return True
        takeover_age = self.takeover_age + self.takeover_step * (rank - 1)
        return now - self.confirmed_at > min(takeover_age, self.max_age)

    def age(self, now: float) -> float:
        """Return how old the knowledge is, in seconds."""
        return min(UNKNOWN_AGE, now - self.confirmed_at)
