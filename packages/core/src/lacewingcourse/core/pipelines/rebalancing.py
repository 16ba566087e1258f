"""Moves of endpoints towards the layout that an empty fleet would get."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.cooperative import run_to_completion
from lacewingcourse.core.pipelines.copies import Assignment, slowness
from lacewingcourse.core.pipelines.layout import (
    can_spare,
    placement_groups,
    search_layout,
    search_request_rate,
)

if TYPE_CHECKING:
    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.layout import LayoutSearch
    from lacewingcourse.core.pipelines.shape import EngineShape, Layers

#: Minimum ratio of the request rates after and before the moves. Rates of equally good
#: layouts with different layer boundaries differ by a few percent.
MIN_GAIN_FACTOR = 1.08
#: Seconds within which nearly all streams through an endpoint have ended.
STREAM_DRAIN_SECONDS = 5.0


def plan_rebalancing(
    endpoints: list[Endpoint],
    shape: EngineShape,
    stable_seconds: float,
    search_index: int,
) -> list[Assignment]:
    """Return moves that are worth their cost, see `search_rebalancing`."""
    return run_to_completion(
        search_rebalancing(endpoints, shape, stable_seconds, search_index)
    )


def search_rebalancing(
    endpoints: list[Endpoint],
    shape: EngineShape,
    stable_seconds: float,
    search_index: int,
) -> LayoutSearch:
    """Search moves that are worth their cost and leave every layer with a holder.

    Repairs fill gaps with endpoints that are spare at that moment. When lost endpoints
    come back, their replacements stay where they were moved, and the layers that these
    held before lack capacity. A move takes its endpoint out of service for some
    seconds, so it is worth its cost only if the fleet then stays unchanged for long
    enough. A fleet is assumed to stay unchanged for as long as it has been.

    Each search considers one group of endpoints, and yields at points where it may be
    interrupted.

    Args:
        endpoints: Endpoints that accept new requests. A group with an endpoint without
            layers is not rebalanced.
        shape: Published performance figures of the engines.
        stable_seconds: Seconds since the fleet last changed.
        search_index: Number of earlier searches; selects the group, in turn.
    """
    groups = placement_groups(endpoints, shape)
    if not groups:
        return []
    group = groups[search_index % len(groups)]
    if any(e.layers is None or not len(e.layers) for e in group):
        return []
    return (yield from _search_moves(group, shape, stable_seconds))


def _search_moves(
    group: list[Endpoint], shape: EngineShape, stable_seconds: float
) -> LayoutSearch:
    """Search the moves within a group."""
    empty = [attrs.evolve(e, layers=None) for e in group]
    fresh_plan = yield from search_layout(empty, shape)
    kinds = {e.id: e.accelerator for e in group}
    targets = _match_ranges(group, [(kinds[a.endpoint], a.layers) for a in fresh_plan])
    misplaced = [e for e in group if targets.get(e.id, e.layers) != e.layers]
    if not misplaced:
        return []
    moved = [attrs.evolve(e, layers=targets.get(e.id, e.layers)) for e in group]
    rate_before = yield from search_request_rate(group, shape)
    rate_after = yield from search_request_rate(moved, shape)
    if rate_after < MIN_GAIN_FACTOR * rate_before:
        return []
    moving = _movable_together(misplaced, group, shape)
    plan = [Assignment(e.id, targets[e.id]) for e in moving]
    ids = {endpoint.id for endpoint in moving}
    staying = [e for e in group if e.id not in ids]
    rate_during_moves = yield from search_request_rate(staying, shape)
    lost = (rate_before - rate_during_moves) * _move_seconds(plan, shape)
    return plan if (rate_after - rate_before) * stable_seconds > lost else []


def _move_seconds(plan: list[Assignment], shape: EngineShape) -> float:
    """Return the seconds that moves take: drain the streams, then load in sequence."""
    share = sum(len(assignment.layers) for assignment in plan) / shape.layers
    return STREAM_DRAIN_SECONDS + share * shape.load_seconds


def _match_ranges(
    group: list[Endpoint], ranges: list[tuple[str, Layers]]
) -> dict[str, Layers]:
    """Match ranges to endpoints of the same accelerator, keeping ranges already held.

    Args:
        group: Endpoints with their layers.
        ranges: Name of the accelerator and layers of each range.

    Returns:
        The layers by id of the endpoint.
    """
    unassigned: dict[str, list[Layers]] = defaultdict(list)
    for kind, layers in ranges:
        unassigned[kind].append(layers)
    found: dict[str, Layers] = {}
    for endpoint in group:
        if endpoint.layers in unassigned[endpoint.accelerator]:
            unassigned[endpoint.accelerator].remove(endpoint.layers)
            found[endpoint.id] = endpoint.layers
    for endpoint in group:
        if endpoint.id not in found and unassigned[endpoint.accelerator]:
            found[endpoint.id] = unassigned[endpoint.accelerator].pop(0)
    return found


def _movable_together(
    moves: list[Endpoint], group: list[Endpoint], shape: EngineShape
) -> list[Endpoint]:
    """Return the endpoints that can all be out of service at once, slowest first."""
    staying = list(group)
    found: list[Endpoint] = []
    for endpoint in sorted(moves, key=lambda e: slowness(e, shape), reverse=True):
        if can_spare(endpoint, staying, shape):
            found.append(endpoint)
            staying = [e for e in staying if e.id != endpoint.id]
    return found
