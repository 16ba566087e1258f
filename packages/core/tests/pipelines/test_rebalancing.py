"""Tests of moves that rebalance a fleet's layers."""

from __future__ import annotations

from random import Random

import attrs
import pytest

from lacewingcourse.core.pipelines.capacity import fleet_capacity
from lacewingcourse.core.pipelines.layout import plan_layout, speed_weighted_capacity
from lacewingcourse.core.pipelines.rebalancing import plan_rebalancing

from .conftest import make_fleet

#: Seconds without a change after which any gain is worth its moves.
LONG_STABLE_SECONDS = 3600.0
#: Number of availability zones, each of which is a group.
ZONES = 3


def moves_of(endpoints, shape, stable_seconds=LONG_STABLE_SECONDS):
    """Return the moves of all groups."""
    found = [
        plan_rebalancing(endpoints, shape, stable_seconds, search_index)
        for search_index in range(ZONES)
    ]
    return {a.endpoint: a.layers for moves in found for a in moves}


def apply_layout(endpoints, shape):
    """Return endpoints with the layers of a plan; the others keep theirs."""
    layers = {a.endpoint: a.layers for a in plan_layout(endpoints, shape)}
    return [attrs.evolve(e, layers=layers.get(e.id, e.layers)) for e in endpoints]


def rate_of(endpoints, shape):
    """Return the requests per second that endpoints can serve."""
    return fleet_capacity(endpoints, shape, Random(0)).requests_per_second


@pytest.fixture
def fleet(shape):
    """A fleet of three zones with a planned layout in place."""
    return apply_layout(make_fleet(), shape)


def lose_and_return(fleet, shape, index):
    """Return a fleet that lost an endpoint, was repaired, and got it back empty."""
    lost = fleet[index]
    repaired = apply_layout([e for e in fleet if e.id != lost.id], shape)
    returned = attrs.evolve(lost, id=f"{lost.id}-new", layers=None)
    return apply_layout([*repaired, returned], shape)


def test_a_fresh_layout_is_left_alone(fleet, shape):
    assert moves_of(fleet, shape) == {}


def test_nothing_moves_while_an_endpoint_is_empty(fleet, shape):
    fleet = lose_and_return(fleet, shape, 0)
    empty = [attrs.evolve(fleet[0], layers=None), *fleet[1:]]
    moved = set(moves_of(empty, shape))
    zone = {e.id for e in fleet if e.zone == fleet[0].zone}
    assert not moved & zone


@pytest.mark.parametrize("index", range(0, 33, 4))
def test_rebalancing_restores_the_request_rate(fleet, shape, index):
    best = rate_of(fleet, shape)
    fleet = lose_and_return(fleet, shape, index)
    for _ in range(12):
        moves = moves_of(fleet, shape)
        if not moves:
            break
        staying = [e for e in fleet if e.id not in moves]
        assert min(speed_weighted_capacity(staying, shape)) > 0
        fleet = [attrs.evolve(e, layers=moves.get(e.id, e.layers)) for e in fleet]
    assert moves == {}
    assert rate_of(fleet, shape) > 0.9 * best


def test_a_fleet_that_has_just_changed_is_left_alone(fleet, shape):
    """A move takes longer than the fleet is expected to stay unchanged."""
    fleet = lose_and_return(fleet, shape, 8)
    assert moves_of(fleet, shape)
    assert moves_of(fleet, shape, stable_seconds=0.0) == {}
