"""Which version of a model an attempt runs on while two are held."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import Refusal
from lacewingcourse.core.routes import index_name

if TYPE_CHECKING:
    import random

    from lacewingcourse.core.routes import Fleet, Route, RoutePolicy, RouteRequest


def copies(fleet: Fleet, model: str, version: str, layer_count: int) -> int:
    """Return how many endpoints hold the layer that the fewest hold."""
    counts = [0] * layer_count
    for group in fleet.index(index_name(model, version)).ordered:
        for layer in range(group.layers.first, min(group.layers.end, layer_count)):
            counts[layer] += len(group.pool())
    return min(counts)


def order_versions(
    fleet: Fleet, request: RouteRequest, rng: random.Random
) -> list[str]:
    """Return the versions to try: at random by their capacity, then the rest.

    Args:
        fleet: What is known of the endpoints.
        request: What the route is wanted for; its version is the one in force.
        rng: Source of randomness.
    """
    held = fleet.versions(request.model)
    if len(held) <= 1:
        return held or [request.version]
    weights = [
        copies(fleet, request.model, version, request.layer_count) for version in held
    ]
    if not any(weights):
        return [request.version]
    first = rng.choices(held, weights)[0]
    return [first, *(version for version in held if version != first)]


def choose_version(
    policy: RoutePolicy,
    fleet: Fleet,
    request: RouteRequest,
    pinned: str,
    rng: random.Random,
    now: float,
) -> Route | Refusal:
    """Return a route whose stages all hold one version.

    Args:
        policy: The route policy in force.
        fleet: What is known of the endpoints.
        request: What the route is wanted for; its version is the one in force.
        pinned: Version of the tokens that the caller already has, or empty.
        rng: Source of randomness.
        now: Present time in seconds.
    """
    versions = [pinned] if pinned else order_versions(fleet, request, rng)
    route = None
    for version in versions:
        wanted = attrs.evolve(request, version=version)
        route = policy.choose(fleet, wanted, rng, now)
        if not isinstance(route, Refusal):
            return attrs.evolve(route, version=version)
    return route
