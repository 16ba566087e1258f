"""Tests of the repair of layers whose last holder is gone."""

from __future__ import annotations

import pytest

from lacewingcourse.core.pipelines.layout import plan_layout
from lacewingcourse.core.pipelines.repair import plan_repairs
from lacewingcourse.core.pipelines.shape import Layers

from .conftest import holding, make_endpoint


@pytest.fixture
def pairs(shape):
    """Two endpoints for each quarter of the layers, `a0` to `a3` and `b0` to `b3`."""
    return [
        holding(make_endpoint(f"{copy}{number}", "large", copy), start, start + 20)
        for copy in "ab"
        for number, start in enumerate(range(0, 80, 20))
    ]


def without(endpoints, *names):
    """Return the endpoints that are left after some are gone."""
    return [e for e in endpoints if e.id not in names]


def test_nothing_is_repaired_while_every_layer_has_a_holder(pairs, fleet, shape):
    empty = make_endpoint("new", "large")
    for endpoints in (fleet, [*pairs, empty], without(pairs, "a0", "b2")):
        assert plan_repairs(endpoints, shape) == []


def test_an_empty_fleet_gets_a_layout_and_no_repair(shape):
    empty = [make_endpoint(f"e{n}", "large") for n in range(8)]
    assert plan_repairs(empty, shape) == []


def test_an_empty_endpoint_of_another_zone_loads_layers_without_a_holder(pairs, shape):
    left = without(pairs, "a1", "b1")
    plan = plan_repairs([*left, make_endpoint("new", "large", "c")], shape)
    assert [(a.endpoint, a.layers) for a in plan] == [("new", Layers(20, 40))]


def test_the_longest_gap_comes_first(pairs, shape):
    rest = without(pairs, "a1", "b1", "a3", "b3")
    short = holding(make_endpoint("c", "large"), 20, 30)
    plan = plan_repairs([*rest, short, make_endpoint("new", "large", "c")], shape)
    assert (plan[0].endpoint, plan[0].layers) == ("new", Layers(60, 80))


def test_one_of_two_weak_holders_moves_where_no_other_is_spare(shape):
    """Guards against layers that stay without a holder while others have two.

    No endpoint may move by the rule for reinforcements, since its layers would have
    much less capacity than the others; but without those of the gap no request runs.
    """
    strong = [
        holding(make_endpoint(f"l{at}", "large"), at, at + 17) for at in (0, 17, 34)
    ]
    weak = [
        holding(make_endpoint(f"{copy}{at}", "small"), at, at + 6)
        for copy in "xy"
        for at in (51, 57, 63, 69)
    ]
    assert plan_layout([*strong, *weak], shape) == []
    plan = plan_repairs([*strong, *weak], shape)
    assert [a.layers for a in plan] == [Layers(75, 80)]
    assert plan[0].endpoint[0] in "xy"


def test_each_gap_is_filled_by_one_endpoint(pairs, shape):
    """Guards against two endpoints that were ordered to the same range at once."""
    left = without(pairs, "a1", "b1", "a3")
    spares = [make_endpoint(f"new{n}", "large", "c") for n in range(3)]
    plan = plan_repairs([*left, *spares], shape)
    assert [a.layers for a in plan] == [Layers(20, 40)]


def test_an_ordered_endpoint_counts_as_a_holder(pairs, shape):
    ordered = holding(make_endpoint("new", "large", "c"), 20, 40)
    left = without(pairs, "a1", "b1")
    assert plan_repairs([*left, ordered, make_endpoint("e", "large")], shape) == []


def test_a_sole_holder_does_not_move_for_a_repair(shape):
    held = [
        holding(make_endpoint("a", "large"), 0, 29),
        holding(make_endpoint("m", "middle"), 46, 63),
    ]
    assert plan_repairs(held, shape) == []
