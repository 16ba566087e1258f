"""Which layers each endpoint holds: cut points, copies and repairs."""

from __future__ import annotations

from collections import defaultdict
from statistics import median
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.capacity import RoundRobin, search_fleet_capacity
from lacewingcourse.core.pipelines.copies import (
    MIN_REQUESTS_PER_COPY,
    Assignment,
    layers_that_fit,
    search_copies,
    slowness,
)
from lacewingcourse.core.pipelines.interruption import finish
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

    #: A search that can be interrupted, and what it finds.
    LayoutSearch = Generator[None, None, list[Assignment]]
    #: A rating that can be interrupted, and the requests a second that it finds.
    RateSearch = Generator[None, None, float]

#: Share of the time for which one of a group's endpoints is taken to be lost. Without
#: it a layout with the highest rate has layers that one endpoint alone holds.
LOSS_TIME_SHARE = 0.5
#: Share of the usual strength of a layer that must be left to it if one of its holders
#: is to move elsewhere. A fast holder beside a slow stand-in is not spare.
MIN_CAPACITY_LEFT = 0.4
#: Layouts of a group that are compared by simulating load on them; the closed form,
#: which chooses them among all, is not exact enough for the last decision.
SHORTLIST_SIZE = 2


def plan_layout(endpoints: list[Endpoint], shape: EngineShape) -> list[Assignment]:
    """Return the layers that empty endpoints shall take.

    Copies stay within an availability zone where its memory allows it: a prompt's
    activations fill the links between zones long before its parts are busy. What is
    held already is kept.

    Args:
        endpoints: Endpoints that take new work.
        shape: Published figures of the engines.
    """
    return finish(search_layout(endpoints, shape))


def search_layout(endpoints: list[Endpoint], shape: EngineShape) -> LayoutSearch:
    """Look for the layers that empty endpoints shall take, see `plan_layout`.

    Yields where the search may be interrupted, every few milliseconds, since an entry
    that searches must pass events on meanwhile.

    Args:
        endpoints: Endpoints that take new work.
        shape: Published figures of the engines.
    """
    plan: list[Assignment] = []
    for group in placement_groups(endpoints, shape):
        plan.extend((yield from search_group_layout(group, shape)))
    return plan


def placement_groups(
    endpoints: list[Endpoint], shape: EngineShape
) -> list[list[Endpoint]]:
    """Return the endpoints that layers can be placed on, by zone.

    Zones too small for a copy go together.
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
    """Look for the assignments of a group that shares its copies."""
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
    """A way to place a group.

    Attributes:
        plan: The assignments.
        placed: The endpoints of the group with their layers.
        safety: Share of its rate that is left with the losses that are reckoned with.
        worth: About the usual requests a second that it serves, with these losses.
    """

    plan: list[Assignment]
    placed: list[Endpoint]
    loss_factor: float
    expected_rate: float


def _rate_layout(
    copies: tuple[Assignment, ...], empty: list[Endpoint], shape: EngineShape
) -> _Layout:
    """Return the layout of a group with some copies, and about what it is worth."""
    plan = _complete_plan(copies, empty, [], shape)
    placed = _apply_plan(empty, plan)
    sole_share = len(sole_holders(placed, shape)) / len(placed)
    loss_factor = 1.0 - LOSS_TIME_SHARE * sole_share
    rate = estimated_rate(_whole_copies(copies, empty, shape), placed, shape)
    return _Layout(plan, placed, loss_factor, rate * loss_factor)


def _whole_copies(
    copies: tuple[Assignment, ...], empty: list[Endpoint], shape: EngineShape
) -> list[list[Endpoint]]:
    """Return the endpoints of each whole copy with their layers."""
    known = {endpoint.id: endpoint for endpoint in empty}
    found: list[list[Endpoint]] = []
    members: list[Endpoint] = []
    for assignment in copies:
        members.append(_with_layers(known[assignment.endpoint], assignment))
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
    """Return the assignments of a group with those that its copies leave over.

    Args:
        copies: Assignments that make whole copies.
        empty: Endpoints of the group that hold nothing.
        holding: The others.
        shape: Published figures of the engines.
    """
    plan = list(copies)
    taken = {assignment.endpoint: assignment for assignment in plan}
    holding = holding + [_with_layers(e, taken[e.id]) for e in empty if e.id in taken]
    rest = [e for e in empty if e.id not in taken]
    for endpoint in sorted(rest, key=lambda e: slowness(e, shape)):
        assignment = _weakest_range(endpoint, holding, shape)
        if assignment is not None:
            plan.append(assignment)
            holding.append(_with_layers(endpoint, assignment))
    return plan + _fill_gaps(holding, shape)


def _apply_plan(endpoints: list[Endpoint], plan: list[Assignment]) -> list[Endpoint]:
    """Return endpoints as they will be once a plan is carried out."""
    taken = {assignment.endpoint: assignment for assignment in plan}
    return [_with_layers(e, taken[e.id]) if e.id in taken else e for e in endpoints]


def sole_holders(endpoints: list[Endpoint], shape: EngineShape) -> list[Endpoint]:
    """Return the endpoints that alone hold one of their layers."""
    holders = [0] * shape.layers
    held = [e for e in endpoints if e.layers is not None]
    for endpoint in held:
        for layer in range(endpoint.layers.start, endpoint.layers.end):
            holders[layer] += 1
    return [
        e for e in held if min(holders[e.layers.start : e.layers.end], default=2) < 2
    ]


def request_rate(endpoints: list[Endpoint], shape: EngineShape) -> float:
    """Return the usual requests a second that endpoints with their layers serve."""
    return finish(search_request_rate(endpoints, shape))


def search_request_rate(endpoints: list[Endpoint], shape: EngineShape) -> RateSearch:
    """Find the usual requests a second that endpoints serve, see `rate_of`.

    Yields where it may be interrupted.
    """
    if min(speed_weighted_capacity(endpoints, shape)) <= 0:
        return 0.0
    capacity = yield from search_fleet_capacity(endpoints, shape, RoundRobin())
    return capacity.requests_per_second if capacity is not None else 0.0


def _fill_gaps(holding: list[Endpoint], shape: EngineShape) -> list[Assignment]:
    """Return moves of endpoints that can be spared to layers that nobody holds.

    A copy with a gap serves nothing, however much memory its other parts have.
    """
    plan: list[Assignment] = []
    members = list(holding)
    while True:
        gap = _longest_gap(token_capacity(members, shape))
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
        members.append(_with_layers(donor, assignment))


def can_spare(endpoint: Endpoint, members: list[Endpoint], shape: EngineShape) -> bool:
    """Tell whether the others hold an endpoint's layers about as well without it."""
    typical = median(s for s in speed_weighted_capacity(members, shape) if s > 0)
    others = [other for other in members if other.id != endpoint.id]
    left = speed_weighted_capacity(others, shape)
    layers = endpoint.layers
    weakest = min(left[layers.start : layers.end])
    return weakest >= MIN_CAPACITY_LEFT * typical


def _coverable_layers(endpoint: Endpoint, gap: Layers, shape: EngineShape) -> int:
    """Return how many layers of a gap an endpoint can take."""
    min_tokens = MIN_REQUESTS_PER_COPY * shape.mean_request_tokens
    return min(len(gap), layers_that_fit(endpoint, shape, min_tokens))


def _weakest_range(
    endpoint: Endpoint, holding: list[Endpoint], shape: EngineShape
) -> Assignment | None:
    """Return the weakest range of layers that an endpoint can take.

    Layers that nobody holds come first: they stand for no tokens at all.
    """
    span = layers_that_fit(endpoint, shape, _typical_token_capacity(holding, shape))
    span = max(span, 1)
    if shape.max_layers(shape.accelerators[endpoint.accelerator]) < span:
        return None
    capacity = token_capacity(holding, shape)
    gap = _longest_gap(capacity)
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
    """Return the tokens for which a usual holder has memory in each of its layers.

    The lower quartile: those at the end of a copy, which hold what was left over, have
    more memory than the copy can use.
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


def _longest_gap(capacity: list[float]) -> Layers | None:
    """Return the longest run of layers that nobody holds, None if there is none."""
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


def _with_layers(endpoint: Endpoint, assignment: Assignment) -> Endpoint:
    """Return an endpoint as it will be once it holds its layers."""
    return attrs.evolve(endpoint, layers=assignment.layers)
