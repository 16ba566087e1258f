"""Tests of the bound that goodput is compared with."""

from __future__ import annotations

import pytest

from lacewingcourse.bench.bound import Demand, capacity, max_flow_bound
from lacewingcourse.core.layers import LayerRange
from lacewingcourse.testing.standins.engine_host import EngineSpec

DEMAND = Demand(prompt=5, answer=10)


def engine(first, end, step_time):
    return EngineSpec(
        0, "mapchat", LayerRange(first, end), step_time, item_time=0.0, batch_items=4
    )


def test_capacity_counts_places_in_steps_and_positions():
    assert capacity(engine(0, 4, 0.1), DEMAND) == pytest.approx(4.0)
    spec = EngineSpec(0, "mapchat", LayerRange(0, 4), 0.1, 0.01, 4)
    assert capacity(spec, DEMAND) == pytest.approx(1 / (0.25 + 0.14))


def test_bound_is_that_of_the_weakest_cut():
    fleet = [engine(0, 4, 0.1), engine(0, 4, 0.1), engine(4, 8, 0.2)]
    assert max_flow_bound(fleet, 8, DEMAND) == pytest.approx(2.0)


def test_overlapping_ranges_help_where_layers_are_scarce():
    apart = [engine(0, 4, 0.1), engine(4, 8, 0.4)]
    overlapping = [*apart, engine(2, 8, 0.1)]
    assert max_flow_bound(apart, 8, DEMAND) == pytest.approx(1.0)
    assert max_flow_bound(overlapping, 8, DEMAND) == pytest.approx(4.0)


def test_fleet_without_a_layer_has_no_bound():
    assert max_flow_bound([engine(0, 4, 0.1)], 8, DEMAND) == 0.0
    assert max_flow_bound([engine(0, 4, 0.1), engine(5, 8, 0.1)], 8, DEMAND) == 0.0
