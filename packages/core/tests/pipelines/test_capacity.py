"""Tests of the capacity of a fleet."""

from __future__ import annotations

from lacewingcourse.core.pipelines.capacity import fleet_capacity

from .conftest import KINDS, holding, make_endpoint, make_fleet, placed


def equal_cut(endpoints, shape):
    """Return the endpoints with ranges of ten layers, one after another."""
    held, position = [], 0
    for endpoint in endpoints:
        max_layers = shape.max_layers(KINDS[endpoint.accelerator])
        span = min(10, max_layers, shape.layers - position)
        held.append(holding(endpoint, position, position + span))
        position = (position + span) % shape.layers
    return held


def test_the_layout_serves_more_than_an_equal_cut(shape, rng):
    members = make_fleet()
    planned = fleet_capacity(placed(members, shape), shape, rng)
    equal = fleet_capacity(equal_cut(members, shape), shape, rng)
    assert planned.requests_per_second > 1.2 * equal.requests_per_second
    assert planned.idle_token_ms < equal.idle_token_ms


def test_the_layout_serves_more_than_the_fastest_accelerators_filled_up(shape, rng):
    """Guards against filling fast accelerators with layers.

    They then have no memory left for requests.
    """
    members = sorted(make_fleet(), key=lambda e: KINDS[e.accelerator].step_factor)
    held, position = [], 0
    for endpoint in members:
        max_layers = shape.max_layers(KINDS[endpoint.accelerator])
        span = min(max_layers, shape.layers - position)
        held.append(holding(endpoint, position, position + span))
        position = (position + span) % shape.layers
    planned = fleet_capacity(placed(members, shape), shape, rng)
    filled = fleet_capacity(held, shape, rng)
    served = filled.requests_per_second if filled else 0.0
    assert planned.requests_per_second > 1.2 * served


def test_a_fleet_with_a_gap_has_no_capacity(shape, rng):
    held = [holding(make_endpoint("a", "large"), 0, 40)]
    assert fleet_capacity(held, shape, rng) is None
