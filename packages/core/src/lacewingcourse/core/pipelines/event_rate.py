"""Rate of events over the last seconds."""

from __future__ import annotations

from collections import deque

import attrs

#: Seconds over which events are counted. A shorter time follows a change sooner, and
#: holds too few ends of answers at one of many entries.
WINDOW = 5.0
#: Seconds over which the first events are counted at least.
MIN_SPAN = 1.0
#: Events that are remembered at most.
MAX_EVENTS = 4_096


@attrs.define
class EventRate:
    """Counts events in a sliding window.

    Attributes:
        times: Times of the events in the window, seconds.
        since: Time of the first event after a window without any, seconds.
    """

    times: deque[float] = attrs.field(factory=lambda: deque(maxlen=MAX_EVENTS))
    since: float = 0.0

    def record(self, now: float) -> None:
        """Record an event."""
        if not self.count(now):
            self.since = now
        self.times.append(now)

    def count(self, now: float) -> int:
        """Return the number of events in the window that ends now."""
        if self.times and self.times[-1] > now:
            # The clock has gone back: the order of the times no longer holds.
            self.times.clear()
        while self.times and self.times[0] <= now - WINDOW:
            self.times.popleft()
        return len(self.times)

    def rate(self, now: float) -> float:
        """Return the events a second."""
        count = self.count(now)
        return count / min(WINDOW, max(MIN_SPAN, now - self.since))
