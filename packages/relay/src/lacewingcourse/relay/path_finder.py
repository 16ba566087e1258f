"""Finds paths for requests from the local view of the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.pipelines.choice import (
    MAX_MEMORY_SHARE,
    MAX_MEMORY_SHARE_RESUMED,
    Demand,
)
from lacewingcourse.core.pipelines.prediction import TimeLimits
from lacewingcourse.relay.limited_choice import choose_sendable, is_no_route

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
        refuses_late: Whether requests are refused that would be late.
    """

    routing_state: RoutingState
    rng: Random
    clock: Callable[[], float]
    pool: ConnectionPool | None = None
    refuses_late: bool = True

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
        limits = self._limits(job) if self.refuses_late else None
        found = self._choose(job, shape, demand, avoided, share, limits)
        if job.caller.response_started and job.avoid and is_no_route(found):
            return self._choose(job, shape, demand, besides, share)
        return found

    def oversized(self, job: Job, shape: EngineShape, demand: Demand) -> Refusal | None:
        """Return why no path holds a request even if no other runs, None if one does.

        It must neither wait nor count as demand for room: nothing that becomes free
        serves it, and others would be refused in its favour.

        Args:
            job: The request.
            shape: Figures of the service's engines.
            demand: Its demand on a path.
        """
        chooser = self.routing_state.chooser(shape)
        paths = self.routing_state.paths(job.service, shape, self.clock())
        if not paths or any(chooser.could_hold(path, demand) for path in paths):
            return None
        reason = f"no path has memory for {demand.tokens} tokens"
        return Refusal(ErrorKind.OVERLOADED, reason)

    def idle_first_event(
        self, job: Job, shape: EngineShape, demand: Demand
    ) -> float | None:
        """Return the seconds to a request's first event on the fastest idle path.

        None if there is no path. For `admission_queue.latest_start`.

        Args:
            job: The request.
            shape: Figures of the service's engines.
            demand: Its demand on a path.
        """
        now = self.clock()
        predictor = self.routing_state.chooser(shape).predictor
        paths = self.routing_state.paths(job.service, shape, now)
        times = (predictor.idle_times(path, demand, now)[0] for path in paths)
        return min(times, default=None)

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
        limits: TimeLimits | None = None,
    ) -> Path | Refusal:
        """Return one of the candidate paths, or why none is usable."""
        now = self.clock()
        paths = self._candidates(job.service, shape, now)
        chooser = self.routing_state.chooser(shape)
        allowed = job.allowed_endpoints
        if allowed is not None:
            paths = [path for path in paths if path.first.endpoint in allowed]
        connected = self.pool.idle if self.pool is not None else ()

        def choose(among: list[Path]) -> Path | Refusal:
            return chooser.choose(
                among, demand, avoid, self.rng, now, share, connected, limits
            )

        send_limits = self.routing_state.send_limits
        return choose_sendable(
            send_limits,
            self.routing_state.backoffs,
            job,
            paths,
            lambda path: path.endpoints,
            choose,
            now,
        )

    def _candidates(self, service: str, shape: EngineShape, now: float) -> list[Path]:
        """Return the candidate paths of a service.

        If all of them use endpoints that asked for a delay, paths around these are
        added.
        """
        paths = self.routing_state.paths(service, shape, now)
        closed = self.routing_state.backoffs.active(now)
        if not closed or not all(path.uses(closed) for path in paths):
            return paths
        return paths + self.routing_state.paths_around(service, shape, closed, now)

    def _limits(self, job: Job) -> TimeLimits | None:
        """Return the limits of a request's times, None if it may be late.

        A request that was sent before may have run, and one that is resumed has a
        caller that already reads: neither is refused for the time that it takes.
        """
        if job.caller.response_started or job.sends or job.request.resume_after:
            return None
        return limits_of(job, self.clock())


def limits_of(job: Job, now: float) -> TimeLimits:
    """Return the limits of times that a request's route sets."""
    route = job.route
    return TimeLimits(
        service=job.service,
        objective=route.objective if route.objective > 0 else float("inf"),
        max_event_gap=route.max_event_gap if route.max_event_gap > 0 else float("inf"),
        elapsed=now - job.request.received_at,
    )


def demand_of(job: Job, shape: EngineShape) -> Demand:
    """Return the expected demand of a request on a path."""
    request = job.request
    answer = request.answer_hint or shape.usual_answer
    if request.max_answer_tokens:
        answer = min(answer, request.max_answer_tokens)
    return Demand(request.prompt or shape.usual_prompt, max(1, answer))
