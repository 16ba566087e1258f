"""Routes that realise the maximum flow of the fleet, smoothly interleaved."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

from lacewingcourse.core.bound import LayerCapacity, max_flow
from lacewingcourse.core.routes.model import route_of
from lacewingcourse.core.routes.policy import POLICIES, RoutePolicy
from lacewingcourse.core.routes.shortest import ShortestPolicy

if TYPE_CHECKING:
    from lacewingcourse.core.routes.fleet import Fleet
    from lacewingcourse.core.routes.model import RouteRequest
    from lacewingcourse.core.routes.records import EndpointRecord, Group

#: Seconds after which the flow is solved again.
SOLVED_FOR = 2.0


class Interleaving:
    """Items in turn, each as often as its weight asks, as evenly spread as can be.

    Attributes:
        heap: Items by the next turn that is due to them.
    """

    def __init__(self, weights: list[tuple[object, float]]) -> None:
        self.order = itertools.count()
        self.heap = [
            (0.5 / weight, next(self.order), item, 1.0 / weight)
            for item, weight in weights
            if weight > 0.0
        ]
        heapq.heapify(self.heap)

    def __len__(self) -> int:
        return len(self.heap)

    def take(self):
        """Return the item whose turn it is."""
        due, _, item, step = self.heap[0]
        heapq.heapreplace(self.heap, (due + step, next(self.order), item, step))
        return item


class Plan:
    """The flow of one model and the turns that realise it.

    Attributes:
        solved_at: When it was solved, seconds.
        version: Version of the model's index it was solved for.
        chains: Chains of groups in turn.
        members: Endpoints in turn, by group.
    """

    def __init__(self, fleet: Fleet, request: RouteRequest, now: float) -> None:
        index = fleet.index(request.index_name)
        self.solved_at = now
        self.version = index.version
        groups = list(index.ordered)
        rates = [
            [(record, rate_of(record)) for record in group.pool()] for group in groups
        ]
        capacities = [
            LayerCapacity(group.layers, sum(rate for _, rate in rated))
            for group, rated in zip(groups, rates, strict=True)
        ]
        flow = max_flow(capacities, request.layer_count)
        self.chains = Interleaving(
            [(tuple(groups[i] for i in path.members), path.flow) for path in flow.paths]
        )
        self.rates = dict(zip(groups, rates, strict=True))
        self.members: dict[Group, Interleaving] = {}

    def next_member(self, group: Group) -> EndpointRecord:
        """Return the endpoint of a group whose turn it is."""
        turns = self.members.get(group)
        if turns is None:
            turns = self.members[group] = Interleaving(self.rates[group])
        return turns.take()

    def fits(self, fleet: Fleet, request: RouteRequest, now: float) -> bool:
        """Tell whether the plan still holds."""
        if now - self.solved_at > SOLVED_FOR:
            return False
        return self.version == fleet.index(request.index_name).version


def rate_of(record: EndpointRecord) -> float:
    """Return the tokens a second that an endpoint can make."""
    return record.share * record.token_rate(record.limit)


@POLICIES.register("interleaved")
class InterleavedPolicy(RoutePolicy):
    """Take chains of groups, and endpoints in them, in proportion to the flow.

    Attributes:
        plans: Solved flow by model.
        fallback: Chooses when the flow avoids no excluded endpoint.
    """

    name = "interleaved"

    def __init__(self) -> None:
        self.plans: dict[str, Plan] = {}
        self.fallback = ShortestPolicy()

    def choose(self, fleet, request, rng, now):
        plan = self.plans.get(request.model)
        if plan is None or not plan.fits(fleet, request, now):
            plan = self.plans[request.model] = Plan(fleet, request, now)
        if not len(plan.chains):
            return self.fallback.choose(fleet, request, rng, now)
        states = []
        for group in plan.chains.take():
            record = self.pick(plan, group, request, rng)
            if record is None:
                return self.fallback.choose(fleet, request, rng, now)
            states.append(record.state)
        return route_of(states, request.layer_count)

    def pick(self, plan: Plan, group: Group, request, rng) -> EndpointRecord | None:
        """Return the endpoint of a group to use; None if it is excluded."""
        record = plan.next_member(group)
        if record.state.id in request.excluded or record.group is not group:
            return None
        return record


@POLICIES.register("guided")
class GuidedPolicy(InterleavedPolicy):
    """Take chains in proportion to the flow, then the shortest of a few endpoints."""

    name = "guided"

    def pick(self, plan, group, request, rng):
        found = [plan.next_member(group), plan.next_member(group)]
        fit = [
            record
            for record in found
            if record.state.id not in request.excluded and record.group is group
        ]
        return min(
            fit,
            key=lambda each: each.request_time(
                request.prompt_length, request.max_tokens
            ),
            default=None,
        )
