"""Shortest predicted route over a layered graph, with power of d choices."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.routes.model import no_route, route_of
from lacewingcourse.core.routes.policy import POLICIES, RoutePolicy

if TYPE_CHECKING:
    from lacewingcourse.core.routes.fleet import Fleet
    from lacewingcourse.core.routes.model import Route, RouteRequest
    from lacewingcourse.core.routes.records import EndpointRecord, Group

INFINITY = float("inf")


@attrs.define
class Reached:
    """A predicted way to have run the first layers.

    Attributes:
        cost: Predicted seconds.
        record: The last endpoint, or None at the start.
        before: The way up to it, or None at the start.
    """

    cost: float
    record: EndpointRecord | None = None
    before: Reached | None = None


def route_to(reached: Reached, layer_count: int) -> Route:
    """Return the route that ends a way."""
    states = []
    while reached.record is not None:
        states.append(reached.record.state)
        reached = reached.before
    states.reverse()
    return route_of(states, layer_count)


@POLICIES.register("shortest")
class ShortestPolicy(RoutePolicy):
    """Choose the route with the least predicted time to the whole answer.

    Endpoints that hold the same layers form a group. Of each group a few endpoints,
    drawn at random, are compared; the draw keeps entries with equal reports from
    choosing the same endpoint.
    """

    name = "shortest"

    def choose(self, fleet, request, rng, now):
        found = self.search(fleet, request, rng)
        end = found.get(request.layer_count)
        if end is None:
            return no_route(max(found))
        return route_to(end, request.layer_count)

    def candidates(self, group: Group, request: RouteRequest, rng):
        """Return the endpoints of a group that are compared."""
        return group.sample(request.choices, request.excluded, rng)

    def search(self, fleet: Fleet, request: RouteRequest, rng) -> dict[int, Reached]:
        """Return the best way found to each end of layers."""
        best = {0: Reached(0.0)}
        layer_count = request.layer_count
        prompt_length, tokens = request.prompt_length, request.max_tokens
        passes = tokens + 1
        for group in fleet.index(request.index_name).ordered:
            first, end = group.layers.first, min(group.layers.end, layer_count)
            ways = [way for layer, way in best.items() if first <= layer < end]
            if not ways:
                continue
            known = best.get(end)
            least = known.cost if known is not None else INFINITY
            found = None
            for record in self.candidates(group, request, rng):
                time = record.request_time(prompt_length, tokens)
                for way in ways:
                    cost = way.cost + time
                    if cost < least and way.record is not None:
                        cost += passes * fleet.hop_delay(way.record, record)
                    if cost < least:
                        least = cost
                        found = (record, way)
            if found is not None:
                best[end] = Reached(least, *found)
        return best


@POLICIES.register("shortest_of_all")
class ShortestOfAllPolicy(ShortestPolicy):
    """Choose as `shortest` does, but compare every endpoint; cost grows with them."""

    name = "shortest_of_all"

    def candidates(self, group, request, rng):
        return group.allowed(request.excluded, rng)
