"""The state of a request while it is forwarded."""

from __future__ import annotations

from enum import Enum
from functools import cached_property
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.core.pipelines.crashes import fingerprint_of
from lacewingcourse.core.pipelines.send_history import (
    RequestOutcome,
    Send,
    SendHistory,
)
from lacewingcourse.relay.connections import Unsent
from lacewingcourse.relay.ports import Sending
from lacewingcourse.relay.upstream import Abandoned, Exchange

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.path import Path
    from lacewingcourse.core.pipelines.prediction import StreamPrediction
    from lacewingcourse.core.pipelines.routing import Organisation, Route
    from lacewingcourse.core.pipelines.running_streams import RunningStream
    from lacewingcourse.core.pipelines.stalls import WatchedStream
    from lacewingcourse.relay.caller import CallerExchange
    from lacewingcourse.relay.ports import CallerRequest

#: Least urgent of the ten ranks that engines accept.
LEAST_URGENT_RANK = 9
#: Rejections after which a request fails. Each one takes a round trip and a retry.
MAX_REJECTIONS = 4


class Phase(Enum):
    """How far a request that is forwarded has come.

    Attributes:
        WAITING: It is about to be sent, and may wait for room, a permit or a retry.
        CONNECTING: It waits for a connection to an endpoint.
        SENT: It was sent, and no event of that send's answer was passed on.
        STREAMING: Events of an answer are passed on.
        MOVING: Its stream has stalled, and another path is sought or tried.
    """

    WAITING = "waiting"
    CONNECTING = "connecting"
    SENT = "sent"
    STREAMING = "streaming"
    MOVING = "moving"


@attrs.define(eq=False)
class Job:
    """The state of a request while it is forwarded.

    Attributes:
        request: The caller's request.
        route: Its route.
        service: The service chosen for it.
        organisation: The organisation that it belongs to.
        caller: The exchange with the caller that gets the answer.
        strip_key: Whether the caller's key is removed before forwarding.
        deadline: Time at which the time limit of the route or of the caller expires,
            seconds.
        history: Its sends and their outcomes.
        avoid: Endpoints that it is not sent to again.
        limited: Endpoints that it was not sent to because they are at their limits.
        current_exchange: Exchange with an endpoint that is in progress, None without
            one.
        reason: Why the last send failed.
        path: Path of the last send of a stream, for the log.
        first_event_at: When the first event was passed on, None before it.
        longest_gap: Longest time between two events passed on, seconds.
        last_event_at: When the last event was passed on, seconds.
        waited: Seconds for which it waited for room.
        refused_by: Why the scheduler refused it room, empty if it did not.
        events: Number of times that events were passed on.
        dropped_events: Events of a stream that were not passed on as they repeat
            earlier ones.
        resumed_after: Identifier of the event after which its last send continues the
            stream, empty for one from its beginning.
        is_continuable: Whether another send can continue what its caller has of the
            answer, or the caller has nothing of it yet.
        watched: State of its stall detection, None if it is not watched.
        predicted: Predicted times of its first attempt as a stream, None before it and
            for later ones.
        running: Its attempt as a stream that runs, None without one.
        sent_at: When it was sent last, seconds, None before it.
        phase: How far it has come.
        established: Whether its answer was once established, so that it does not crash
            the endpoints that begin to answer it.
        accepts: Returns whether a draining entry accepts it at a given time in seconds.
    """

    request: CallerRequest
    route: Route
    service: str
    organisation: Organisation
    caller: CallerExchange
    strip_key: bool
    deadline: float
    history: SendHistory = attrs.field(factory=SendHistory)
    avoid: set[str] = attrs.field(factory=set)
    limited: set[str] = attrs.field(factory=set)
    current_exchange: Exchange | None = None
    reason: str = ""
    path: Path | None = None
    first_event_at: float | None = None
    longest_gap: float = 0.0
    last_event_at: float = 0.0
    waited: float = 0.0
    refused_by: str = ""
    events: int = 0
    dropped_events: int = 0
    resumed_after: str = ""
    is_continuable: bool = True
    watched: WatchedStream | None = None
    predicted: StreamPrediction | None = None
    running: RunningStream | None = None
    sent_at: float | None = None
    phase: Phase = Phase.WAITING
    established: bool = False
    accepts: Callable[[float], bool] = lambda now: True

    @cached_property
    def fingerprint(self) -> str:
        """Identifies the request when its caller sends it again."""
        request = self.request
        key = (request.key or "").encode()
        target = request.target.encode()
        return fingerprint_of(request.host.encode(), target, key, request.body)

    @cached_property
    def shared_parts(self) -> tuple[str, ...]:
        """The parts of its prompt that other requests of the service may hold."""
        parts = self.request.prompt_parts[:-1]
        return tuple(f"{self.service} {part}" for part in parts)

    @property
    def sends(self) -> int:
        """Number of sends, without those over stale connections."""
        return self.history.attempts

    @property
    def rejections(self) -> int:
        """Number of sends that an endpoint rejected without running them."""
        return self.history.rejections

    def begin_send(self, endpoint: str) -> Send:
        """Record the start of a send to an endpoint."""
        return self.history.begin(endpoint)

    @property
    def may_run_again(self) -> bool:
        """Whether another send runs it no more often than its route allows."""
        return self.history.allows_send(self.route.retry_safety)

    @property
    def needs_new_connection(self) -> bool:
        """Whether it must not be sent over a pooled connection.

        The endpoint may be closing a pooled connection at this moment, and then it is
        unknown whether the request ran. One that may run again takes that risk once.
        """
        return not self.route.retry_safety.may_retry or self.history.has_stale

    @property
    def may_send_again(self) -> bool:
        """Whether it may be sent again given the outcomes so far.

        A rejected send has not run, so it may be repeated. Once the request was sent to
        as many endpoints as the route allows, only these may be used. A second run must
        not follow events whose position it cannot be given.
        """
        if not self.is_continuable or not self.may_run_again:
            return False
        attempts = self.sends - self.rejections
        if attempts >= self.route.max_attempts or self.caller.disconnected:
            return False
        return self.rejections <= MAX_REJECTIONS and self.has_endpoint_left

    @property
    def allowed_endpoints(self) -> set[str] | None:
        """Endpoints that it may be sent to, None for any."""
        sent_to = self.history.endpoints
        return sent_to if len(sent_to) >= self.route.max_attempts else None

    @property
    def has_endpoint_left(self) -> bool:
        """Whether it does not avoid every endpoint that it may be sent to.

        An answer that its caller is already reading may use endpoints that it avoids.
        """
        allowed = self.allowed_endpoints
        if allowed is None or self.caller.response_started:
            return True
        return not allowed <= self.avoid

    @property
    def may_try_another(self) -> bool:
        """Whether it may be sent to an endpoint that it was not sent to before."""
        return self.may_send_again and self.allowed_endpoints is None

    @property
    def may_move(self) -> bool:
        """Whether its stream may switch to another path while a run is in progress."""
        return self.may_send_again and self.route.retry_safety.may_retry

    def drain_refusal(self, now: float) -> Refusal | None:
        """Return why a draining entry may not send it, None if it may.

        An answer that its caller is already reading continues.

        Args:
            now: Present time in seconds.
        """
        if self.caller.response_started or self.accepts(now):
            return None
        return Refusal(ErrorKind.DRAINING, Unsent.LEAVING.value)

    @property
    def caller_may_retry(self) -> bool:
        """Whether its caller can be told that it has not run, and may send it again."""
        return (
            not self.caller.response_started
            and self.history.outcome is not RequestOutcome.MAY_HAVE_RUN
        )

    def record_events(self, now: float) -> None:
        """Record that events were passed on."""
        self.events += 1
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            self.longest_gap = max(self.longest_gap, now - self.last_event_at)
        self.last_event_at = now

    @property
    def urgency(self) -> int:
        """Rank of the request, 0 for the most urgent."""
        priority = self.organisation.priority
        if priority is None:
            priority = self.route.priority
        return max(0, min(LEAST_URGENT_RANK, priority))

    def sending(
        self,
        endpoint: str,
        address: str,
        path: Path | None,
        now: float,
        resume_after: str,
        incarnation: str = "",
    ) -> Sending:
        """Return what to send to an endpoint, and record where it continues.

        Args:
            endpoint: Name under which the endpoint registers.
            address: Its address.
            path: Path that starts there, None for a plain service.
            now: Present time in seconds.
            resume_after: Identifier of the last event passed on, or empty.
            incarnation: Id of the endpoint's incarnation, empty if it has none besides
                its name.
        """
        self.resumed_after = resume_after
        return Sending(
            endpoint=endpoint,
            address=address,
            path=path,
            time_left=self.deadline - now,
            organisation=self.organisation.name,
            strip_key=self.strip_key,
            resume_after=resume_after,
            urgency=self.urgency,
            incarnation=incarnation or endpoint,
        )

    def on_caller_disconnect(self) -> None:
        """Stop the endpoint's work because the caller has disconnected."""
        if self.current_exchange is not None:
            self.current_exchange.arrivals.put_nowait(Abandoned("the caller left"))
            self.current_exchange.abandon()

    def failure(self, kind: ErrorKind, retry_after: float | None) -> Refusal:
        """Return the refusal of a request that no endpoint answered.

        A request that may have run is never reported as not run.

        Args:
            kind: Why it failed, reported if it has not run or has timed out.
            retry_after: Seconds after which its caller may retry if it has not run,
                None if unknown.
        """
        if self.history.outcome is not RequestOutcome.MAY_HAVE_RUN:
            if kind is ErrorKind.REQUEST_CRASHES_ENDPOINTS:
                retry_after = None
            return Refusal(kind, self.reason, Outcome.NOT_RUN, retry_after)
        timed_out = kind is ErrorKind.DEADLINE_EXCEEDED
        reported_kind = kind if timed_out else ErrorKind.ENDPOINT_FAILED
        return Refusal(reported_kind, self.reason, Outcome.UNKNOWN)
