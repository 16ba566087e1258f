"""Ratios of the times that streams took to those that were predicted, by service."""

from __future__ import annotations

import math
from collections import deque

import attrs

#: Number of recent samples that are kept for each service and kind of time.
MAX_SAMPLES = 16
#: Minimum number of samples for a ratio other than 1.
MIN_SAMPLES = 5
#: Seconds after which a sample no longer counts.
SAMPLE_TTL = 10.0
#: Seconds for which the newest sample counts in full. Afterwards the ratio approaches
#: 1, or an entry that starts nothing would never learn that streams are in time again.
FULL_WEIGHT_SECONDS = 2.0
#: Bounds of a ratio. The upper one keeps idle endpoints usable whatever was seen.
MIN_RATIO = 0.5
MAX_RATIO = 2.5
#: Ratio of a single sample above which it, or its inverse, tells of an error instead of
#: a time.
MAX_SAMPLE_RATIO = 100.0
#: Quantile of the samples that predictions are scaled with. With the median, half of
#: the streams that are just predicted to be in time would be late.
QUANTILE = 0.65
#: Factor on limits of time while there are too few samples: without them, only what is
#: clearly late by the published figures is kept out.
UNLEARNED_ALLOWANCE = 1.5


@attrs.define
class RatioSamples:
    """Recent ratios of seen to predicted times.

    Attributes:
        samples: Time of arrival in seconds and ratio of each sample.
        quantile: Their bounded upper quantile, 1 if there are too few.
        newest_at: When the newest one arrived, seconds.
        enough: Whether there were enough of them at that time.
    """

    samples: deque[tuple[float, float]] = attrs.field(
        factory=lambda: deque(maxlen=MAX_SAMPLES)
    )
    quantile: float = 1.0
    newest_at: float = -math.inf
    enough: bool = False

    def record(self, ratio: float, now: float) -> None:
        """Add a sample."""
        self.samples.append((now, ratio))
        while self.samples[0][0] <= now - SAMPLE_TTL:
            self.samples.popleft()
        ordered = sorted(ratio for _, ratio in self.samples)
        self.enough = len(ordered) >= MIN_SAMPLES
        found = ordered[int(QUANTILE * len(ordered))] if self.enough else 1.0
        self.quantile = min(MAX_RATIO, max(MIN_RATIO, found))
        self.newest_at = now

    def ratio(self, now: float) -> float:
        """Return the upper quantile, closer to 1 the older the newest sample is."""
        age = now - self.newest_at
        if age >= SAMPLE_TTL:
            return 1.0
        if age <= FULL_WEIGHT_SECONDS:
            return self.quantile
        weight = (SAMPLE_TTL - age) / (SAMPLE_TTL - FULL_WEIGHT_SECONDS)
        return 1.0 + (self.quantile - 1.0) * weight

    def allowance(self, now: float) -> float:
        """Return the factor on limits of the time that is predicted with the ratio."""
        learned = self.enough and now - self.newest_at < SAMPLE_TTL
        return 1.0 if learned else UNLEARNED_ALLOWANCE


@attrs.define
class TimeRatios:
    """Ratios of seen to predicted first events and pauses, by service.

    Attributes:
        first_events: Ratios of the seconds to first events.
        pauses: Ratios of the longest pauses of streams.
    """

    first_events: dict[str, RatioSamples] = attrs.field(factory=dict)
    pauses: dict[str, RatioSamples] = attrs.field(factory=dict)

    def record_first_event(
        self, service: str, published: float, seen: float, now: float
    ) -> float | None:
        """Learn from the seconds to a first event.

        Args:
            service: Service that produced the stream.
            published: Seconds that follow from the published figures.
            seen: Seconds that it took.
            now: Present time in seconds.

        Returns:
            The ratio, None if it was absurd and changed nothing.
        """
        return _record(self.first_events, service, published, seen, now)

    def record_pause(
        self, service: str, published: float, seen: float, now: float
    ) -> float | None:
        """Learn from the longest pause of a stream, like `record_first_event`."""
        return _record(self.pauses, service, published, seen, now)

    def first_event(self, service: str) -> RatioSamples:
        """Return the samples of a service's first events; do not modify them."""
        return self.first_events.get(service, NO_SAMPLES)

    def pause(self, service: str) -> RatioSamples:
        """Return the samples of a service's pauses; do not modify them."""
        return self.pauses.get(service, NO_SAMPLES)


#: Samples of a service of which nothing was seen; shared, so they must not be modified.
NO_SAMPLES = RatioSamples()


def _record(
    found: dict[str, RatioSamples],
    service: str,
    published: float,
    seen: float,
    now: float,
) -> float | None:
    if not (math.isfinite(published) and math.isfinite(seen) and published > 0):
        return None
    ratio = seen / published
    if not 1 / MAX_SAMPLE_RATIO <= ratio <= MAX_SAMPLE_RATIO:
        return None
    found.setdefault(service, RatioSamples()).record(ratio, now)
    return ratio
