"""Tests of the caches of the routing state."""

from __future__ import annotations

import random
from types import SimpleNamespace

import pytest

from lacewingcourse.core.pipelines.choice import Demand
from lacewingcourse.relay.routing_state import RoutingState


@pytest.fixture
def routing_state(small, shape):
    """Four endpoints, two for each of two layers."""
    state = RoutingState()
    services = {"rooms": SimpleNamespace(shape=shape)}
    state.table = SimpleNamespace(services=services)
    for name, layer in zip("abcd", (0, 0, 1, 1), strict=True):
        state.fleet.put(small(name, layer))
    return state


def test_figures_of_paths_that_were_replaced_are_forgotten(routing_state, shape):
    """The chooser drops the figures of replaced paths while the fleet stays the same.

    Each suspicion of an endpoint replaces the candidate paths, so a chooser that kept
    all figures would grow without bound.
    """
    rng = random.Random(1)
    for turn in range(50):
        now = 100.0 * turn
        routing_state.suspects.suspect("abcd"[turn % 4], "reset", now)
        paths = routing_state.paths("rooms", shape, now)
        routing_state.chooser(shape).choose(paths, Demand(100, 10), (), rng, now)
    assert len(routing_state.chooser(shape).costs_by_path) <= len(paths)
