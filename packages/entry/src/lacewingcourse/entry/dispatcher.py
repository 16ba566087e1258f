"""Chooses routes for streams and counts what runs on them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.resume import replacements
from lacewingcourse.core.routes import (
    POLICIES,
    WIDE_CHOICES,
    Route,
    RouteRequest,
    predict,
    stage_of,
    suspects_route,
    usable,
)
from lacewingcourse.core.versions import choose_version
from lacewingcourse.entry.host import Host

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lacewingcourse.core.messages import OpenReply, StageAddress
    from lacewingcourse.core.priorities import Prediction
    from lacewingcourse.core.routes import Dispatch, Fleet
    from lacewingcourse.core.stream_request import StreamRequest
    from lacewingcourse.core.streams import StreamState
    from lacewingcourse.entry.directory import Directory
    from lacewingcourse.entry.poison_guard import PoisonGuard
    from lacewingcourse.entry.recovery import Recovery

#: Characters of a prompt that are taken for one position before any was seen.
CHARACTERS_PER_POSITION = 4


class RunningAnswer(Protocol):
    """An answer in flight, as the choice of routes sees it.

    Attributes:
        state: Its state machine.
    """

    state: StreamState


class DispatchHost(Host, Protocol):
    """What the choice of routes needs of the entry.

    Attributes:
        answers: Answers in flight by stream.
        directory: What is known of the endpoints.
        poison: Knows the requests that crash their endpoints.
        recovery: Judges lost attempts.
    """

    answers: Mapping[str, RunningAnswer]
    directory: Directory
    poison: PoisonGuard
    recovery: Recovery


class Dispatcher:
    """Chooses routes with the policy in force.

    Attributes:
        entry: The entry's daemon.
        policy: The route policy in force.
        dispatches: What each stream in flight occupies, by stream.
        previews: Routes that were looked at for streams that wait.
        reserved: Routes of streams that were admitted and have not yet begun.
    """

    def __init__(self, entry: DispatchHost, policy: str) -> None:
        self.entry = entry
        self.policy = POLICIES.get(policy)()
        self.dispatches: dict[str, Dispatch] = {}
        self.previews: dict[str, tuple[Route, RouteRequest]] = {}
        self.reserved: dict[str, Route] = {}

    @property
    def fleet(self) -> Fleet:
        """What is known of the endpoints."""
        return self.entry.directory.endpoints

    def route_request(
        self, request: StreamRequest, excluded: frozenset[str]
    ) -> RouteRequest | Refusal:
        """Return what a route is wanted for."""
        model = self.entry.configuration.models.get(request.model)
        if model is None:
            reason = f"no model {request.model!r}"
            return Refusal(ErrorKind.UNKNOWN_MODEL, reason)
        return RouteRequest(
            model=model.name,
            layer_count=model.layer_count,
            prompt_length=1 + len(request.prompt) // CHARACTERS_PER_POSITION,
            max_tokens=request.sampling.max_tokens,
            excluded=excluded,
            version=model.version,
        )

    def choose(
        self,
        request: StreamRequest,
        excluded: frozenset[str],
        stages: tuple[StageAddress, ...] = (),
    ) -> Route | Refusal:
        """Return a route for a request; what it had before counts as left.

        Args:
            request: The request.
            excluded: Endpoints to avoid.
            stages: A route to mend if its excluded stages can be replaced.
        """
        suspect = self.entry.poison.suspects(request)
        reserved = self.reserved.pop(request.stream, None)
        if suspect:
            reserved = None
        if reserved is not None and not excluded and self._holds(reserved):
            return reserved
        self.release(request.stream)
        if not excluded:
            self.entry.recovery.avoided.pop(request.stream, None)
        else:
            refusal = self.entry.recovery.refusal_of(request, excluded)
            if refusal is not None:
                return refusal
        wanted = self.route_request(request, excluded)
        if isinstance(wanted, Refusal):
            return wanted
        entry = self.entry
        if suspect:
            route = self._suspects_route(request, wanted)
        else:
            route = self._mended(request, stages, excluded)
        if route is None:
            pinned = self._pinned(request.stream)
            route = choose_version(
                self.policy, self.fleet, wanted, pinned, entry.rng, entry.now()
            )
        if isinstance(route, Refusal):
            return entry.recovery.load_refusal(request.stream) or route
        dispatch = self.fleet.dispatch(route, wanted.prompt_length)
        self.dispatches[request.stream] = dispatch
        return route

    def _suspects_route(
        self, request: StreamRequest, wanted: RouteRequest
    ) -> Route | Refusal:
        """Return the route on the endpoints that run suspects.

        Endpoints that already crashed under the request are avoided, since only
        crashes of distinct endpoints convict.
        """
        avoided = wanted.excluded | self.entry.poison.crashed(request)
        pinned = self._pinned(request.stream)
        held = [wanted.version, *self.fleet.versions(request.model)]
        route = None
        for version in [pinned] if pinned else held:
            endpoints = self.fleet.values()
            candidates = usable(endpoints, request.model, avoided, version)
            route = suspects_route(candidates, wanted.layer_count)
            if not isinstance(route, Refusal):
                return attrs.evolve(route, version=version)
        return route

    def _mended(
        self,
        request: StreamRequest,
        stages: tuple[StageAddress, ...],
        excluded: frozenset[str],
    ) -> Route | None:
        """Return a route with its excluded stages replaced, or None if none can."""
        answer = self.entry.answers.get(request.stream)
        version = answer.state.version if answer is not None else ""
        avoided = excluded.union(stage.endpoint for stage in stages)
        mended = []
        for stage in stages:
            known = self.fleet.get(stage.endpoint)
            current = known is not None and known.incarnation == stage.incarnation
            if stage.endpoint not in excluded and current and known.ready:
                mended.append(stage_of(known, stage.layers.first, stage.layers.end))
                continue
            able = replacements(
                self.fleet.values(), request.model, version, stage.layers, avoided
            )
            if not able:
                return None
            pair = self.entry.rng.sample(able, min(2, len(able)))
            chosen = min(pair, key=lambda endpoint: endpoint.load.running)
            avoided = avoided.union({chosen.id})
            mended.append(stage_of(chosen, stage.layers.first, stage.layers.end))
        return Route(tuple(mended), version) if mended else None

    def preview(self, request: StreamRequest, wide: bool) -> Prediction | Refusal:
        """Return what is predicted for a request, and keep the route for it.

        Args:
            request: The request.
            wide: Whether more endpoints than usual are compared.
        """
        wanted = self.route_request(request, frozenset())
        if isinstance(wanted, Refusal):
            return wanted
        if wide:
            wanted = attrs.evolve(wanted, choices=WIDE_CHOICES)
        entry = self.entry
        route = choose_version(
            self.policy, self.fleet, wanted, "", entry.rng, entry.now()
        )
        if isinstance(route, Refusal):
            return route
        self.previews[request.stream] = (route, wanted)
        return predict(self.fleet, route, wanted)

    def _pinned(self, stream: str) -> str:
        """Return the version that a stream must go on with, or empty for any."""
        answer = self.entry.answers.get(stream)
        if answer is None or not answer.state.delivered:
            return ""
        return answer.state.version

    def reserve(self, stream: str) -> None:
        """Count the previewed route of a stream as dispatched."""
        route, wanted = self.previews.pop(stream)
        self.dispatches[stream] = self.fleet.dispatch(route, wanted.prompt_length)
        self.reserved[stream] = route

    def _holds(self, route: Route) -> bool:
        """Tell whether every endpoint of a route still takes new work as it was."""
        for stage in route.stages:
            known = self.fleet.get(stage.endpoint)
            if known is None or not known.takes_new_work():
                return False
            if known.version != route.version:
                return False
            if known.incarnation != stage.incarnation:
                return False
        return True

    def release(self, stream: str) -> tuple[str, ...]:
        """Note that a stream has left its route; return the endpoints of it."""
        self.previews.pop(stream, None)
        self.reserved.pop(stream, None)
        dispatch = self.dispatches.pop(stream, None)
        if dispatch is None:
            return ()
        self.fleet.release(dispatch)
        return dispatch.endpoints

    def on_open_reply(self, stream: str, endpoint: str, reply: OpenReply) -> None:
        """Take what an agent says of its load, and why it refused a stage."""
        if reply.load is not None:
            self.fleet.refresh(endpoint, reply.load, self.entry.now())
        if not reply.accepted and reply.kind is not None:
            self.entry.recovery.on_refused(stream, endpoint, reply.kind)
