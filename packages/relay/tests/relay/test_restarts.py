"""Tests of when callers come back that met entries which were all ending."""

from __future__ import annotations

import pytest

from .restarts import MAX_EVENTS, Lengths, Restarts
from .virtual_time import run_virtual

#: Seconds after the first entry is back in which refused callers come back.
LATEST = 1.5
#: How long answers are: as long as callers allow, any length, usual ones with a few
#: that are as long as allowed.
LENGTHS: dict[str, Lengths] = {
    "longest": lambda rng: MAX_EVENTS,
    "any": lambda rng: rng.randint(1, MAX_EVENTS),
    "usual": lambda rng: MAX_EVENTS if rng.random() < 0.02 else rng.randint(41, 72),
}


def restarted(shape, count: int, seed: int, lengths: str) -> Restarts:
    """Return a deployment all of whose entries were restarted."""

    async def test() -> Restarts:
        restarts = Restarts(shape, count, seed, LENGTHS[lengths])
        await restarts.play()
        return restarts

    return run_virtual(test())


@pytest.mark.parametrize("count", [2, 4])
@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("lengths", LENGTHS)
def test_refused_callers_do_not_come_back_before_an_entry_does(
    shape, count, seed, lengths
):
    """They came back to an entry that was still ending, and had no further try."""
    found = restarted(shape, count, seed, lengths)
    first = min(found.back.values())
    assert found.refused
    early = [each for each in found.refused if each.comes_at < first]
    assert not early


@pytest.mark.parametrize("count", [2, 4])
@pytest.mark.parametrize("seed", range(4))
def test_refused_callers_come_back_soon_after_the_first_entry(shape, count, seed):
    """They waited for the whole grace time of entries that ended sooner."""
    found = restarted(shape, count, seed, "longest")
    first = min(found.back.values())
    assert found.refused
    late = [each for each in found.refused if each.comes_at > first + LATEST]
    assert not late
