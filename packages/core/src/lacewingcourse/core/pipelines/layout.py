"""Which layers each endpoint holds: cut points, copies and repairs."""

from __future__ import annotations

from collections import defaultdict
from statistics import median
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.shape import MEGABYTE, Layers

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.shape import Accelerator, EngineShape

#: Usual requests for which every copy of the model keeps memory at the least. Below
#: that a copy is full while its accelerators idle.
LEAST_REQUESTS = 12
#: Usual requests for which memory is kept at the most; more would push layers to
#: slower accelerators for room that one first endpoint's slots cannot fill.
MOST_REQUESTS = 48
#: Share of the usual strength of a layer that must be left to it if one of its holders
#: is to move elsewhere. A fast holder beside a slow stand-in is not spare.
SPARE_STRENGTH = 0.4


@attrs.frozen
class Assignment:
    """Layers that an endpoint shall hold.

    Attributes:
        endpoint: Id of the endpoint.
        layers: The layers.
    """

    endpoint: str
    layers: Layers


def span_for(endpoint: Endpoint, shape: EngineShape, tokens: float) -> int:
    """Return how many layers leave memory for some tokens on an endpoint.

    Args:
        endpoint: The endpoint.
        shape: Published figures of its engine.
        tokens: Tokens, each of which takes memory in every held layer.
    """
    accelerator = shape.accelerators[endpoint.accelerator]
    layer_mb = shape.layer_mb + tokens * shape.cell_bytes / MEGABYTE
    return min(shape.most_layers(accelerator), int(accelerator.memory_mb // layer_mb))


def token_capacity(endpoints: Iterable[Endpoint], shape: EngineShape) -> list[float]:
    """Return for each layer how many tokens its holders have memory for."""
    return _sum_by_layer(endpoints, shape, lambda accelerator: 1.0)


def layer_strength(endpoints: Iterable[Endpoint], shape: EngineShape) -> list[float]:
    """Return for each layer the tokens its holders have memory for, by their speed.

    Memory on a slow accelerator serves fewer tokens in a second: requests stay in it
    for longer.
    """
    return _sum_by_layer(endpoints, shape, lambda a: 1.0 / a.step_factor)


def _sum_by_layer(
    endpoints: Iterable[Endpoint],
    shape: EngineShape,
    weight: Callable[[Accelerator], float],
) -> list[float]:
    """Return for each layer the tokens that its holders have memory for, weighted."""
    total = [0.0] * shape.layers
    for endpoint in endpoints:
        if endpoint.layers is None or not len(endpoint.layers):
            continue
        held = len(endpoint.layers)
        accelerator = shape.accelerators[endpoint.accelerator]
        tokens = shape.room(accelerator, held) / held * weight(accelerator)
        for layer in range(endpoint.layers.start, endpoint.layers.end):
            total[layer] += tokens
    return total


def plan_layout(endpoints: list[Endpoint], shape: EngineShape) -> list[Assignment]:
    """Return the layers that empty endpoints shall take.

    Copies stay within an availability zone where its memory allows it: a prompt's
    activations fill the pipes between zones long before its parts are busy. What is
    held already is kept.

    Args:
        endpoints: Endpoints that take new work.
        shape: Published figures of the engines.
    """
    plan: list[Assignment] = []
    for group in groups_of(endpoints, shape):
        plan.extend(_plan_group(group, shape))
    return plan


def groups_of(endpoints: list[Endpoint], shape: EngineShape) -> list[list[Endpoint]]:
    """Return the endpoints that layers can be placed on, by zone.

    Zones too small for a copy go together.
    """
    known = [
        e for e in endpoints if e.placeable and e.accelerator in shape.accelerators
    ]
    zones: dict[str, list[Endpoint]] = defaultdict(list)
    for endpoint in sorted(known, key=lambda e: (e.zone, e.address)):
        zones[endpoint.zone].append(endpoint)
    least = LEAST_REQUESTS * shape.usual_tokens
    large: list[list[Endpoint]] = []
    pool: list[Endpoint] = []
    for members in zones.values():
        if sum(span_for(e, shape, least) for e in members) >= shape.layers:
            large.append(members)
        else:
            pool.extend(members)
    return large + [pool] if pool else large


def _plan_group(group: list[Endpoint], shape: EngineShape) -> list[Assignment]:
    """Return the assignments of a group that shares its copies."""
    empty = [e for e in group if e.layers is None or not len(e.layers)]
    holding = [e for e in group if e not in empty]
    plan: list[Assignment] = []
    if not holding:
        plan = _copies(empty, shape)
    taken = {assignment.endpoint: assignment for assignment in plan}
    holding += [_with(e, taken[e.id]) for e in empty if e.id in taken]
    rest = [e for e in empty if e.id not in taken]
    for endpoint in sorted(rest, key=lambda e: slowness(e, shape)):
        assignment = _reinforce(endpoint, holding, shape)
        if assignment is not None:
            plan.append(assignment)
            holding.append(_with(endpoint, assignment))
    return plan + _fill_gaps(holding, shape)


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
        spare = [e for e in members if e.id not in moved and spares(e, members, shape)]
        if not spare:
            return plan
        donor = max(spare, key=lambda e: _cover(e, gap, shape))
        span = _cover(donor, gap, shape)
        if span < 1:
            return plan
        assignment = Assignment(donor.id, Layers(gap.start, gap.start + span))
        plan.append(assignment)
        members = [e for e in members if e.id != donor.id]
        members.append(_with(donor, assignment))


def spares(endpoint: Endpoint, members: list[Endpoint], shape: EngineShape) -> bool:
    """Tell whether the others hold an endpoint's layers about as well without it."""
    usual = median(s for s in layer_strength(members, shape) if s > 0)
    others = [other for other in members if other.id != endpoint.id]
    left = layer_strength(others, shape)
    layers = endpoint.layers
    weakest = min(left[layers.start : layers.end])
    return weakest >= SPARE_STRENGTH * usual


def _cover(endpoint: Endpoint, gap: Layers, shape: EngineShape) -> int:
    """Return how many layers of a gap an endpoint can take."""
    least = LEAST_REQUESTS * shape.usual_tokens
    return min(len(gap), span_for(endpoint, shape, least))


def _copies(endpoints: list[Endpoint], shape: EngineShape) -> list[Assignment]:
    """Return as many whole copies of the model as the endpoints hold.

    The number of copies is what fits with the least memory for requests; the memory
    is then raised as far as that number still fits.
    """
    usual = shape.usual_tokens
    best = _copies_with(endpoints, shape, LEAST_REQUESTS * usual)
    copies = _count(best, shape)
    for requests in range(LEAST_REQUESTS + 1, MOST_REQUESTS + 1):
        plan = _copies_with(endpoints, shape, requests * usual)
        if _count(plan, shape) < copies:
            break
        best = plan
    return best


def _copies_with(
    endpoints: list[Endpoint], shape: EngineShape, tokens: float
) -> list[Assignment]:
    """Return whole copies that each have memory for some tokens.

    The fastest endpoints make the first copy, so that it is as fast as can be.
    """
    left = sorted(endpoints, key=lambda e: (slowness(e, shape), e.address))
    plan: list[Assignment] = []
    while True:
        copy = _fill(left, shape, tokens)
        if not copy:
            return plan
        used = {assignment.endpoint for assignment in copy}
        plan.extend(_widen([e for e in left if e.id in used], shape, tokens))
        left = [endpoint for endpoint in left if endpoint.id not in used]


def _fill(
    endpoints: list[Endpoint], shape: EngineShape, tokens: float
) -> list[Assignment]:
    """Return one copy on the first endpoints that hold it; none if it does not fit."""
    copy: list[Assignment] = []
    position = 0
    for endpoint in endpoints:
        span = min(span_for(endpoint, shape, tokens), shape.layers - position)
        if span > 0:
            copy.append(Assignment(endpoint.id, Layers(position, position + span)))
            position += span
    return copy if position == shape.layers else []


def _widen(
    members: list[Endpoint], shape: EngineShape, tokens: float
) -> list[Assignment]:
    """Return the copy of some endpoints with as much memory as they can give it.

    Otherwise the last member would hold only what is left over, and the others less
    memory for requests than the copy could have.
    """
    low, high = tokens, MOST_REQUESTS * shape.usual_tokens
    best = _fill(members, shape, low)
    while high - low > shape.usual_tokens / 4:
        middle = (low + high) / 2
        found = _fill(members, shape, middle)
        if found:
            best, low = found, middle
        else:
            high = middle
    return best


def _count(plan: list[Assignment], shape: EngineShape) -> int:
    """Return how many copies a plan of whole copies has."""
    return sum(1 for a in plan if a.layers.end == shape.layers)


def _reinforce(
    endpoint: Endpoint, holding: list[Endpoint], shape: EngineShape
) -> Assignment | None:
    """Return the weakest range of layers that an endpoint can take.

    Layers that nobody holds come first: they stand for no tokens at all.
    """
    span = span_for(endpoint, shape, MOST_REQUESTS * shape.usual_tokens)
    span = max(span, 1)
    if shape.most_layers(shape.accelerators[endpoint.accelerator]) < span:
        return None
    capacity = token_capacity(holding, shape)
    gap = _longest_gap(capacity)
    if gap is not None:
        least = span_for(endpoint, shape, LEAST_REQUESTS * shape.usual_tokens)
        span = max(1, min(least, len(gap)))
        return Assignment(endpoint.id, Layers(gap.start, gap.start + span))
    strength = layer_strength(holding, shape)
    starts = range(shape.layers - span + 1)
    start = min(starts, key=lambda s: sum(strength[s : s + span]))
    return Assignment(endpoint.id, Layers(start, start + span))


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


def slowness(endpoint: Endpoint, shape: EngineShape) -> float:
    """Return how slow an endpoint's accelerator is, smallest first."""
    return shape.accelerators[endpoint.accelerator].step_factor


def _with(endpoint: Endpoint, assignment: Assignment) -> Endpoint:
    """Return an endpoint as it will be once it holds its layers."""
    return attrs.evolve(endpoint, layers=assignment.layers)
