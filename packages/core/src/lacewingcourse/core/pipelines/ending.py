"""When an instance that is ending has ended, and when it takes connections again."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Seconds between the end of an instance and its next start, at the most.
RESTART_TIME = 1.0
#: Seconds between its start and its first connections, at the most.
START_TIME = 0.6
#: Seconds between two news of an instance: by so much its last word may precede its
#: end.
NEWS_PERIOD = 0.2
#: Seconds after its end in which an instance takes connections again.
BACK_AFTER = RESTART_TIME + START_TIME + NEWS_PERIOD
#: Seconds after its return in which the balancer sends callers to an instance: it asks
#: once a second, and until then may send them to those that are ending.
ROTATION_TIME = 1.0
#: Least seconds until one is back while none is known to be: its own first news.
LEAST_WAIT = 0.5
#: Seconds beyond the expected time after which an instance is waited for no more.
OVERDUE_TIME = 1.0


@attrs.frozen
class Return:
    """An instance that starts again.

    Attributes:
        name: Its name.
        ends_at: When it has ended or is expected to, seconds.
        back_since: When it was first heard again, None if it was not.
    """

    name: str
    ends_at: float
    back_since: float | None = None

    @property
    def ready_at(self) -> float:
        """When callers are expected to be sent to it, seconds."""
        if self.back_since is not None:
            return self.back_since + ROTATION_TIME
        return self.ends_at + BACK_AFTER

    def wait(self, now: float) -> float:
        """Return the seconds until callers are expected to be sent to it."""
        least = LEAST_WAIT if self.back_since is None else 0.0
        return max(least, self.ready_at - now)

    def describe(self, now: float) -> str:
        """Return what is known of it, for a log line."""
        if self.back_since is not None:
            return f"{self.name} is back since {now - self.back_since:.1f} s"
        left = self.ends_at - now
        if left >= 0:
            return f"{self.name} ends in {left:.1f} s"
        return f"{self.name} ended {-left:.1f} s ago"


def expected_end(
    soonest: float, last: float, rests: Iterable[float], now: float
) -> float:
    """Return when an instance that is ending is expected to have ended.

    Args:
        soonest: Time before which it does not end, seconds.
        last: Time at which it ends whatever is open.
        rests: Seconds that each of its open answers is expected to take yet.
        now: Present time in seconds.
    """
    longest = max(rests, default=0.0)
    return min(last, max(soonest, now + longest))


def first_back(returns: Iterable[Return], now: float) -> Return | None:
    """Return the instance that is expected to be back first, None if none is."""
    due = [each for each in returns if each.ready_at + OVERDUE_TIME > now]
    return min(due, key=lambda each: each.ready_at, default=None)
