"""Estimates of when an instance has shut down and accepts connections again."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Seconds between the end of an instance and its next start, at most.
RESTART_TIME = 1.0
#: Seconds between its start and its first connections, at most.
STARTUP_TIME = 0.6
#: Seconds between two messages of an instance; its last one may precede its end by as
#: much.
GOSSIP_PERIOD = 0.2
#: Seconds after its end within which an instance accepts connections again.
READY_AFTER = RESTART_TIME + STARTUP_TIME + GOSSIP_PERIOD
#: Seconds after its return within which the balancer puts an instance into rotation.
#: The balancer probes once a second; until then it may send callers to instances that
#: are shutting down.
ROTATION_TIME = 1.0
#: Seconds to wait at least while no instance is known to be back: its first message has
#: yet to arrive.
MIN_WAIT = 0.5
#: Seconds beyond its expected time after which an instance is no longer waited for.
OVERDUE_TIME = 1.0


@attrs.frozen
class Restart:
    """An instance that restarts.

    Attributes:
        name: Its name.
        ends_at: When it has ended or is expected to, seconds.
        returned_at: When its first message after the restart arrived, seconds; None
            before it.
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
        """Return its state as text for a log line."""
        if self.returned_at is not None:
            return f"{self.name} has been back for {now - self.returned_at:.1f} s"
        left = self.ends_at - now
        if left >= 0:
            return f"{self.name} ends in {left:.1f} s"
        return f"{self.name} ended {-left:.1f} s ago"


def expected_end(
    soonest: float, last: float, remaining: Iterable[float], now: float
) -> float:
    """Return when an instance that is shutting down is expected to have ended.

    Args:
        soonest: Earliest time at which it ends, seconds.
        last: Time at which it ends even if answers are open, seconds.
        remaining: Seconds that each of its open answers is expected to take from now.
        now: Present time in seconds.
    """
    longest = max(remaining, default=0.0)
    return min(last, max(soonest, now + longest))


def first_ready(restarts: Iterable[Restart], now: float) -> Restart | None:
    """Return the instance expected to be ready first, None if none is expected.

    Args:
        restarts: Instances that restart.
        now: Present time in seconds.
    """
    pending = [each for each in restarts if each.ready_at + OVERDUE_TIME > now]
    return min(pending, key=lambda each: each.ready_at, default=None)
