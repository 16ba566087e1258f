"""Tests of choices within limits of time, under more load than is served in time.

The load is a fleet whose memory holds more streams than it serves in time, since its
prompts are long. All thresholds are shares of what callers are promised.
"""

from __future__ import annotations

import pytest

from lacewingcourse.core.pipelines.prediction import TimeLimits

from .conftest import make_fleet, make_shape, placed
from .step_model import StepModel

LIMITS = TimeLimits("rooms", objective=0.5, max_event_gap=0.25)
#: Requests a second that the fleet just serves in time.
CAPACITY = 26.0
#: Seconds that are left out at the start, while the fleet fills.
FILL_SECONDS = 4.0


@pytest.fixture
def model():
    """Four entries before a fleet with memory for many streams of long prompts."""
    shape = make_shape(
        event_tokens=5, chunk_tokens=256, token_bytes=300_000, usual_prompt=3000
    )
    fleet = placed(make_fleet(), shape)
    return lambda **changes: StepModel(fleet, shape, LIMITS, **changes)


def test_answers_in_time_do_not_fall_at_up_to_three_times_the_load(model):
    goodputs = {}
    for load in (1.0, 1.5, 2.0, 3.0):
        played = model()
        played.play(load * CAPACITY, 20.0)
        goodputs[load] = played.goodput(FILL_SECONDS)
    highest = max(goodputs.values())
    for load, goodput in goodputs.items():
        assert goodput >= 0.9 * min(highest, load * CAPACITY), goodputs


def test_engines_slower_than_published_make_few_late_until_they_recover(model):
    played = model()
    played.play(CAPACITY / 2, 8.0)
    assert played.share("in time", FILL_SECONDS) == 1.0
    played.slowness = 2.0
    played.play(CAPACITY / 2, 14.0)
    played.slowness = 1.0
    played.play(CAPACITY / 2, 14.0)
    assert played.share("late", 14.0, 22.0) <= 0.1
    assert played.share("in time", 14.0, 22.0) >= 0.5
    assert played.share("in time", 28.0) >= 0.95
