"""Tests of when callers return that were refused while every entry drained."""

from __future__ import annotations

import pytest

from lacewingcourse.testing.virtual_time import run_virtual

from .rolling_restart import MAX_EVENTS, DrawEventCount, RollingRestart

#: Seconds after the first entry is ready within which refused callers return.
MAX_RETURN_DELAY = 1.5
#: How many events answers have: as many as callers allow, any number, or a usual number
#: with a few answers that are as long as allowed.
EVENT_COUNTS: dict[str, DrawEventCount] = {
    "longest": lambda rng: MAX_EVENTS,
    "any": lambda rng: rng.randint(1, MAX_EVENTS),
    "usual": lambda rng: MAX_EVENTS if rng.random() < 0.02 else rng.randint(41, 72),
}


def restarted(shape, count: int, seed: int, lengths: str) -> RollingRestart:
    """Return a deployment after a rolling restart of all its entries."""

    async def test() -> RollingRestart:
        rolling_restart = RollingRestart(shape, count, seed, EVENT_COUNTS[lengths])
        await rolling_restart.restart_all()
        return rolling_restart

    return run_virtual(test())


@pytest.mark.parametrize("count", [2, 4])
@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("lengths", EVENT_COUNTS)
def test_refused_callers_do_not_return_before_an_entry_is_ready(
    shape, count, seed, lengths
):
    """Callers returned to a draining entry, and had no further retry."""
    found = restarted(shape, count, seed, lengths)
    first = min(found.ready_at.values())
    assert found.refused
    early = [each for each in found.refused if each.returns_at < first]
    assert not early


@pytest.mark.parametrize("count", [2, 4])
@pytest.mark.parametrize("seed", range(4))
def test_refused_callers_return_soon_after_the_first_entry_is_ready(shape, count, seed):
    """Callers waited for the whole grace time of entries that ended sooner."""
    found = restarted(shape, count, seed, "longest")
    first = min(found.ready_at.values())
    assert found.refused
    late = [
        each for each in found.refused if each.returns_at > first + MAX_RETURN_DELAY
    ]
    assert not late
