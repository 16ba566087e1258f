"""Search for the next path of a stalled stream, and standby attempts on it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.pipelines.send_history import SendOutcome
from lacewingcourse.core.pipelines.suspects import Grade
from lacewingcourse.relay.connections import NotSent, Unsent
from lacewingcourse.relay.stream_state import AttemptEnd, Replacement, Standby

if TYPE_CHECKING:
    from collections.abc import Collection

    from lacewingcourse.core.pipelines.path import Path
    from lacewingcourse.core.pipelines.retry_budget import RetryBudget
    from lacewingcourse.relay.crash_guard import CrashGuard
    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.job import Job
    from lacewingcourse.relay.routing_state import RoutingState
    from lacewingcourse.relay.sending import Sender
    from lacewingcourse.relay.stall_watcher import StallWatcher
    from lacewingcourse.relay.stream_state import AttemptResult, StreamState
    from lacewingcourse.relay.stream_times import StreamTimes


class Forwarder(Protocol):
    """The part of a stream forwarder that a move needs.

    Attributes:
        routing_state: This entry's view of the endpoints.
        sender: Sends requests to endpoints.
        budget: Retry budget.
        stalls: Detects streams that stall behind dead endpoints.
        log: Decision log.
        crash_guard: Refuses streams that crash endpoints.
        times: Predicts streams, and learns from those that ran.
    """

    routing_state: RoutingState
    sender: Sender
    budget: RetryBudget
    stalls: StallWatcher
    log: DecisionLog
    crash_guard: CrashGuard
    times: StreamTimes

    def reserve_path(
        self, state: StreamState, also_avoid: Collection[str] = ()
    ) -> Path | Refusal:
        """Reserve what a send needs; return a path for it, or why there is none."""

    def reserve_retry(self, job: Job) -> Refusal | None:
        """Hold a retry for a request; return why it may not be sent, None if it may."""

    def log_send(self, job: Job, path: Path) -> None:
        """Log that an attempt was sent on a path."""

    def exclude_unreachable(self, job: Job, path: Path) -> None:
        """Exclude the first endpoint of a path, to which no connection was made."""

    def record_failure(self, job: Job, path: Path, result: AttemptResult) -> None:
        """Log a failed attempt, and exclude endpoints for this request or for all."""


@attrs.define
class Mover:
    """Finds the next path of a stalled stream, and starts a standby attempt on it.

    Whether that path has room is certain only once its first engine has responded.
    Until then the stalled attempt stays open, as it is all that the caller has.

    Attributes:
        forwarder: Forwards the stream.
        state: The stream.
        path: Path of the stalled attempt.
    """

    forwarder: Forwarder
    state: StreamState
    path: Path

    @property
    def job(self) -> Job:
        """The request."""
        return self.state.job

    async def find_replacement(self) -> Replacement | Refusal:
        """Return the next path with a connection to it, or why there is none."""
        found = self._next_path()
        if isinstance(found, Refusal):
            return found
        path, has_room = found
        connection = await self.forwarder.sender.reserve(
            path.first.address, self.job.needs_new_connection
        )
        if isinstance(connection, NotSent):
            self._release_holds()
            if connection.cause is Unsent.UNREACHABLE:
                self.forwarder.exclude_unreachable(self.job, path)
            return Refusal(ErrorKind.NO_ROUTE, connection.reason)
        replacement = Replacement(path, connection, has_room)
        refusal = self.forwarder.reserve_retry(self.job)
        if refusal is not None:
            self.discard(replacement)
            return refusal
        return replacement

    def discard(self, found: Replacement) -> None:
        """Close the connection of an unused replacement, and release its holds."""
        found.connection.close()
        self._release_holds()

    async def start_standby(self, found: Replacement) -> Standby | None:
        """Start an attempt on the path of a replacement; None if it was not sent."""
        forwarder, job, path = self.forwarder, self.job, found.path
        now = forwarder.sender.clock()
        after, forwarded = self.state.copy.last_id, self.state.copy.forwarded
        first = path.first
        sending = job.sending(
            first.name, first.address, path, now, after, first.endpoint
        )
        sent = await forwarder.sender.send(
            job, sending, job.needs_new_connection, found.connection
        )
        if isinstance(sent, NotSent):
            return None
        forwarder.routing_state.loads.begin(path, self.state.demand.tokens)
        forwarder.log_send(job, path)
        forwarder.stalls.end(job)
        forwarder.stalls.begin(job, now)
        return Standby(path, sent, now, forwarded)

    def release_load(self, standby: Standby) -> None:
        """Remove a standby's load, once it has ended or the stream continues on it.

        A stream that continues on it adds the load again.
        """
        self.forwarder.routing_state.loads.end(standby.path, self.state.demand.tokens)

    def drop_standby(self, standby: Standby) -> None:
        """Close a standby that is not needed, and keep the current attempt."""
        standby.exchange.abandon()
        standby.exchange.send.conclude(SendOutcome.MAY_HAVE_RUN)
        ran = self.forwarder.sender.clock() - standby.started_at
        self.forwarder.log.standby_dropped(self.job, ran)
        self._restore_current(standby)

    def on_standby_failed(self, standby: Standby) -> None:
        """Record the failure of a standby, and keep the current attempt."""
        if standby.failure.end is AttemptEnd.DROPPED:
            # A stale connection costs no attempt; the next one uses a new connection.
            self.forwarder.sender.pool.close_idle(standby.path.first.address)
        else:
            self.forwarder.record_failure(self.job, standby.path, standby.failure)
        self._restore_current(standby)

    def _release_holds(self) -> None:
        self.forwarder.sender.release_holds(self.job)

    def _restore_current(self, standby: Standby) -> None:
        self.release_load(standby)
        self.forwarder.stalls.end(self.job)
        self.job.path = self.path

    def _suspects_to_avoid(self) -> Collection[str]:
        """Return the suspected endpoints unless the present path may have lost one.

        A stream behind an endpoint that is only slow gains nothing behind another one,
        where its prompt would be read again.
        """
        now = self.forwarder.sender.clock()
        grades = self.forwarder.routing_state.suspects.grades(now)
        known = {grades.get(part.endpoint) for part in self.path.parts}
        return grades if known <= {None, Grade.SLOW} else ()

    def _next_path(self) -> tuple[Path, bool] | Refusal:
        """Return a path, and whether it has room while the current attempt is open."""
        job, path, tokens = self.job, self.path, self.state.demand.tokens
        also_avoid = set(self._suspects_to_avoid())
        if not path.uses(job.avoid):
            also_avoid.update(part.endpoint for part in path.parts)
        found = self.forwarder.reserve_path(self.state, also_avoid)
        if not isinstance(found, Refusal):
            return found, True
        loads = self.forwarder.routing_state.loads
        loads.end(path, tokens)
        try:
            found = self.forwarder.reserve_path(self.state, also_avoid)
        finally:
            loads.begin(path, tokens)
        return found if isinstance(found, Refusal) else (found, False)
