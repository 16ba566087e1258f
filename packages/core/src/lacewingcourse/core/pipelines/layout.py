"""Placement of layers on endpoints: copies of the model, reinforcements and repairs."""

from __future__ import annotations

from collections import defaultdict
from statistics import median
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.capacity import RoundRobin, search_fleet_capacity
from lacewingcourse.core.pipelines.cooperative import run_to_completion
from lacewingcourse.core.pipelines.copies import (
    MIN_REQUESTS_PER_COPY,
    Assignment,
    layers_that_fit,
    search_copies,
    slowness,
)
from lacewingcourse.core.pipelines.layer_memory import (
    speed_weighted_capacity,
    token_capacity,
)
from lacewingcourse.core.pipelines.rate_estimate import estimated_rate
from lacewingcourse.core.pipelines.shape import Layers

if TYPE_CHECKING:
    from collections.abc import Generator, Iterable

    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.shape import EngineShape

    #: Interruptible search, a generator that returns the assignments found.
    LayoutSearch = Generator[None, None, list[Assignment]]
    #: Interruptible computation of a layout's rate in requests per second.
    RateSearch = Generator[None, None, float]

#: Share of the time during which one of a group's endpoints is assumed to be lost.
#: Without it, the layout with the highest rate has layers with a single holder.
LOSS_TIME_SHARE = 0.5
#: Minimum speed-weighted capacity of a layer after one of its holders has moved away,
#: as a share of the median over the layers. A fast endpoint must not move if only a
#: slow one would hold its layers.
MIN_CAPACITY_LEFT = 0.4
#: Layouts of a group that are compared by simulating load on them. The closed-form
#: estimate, which selects them, is not exact enough for the final decision.
SHORTLIST_SIZE = 2


def plan_layout(endpoints: list[Endpoint], shape: EngineShape) -> list[Assignment]:
    """Return the layers that empty endpoints should load.

    Each copy stays within an availability zone if the zone has enough memory, because
    the activations of prompts saturate the links between zones long before the
    endpoints are busy. Endpoints that hold layers keep them, except for those that are
    moved to layers without a holder.

    Args:
        endpoints: Endpoints that accept new requests.
        shape: Published performance figures of the engines.
    """
    return run_to_completion(search_layout(endpoints, shape))


def search_layout(endpoints: list[Endpoint], shape: EngineShape) -> LayoutSearch:
    """Search the layers that empty endpoints should load, see `plan_layout`.

    Yields every few milliseconds, so that an entry can forward events of streams while
    it searches.

    Args:
        endpoints: Endpoints that accept new requests.
        shape: Published performance figures of the engines.
    """
    plan: list[Assignment] = []
    for group in placement_groups(endpoints, shape):
        plan.extend((yield from search_group_layout(group, shape)))
    return plan


def placement_groups(
    endpoints: list[Endpoint], shape: EngineShape
) -> list[list[Endpoint]]:
    """Return the endpoints that layers can be placed on, grouped by zone.

    Zones too small for a whole copy form one group together.

    Args:
        endpoints: Endpoints that accept new requests.
        shape: Published performance figures of the engines.
    """
    known = [
        e for e in endpoints if e.placeable and e.accelerator in shape.accelerators
    ]
    zones: dict[str, list[Endpoint]] = defaultdict(list)
    for endpoint in sorted(known, key=lambda e: (e.zone, e.address)):
        zones[endpoint.zone].append(endpoint)
    min_tokens = MIN_REQUESTS_PER_COPY * shape.mean_request_tokens
    large_zones: list[list[Endpoint]] = []
    small_zones: list[Endpoint] = []
    for members in zones.values():
        if sum(layers_that_fit(e, shape, min_tokens) for e in members) >= shape.layers:
            large_zones.append(members)
        else:
            small_zones.extend(members)
    return large_zones + [small_zones] if small_zones else large_zones


def search_group_layout(group: list[Endpoint], shape: EngineShape) -> LayoutSearch:
    """Search the assignments of a group, see `placement_groups`.

    Only a group without any layers gets a new layout. Otherwise the empty endpoints
    reinforce the layers that are held. Yields like `search_layout`.

    Args:
        group: Endpoints that can form copies together.
        shape: Published performance figures of the engines.
    """
    empty = [e for e in group if e.layers is None or not len(e.layers)]
    holding = [e for e in group if e not in empty]
    if holding or not empty:
        return _complete_plan((), empty, holding, shape)
    found: list[_Layout] = []
    plans = yield from search_copies(empty, shape)
    for copies in plans:
        yield
        found.append(_rate_layout(copies, empty, shape))
    found.sort(key=lambda layout: layout.expected_rate, reverse=True)
    best: list[Assignment] = []
    best_rate = -1.0
    for layout in found[:SHORTLIST_SIZE]:
        rate = yield from search_request_rate(layout.placed, shape)
        expected_rate = rate * layout.loss_factor
        if expected_rate > best_rate:
            best, best_rate = layout.plan, expected_rate
    return best or _complete_plan((), empty, [], shape)


@attrs.frozen
class _Layout:
    """A possible layout of a group.

    Attributes:
        plan: The assignments.
        placed: The endpoints of the group with their layers.
        loss_factor: Share of its rate that remains on average with lost endpoints.
        expected_rate: Estimated mean requests per second that it serves, with losses.
    """

    plan: list[Assignment]
    placed: list[Endpoint]
    loss_factor: float
    expected_rate: float


def _rate_layout(
    copies: tuple[Assignment, ...], empty: list[Endpoint], shape: EngineShape
) -> _Layout:
    """Return the layout of a group with some copies, and its estimated rate."""
    plan = _complete_plan(copies, empty, [], shape)
    placed = apply_plan(empty, plan)
    sole_share = len(sole_holders(placed, shape)) / len(placed)
    loss_factor = 1.0 - LOSS_TIME_SHARE * sole_share
    rate = estimated_rate(_whole_copies(copies, empty, shape), placed, shape)
    return _Layout(plan, placed, loss_factor, rate * loss_factor)


def _whole_copies(
    copies: tuple[Assignment, ...], empty: list[Endpoint], shape: EngineShape
) -> list[list[Endpoint]]:
    """Return the endpoints of each copy with their layers."""
    known = {endpoint.id: endpoint for endpoint in empty}
    found: list[list[Endpoint]] = []
    members: list[Endpoint] = []
    for assignment in copies:
        members.append(with_layers(known[assignment.endpoint], assignment))
        if assignment.layers.end == shape.layers:
            found.append(members)
            members = []
    return found


def _complete_plan(
    copies: Iterable[Assignment],
    empty: list[Endpoint],
    holding: list[Endpoint],
    shape: EngineShape,
) -> list[Assignment]:
    """Return copies together with assignments of the endpoints that are not in one.

    Args:
        copies: Assignments that form whole copies.
        empty: Endpoints of the group that hold no layers.
        holding: The other endpoints of the group.
        shape: Published performance figures of the engines.
    """
    plan = list(copies)
    taken = {assignment.endpoint: assignment for assignment in plan}
    holding = holding + [with_layers(e, taken[e.id]) for e in empty if e.id in taken]
    rest = [e for e in empty if e.id not in taken]
    for endpoint in sorted(rest, key=lambda e: slowness(e, shape)):
        assignment = _weakest_range(endpoint, holding, shape)
        if assignment is not None:
            plan.append(assignment)
            holding.append(with_layers(endpoint, assignment))
    return plan + _fill_gaps(holding, shape)


def apply_plan(endpoints: list[Endpoint], plan: list[Assignment]) -> list[Endpoint]:
    """Return endpoints with the layers that they hold after a plan."""
    taken = {assignment.endpoint: assignment for assignment in plan}
    return [with_layers(e, taken[e.id]) if e.id in taken else e for e in endpoints]


def sole_holders(endpoints: list[Endpoint], shape: EngineShape) -> list[Endpoint]:
    """Return the endpoints that are the only holder of at least one layer."""
    holders = [0] * shape.layers
    held = [e for e in endpoints if e.layers is not None]
    for endpoint in held:
        for layer in range(endpoint.layers.start, endpoint.layers.end):
            holders[layer] += 1
    return [
        e for e in held if min(holders[e.layers.start : e.layers.end], default=2) < 2
    ]


def request_rate(endpoints: list[Endpoint], shape: EngineShape) -> float:
    """Return the mean requests per second that endpoints with their layers serve."""
    return run_to_completion(search_request_rate(endpoints, shape))


def search_request_rate(endpoints: list[Endpoint], shape: EngineShape) -> RateSearch:
    """Compute the requests per second that endpoints serve, see `request_rate`.

    Yields at points where it may be interrupted.
    """
    if min(speed_weighted_capacity(endpoints, shape)) <= 0:
        return 0.0
    capacity = yield from search_fleet_capacity(endpoints, shape, RoundRobin())
    return capacity.requests_per_second if capacity is not None else 0.0


def _fill_gaps(holding: list[Endpoint], shape: EngineShape) -> list[Assignment]:
    """Return moves of spare endpoints to layers without a holder.

    A copy with a gap serves no requests, however much memory its other parts have.
    """
    plan: list[Assignment] = []
    members = list(holding)
    while True:
        gap = longest_gap(token_capacity(members, shape))
        if gap is None or len(gap) == shape.layers:
            return plan
        moved = {assignment.endpoint for assignment in plan}
        spare = [
            e for e in members if e.id not in moved and can_spare(e, members, shape)
        ]
        if not spare:
            return plan
        donor = max(spare, key=lambda e: _coverable_layers(e, gap, shape))
        span = _coverable_layers(donor, gap, shape)
        if span < 1:
            return plan
        assignment = Assignment(donor.id, Layers(gap.start, gap.start + span))
        plan.append(assignment)
        members = [e for e in members if e.id != donor.id]
        members.append(with_layers(donor, assignment))


def can_spare(endpoint: Endpoint, members: list[Endpoint], shape: EngineShape) -> bool:
    """Return whether an endpoint's layers keep enough capacity without it.

    Args:
        endpoint: The endpoint, which holds layers.
        members: Endpoints of its group, including it.
        shape: Published performance figures of the engines.
    """
    typical = median(s for s in speed_weighted_capacity(members, shape) if s > 0)
    others = [other for other in members if other.id != endpoint.id]
    left = speed_weighted_capacity(others, shape)
    layers = endpoint.layers
    weakest = min(left[layers.start : layers.end])
    return weakest >= MIN_CAPACITY_LEFT * typical


def _coverable_layers(endpoint: Endpoint, gap: Layers, shape: EngineShape) -> int:
    """Return how many layers of a gap an endpoint can hold."""
    min_tokens = MIN_REQUESTS_PER_COPY * shape.mean_request_tokens
    return min(len(gap), layers_that_fit(endpoint, shape, min_tokens))


def _weakest_range(
    endpoint: Endpoint, holding: list[Endpoint], shape: EngineShape
) -> Assignment | None:
    """Return an assignment to the layers with the least speed-weighted capacity.

    Layers without a holder come first. None if the endpoint's memory holds fewer layers
    than the assignment needs.
    """
    span = layers_that_fit(endpoint, shape, _typical_token_capacity(holding, shape))
    span = max(span, 1)
    if shape.max_layers(shape.accelerators[endpoint.accelerator]) < span:
        return None
    capacity = token_capacity(holding, shape)
    gap = longest_gap(capacity)
    if gap is not None:
        max_span = layers_that_fit(
            endpoint, shape, MIN_REQUESTS_PER_COPY * shape.mean_request_tokens
        )
        span = max(1, min(max_span, len(gap)))
        return Assignment(endpoint.id, Layers(gap.start, gap.start + span))
    weighted = speed_weighted_capacity(holding, shape)
    starts = range(shape.layers - span + 1)
    start = min(starts, key=lambda s: sum(weighted[s : s + span]))
    return Assignment(endpoint.id, Layers(start, start + span))


def _typical_token_capacity(holding: list[Endpoint], shape: EngineShape) -> float:
    """Return the tokens for which a typical holder has memory in each of its layers.

    This is the lower quartile, because the endpoint at the end of a copy may hold only
    a few remaining layers, and then has more memory than the copy can use.
    """
    capacities = sorted(
        shape.kv_capacity(shape.accelerators[e.accelerator], len(e.layers))
        / len(e.layers)
        for e in holding
    )
    min_tokens = MIN_REQUESTS_PER_COPY * shape.mean_request_tokens
    return (
        max(min_tokens, capacities[len(capacities) // 4]) if capacities else min_tokens
    )


def longest_gap(capacity: list[float]) -> Layers | None:
    """Return the longest run of layers without a holder, None if there is none."""
    best: Layers | None = None
    start: int | None = None
    for layer, tokens in enumerate([*capacity, 1.0]):
        if tokens <= 0.0:
            start = layer if start is None else start
        elif start is not None:
            run = Layers(start, layer)
            best = run if best is None or len(run) > len(best) else best
            start = None
    return best


def with_layers(endpoint: Endpoint, assignment: Assignment) -> Endpoint:
    """Return an endpoint with the layers of its assignment."""
    return attrs.evolve(endpoint, layers=assignment.layers)
