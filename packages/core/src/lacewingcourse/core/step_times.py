"""Learns how long an engine's steps take, to tell a late step from a long one."""

from __future__ import annotations

import attrs

from lacewingcourse.core.pace import LATE_FACTOR, Pace

#: Positions up to which the time of a step hardly depends on them.
SMALL_STEP = 32
#: Seconds that any step may take.
MIN_ALLOWANCE = 0.5
#: Weight of a new sample in the time a position takes.
RATE_GAIN = 0.25


@attrs.define
class StepTimes:
    """Learned times of one engine's steps.

    Attributes:
        small: Time of steps with few positions.
        rate: Seconds that a position adds to a large step, 0.0 while not known.
    """

    small: Pace = attrs.field(factory=Pace)
    rate: float = 0.0

    def note(self, positions: int, seconds: float) -> None:
        """Take a finished step into account."""
        if positions <= SMALL_STEP:
            self.small.note(seconds)
            return
        rate = seconds / positions
        self.rate += (RATE_GAIN if self.rate else 1.0) * (rate - self.rate)

    def allowance(self, positions: int, cap: float) -> float:
        """Return the seconds after which a step is late.

        Args:
            positions: Positions of the step at the most.
            cap: The greatest allowance, and the one while little is known, seconds.
        """
        base = self.small.limit(MIN_ALLOWANCE, cap)
        if positions <= SMALL_STEP:
            return base
        rate = self.rate or self.small.mean
        return min(cap, base + LATE_FACTOR * rate * positions)
