"""Simple route policies to compare others with."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lacewingcourse.core.routes.model import no_route, route_of
from lacewingcourse.core.routes.policy import POLICIES, RoutePolicy

if TYPE_CHECKING:
    from lacewingcourse.core.routes.fleet import Fleet
    from lacewingcourse.core.routes.model import RouteRequest
    from lacewingcourse.core.routes.records import EndpointRecord


class GreedyPolicy(RoutePolicy):
    """Choose stage after stage; variants say which of the holders of a layer."""

    def choose(self, fleet, request, rng, now):
        chosen = []
        layer = 0
        while layer < request.layer_count:
            holders = holders_of(fleet, request, layer, rng)
            if not holders:
                return no_route(layer)
            record = self.pick(holders, rng)
            chosen.append(record.state)
            layer = record.state.layers.end
        return route_of(chosen, request.layer_count)

    def pick(self, holders: list[EndpointRecord], rng) -> EndpointRecord:
        """Return one of the holders of a layer."""
        raise NotImplementedError


def holders_of(
    fleet: Fleet, request: RouteRequest, layer: int, rng
) -> list[EndpointRecord]:
    """Return the endpoints that hold a layer and are not excluded."""
    return [
        record
        for group in fleet.index(request.index_name).ordered
        if group.layers.first <= layer < group.layers.end
        for record in group.allowed(request.excluded, rng)
    ]


@POLICIES.register("random")
class RandomPolicy(GreedyPolicy):
    """Choose each next stage at random among the holders of its layer."""

    name = "random"

    def pick(self, holders, rng):
        return rng.choice(holders)


@POLICIES.register("round_robin")
class RoundRobinPolicy(GreedyPolicy):
    """Choose the holders of a layer one after the other.

    Attributes:
        turn: Count of the choices made.
    """

    name = "round_robin"

    def __init__(self) -> None:
        self.turns: dict[int, int] = {}

    def pick(self, holders, rng):
        holders.sort(key=lambda record: record.state.id)
        key = min(record.state.layers.end for record in holders)
        turn = self.turns.get(key, 0)
        self.turns[key] = turn + 1
        return holders[turn % len(holders)]


@POLICIES.register("least_loaded")
class LeastLoadedPolicy(GreedyPolicy):
    """Choose the holder with the fewest streams in its last report."""

    name = "least_loaded"

    def pick(self, holders, rng):
        return min(holders, key=lambda record: (record.state.running, rng.random()))
