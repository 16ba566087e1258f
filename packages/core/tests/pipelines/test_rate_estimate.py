"""Tests of the closed-form estimate that ranks layouts."""

from __future__ import annotations

import itertools

import pytest

from lacewingcourse.core.pipelines.copies import copy_plans
from lacewingcourse.core.pipelines.layout import (
    _rate_layout,
    placement_groups,
    request_rate,
    search_layout,
)
from lacewingcourse.core.pipelines.rate_estimate import estimated_rate

from .conftest import (
    FLEET,
    holding,
    make_endpoint,
    make_five_zone_fleet,
    make_fleet,
    placed,
)

#: Minimum share of the best layout's rate that the chosen layout must serve.
LEAST_SHARE = 0.9


@pytest.mark.parametrize(
    "fleet", [make_fleet(), make_five_zone_fleet()], ids=["33", "114"]
)
def test_the_chosen_layout_serves_nearly_as_much_as_the_best(fleet, shape):
    """The best layout is found by filling each one with requests one by one."""
    for group in placement_groups(fleet, shape):
        layouts = [
            _rate_layout(copies, group, shape) for copies in copy_plans(group, shape)
        ]
        best = max(
            request_rate(layout.placed, shape) * layout.loss_factor
            for layout in layouts
        )
        chosen = placed(group, shape)
        assert any(layout.placed == chosen for layout in layouts)
        (loss_factor,) = {each.loss_factor for each in layouts if each.placed == chosen}
        assert request_rate(chosen, shape) * loss_factor >= LEAST_SHARE * best


def test_the_estimate_ranks_layouts_much_as_filling_them_does(shape):
    """Of two layouts that differ by a fifth, the better one is found in most cases."""
    agreed = compared = 0
    for group in placement_groups(make_five_zone_fleet(), shape):
        layouts = [
            _rate_layout(copies, group, shape) for copies in copy_plans(group, shape)
        ]
        rated = [
            (each.expected_rate, request_rate(each.placed, shape)) for each in layouts
        ]
        for one, other in itertools.combinations(rated, 2):
            if max(one[1], other[1]) >= 1.2 * min(one[1], other[1]):
                compared += 1
                agreed += (one[0] > other[0]) == (one[1] > other[1])
    assert agreed >= 0.75 * compared


def test_a_layout_without_a_whole_copy_serves_nothing(shape):
    held = [holding(make_endpoint("a", "large"), 0, 40)]
    assert estimated_rate([], held, shape) == 0.0


def test_more_memory_for_the_weakest_layer_serves_more(shape):
    copy = [
        holding(make_endpoint("a", "large"), 0, 40),
        holding(make_endpoint("b", "large"), 40, 80),
    ]
    more = [*copy, holding(make_endpoint("c", "large"), 0, 40)]
    more.append(holding(make_endpoint("d", "large"), 40, 80))
    alone = estimated_rate([copy], copy, shape)
    assert estimated_rate([copy], more, shape) > 1.5 * alone


def test_a_layout_search_yields_often(shape):
    """Guards against long steps of a search, during which an entry sends no messages.

    Other entries then took the searching entry for dead.
    """
    zones = {zone for zone, _, _ in FLEET}
    steps = sum(1 for _ in search_layout(make_fleet(), shape))
    assert steps >= 20 * len(zones)
