"""Tests of the maximum flow over layers."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given, settings, strategies as st

from lacewingcourse.core.bound import LayerCapacity, batch_within, max_flow
from lacewingcourse.core.layers import LayerRange

LAYERS = 6
RANGES = st.tuples(st.integers(0, LAYERS - 1), st.integers(1, LAYERS)).filter(
    lambda pair: pair[0] < pair[1]
)
CAPACITIES = st.lists(
    st.builds(
        lambda pair, capacity: LayerCapacity(LayerRange(*pair), float(capacity)),
        RANGES,
        st.integers(1, 20),
    ),
    max_size=8,
)


def smallest_cut(capacities: list[LayerCapacity]) -> float:
    """Return the least capacity whose removal leaves no chain over all layers."""
    best = float("inf")
    for kept in itertools.product((True, False), repeat=len(capacities)):
        left = [each for each, keep in zip(capacities, kept, strict=True) if keep]
        if not covers(left):
            lost = [
                each for each, keep in zip(capacities, kept, strict=True) if not keep
            ]
            best = min(best, sum(each.capacity for each in lost))
    return best


def covers(capacities: list[LayerCapacity]) -> bool:
    held = {
        layer
        for each in capacities
        for layer in range(each.layers.first, each.layers.end)
    }
    return len(held) == LAYERS


@given(CAPACITIES)
@settings(derandomize=True, max_examples=150, deadline=None)
def test_flow_equals_the_smallest_cut_and_its_chains_realise_it(capacities):
    flow = max_flow(capacities, LAYERS)
    assert flow.total == pytest.approx(smallest_cut(capacities))
    assert sum(path.flow for path in flow.paths) == pytest.approx(flow.total)
    used = [0.0] * len(capacities)
    for path in flow.paths:
        layer = 0
        for index in path.members:
            layers = capacities[index].layers
            assert layers.first <= layer < layers.end
            layer = layers.end
            used[index] += path.flow
        assert layer == LAYERS
    for each, amount in zip(capacities, used, strict=True):
        assert amount <= each.capacity + 1e-6


def test_batch_within_a_stage_time():
    assert batch_within(0.01, 0.001, 32, 0.03) == pytest.approx(10.0)
    assert batch_within(0.01, 0.001, 32, 1.0) == 32.0
    assert batch_within(0.01, 0.001, 32, 0.012) == 1.0
    assert batch_within(0.01, 0.001, 32, 0.001) == 0.0
