"""Tests of the placement's decisions."""

from __future__ import annotations

import random

import attrs
from hypothesis import given, settings, strategies as st

from lacewingcourse.core.layers import LayerRange
from lacewingcourse.core.placement import ModelTarget, PlacementPlanner
from lacewingcourse.core.placement_needs import PlacedEndpoint, coverage

TARGET = ModelTarget("m", 24, "1")
NEXT = ModelTarget("m", 24, "2")


def endpoint(number: int, first: int, end: int, **fields) -> PlacedEndpoint:
    layers = LayerRange(first, end)
    return PlacedEndpoint(f"e{number}", "m", "1", layers, max_layers=12, **fields)


def planner(**fields) -> PlacementPlanner:
    return PlacementPlanner(restart_time=20.0, load_time=10.0, **fields)


def whole(copies: int = 1) -> list[PlacedEndpoint]:
    cuts = [(0, 8), (8, 16), (16, 24)] * copies
    return [endpoint(number, *cut) for number, cut in enumerate(cuts)]


def away(state: PlacedEndpoint) -> PlacedEndpoint:
    return PlacedEndpoint(state.id, present=False)


def test_nothing_is_ordered_while_all_is_as_wanted():
    assert planner().decide([TARGET], whole(2), 0.0) == []


def test_restart_is_waited_for_before_layers_are_loaded_anew():
    decisions = planner()
    fleet = whole()
    fleet[1] = away(fleet[1])
    assert decisions.decide([TARGET], fleet, 0.0) == []
    assert decisions.decide([TARGET], fleet, 9.0) == []
    assert decisions.decide([TARGET], fleet, 10.0)


def test_endpoint_that_is_gone_for_good_is_replaced_by_a_spare_at_once():
    spare = PlacedEndpoint("spare", max_layers=12)
    (order,) = planner().decide([TARGET], [*whole()[:2], spare], 0.0)
    assert (order.endpoint, order.layers) == ("spare", LayerRange(16, 24))


def test_copy_of_other_layers_fills_a_gap_when_there_is_no_spare():
    fleet = [*whole()[:2], endpoint(9, 0, 8)]
    (order,) = planner().decide([TARGET], fleet, 0.0)
    assert order.layers == LayerRange(16, 24)
    assert order.endpoint in ("e0", "e9")


def test_survivors_share_all_layers_when_none_can_be_spared():
    orders = planner().decide([TARGET], whole()[:2], 0.0)
    assert [order.layers for order in orders] == [LayerRange(0, 12), LayerRange(12, 24)]


def test_survivors_without_the_room_are_left_alone():
    small = [attrs.evolve(each, max_layers=9) for each in whole()[:2]]
    assert planner().decide([TARGET], small, 0.0) == []


def test_copy_lost_beyond_the_need_is_not_replaced():
    assert planner().decide([TARGET], whole(2)[:5], 0.0) == []


def test_weight_store_is_left_alone_for_as_long_as_it_asks():
    decisions = planner()
    decisions.on_rate_limit(5.0, 0.0)
    spare = PlacedEndpoint("spare", max_layers=12)
    assert decisions.decide([TARGET], [*whole()[:2], spare], 4.0) == []
    assert decisions.decide([TARGET], [*whole()[:2], spare], 5.0)


def test_version_change_waits_where_no_copy_can_be_spared():
    decisions = planner()
    assert decisions.decide([NEXT], whole(), 0.0) == []
    assert decisions.blocked == {"m"}
    loaded = [attrs.evolve(each, running=40) for each in whole(2)]
    assert decisions.decide([NEXT], loaded, 0.0) == []


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.integers(2, 4), st.integers(1, 4), st.integers(0, 2**32))
def test_version_change_never_leaves_a_layer_of_every_version_unheld(
    copies, loads, seed
):
    decisions = planner(loads_at_once=loads)
    rng = random.Random(seed)
    fleet = {each.id: each for each in whole(copies)}
    loading = {}
    for now in range(400):
        states = list(fleet.values())
        for order in decisions.decide([NEXT], states, float(now)):
            loading[order.endpoint] = order
            fleet[order.endpoint] = PlacedEndpoint(order.endpoint, busy=True)
        assert len(loading) <= loads
        usable = [each for each in fleet.values() if each.usable]
        by_version = {
            version: coverage([each for each in usable if each.version == version], 24)
            for version in ("1", "2")
        }
        assert any(min(counts) > 0 for counts in by_version.values())
        for name in [each for each in loading if rng.random() < 0.3]:
            order = loading.pop(name)
            fleet[name] = PlacedEndpoint(
                name, "m", order.version, order.layers, max_layers=12
            )
        if all(each.version == "2" for each in fleet.values()):
            return
    raise AssertionError("the change has not ended")
