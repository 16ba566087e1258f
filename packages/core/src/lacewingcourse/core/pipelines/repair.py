"""Repair of layers whose last holder is gone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lacewingcourse.core.pipelines.cooperative import run_to_completion
from lacewingcourse.core.pipelines.copies import (
    MIN_REQUESTS_PER_COPY,
    Assignment,
    layers_that_fit,
    slowness,
)
from lacewingcourse.core.pipelines.layer_memory import token_capacity
from lacewingcourse.core.pipelines.layout import (
    can_spare,
    longest_gap,
    sole_holders,
    with_layers,
)
from lacewingcourse.core.pipelines.shape import Layers

if TYPE_CHECKING:
    from collections.abc import Generator

    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.layout import LayoutSearch
    from lacewingcourse.core.pipelines.shape import EngineShape

    #: Interruptible search, a generator that returns the endpoint found.
    EndpointSearch = Generator[None, None, Endpoint | None]


def plan_repairs(endpoints: list[Endpoint], shape: EngineShape) -> list[Assignment]:
    """Return assignments to the layers that no endpoint of a service holds.

    Without them no request of the service runs, so they come before all others, the
    longest gap first. Empty endpoints load them. Without any, an endpoint moves whose
    layers all have other holders, even if few are left for them.

    Args:
        endpoints: Endpoints that accept new requests, with the layers that they hold or
            were ordered to hold.
        shape: Published performance figures of the engines.

    Returns:
        The assignments; none for a fleet without any layers, which gets a new layout.
    """
    return run_to_completion(search_repairs(endpoints, shape))


def search_repairs(endpoints: list[Endpoint], shape: EngineShape) -> LayoutSearch:
    """Search the assignments that `plan_repairs` returns.

    Yields at points where it may be interrupted.
    """
    members = [
        e for e in endpoints if e.placeable and e.accelerator in shape.accelerators
    ]
    plan: list[Assignment] = []
    moved: set[str] = set()
    while True:
        gap = longest_gap(token_capacity(members, shape))
        if gap is None or len(gap) == shape.layers:
            return plan
        found = yield from _search_repairer(gap, members, moved, shape)
        if found is None:
            return plan
        span = _coverable(found, gap, shape)
        assignment = Assignment(found.id, Layers(gap.start, gap.start + span))
        plan.append(assignment)
        moved.add(found.id)
        members = [e for e in members if e.id != found.id]
        members.append(with_layers(found, assignment))


def _search_repairer(
    gap: Layers, members: list[Endpoint], moved: set[str], shape: EngineShape
) -> EndpointSearch:
    """Return the endpoint that should load a gap, None if none can.

    Endpoints that cover more of the gap are preferred, among them faster ones. They
    come from the availability zone that holds most layers if possible, so that paths
    need few links between zones.
    """
    free = [e for e in members if e.id not in moved and _coverable(e, gap, shape)]
    found = [e for e in free if e.layers is None or not len(e.layers)]
    if not found:
        sole = {e.id for e in sole_holders(members, shape)}
        found = [e for e in free if e.id not in sole]
        spare = []
        for endpoint in found:
            yield
            if can_spare(endpoint, members, shape):
                spare.append(endpoint)
        found = spare or found
    held = _held_by_zone(members, shape)
    return max(
        found,
        key=lambda e: (_coverable(e, gap, shape), held[e.zone], -slowness(e, shape)),
        default=None,
    )


def _coverable(endpoint: Endpoint, gap: Layers, shape: EngineShape) -> int:
    """Return how many layers of a gap an endpoint can hold."""
    min_tokens = MIN_REQUESTS_PER_COPY * shape.mean_request_tokens
    return min(len(gap), layers_that_fit(endpoint, shape, min_tokens))


def _held_by_zone(members: list[Endpoint], shape: EngineShape) -> dict[str, int]:
    """Return the number of layers with a holder in each availability zone."""
    zones = {endpoint.zone for endpoint in members}
    return {
        zone: sum(
            tokens > 0.0
            for tokens in token_capacity((e for e in members if e.zone == zone), shape)
        )
        for zone in zones
    }
