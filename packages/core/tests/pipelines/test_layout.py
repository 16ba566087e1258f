"""Tests of the placement of layers on endpoints."""

from __future__ import annotations

import itertools

import pytest

from lacewingcourse.core.pipelines.copies import MIN_REQUESTS_PER_COPY, layers_that_fit
from lacewingcourse.core.pipelines.layout import plan_layout, token_capacity
from lacewingcourse.core.pipelines.path import LOCAL_HOP_MS, candidate_paths
from lacewingcourse.core.pipelines.shape import Layers

from .conftest import KINDS, holding, make_endpoint, make_fleet, make_shape, placed


def fits(endpoint, layers, shape):
    """Return whether some layers fit in an endpoint's memory."""
    return len(layers) * shape.layer_mb <= KINDS[endpoint.accelerator].memory_mb


def test_no_endpoint_gets_more_layers_than_its_memory_holds(fleet, shape):
    assert all(fits(e, e.layers, shape) for e in fleet)


def test_each_zone_holds_every_layer(fleet, shape):
    for zone in ("east", "middle", "west"):
        members = [e for e in fleet if e.zone == zone]
        assert min(token_capacity(members, shape)) > 0


def test_every_layer_has_memory_for_the_minimum_of_requests(fleet, shape):
    min_tokens = MIN_REQUESTS_PER_COPY * shape.mean_request_tokens
    assert min(token_capacity(fleet, shape)) >= 3 * min_tokens


def test_members_of_a_copy_share_its_memory_evenly(shape):
    members = [make_endpoint("a", "large")]
    members += [make_endpoint(f"m{i}", "middle") for i in range(3)]
    capacity = token_capacity(placed(members, shape), shape)
    assert max(capacity) <= 1.2 * min(capacity)


def test_held_layers_are_kept(fleet, shape):
    assert plan_layout(fleet, shape) == []


def test_a_restarted_endpoint_takes_layers_without_a_holder(shape):
    members = [make_endpoint("a", "large")]
    members += [make_endpoint(f"m{i}", "middle") for i in range(3)]
    running = placed(members, shape)
    lost = running[0].layers
    restarted = [make_endpoint("a2", "large"), *running[1:]]
    (assignment,) = plan_layout(restarted, shape)
    assert assignment.layers.covers(lost)


def test_a_new_endpoint_takes_the_layers_with_the_least_memory(shape):
    running = [
        holding(make_endpoint("a", "large"), 0, 40),
        holding(make_endpoint("b", "large"), 40, 80),
        holding(make_endpoint("c", "large"), 0, 30),
    ]
    (assignment,) = plan_layout([*running, make_endpoint("d", "large")], shape)
    assert assignment.layers.start >= 30


def test_zones_too_small_for_a_copy_form_one_together(shape):
    members = [make_endpoint(f"{z}{i}", "large", z) for z in "xy" for i in range(2)]
    for zone in "xy":
        alone = [e for e in members if e.zone == zone]
        min_tokens = MIN_REQUESTS_PER_COPY * shape.mean_request_tokens
        assert sum(layers_that_fit(e, shape, min_tokens) for e in alone) < shape.layers
    assert min(token_capacity(placed(members, shape), shape)) > 0


@pytest.mark.parametrize("zone_kinds", [("large", "middle", "middle", "small")])
def test_one_copy_is_about_as_fast_as_the_best_of_all_orders(zone_kinds):
    """Compare with every split of a small model over the same endpoints.

    One more hop is allowed: a copy may use an additional part if each part then has
    more memory.
    """
    small = make_shape(layers=8, layer_mb=17_500.0, token_bytes=1_836_000)
    members = [make_endpoint(f"e{i}", kind) for i, kind in enumerate(zone_kinds)]
    members.append(make_endpoint("e9", "large"))
    running = placed(members, small)
    fastest, *_ = candidate_paths(running, small)
    assert fastest.token_ms <= best_token_ms(members, small) + LOCAL_HOP_MS + 1e-6


def best_token_ms(members, shape):
    """Return the minimum milliseconds per token over all ways to split the layers."""
    min_tokens = MIN_REQUESTS_PER_COPY * shape.mean_request_tokens
    best = float("inf")
    for chosen in itertools.permutations(members):
        for spans in splits(
            [layers_that_fit(e, shape, min_tokens) for e in chosen], shape.layers
        ):
            position, held = 0, []
            for endpoint, span in zip(chosen, spans, strict=False):
                if span:
                    held.append(holding(endpoint, position, position + span))
                    position += span
            paths = candidate_paths(held, shape)
            best = min([best, *(path.token_ms for path in paths)])
    return best


def splits(max_spans, layers):
    """Yield every way to split some layers, with a maximum for each endpoint."""
    if not max_spans:
        if layers == 0:
            yield ()
        return
    for span in range(min(max_spans[0], layers) + 1):
        for rest in splits(max_spans[1:], layers - span):
            yield (span, *rest)


def test_the_layout_is_the_same_for_any_order_of_the_endpoints(shape):
    members = make_fleet()
    plan = {a.endpoint: a.layers for a in plan_layout(members, shape)}
    assert {a.endpoint: a.layers for a in plan_layout(members[::-1], shape)} == plan


def test_a_range_covers_only_ranges_within_it():
    assert Layers(0, 10).covers(Layers(3, 10))
    assert not Layers(3, 10).covers(Layers(0, 4))


def test_a_fast_endpoint_takes_over_layers_that_only_slow_ones_hold(shape):
    """A restarted fast endpoint gets its layers back although slow ones hold them."""
    slow = [
        holding(make_endpoint(f"s{start}", "small"), start, start + 7)
        for start in range(0, 35, 7)
    ]
    fast = [
        holding(make_endpoint("b", "large"), 25, 50),
        holding(make_endpoint("m1", "middle"), 50, 65),
        holding(make_endpoint("m2", "middle"), 65, 80),
    ]
    restarted = make_endpoint("a", "large")
    (assignment,) = plan_layout([*slow, *fast, restarted], shape)
    assert assignment.layers.covers(Layers(0, 25))


def test_a_spare_endpoint_moves_into_a_gap(shape):
    held = [
        holding(make_endpoint("a", "large"), 0, 29),
        holding(make_endpoint("m1", "middle"), 46, 63),
        holding(make_endpoint("m2", "middle"), 63, 80),
        holding(make_endpoint("m3", "middle"), 46, 62),
    ]
    plan = plan_layout(held, shape)
    assert [(a.endpoint, a.layers) for a in plan] == [("m3", Layers(29, 46))]


def test_a_sole_holder_does_not_move(shape):
    held = [
        holding(make_endpoint("a", "large"), 0, 29),
        holding(make_endpoint("m1", "middle"), 46, 63),
        holding(make_endpoint("m2", "middle"), 63, 80),
    ]
    assert plan_layout(held, shape) == []


def test_a_fast_holder_beside_a_slow_one_does_not_move(shape):
    """Otherwise only endpoints too slow to serve its layers would hold them."""
    held = [
        holding(make_endpoint("a", "large"), 0, 25),
        holding(make_endpoint("m1", "middle"), 50, 65),
        holding(make_endpoint("m2", "middle"), 65, 80),
        *(
            holding(make_endpoint(f"s{at}", "small"), at, at + 6)
            for at in range(50, 80, 6)
        ),
    ]
    moved = {assignment.endpoint for assignment in plan_layout(held, shape)}
    assert moved
    assert all(name.startswith("s") for name in moved)
