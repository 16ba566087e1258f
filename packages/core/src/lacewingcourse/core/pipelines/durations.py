"""How long answers take, as this entry has seen it lately."""

from __future__ import annotations

from collections import deque

import attrs

#: Answers that are remembered: enough for a quantile, few enough to follow a load that
#: changes within seconds.
MAX_SAMPLES = 64
#: Answers before which there is no estimate.
MIN_SAMPLES = 8
#: Share of the remembered answers that took no longer than is expected of the next.
UPPER_QUANTILE = 0.95
#: Share of them that took no longer than a usual one.
MEDIAN = 0.5


@attrs.define
class Durations:
    """The time that answers took.

    Attributes:
        answers: Seconds of the last whole answers by route.
        first_events: Seconds to the first event of the last streams by service.
        event_intervals: Mean seconds between two events of the last streams by service.
    """

    answers: dict[str, deque[float]] = attrs.field(factory=dict)
    first_events: dict[str, deque[float]] = attrs.field(factory=dict)
    event_intervals: dict[str, deque[float]] = attrs.field(factory=dict)

    def record_answer(self, route: str, seconds: float) -> None:
        """Take how long a whole answer took."""
        _add(self.answers, route, seconds)

    def record_stream(self, service: str, first_event: float, interval: float) -> None:
        """Take how a whole stream went.

        Args:
            service: Service that wrote it.
            first_event: Seconds to its first event.
            interval: Mean seconds between two of its events.
        """
        _add(self.first_events, service, first_event)
        _add(self.event_intervals, service, interval)

    def expected(self, route: str) -> float | None:
        """Return the seconds that nearly all answers take, None if few were seen."""
        return _quantile(self.answers, route)

    def median(self, route: str) -> float | None:
        """Return the seconds that a usual answer takes, None if few were seen."""
        return _quantile(self.answers, route, MEDIAN)

    def remaining_stream_seconds(
        self, service: str, max_events: int, has_begun: bool
    ) -> float | None:
        """Return the seconds that a stream takes yet, None if few were seen.

        Args:
            service: Service that writes it.
            max_events: Events that it may still have.
            has_begun: Whether its first event has come.
        """
        first_event = _quantile(self.first_events, service)
        interval = _quantile(self.event_intervals, service)
        if first_event is None or interval is None:
            return None
        rest = max(0, max_events) * interval
        return rest if has_begun else first_event + rest


def _add(samples: dict[str, deque[float]], name: str, seconds: float) -> None:
    samples.setdefault(name, deque(maxlen=MAX_SAMPLES)).append(seconds)


def _quantile(
    samples: dict[str, deque[float]], name: str, share: float = UPPER_QUANTILE
) -> float | None:
    """Return a quantile of the samples of a name, None if there are few."""
    found = sorted(samples.get(name, ()))
    if len(found) < MIN_SAMPLES:
        return None
    return found[min(len(found) - 1, int(share * len(found)))]
