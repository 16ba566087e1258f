"""Moves of endpoints that bring a fleet back to the layout that it would get anew."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.copies import Assignment, slowness
from lacewingcourse.core.pipelines.interruption import finish
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

#: Gain in requests a second, as a factor, below which nothing is moved; the figures of
#: a fleet with other cut points differ by a few in a hundred without meaning.
MIN_GAIN_FACTOR = 1.08
#: Seconds until the streams that pass through an endpoint have ended, for nearly all.
STREAM_DRAIN_SECONDS = 5.0


def plan_rebalancing(
    endpoints: list[Endpoint],
    shape: EngineShape,
    stable_seconds: float,
    search_index: int,
) -> list[Assignment]:
    """Return moves that pay and can be made now, see `search_improvement`."""
    return finish(search_rebalancing(endpoints, shape, stable_seconds, search_index))


def search_rebalancing(
    endpoints: list[Endpoint],
    shape: EngineShape,
    stable_seconds: float,
    search_index: int,
) -> LayoutSearch:
    """Look for moves that pay and can be made now without leaving a layer to nobody.

    Repairs fill gaps with what can be spared at that moment. When the endpoints that
    were lost come back, the stand-ins stay where they were sent, and other layers miss
    them. A move takes its endpoint out for some seconds, though, so it pays only if
    what follows is quiet for long enough. A fleet that has been quiet for some time is
    taken to stay so for as long.

    One group of endpoints is looked at in a search, which yields where it may be
    interrupted.

    Args:
        endpoints: Endpoints that take new work, all of which hold layers.
        shape: Published figures of the engines.
        quiet: Seconds since the fleet last changed.
        turn: Counts the searches; it says which group is looked at.
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
    """Look for the moves of a group that shares its copies."""
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
    """Return how long moves take, one load after another after the last stream."""
    share = sum(len(assignment.layers) for assignment in plan) / shape.layers
    return STREAM_DRAIN_SECONDS + share * shape.load_seconds


def _match_ranges(
    group: list[Endpoint], ranges: list[tuple[str, Layers]]
) -> dict[str, Layers]:
    """Give ranges to endpoints of their accelerators so that most stay in place."""
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
    """Return the endpoints that can be spared together while they move."""
    staying = list(group)
    found: list[Endpoint] = []
    for endpoint in sorted(moves, key=lambda e: slowness(e, shape), reverse=True):
        if can_spare(endpoint, staying, shape):
            found.append(endpoint)
            staying = [e for e in staying if e.id != endpoint.id]
    return found
