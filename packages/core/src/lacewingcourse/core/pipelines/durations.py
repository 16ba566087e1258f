"""Durations of this entry's recent answers, by route and service."""

from __future__ import annotations

from collections import deque

import attrs

#: Number of recent samples that are kept: enough for a quantile, few enough to follow a
#: load that changes within seconds.
MAX_SAMPLES = 64
#: Minimum number of samples for an estimate.
MIN_SAMPLES = 8
#: Quantile of the samples that is the expected duration, exceeded by few answers.
UPPER_QUANTILE = 0.95
#: Quantile of the samples that is the typical duration.
MEDIAN = 0.5


@attrs.define
class Durations:
    """Samples of the durations of complete answers.

    Attributes:
        answers: Seconds of recent answers by route.
        first_events: Seconds to the first event of recent streams by service.
        event_intervals: Mean seconds between the events of recent streams by service.
    """

    answers: dict[str, deque[float]] = attrs.field(factory=dict)
    first_events: dict[str, deque[float]] = attrs.field(factory=dict)
    event_intervals: dict[str, deque[float]] = attrs.field(factory=dict)

    def record_answer(self, route: str, seconds: float) -> None:
        """Record the duration of a complete answer in seconds."""
        _add(self.answers, route, seconds)

    def record_stream(self, service: str, first_event: float, interval: float) -> None:
        """Record the times of a complete stream.

        Args:
            service: Service that produced it.
            first_event: Seconds to its first event.
            interval: Mean seconds between its events.
        """
        _add(self.first_events, service, first_event)
        _add(self.event_intervals, service, interval)

    def expected(self, route: str) -> float | None:
        """Return the seconds within which nearly all answers end, None if unknown."""
        return _quantile(self.answers, route)

    def median(self, route: str) -> float | None:
        """Return the median seconds of an answer, None if there are few samples."""
        return _quantile(self.answers, route, MEDIAN)

    def remaining_stream_seconds(
        self, service: str, max_events: int, has_begun: bool
    ) -> float | None:
        """Return the expected seconds until a stream ends, None if few samples exist.

        Args:
            service: Service that produces it.
            max_events: Maximum number of events that are still to come.
            has_begun: Whether its first event has arrived.
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
    """Return a quantile of a name's samples, None if there are too few."""
    found = sorted(samples.get(name, ()))
    if len(found) < MIN_SAMPLES:
        return None
    return found[min(len(found) - 1, int(share * len(found)))]
