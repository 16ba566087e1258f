"""Tests of what an entry keeps of what it believes."""

from __future__ import annotations

import random
from types import SimpleNamespace

import pytest

from lacewingcourse.core.pipelines.choice import Demand
from lacewingcourse.relay.beliefs import Beliefs


@pytest.fixture
def beliefs(small, shape):
    """Four endpoints, two for each of two layers."""
    found = Beliefs()
    services = {"rooms": SimpleNamespace(shape=shape)}
    found.table = SimpleNamespace(services=services)
    for name, layer in zip("abcd", (0, 0, 1, 1), strict=True):
        found.fleet.put(small(name, layer))
    return found


def test_figures_of_paths_that_were_replaced_are_forgotten(beliefs, shape):
    """Endpoints are suspected again and again while the fleet stays the same."""
    rng = random.Random(1)
    for turn in range(50):
        now = 100.0 * turn
        beliefs.suspects.suspect("abcd"[turn % 4], "reset", now)
        paths = beliefs.paths("rooms", shape, now)
        beliefs.chooser(shape).choose(paths, Demand(100, 10), (), rng, now)
    assert len(beliefs.chooser(shape).costs_by_path) <= len(paths)
