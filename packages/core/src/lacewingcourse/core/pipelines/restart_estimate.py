"""When an instance that is ending has ended, and when it takes connections again."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Seconds between the end of an instance and its next start, at the most.
RESTART_TIME = 1.0
#: Seconds between its start and its first connections, at the most.
STARTUP_TIME = 0.6
#: Seconds between two news of an instance: by so much its last word may precede its
#: end.
GOSSIP_PERIOD = 0.2
#: Seconds after its end in which an instance takes connections again.
READY_AFTER = RESTART_TIME + STARTUP_TIME + GOSSIP_PERIOD
#: Seconds after its return in which the balancer sends callers to an instance: it asks
#: once a second, and until then may send them to those that are ending.
ROTATION_TIME = 1.0
#: Least seconds until one is back while none is known to be: its own first news.
MIN_WAIT = 0.5
#: Seconds beyond the expected time after which an instance is waited for no more.
OVERDUE_TIME = 1.0


@attrs.frozen
class Restart:
    """An instance that starts again.

    Attributes:
        name: Its name.
        ends_at: When it has ended or is expected to, seconds.
        back_since: When it was first heard again, None if it was not.
    """

    name: str
    ends_at: float
    returned_at: float | None = None

    @property
    def ready_at(self) -> float:
        """When callers are expected to be sent to it, seconds."""
        if self.returned_at is not None:
            return self.returned_at + ROTATION_TIME
        return self.ends_at + READY_AFTER

    def wait(self, now: float) -> float:
        """Return the seconds until callers are expected to be sent to it."""
        min_wait = MIN_WAIT if self.returned_at is None else 0.0
        return max(min_wait, self.ready_at - now)

    def describe(self, now: float) -> str:
        """Return what is known of it, for a log line."""
        if self.returned_at is not None:
            return f"{self.name} is back since {now - self.returned_at:.1f} s"
        left = self.ends_at - now
        if left >= 0:
            return f"{self.name} ends in {left:.1f} s"
        return f"{self.name} ended {-left:.1f} s ago"


def expected_end(
    soonest: float, last: float, remaining: Iterable[float], now: float
) -> float:
    """Return when an instance that is ending is expected to have ended.

    Args:
        soonest: Time before which it does not end, seconds.
        last: Time at which it ends whatever is open.
        rests: Seconds that each of its open answers is expected to take yet.
        now: Present time in seconds.
    """
    longest = max(remaining, default=0.0)
    return min(last, max(soonest, now + longest))


def first_ready(returns: Iterable[Restart], now: float) -> Restart | None:
    """Return the instance that is expected to be back first, None if none is."""
    pending = [each for each in returns if each.ready_at + OVERDUE_TIME > now]
    return min(pending, key=lambda each: each.ready_at, default=None)
