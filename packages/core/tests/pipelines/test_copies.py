"""Tests of the number and memory of model copies."""

from __future__ import annotations

import random

import attrs

from lacewingcourse.core.pipelines.capacity import fleet_capacity
from lacewingcourse.core.pipelines.copies import copy_plans
from lacewingcourse.core.pipelines.layout import plan_layout, request_rate, sole_holders
from lacewingcourse.core.pipelines.shape import Accelerator

from .conftest import make_endpoint, make_shape, placed

#: Memory in megabytes, step and read factors of accelerators with little memory.
KINDS = {
    "quick": Accelerator("quick", 36_000, 3.1, 3.2),
    "plain": Accelerator("plain", 21_600, 16.0, 8.2),
    "tight": Accelerator("tight", 14_400, 15.0, 15.0),
}
#: A group in which copies with much memory leave most layers with a single holder.
SCARCE = {"quick": 1, "plain": 7, "tight": 5}
#: Groups of one larger deployment, by zone.
AMPLE = [
    {"quick": 1, "plain": 13, "tight": 7},
    {"quick": 2, "plain": 5, "tight": 9},
    {"quick": 1, "plain": 8, "tight": 13},
]

#: Performance figures that the engines of the small and the large deployment share.
FIGURES = {
    "step_ms": 0.85,
    "pipe_mbps": 2_000.0,
    "usual_prompt": 772,
    "usual_answer": 154,
    "accelerators": KINDS,
}
SMALL = make_shape(
    token_bytes=918_000,
    sequence_ms=0.00594,
    context_ms=0.00796,
    read_tokens_per_ms=252.0,
    activation_bytes=45_800,
    **FIGURES,
)
LARGE = make_shape(
    token_bytes=656_000,
    sequence_ms=0.00424,
    context_ms=0.0057,
    read_tokens_per_ms=353.0,
    activation_bytes=32_800,
    **FIGURES,
)


def group(kinds: dict[str, int], zone: str):
    """Return empty endpoints of a zone."""
    return [
        make_endpoint(f"{zone}-{kind}-{index}", kind, zone)
        for kind, count in kinds.items()
        for index in range(count)
    ]


def test_every_plan_consists_of_whole_copies():
    for plan in copy_plans(group(SCARCE, "east"), SMALL):
        ends = [a.layers.end for a in plan]
        starts = [a.layers.start for a in plan]
        assert starts.count(0) == ends.count(SMALL.layers) > 0
        assert len({a.endpoint for a in plan}) == len(plan)


def test_the_layout_prefers_fewer_sole_holders_over_the_highest_rate():
    """Guards against choosing the layout with the highest rate regardless of losses.

    That layout serves 20.5 requests per second, but the loss of any of 11 of the 13
    endpoints stops it. The chosen one serves 18.4, and only 7 losses stop it.
    """
    found = placed(group(SCARCE, "east"), SMALL)
    assert len(sole_holders(found, SMALL)) <= 7
    assert request_rate(found, SMALL) >= 18.0


def test_a_large_fleet_serves_its_load_after_any_single_loss():
    """Guards against too low a limit on the memory of copies.

    With memory for at most 48 requests per copy, the fleet served 89.4 requests per
    second, and 70.6 after the worst single loss, at a load of 69.9. With the present
    limits it serves 109.8, and 97.2 after the worst single loss.
    """
    fleet = [e for i, kinds in enumerate(AMPLE) for e in group(kinds, f"zone{i}")]
    found = placed(fleet, LARGE)
    capacity = fleet_capacity(found, LARGE, random.Random(0))
    assert capacity.requests_per_second >= 105.0
    for index in range(0, len(found), 4):
        left = [e for e in found if e is not found[index]]
        after = fleet_capacity(left, LARGE, random.Random(0))
        assert after.requests_per_second >= 90.0


def test_a_plan_holds_layers_within_each_endpoints_memory():
    fleet = group(SCARCE, "east")
    kinds = {e.id: SMALL.accelerators[e.accelerator] for e in fleet}
    for assignment in plan_layout(fleet, SMALL):
        max_layers = SMALL.max_layers(kinds[assignment.endpoint])
        assert 0 < len(assignment.layers) <= max_layers


def test_endpoints_that_hold_nothing_together_have_no_sole_holder():
    empty = [attrs.evolve(e, layers=None) for e in group(SCARCE, "east")]
    assert sole_holders(empty, SMALL) == []
