"""Age of what an entry knows of the platform, and when it reads from it itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

#: Age in seconds that is reported while nothing is known.
UNKNOWN_AGE = 1e6
#: Seconds before a source that did not answer is read again, at first and at most. The
#: longest delay leaves time to pass on within two seconds what one entry reads.
MIN_RETRY_DELAY = 0.25
MAX_RETRY_DELAY = 1.0
#: Share of a delay that is random, so that entries do not read at the same time.
JITTER_SHARE = 0.25


#: Delay before a failed read is repeated: returns seconds from the number of earlier
#: failures in succession and a random number from 0 to 1.
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

    Every entry reads while the source is unavailable; the first that gets an answer
    passes it on to the others.
    """
    delay = min(MAX_RETRY_DELAY, MIN_RETRY_DELAY * 2**failures)
    return delay * (1 - JITTER_SHARE * draw)


#: Shares of the propagation bound: how long a read waits for a change, and the ages at
#: which the second and the last entry read themselves. The rest is left for one read
#: and its answer.
WAIT_SHARE = 0.25
TAKEOVER_SHARE = 0.4
MAX_AGE_SHARE = 0.45
#: Share of the bound by which each further entry waits longer.
STEP_SHARE = 0.0125
#: Share of the bound after which something unknown may have been added meanwhile. An
#: entry whose reads are answered never reaches this age.
STALE_SHARE = 0.6


@attrs.frozen
class PropagationBudget:
    """Division of the time in which a change must reach every entry.

    An entry whose reads are answered learns each change in time by its own reads,
    whatever the others do: it reads when nobody has confirmed for `max_age` that its
    knowledge is the newest.

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
        """Age in seconds from which a missing item may merely be unknown."""
        return STALE_SHARE * self.bound

    def freshness(self) -> Freshness:
        """Return the freshness of an entry that knows nothing yet."""
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
    """Age of knowledge that one entry reads and passes on to the others.

    The entry of rank 0 reads at every opportunity. Each further one reads only once its
    knowledge is older than an age that grows with its rank, that is, if those before it
    are silent or their reads fail.

    Attributes:
        takeover_age: Age in seconds at which the entry of rank 1 reads itself.
        takeover_step: Seconds by which each further entry waits longer.
        max_age: Age in seconds at which an entry reads whatever its rank.
        confirmed_at: Last time at which the knowledge was confirmed to be the newest,
            seconds.
        next_try: Time before which no further read is made, seconds.
        retry_delay: Returns the seconds after which a failed read is repeated.
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
        """Record that the knowledge was the newest at a time."""
        self.confirmed_at = max(self.confirmed_at, at)

    def expire(self) -> None:
        """Discard the last confirmation, so that a read is due again."""
        self.confirmed_at = float("-inf")
        self.next_try = float("-inf")
        self.failures = 0

    def failed(self, now: float, draw: float) -> None:
        """Record a failed read.

        Args:
            now: Present time in seconds.
            draw: A number from 0 to 1 that spreads the entries.
        """
        self.next_try = now + self.retry_delay(self.failures, draw)
        self.failures += 1

    def succeeded(self, now: float, known_at: float, interval: float = 0.0) -> None:
        """Record a read that returned all there was.

        Args:
            now: Present time in seconds.
            known_at: When the result was the newest, seconds. The answer may have been
                in transit since the request was sent.
            interval: Seconds until the next read.
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
        """Return the age of the knowledge in seconds."""
        return min(UNKNOWN_AGE, now - self.confirmed_at)
