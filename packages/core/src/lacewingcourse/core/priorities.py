"""Slack of requests, and how well classes of work meet their targets."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.estimates import Average

if TYPE_CHECKING:
    from lacewingcourse.core.burn_ends import AnswerMeter
    from lacewingcourse.core.configuration import WorkClass

#: Slack in seconds of a request whose class sets no deadline.
UNBOUNDED_SLACK = 30.0
#: Crowding of an endpoint that takes no further stream.
FULL = float("inf")
#: Seconds between tokens that an agent aims at when the class sets none.
DEFAULT_PACE = 0.5
#: Ends of answers over which a margin is taken.
MARGIN_WINDOW = 64
#: Ends from which on a margin is taken.
MARGIN_FROM = 8
#: Least and greatest margin on a prediction.
MARGIN_RANGE = (0.5, 3.0)
#: Seconds in which a margin fades while no answer ends.
MARGIN_KEPT = 10.0
#: Weight of the newest answer in the share of a class that is in time.
STANDING_WEIGHT = 0.02
#: Shortfall from which on a class's target is beyond reach for now.
BEYOND_REACH = 0.5


@attrs.frozen
class Prediction:
    """What is predicted for a request if it starts now.

    Attributes:
        first_token: Seconds to the first token.
        between_tokens: Seconds between tokens.
        answer: Seconds to the whole answer.
        floor_first: Seconds to the first token on idle endpoints.
        floor_answer: Seconds to the whole answer on idle endpoints.
        floor_between: Seconds between tokens on idle endpoints.
        crowding: Work present per room in a step, at the fullest endpoint; `FULL`
            if one takes no further stream.
        fresh: Whether all endpoints have run steps of late. Floors count only those
            that have.
    """

    first_token: float
    between_tokens: float
    answer: float
    floor_first: float = 0.0
    floor_answer: float = 0.0
    floor_between: float = 0.0
    crowding: float = 0.0
    fresh: bool = True


@attrs.define
class Margin:
    """Factor from a prediction to what a share of the answers stays within.

    Attributes:
        ratios: Measured by predicted times of the last answers.
        value: The factor; 1.0 before enough answers have ended.
    """

    ratios: deque[float] = attrs.field(factory=lambda: deque(maxlen=MARGIN_WINDOW))
    value: float = 1.0

    def add(self, measured: float, predicted: float, share: float) -> None:
        """Take a measured time, the prediction it had, and the wanted share."""
        if predicted <= 0.0:
            return
        self.ratios.append(measured / predicted)
        count = len(self.ratios)
        if count >= MARGIN_FROM:
            ordered = sorted(self.ratios)
            value = ordered[int(share * (count - 1))]
            self.value = min(max(value, MARGIN_RANGE[0]), MARGIN_RANGE[1])


@attrs.define
class ClassStanding:
    """How a class of work fares at this entry.

    Attributes:
        in_time: Share of its ended answers that were whole and in time.
        first_token: Margin on the time to the first token.
        between_tokens: Margin on the time between tokens.
        answer: Margin on the time to the whole answer.
        last_end: When an answer of the class last ended, seconds.
    """

    in_time: Average = attrs.field(factory=Average)
    first_token: Margin = attrs.field(factory=Margin)
    between_tokens: Margin = attrs.field(factory=Margin)
    answer: Margin = attrs.field(factory=Margin)
    last_end: float = 0.0

    def on_end(
        self, meter: AnswerMeter, predicted: Prediction, whole: bool, now: float
    ) -> None:
        """Take the end of an answer of the class.

        Args:
            meter: What was measured, from the start of the answer.
            predicted: What was predicted at its start.
            whole: Whether the answer was whole.
            now: Present time in seconds.
        """
        work_class = meter.work_class
        share = work_class.percentile if work_class else 0.95
        self.last_end = now
        in_time = whole and not meter.lateness(now).late
        self.in_time.add(1.0 if in_time else 0.0, STANDING_WEIGHT)
        if not whole or not predicted.fresh:
            return
        if meter.first_token is not None:
            self.first_token.add(meter.first_token, predicted.first_token, share)
        gap = meter.gap_at(share)
        if gap is not None:
            self.between_tokens.add(gap, predicted.between_tokens, share)
        self.answer.add(now - meter.started_at, predicted.answer, share)

    def factor(self, margin: Margin, now: float) -> float:
        """Return a margin; without new answers it falls back to none.

        Otherwise a class that admits nothing would never learn that it could.
        """
        if not margin.ratios:
            return 1.0
        age = max(0.0, now - self.last_end)
        return 1.0 + (margin.value - 1.0) * math.exp(-age / MARGIN_KEPT)

    def shortfall(self, work_class: WorkClass | None) -> float:
        """Return by how much the share in time falls short of the target."""
        if work_class is None or not self.in_time.count:
            return 0.0
        return max(0.0, work_class.percentile - self.in_time.value)

    def presses(self, work_class: WorkClass | None) -> bool:
        """Tell whether the class misses its target and can still come to meet it."""
        return 0.0 < self.shortfall(work_class) < BEYOND_REACH


def slack_of(
    work_class: WorkClass | None,
    standing: ClassStanding,
    predicted: Prediction,
    waited: float,
) -> float:
    """Return the seconds that a request can still wait and meet its target.

    Args:
        work_class: Its class of work, or None.
        standing: How the class fares.
        predicted: What is predicted for it.
        waited: Seconds since it arrived.
    """
    if work_class is None:
        return UNBOUNDED_SLACK
    slack = UNBOUNDED_SLACK
    if work_class.first_token is not None:
        needed = predicted.floor_first * min(standing.first_token.value, 1.0)
        slack = min(slack, work_class.first_token - waited - needed)
    if work_class.answer is not None:
        needed = predicted.floor_answer * min(standing.answer.value, 1.0)
        slack = min(slack, work_class.answer - waited - needed)
    return slack
