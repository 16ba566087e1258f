"""How long answers take, as this entry has seen it lately."""

from __future__ import annotations

from collections import deque

import attrs

#: Answers of a route that are remembered: enough for a quantile, few enough to follow a
#: load that changes within seconds.
REMEMBERED = 64
#: Answers before which a route's are not judged by.
LEAST_SEEN = 8
#: Share of the remembered answers that took no longer than is expected of the next.
QUANTILE = 0.95


@attrs.define
class Durations:
    """The time that answers of each route took.

    Attributes:
        seen: Seconds of the last answers by route.
    """

    seen: dict[str, deque[float]] = attrs.field(factory=dict)

    def note(self, route: str, seconds: float) -> None:
        """Take how long a whole answer took."""
        self.seen.setdefault(route, deque(maxlen=REMEMBERED)).append(seconds)

    def expected(self, route: str) -> float | None:
        """Return the seconds that nearly all answers take, None if few were seen."""
        found = sorted(self.seen.get(route, ()))
        if len(found) < LEAST_SEEN:
            return None
        return found[min(len(found) - 1, int(QUANTILE * len(found)))]
