"""Learns how long something usually takes, to tell a late one from a slow one."""

from __future__ import annotations

import attrs

#: Weight of a new sample in the mean.
MEAN_GAIN = 0.125
#: Weight of a new sample in the deviation.
DEVIATION_GAIN = 0.25
#: Deviations above the mean that are still usual.
USUAL_DEVIATIONS = 4.0
#: Factor on the usual time beyond which something is late.
LATE_FACTOR = 4.0
#: Samples before which the limit is its cap.
MIN_SAMPLES = 3


@attrs.define
class Pace:
    """Running mean and deviation of a duration.

    Attributes:
        mean: Usual duration, seconds.
        deviation: Usual distance from the mean, seconds.
        samples: Durations noted.
    """

    mean: float = 0.0
    deviation: float = 0.0
    samples: int = 0

    def note(self, seconds: float) -> None:
        """Take a duration into account."""
        self.samples += 1
        if self.samples == 1:
            self.mean = seconds
            self.deviation = seconds / 2
            return
        distance = abs(seconds - self.mean)
        self.deviation += DEVIATION_GAIN * (distance - self.deviation)
        self.mean += MEAN_GAIN * (seconds - self.mean)

    def limit(self, floor: float, cap: float) -> float:
        """Return the seconds after which one more is late.

        Args:
            floor: The least limit, seconds.
            cap: The limit while little is known, and the greatest, seconds.
        """
        if self.samples < MIN_SAMPLES:
            return cap
        usual = self.mean + USUAL_DEVIATIONS * self.deviation
        return min(cap, max(floor, LATE_FACTOR * usual))
