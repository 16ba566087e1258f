"""Whole copies of a model on empty endpoints: how many, and with how much memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.shape import MEGABYTE, Layers

if TYPE_CHECKING:
    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.shape import EngineShape

#: Usual requests for which every copy of the model keeps memory at the least. Below
#: that a copy is full while its accelerators idle.
LEAST_REQUESTS = 12
#: Usual requests for which copies are given memory at the most, as shares of those
#: that an engine takes as the first of a path; more could not be filled by one first
#: endpoint. Little memory keeps a copy on the fastest accelerators, much of it serves
#: more at once, more slowly; which is better depends on the accelerators.
ROOM_SHARES = (0.25, 0.5, 1.0)
#: Factor between the amounts of memory that are tried.
ROOM_STEP = 1.15


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


def slowness(endpoint: Endpoint, shape: EngineShape) -> float:
    """Return how slow an endpoint's accelerator is, smallest first."""
    return shape.accelerators[endpoint.accelerator].step_factor


def copy_plans(
    endpoints: list[Endpoint], shape: EngineShape
) -> list[tuple[Assignment, ...]]:
    """Return different ways to put whole copies of the model on empty endpoints.

    For each number of copies that fits, with each bound on their memory, the one with
    the most memory.
    """
    usual = shape.usual_tokens
    found: dict[tuple[Assignment, ...], None] = {}
    for share in ROOM_SHARES:
        most = share * shape.slots
        by_count: dict[int, tuple[Assignment, ...]] = {}
        requests = float(LEAST_REQUESTS)
        while requests <= max(most, LEAST_REQUESTS):
            plan = _copies_with(endpoints, shape, requests * usual, most * usual)
            by_count[_count(plan, shape)] = tuple(plan)
            requests *= ROOM_STEP
        by_count.pop(0, None)
        found.update(dict.fromkeys(by_count.values()))
    return list(found)


def _copies_with(
    endpoints: list[Endpoint], shape: EngineShape, tokens: float, most: float
) -> list[Assignment]:
    """Return whole copies that each have memory for some tokens.

    The fastest endpoints make the first copy, so that it is as fast as can be.

    Args:
        endpoints: Endpoints that hold nothing.
        shape: Published figures of their engines.
        tokens: Tokens for which each copy has memory at the least.
        most: Tokens for which it has memory at the most.
    """
    left = sorted(endpoints, key=lambda e: (slowness(e, shape), e.address))
    plan: list[Assignment] = []
    while True:
        copy = _fill(left, shape, tokens)
        if not copy:
            return plan
        used = {assignment.endpoint for assignment in copy}
        plan.extend(_widen([e for e in left if e.id in used], shape, tokens, most))
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
    members: list[Endpoint], shape: EngineShape, tokens: float, most: float
) -> list[Assignment]:
    """Return the copy of some endpoints with as much memory as they can give it.

    Otherwise the last member would hold only what is left over, and the others less
    memory for requests than the copy could have.
    """
    low, high = tokens, most
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
