"""Tests of the caches of the routing state."""

from __future__ import annotations

import random
from types import SimpleNamespace

import pytest

from lacewingcourse.core.pipelines.choice import Demand
from lacewingcourse.core.pipelines.path import candidate_paths
from lacewingcourse.core.pipelines.suspects import Grade
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


def test_paths_without_suspicions_are_those_of_the_plain_search(routing_state, shape):
    found = routing_state.paths("rooms", shape, 0.0)
    assert found == candidate_paths(routing_state.members("rooms"), shape)


def test_a_suspicion_of_every_holder_of_a_layer_leaves_a_path(routing_state, shape):
    """Guards against refusals for lack of a path while endpoints are slow, not lost."""
    logged = []
    routing_state.on_selection = lambda *selection: logged.append(selection)
    for name in "ab":
        routing_state.suspects.suspect(name, "no report", 0.0, silent=True)
    for now in (0.1, 0.2):
        assert routing_state.paths("rooms", shape, now)
    (first,) = logged
    assert first[1].suspected == {"a": Grade.DOUBTFUL, "b": Grade.DOUBTFUL}
    routing_state.paths("rooms", shape, 10.0)
    assert [selection.suspected for _, selection in logged[1:]] == [{}]


def test_endpoints_that_refuse_connections_are_on_no_path(routing_state, shape):
    for name in "ab":
        routing_state.suspects.suspect(name, "refused", 0.0, grade=Grade.GONE)
    assert routing_state.paths("rooms", shape, 0.1) == []
