"""Routes, and what they are chosen for."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.layers import LayerRange

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lacewingcourse.core.endpoints import EndpointState


#: Endpoints with the same layers that are compared for a route.
CHOICES = 2
#: Endpoints that are compared when a route of the first few misses a target.
WIDE_CHOICES = 8


@attrs.frozen
class Stage:
    """One endpoint's part of a route.

    Attributes:
        endpoint: Name of the endpoint instance.
        incarnation: The incarnation of its agent that the route was made for.
        agent_url: Base URL of the agent.
        layers: The layers that run here; within those the endpoint holds.
    """

    endpoint: str
    incarnation: str
    agent_url: str
    layers: LayerRange


@attrs.frozen
class Route:
    """A chain of stages that covers [0, layer_count) without gap or overlap.

    Attributes:
        stages: The stages in order.
        version: Version of the weights, the same at every stage.
    """

    stages: tuple[Stage, ...]
    version: str = ""

    def endpoints(self) -> list[str]:
        """Return the names of the endpoints in order."""
        return [stage.endpoint for stage in self.stages]


@attrs.frozen
class RouteRequest:
    """What a route is wanted for.

    Attributes:
        model: Name of the model.
        layer_count: Layers of the model.
        prompt_length: Positions of the prompt, as far as known.
        max_tokens: Tokens that are expected.
        excluded: Names of the endpoints to avoid.
        choices: Endpoints with the same layers that are compared.
        version: Version of the weights that every stage must have.
    """

    model: str
    layer_count: int
    prompt_length: int = 16
    max_tokens: int = 64
    excluded: frozenset[str] = frozenset()
    choices: int = CHOICES
    version: str = ""

    @property
    def index_name(self) -> str:
        """Name of the index of the endpoints that may serve the request."""
        return index_name(self.model, self.version)


def index_name(model: str, version: str) -> str:
    """Return the name under which endpoints of a model's version are indexed."""
    return f"{model}@{version}" if version else model


def no_route(layer: int) -> Refusal:
    """Return the refusal for a layer that nobody holds."""
    return Refusal(ErrorKind.NO_ROUTE, f"no endpoint holds layer {layer}")


def usable(
    endpoints: Iterable[EndpointState],
    model: str,
    excluded: frozenset[str] = frozenset(),
    version: str = "",
) -> list[EndpointState]:
    """Return the endpoints that take new work for a model, in order of name."""
    found = [
        endpoint
        for endpoint in endpoints
        if endpoint.model == model
        and version in ("", endpoint.version)
        and endpoint.layers is not None
        and endpoint.id not in excluded
        and endpoint.takes_new_work()
    ]
    return sorted(found, key=lambda endpoint: endpoint.id)


def stage_of(endpoint: EndpointState, first: int, end: int) -> Stage:
    """Return the stage that runs layers [first, end) on an endpoint."""
    return Stage(
        endpoint=endpoint.id,
        incarnation=endpoint.incarnation,
        agent_url=endpoint.agent_url,
        layers=LayerRange(first, end),
    )


def route_of(endpoints: Iterable[EndpointState], layer_count: int) -> Route:
    """Return the route that lets each endpoint run to the end of its layers."""
    stages = []
    layer = 0
    for endpoint in endpoints:
        end = min(endpoint.layers.end, layer_count)
        stages.append(stage_of(endpoint, layer, end))
        layer = end
    return Route(tuple(stages))
