"""A request on its way: what it asks for, and until when."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.core.pipelines.crashes import fingerprint_of
from lacewingcourse.relay.connections import Unsent
from lacewingcourse.relay.ports import Sending
from lacewingcourse.relay.upstream import (
    Abandoned,
    Exchange,
    SendOutcome,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.path import Path
    from lacewingcourse.core.pipelines.routing import Organisation, Route
    from lacewingcourse.core.pipelines.stalls import Watched
    from lacewingcourse.relay.caller import CallerExchange
    from lacewingcourse.relay.ports import CallerRequest

#: Least urgent rank that engines know, of ten.
MOST_URGENCY = 9
#: Rejections after which a request is given up; each takes a round trip and counts as a
#: retry.
MOST_REJECTIONS = 4


@attrs.define(eq=False)
class Job:
    """A request on its way.

    Attributes:
        request: The caller's request.
        route: Its route.
        service: The service chosen for it.
        organisation: Whom it belongs to.
        caller: The connection that its answer goes to.
        strip_key: Whether the caller's key stops here.
        until: Time at which the route's time or the caller's is over, seconds.
        sends: Sends that reached an endpoint.
        rejections: Those that the endpoint rejected without running them.
        firsts: Endpoints that it was sent to.
        worst: The most that may have become of a send so far.
        avoid: Endpoints that this request is not sent to again.
        limited: Endpoints that it was kept from because of the limits that they name.
        current: Exchange with an endpoint that is under way.
        reason: Why the last send brought nothing.
        path: Path of the last send of a stream, for the log.
        first_at: When the first event was passed on, None before it.
        longest_gap: Longest time between two events passed on, seconds.
        progressed_at: When the last event was passed on, seconds.
        waited: Seconds for which it waited for room on paths.
        events: Times at which events were passed on.
        watched: What watches its stream for standing still, None if nothing does.
        takes: Tells whether an entry that is ending takes it at some time, seconds.
    """

    request: CallerRequest
    route: Route
    service: str
    organisation: Organisation
    caller: CallerExchange
    strip_key: bool
    until: float
    sends: int = 0
    rejections: int = 0
    firsts: set[str] = attrs.field(factory=set)
    worst: SendOutcome = SendOutcome.NEVER_LEFT
    avoid: set[str] = attrs.field(factory=set)
    limited: set[str] = attrs.field(factory=set)
    current: Exchange | None = None
    reason: str = ""
    path: Path | None = None
    first_at: float | None = None
    longest_gap: float = 0.0
    progressed_at: float = 0.0
    waited: float = 0.0
    events: int = 0
    watched: Watched | None = None
    takes: Callable[[float], bool] = lambda now: True

    @property
    def fingerprint(self) -> str:
        """What identifies the request when its caller sends it again."""
        request = self.request
        key = (request.key or "").encode()
        target = request.target.encode()
        return fingerprint_of(request.host.encode(), target, key, request.body)

    @property
    def may_send_again(self) -> bool:
        """Whether it may be sent again after what became of it.

        A send that was rejected has not run, so it may be made good, but only through
        endpoints that the request was sent to already once these are as many as the
        route allows.
        """
        runs = self.sends - self.rejections
        if runs >= self.route.max_attempts or self.caller.gone:
            return False
        if self.rejections > MOST_REJECTIONS:
            return False
        repeatable = self.route.retry_safety.may_retry
        return repeatable or self.worst is not SendOutcome.MAY_HAVE_RUN

    @property
    def only_firsts(self) -> set[str] | None:
        """Endpoints that it may be sent to, None for any."""
        return self.firsts if len(self.firsts) >= self.route.max_attempts else None

    @property
    def may_try_another(self) -> bool:
        """Whether it may be sent to an endpoint that it was not sent to before."""
        return self.may_send_again and self.only_firsts is None

    @property
    def may_move(self) -> bool:
        """Whether its stream may go on on another path while a run is under way."""
        return self.may_send_again and self.route.retry_safety.may_retry

    def refused_at(self, now: float) -> Refusal | None:
        """Return why it may not be sent by an entry that is ending, None if it may.

        An answer that its caller reads already goes on.

        Args:
            now: Present time in seconds.
        """
        if self.caller.begun or self.takes(now):
            return None
        return Refusal(ErrorKind.DRAINING, Unsent.LEAVING.value)

    @property
    def may_come_back(self) -> bool:
        """Whether its caller may be told truly that it has not run, and ask again."""
        return not self.caller.begun and self.worst is not SendOutcome.MAY_HAVE_RUN

    def progress(self, now: float) -> None:
        """Note events that were passed on."""
        self.events += 1
        if self.first_at is None:
            self.first_at = now
        else:
            self.longest_gap = max(self.longest_gap, now - self.progressed_at)
        self.progressed_at = now

    @property
    def urgency(self) -> int:
        """Rank of the request, 0 for what is served first."""
        priority = self.organisation.priority
        if priority is None:
            priority = self.route.priority
        return max(0, min(MOST_URGENCY, priority))

    def sending(
        self,
        endpoint: str,
        address: str,
        path: Path | None,
        now: float,
        after: str,
        incarnation: str = "",
    ) -> Sending:
        """Return what to send to an endpoint.

        Args:
            endpoint: Name under which the endpoint registers.
            address: Its address.
            path: Path that starts there, None for a plain service.
            now: Present time.
            after: Identifier of the last event passed on, or empty.
            incarnation: Id of the endpoint's incarnation, empty if it has no other
                than its name.
        """
        return Sending(
            endpoint=endpoint,
            address=address,
            path=path,
            time_left=self.until - now,
            organisation=self.organisation.name,
            strip_key=self.strip_key,
            resume_after=after,
            urgency=self.urgency,
            incarnation=incarnation or endpoint,
        )

    def note(self, outcome: SendOutcome, reason: str) -> None:
        """Note what became of a send."""
        self.reason = reason
        if outcome is SendOutcome.REJECTED:
            self.rejections += 1
        if outcome in (SendOutcome.MAY_HAVE_RUN, SendOutcome.ANSWERED):
            self.worst = SendOutcome.MAY_HAVE_RUN
        elif self.worst is SendOutcome.NEVER_LEFT:
            self.worst = outcome

    def caller_gone(self) -> None:
        """Stop the endpoint's work, since the caller has left."""
        if self.current is not None:
            self.current.arrivals.put_nowait(Abandoned("the caller left"))
            self.current.abandon()

    def failure(self, kind: ErrorKind, retry_after: float | None) -> Refusal:
        """Return how the request ends without an answer of an endpoint.

        What may have run is never told as not run.
        """
        if self.worst is not SendOutcome.MAY_HAVE_RUN:
            return Refusal(kind, self.reason, Outcome.NOT_RUN, retry_after)
        timed_out = kind is ErrorKind.DEADLINE_EXCEEDED
        told = kind if timed_out else ErrorKind.ENDPOINT_FAILED
        return Refusal(told, self.reason, Outcome.UNKNOWN)
