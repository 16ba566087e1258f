"""Paths for requests, from what this entry believes at the moment."""

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
    from lacewingcourse.relay.beliefs import Beliefs
    from lacewingcourse.relay.connections import ConnectionPool
    from lacewingcourse.relay.job import Job

#: Share of an endpoint's memory up to which the fleet counts as idle: a stream that is
#: moved on a mere sign then takes nothing from others.
IDLE_SHARE = 0.5


@attrs.define
class PathFinder:
    """Finds paths.

    Attributes:
        beliefs: What is believed of the endpoints.
        rng: Source of draws.
        clock: Returns the present time in seconds.
        pool: Connections to endpoints, None if none are kept.
    """

    beliefs: Beliefs
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

        An answer that was begun goes on through endpoints that it had left, where no
        others hold their layers: its caller cannot ask for it anew.

        Args:
            job: The request.
            shape: Figures of the service's engines.
            demand: What it needs of a path.
            besides: Endpoints to avoid besides those that it avoids anyway.
        """
        share = MAX_MEMORY_SHARE_RESUMED if job.caller.begun else MAX_MEMORY_SHARE
        avoided = job.avoid.union(besides) if besides else job.avoid
        found = self._choose(job, shape, demand, avoided, share)
        if job.caller.begun and job.avoid and is_no_route(found):
            return self._choose(job, shape, demand, besides, share)
        return found

    def is_idle(self, job: Job, avoid: Collection[str]) -> bool:
        """Tell whether a path without some endpoints has much room for a request."""
        shape = self.beliefs.shape(job.service)
        if shape is None:
            return False
        demand = demand_of(job, shape)
        avoided = job.avoid.union(avoid)
        found = self._choose(job, shape, demand, avoided, IDLE_SHARE)
        return not isinstance(found, Refusal)

    def unused(self, addresses: Collection[str]) -> str | None:
        """Return the address of an engine that is not among some, None without one."""
        endpoints = self.beliefs.fleet.endpoints.values()
        excluded = self.beliefs.suspects.excluded(self.clock())
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
        """Return one of the candidate paths, or why none is taken."""
        now = self.clock()
        paths = self.beliefs.paths(job.service, shape, now)
        chooser = self.beliefs.chooser(shape)
        firsts = job.only_firsts
        if firsts is not None:
            paths = [path for path in paths if path.first.endpoint in firsts]
        connected = self.pool.idle if self.pool is not None else ()

        def choose(among: list[Path]) -> Path | Refusal:
            return chooser.choose(among, demand, avoid, self.rng, now, share, connected)

        limits = self.beliefs.send_limits
        return choose_within_limits(
            limits, job, paths, lambda path: path.first.endpoint, choose, now
        )


def demand_of(job: Job, shape: EngineShape) -> Demand:
    """Return what a request is expected to need of a path."""
    request = job.request
    answer = request.answer_hint or shape.usual_answer
    if request.most_answer:
        answer = min(answer, request.most_answer)
    return Demand(request.prompt or shape.usual_prompt, max(1, answer))
