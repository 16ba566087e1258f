"""Finds paths for requests from the local view of the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import Refusal
from lacewingcourse.core.pipelines.choice import (
    MAX_MEMORY_SHARE,
    MAX_MEMORY_SHARE_RESUMED,
    Demand,
)
from lacewingcourse.relay.limited_choice import choose_within_limits, is_no_route

if TYPE_CHECKING:
    from collections.abc import Callable, Collection
    from random import Random

    from lacewingcourse.core.pipelines.path import Path
    from lacewingcourse.core.pipelines.shape import EngineShape
    from lacewingcourse.relay.connections import ConnectionPool
    from lacewingcourse.relay.job import Job
    from lacewingcourse.relay.routing_state import RoutingState

#: Share of an endpoint's memory up to which it counts as idle. A stream that is moved
#: on a mere suspicion then takes no room from other requests.
IDLE_MEMORY_SHARE = 0.5


@attrs.define
class PathFinder:
    """Finds paths.

    Attributes:
        routing_state: Local view of the endpoints.
        rng: Source of random numbers.
        clock: Returns the present time in seconds.
        pool: Connections to endpoints, None if none are kept.
    """

    routing_state: RoutingState
    rng: Random
    clock: Callable[[], float]
    pool: ConnectionPool | None = None

    def find(
        self,
        job: Job,
        shape: EngineShape,
        demand: Demand,
        besides: Collection[str] = (),
    ) -> Path | Refusal:
        """Return the path that a request is sent on, or why there is none.

        An answer that was started may use endpoints that it avoids where no others hold
        their layers, because its caller cannot send the request again.

        Args:
            job: The request.
            shape: Figures of the service's engines.
            demand: Its demand on a path.
            besides: Endpoints to avoid in addition to those that the request avoids.
        """
        share = (
            MAX_MEMORY_SHARE_RESUMED
            if job.caller.response_started
            else MAX_MEMORY_SHARE
        )
        avoided = job.avoid.union(besides) if besides else job.avoid
        found = self._choose(job, shape, demand, avoided, share)
        if job.caller.response_started and job.avoid and is_no_route(found):
            return self._choose(job, shape, demand, besides, share)
        return found

    def is_idle(self, job: Job, avoid: Collection[str]) -> bool:
        """Return whether a path without some endpoints is idle enough for a request."""
        shape = self.routing_state.shape(job.service)
        if shape is None:
            return False
        demand = demand_of(job, shape)
        avoided = job.avoid.union(avoid)
        found = self._choose(job, shape, demand, avoided, IDLE_MEMORY_SHARE)
        return not isinstance(found, Refusal)

    def unused_address(self, addresses: Collection[str]) -> str | None:
        """Return the address of an engine outside a set, None if there is none."""
        endpoints = self.routing_state.fleet.endpoints.values()
        excluded = self.routing_state.suspects.excluded(self.clock())
        found = [
            endpoint.address
            for endpoint in endpoints
            if endpoint.placeable
            and endpoint.address not in addresses
            and endpoint.id not in excluded
        ]
        return self.rng.choice(found) if found else None

    def _choose(
        self,
        job: Job,
        shape: EngineShape,
        demand: Demand,
        avoid: Collection[str],
        share: float,
    ) -> Path | Refusal:
        """Return one of the candidate paths, or why none is usable."""
        now = self.clock()
        paths = self.routing_state.paths(job.service, shape, now)
        chooser = self.routing_state.chooser(shape)
        allowed = job.allowed_endpoints
        if allowed is not None:
            paths = [path for path in paths if path.first.endpoint in allowed]
        connected = self.pool.idle if self.pool is not None else ()

        def choose(among: list[Path]) -> Path | Refusal:
            return chooser.choose(among, demand, avoid, self.rng, now, share, connected)

        limits = self.routing_state.send_limits
        return choose_within_limits(
            limits, job, paths, lambda path: path.first.endpoint, choose, now
        )


def demand_of(job: Job, shape: EngineShape) -> Demand:
    """Return the expected demand of a request on a path."""
    request = job.request
    answer = request.answer_hint or shape.usual_answer
    if request.max_answer_tokens:
        answer = min(answer, request.max_answer_tokens)
    return Demand(request.prompt or shape.usual_prompt, max(1, answer))
