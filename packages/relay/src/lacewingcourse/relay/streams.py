"""Forwarding of event streams, which move to another path when theirs breaks."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.core.pipelines.scheduling import RefusalCause
from lacewingcourse.core.pipelines.stream_copy import StreamCopy
from lacewingcourse.core.pipelines.suspects import Grade, is_full, rejection_grade
from lacewingcourse.relay.admission import RETRY_PERIOD
from lacewingcourse.relay.connections import (
    NotSent,
    Unsent,
)
from lacewingcourse.relay.crash_guard import CrashGuard
from lacewingcourse.relay.moving import Mover
from lacewingcourse.relay.path_finder import demand_of
from lacewingcourse.relay.retry_times import RetryTimes
from lacewingcourse.relay.room import TakenRoom, take_path
from lacewingcourse.relay.sending import Sender
from lacewingcourse.relay.stream_attempt import StreamAttempt
from lacewingcourse.relay.stream_state import (
    AttemptEnd,
    AttemptResult,
    Replacement,
    StreamState,
)
from lacewingcourse.relay.stream_times import StreamTimes

if TYPE_CHECKING:
    from collections.abc import Callable, Collection
    from random import Random

    from lacewingcourse.core.pipelines.path import Part, Path
    from lacewingcourse.core.pipelines.retry_budget import RetryBudget
    from lacewingcourse.core.pipelines.shape import EngineShape
    from lacewingcourse.relay.admission import Admission
    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.job import Job
    from lacewingcourse.relay.path_finder import PathFinder
    from lacewingcourse.relay.routing_state import RoutingState
    from lacewingcourse.relay.stall_watcher import StallWatcher
    from lacewingcourse.relay.upstream import Exchange, Head


#: Ends of an attempt that was not sent for a reason unrelated to the endpoint.
UNSENT_ENDS = {
    Unsent.OVERDUE: AttemptEnd.OVERDUE,
    Unsent.NO_DESCRIPTOR: AttemptEnd.HELD,
    Unsent.LEAVING: AttemptEnd.NOT_TAKEN,
    Unsent.NO_RETRY: AttemptEnd.NO_RETRY,
    Unsent.OVER_LIMIT: AttemptEnd.LIMITED,
    Unsent.BACKING_OFF: AttemptEnd.LIMITED,
    Unsent.CRASHES: AttemptEnd.CRASHES,
    Unsent.CALLER_LEFT: AttemptEnd.ABANDONED,
    Unsent.MAY_HAVE_RUN: AttemptEnd.MAY_HAVE_RUN,
}
#: Ends of an attempt that was not sent, after which it is decided anew whether and
#: where to send the request.
NOT_SENT_YET = frozenset({AttemptEnd.NO_RETRY, AttemptEnd.LIMITED, AttemptEnd.CRASHES})
#: Causes of a stream that ends incomplete after its last attempt.
NO_ATTEMPT_LEFT = "no attempt is left"
NOT_CONTINUABLE = "the ids of its events do not tell where another run continues"


@attrs.define
class StreamForwarder:
    """Sends streams along paths and relays their events to the callers.

    Attributes:
        routing_state: This entry's view of the endpoints.
        finder: Finds paths.
        sender: Sends requests to endpoints.
        budget: Retry budget.
        rng: Random generator.
        admission: Gives room on paths to requests in their order.
        stalls: Detects streams that stall behind dead endpoints.
        log: Decision log.
        on_suspect: Called when an endpoint is excluded that other entries still use.
        on_denied: Called with the service and the request id when the retry budget
            denies a retry.
        crash_guard: Refuses streams that crash endpoints.
        retry_times: Computes when refused callers may return.
        times: Predicts streams, and learns from those that ran.
    """

    routing_state: RoutingState
    finder: PathFinder
    sender: Sender
    budget: RetryBudget
    rng: Random
    admission: Admission
    stalls: StallWatcher
    log: DecisionLog
    on_suspect: Callable[[], None] = lambda: None
    on_denied: Callable[[str, str], None] = lambda service, request: None
    crash_guard: CrashGuard = attrs.field()
    retry_times: RetryTimes = attrs.field()
    times: StreamTimes = attrs.field(init=False)

    @crash_guard.default
    def _own_crash_guard(self) -> CrashGuard:
        return CrashGuard(self.routing_state, self.log, self.sender.clock)

    @retry_times.default
    def _own_retry_times(self) -> RetryTimes:
        return RetryTimes(self.routing_state.durations, self.rng)

    @times.default
    def _own_times(self) -> StreamTimes:
        return StreamTimes(self.routing_state, self.log)

    async def serve(self, job: Job, shape: EngineShape) -> Refusal | None:
        """Forward a stream to the caller.

        Args:
            job: The request.
            shape: Performance figures of the service's engines.

        Returns:
            A refusal if the response could not be completed, None if it was, or if the
            caller left.
        """
        copy = StreamCopy(job.request.resume_after)
        state = StreamState(job, shape, demand_of(job, shape), copy)
        refusal = self.finder.oversized(job, shape, state.demand)
        if refusal is not None:
            job.refused_by = RefusalCause.OVERSIZED.value
            return self._fail(state, refusal.kind, refusal.reason, refusal)
        try:
            return await self._serve(state)
        finally:
            self.sender.end(job)

    async def _serve(self, state: StreamState) -> Refusal | None:
        """Make attempts until the response is complete or no further one is allowed."""
        job = state.job
        replacement: Replacement | None = None
        while True:
            if replacement is not None:
                room = self._take_path(state, replacement.path)
            else:
                room = await self._wait_for_room(state)
            if isinstance(room, Refusal):
                return self._fail(state, room.kind, room.reason, room)
            path = room.target
            try:
                result = await self._run_attempt(state, path, replacement)
            finally:
                room.release()
            replacement = result.replacement if result is not None else None
            if result is None:
                self.exclude_unreachable(job, path)
                continue
            if result.end is AttemptEnd.WHOLE:
                self.routing_state.answer_faults.record_sound(path.first.endpoint)
            if result.end is AttemptEnd.WHOLE and job.events:
                self.crash_guard.record_established(job)
                self.times.record_whole(job, self.sender.clock())
            if result.end in (AttemptEnd.WHOLE, AttemptEnd.ABANDONED):
                return None
            if result.end is AttemptEnd.NOT_TAKEN:
                return self._fail(state, ErrorKind.DRAINING, result.reason)
            if result.end is AttemptEnd.MAY_HAVE_RUN:
                return self._fail(state, ErrorKind.ENDPOINT_FAILED, result.reason)
            if result.end is AttemptEnd.HELD:
                if not job.caller.response_started or job.caller.disconnected:
                    return self._fail(state, ErrorKind.OVERLOADED, result.reason)
                await asyncio.sleep(RETRY_PERIOD)
                continue
            if result.end in NOT_SENT_YET:
                continue
            self.record_failure(job, path, result)
            if replacement is not None and replacement.standby is not None:
                continue
            if result.end is AttemptEnd.OVERDUE:
                return self._fail(state, ErrorKind.DEADLINE_EXCEEDED, result.reason)
            if result.end is AttemptEnd.FAILED or not job.may_send_again:
                cause = NO_ATTEMPT_LEFT if job.is_continuable else NOT_CONTINUABLE
                return self._fail(state, self._error_kind(result), cause)

    async def _wait_for_room(self, state: StreamState) -> TakenRoom | Refusal:
        """Return room on a path, waiting for it if necessary, or why there is none."""

        def take() -> TakenRoom | Refusal:
            path = self.reserve_path(state)
            return path if isinstance(path, Refusal) else self._take_path(state, path)

        return await self.admission.room_for(
            state.job,
            state.demand.tokens,
            take,
            self.admission.latest_start(state.job),
        )

    def _take_path(self, state: StreamState, path: Path) -> TakenRoom:
        """Take room on a path, and on the links that carry the prompt."""
        now = self.sender.clock()
        for pair in path.crossings:
            seconds = state.shape.transfer_seconds(state.demand.prompt_tokens)
            self.routing_state.links.record_transfer(pair, seconds, now)

        running = state.job.running = self.times.begin(state, path, now)

        def on_release() -> None:
            self.times.end(state.job, running)
            self.admission.room_changed(state.job.service)

        tokens = state.demand.tokens
        return take_path(self.routing_state.loads, path, tokens, on_release)

    def reserve_path(
        self, state: StreamState, also_avoid: Collection[str] = ()
    ) -> Path | Refusal:
        """Reserve what a send needs; return a path for it, or why there is none.

        The request then holds a retry, if it needs one, and a permit of the first
        endpoint's rate limit.

        Args:
            state: The stream.
            also_avoid: Endpoints to avoid in addition to the request's own.
        """
        job = state.job
        refusal = self.reserve_retry(job)
        if refusal is not None:
            return refusal
        limits = self.routing_state.send_limits
        limits.release(job)
        found = self.finder.find(job, state.shape, state.demand, also_avoid)
        if isinstance(found, Refusal):
            self.sender.release_holds(job)
        else:
            limits.hold(found.first.endpoint, job, self.sender.clock())
        return found

    def reserve_retry(self, job: Job) -> Refusal | None:
        """Hold a retry for a request; return why it may not be sent, None if it may."""
        now = self.sender.clock()
        refusal = job.drain_refusal(now) or self.crash_guard.refusal(job)
        if refusal is not None:
            return refusal
        if job.sends and not self.budget.hold(
            job.service, job, now, reserved=not job.caller_may_retry
        ):
            self.on_denied(job.service, job.request.id)
            return Refusal(ErrorKind.RETRIES_EXHAUSTED, Unsent.NO_RETRY.value)
        return None

    async def _run_attempt(
        self, state: StreamState, path: Path, replacement: Replacement | None
    ) -> AttemptResult | None:
        """Make an attempt on a path; return None if the request was not sent.

        Args:
            state: The stream.
            path: The path.
            replacement: Replacement of a stalled attempt that the path belongs to,
                None if it replaces none.
        """
        job = state.job
        job.path = path
        result = await self._send_and_relay(state, replacement)
        if result is None or result.end is not AttemptEnd.DROPPED:
            return result
        # Endpoints close pooled connections without notice. Counted as lost attempts,
        # these would use up the route's attempts.
        self.sender.pool.close_idle(path.first.address)
        retried = await self._send_and_relay(state)
        if retried is None:
            # The endpoint cannot be reached any more. It may have crashed while it ran
            # this request.
            job.history.charge_stale()
            self.exclude_unreachable(job, path)
            return AttemptResult(AttemptEnd.LOST, result.reason, first_lost=True)
        return retried

    async def _send_and_relay(
        self, state: StreamState, replacement: Replacement | None = None
    ) -> AttemptResult | None:
        """Send a stream on its path and relay the response; None if it was not sent.

        Args:
            state: The stream.
            replacement: Replacement of a stalled attempt: an open standby, or a
                connection to send over. None if this attempt replaces none.
        """
        if replacement is not None and replacement.standby is not None:
            standby = replacement.standby
            return await self._relay_response(state, standby.exchange, standby.head)
        reserved = replacement.connection if replacement is not None else None
        job = state.job
        now = self.sender.clock()
        first = job.path.first
        after = state.copy.last_id
        if now >= job.deadline:
            if reserved is not None:
                reserved.close()
            return self._result_of_unsent(NotSent(Unsent.OVERDUE))
        sending = job.sending(
            first.name, first.address, job.path, now, after, first.endpoint
        )
        sent = await self.sender.send(job, sending, job.needs_new_connection, reserved)
        if isinstance(sent, NotSent):
            job.reason = sent.reason
            return self._result_of_unsent(sent)
        self.log_send(job, job.path)
        return await self._relay_response(state, sent, None)

    async def _relay_response(
        self, state: StreamState, sent: Exchange, head: Head | None
    ) -> AttemptResult:
        """Relay the response of an attempt that was sent.

        Args:
            state: The stream.
            sent: The HTTP exchange of the attempt.
            head: Head of the response if it was already received.
        """
        job = state.job
        try:
            job.current_exchange = sent
            self.stalls.begin(job, self.sender.clock())
            if job.caller.disconnected:
                job.on_caller_disconnect()
            state.copy.begin_run()
            mover = Mover(self, state, job.path)
            attempt = StreamAttempt(
                state, sent, self.sender, self.stalls, self.log, mover, head
            )
            return await attempt.relay()
        except BaseException:
            # Stop the engine: the caller's response has ended.
            sent.abandon()
            raise
        finally:
            job.current_exchange = None
            self.stalls.end(job)

    def log_send(self, job: Job, path: Path) -> None:
        """Log that an attempt was sent on a path."""
        job.path = path
        age = job.sent_at - self.routing_state.fleet.known_at
        limit = self.routing_state.limits.named(path.first.endpoint)
        remaining = self.routing_state.backoffs.remaining(
            path.first.endpoint, job.sent_at
        )
        self.log.sent(job, path.first.endpoint, age, job.waited, limit, remaining)

    def exclude_unreachable(self, job: Job, path: Path) -> None:
        """Exclude the first endpoint of a path, to which no connection was made."""
        endpoint = path.first.endpoint
        reason, now = Unsent.UNREACHABLE.value, self.sender.clock()
        slow = self.routing_state.speeds.slowdown(endpoint, now) > 1.0
        grade = Grade.SLOW if slow else Grade.LOST
        self.routing_state.suspects.suspect(endpoint, reason, now, grade=grade)
        job.avoid.add(endpoint)

    def _result_of_unsent(self, sent: NotSent) -> AttemptResult | None:
        """Return the result of a request that was not sent, None to try another path.

        A passed deadline or a shortage in this entry is no fault of the endpoint. If
        endpoints were excluded for it, a few such requests would exclude all of them
        for every other request.
        """
        end = UNSENT_ENDS.get(sent.cause)
        return None if end is None else AttemptResult(end, sent.reason)

    def record_failure(self, job: Job, path: Path, result: AttemptResult) -> None:
        """Log a failed attempt, and exclude endpoints for this request or for all."""
        now = self.sender.clock()
        at_fault = [p for p in path.parts if p.address == result.fault_address]
        filled = None
        if at_fault:
            endpoint = at_fault[0].endpoint
            job.avoid.add(endpoint)
            filled = self._memory_share(job, at_fault[0])
            if is_full(result.misdirected, filled):
                self.stalls.probe(at_fault[0], now)
            elif not self.routing_state.backoffs.remaining(endpoint, now):
                by_itself = at_fault[0] == path.first
                grade = rejection_grade(result.misdirected, by_itself)
                self.routing_state.suspects.suspect(
                    endpoint, result.reason, now, grade=grade
                )
                # Gossip reaches the other entries one round later. Until then each of
                # them sends requests to this endpoint, and each request costs a retry.
                self.on_suspect()
        elif result.fault is not None:
            self._record_fault(job, path.first.endpoint, result)
        elif result.first_lost:
            job.avoid.add(path.first.endpoint)
            self.crash_guard.record_loss(job, path.first.endpoint, result.progress)
        elif result.end is AttemptEnd.STALLED:
            if not path.uses(job.avoid):
                job.avoid.update(part.endpoint for part in path.parts)
        else:
            job.avoid.add(path.first.endpoint)
        fault = at_fault[0].endpoint if at_fault else ""
        progress = result.progress if result.first_lost else None
        self.log.lost(job, path.first.endpoint, result.reason, fault, filled, progress)

    def _record_fault(self, job: Job, endpoint: str, result: AttemptResult) -> None:
        """Leave an endpoint out for a while if it writes bytes that are no answers."""
        job.avoid.add(endpoint)
        if self.routing_state.answer_faults.record(endpoint, result.fault):
            self.routing_state.suspects.suspect(
                endpoint, result.reason, self.sender.clock(), grade=Grade.LOST
            )
            self.on_suspect()

    def _memory_share(self, job: Job, part: Part) -> float:
        """Return the estimated share of a part's memory that is in use."""
        shape = self.routing_state.shape(job.service)
        if shape is None:
            return 0.0
        return self.routing_state.chooser(shape).memory_share(part)

    def _error_kind(self, result: AttemptResult) -> ErrorKind:
        if result.end is AttemptEnd.REJECTED:
            return ErrorKind.OVERLOADED
        return ErrorKind.STAGE_LOST

    def _fail(
        self,
        state: StreamState,
        kind: ErrorKind,
        cause: str,
        cause_refusal: Refusal | None = None,
    ) -> Refusal | None:
        """Return the refusal of a stream that cannot continue.

        Returns None if an engine's own error response was sent to the caller instead.

        Args:
            state: The stream.
            kind: Kind of the refusal.
            cause: What happened.
            cause_refusal: Why it got no room, None if it was sent.
        """
        job = state.job
        if state.failure is not None and not job.caller.response_started:
            headers = self.sender.codec.for_caller(state.failure.head)
            job.caller.answer(state.failure.head.status, headers, state.failure.body)
            return None
        if job.caller.response_started:
            return Refusal(kind, cause, Outcome.PARTIAL)
        job.reason = job.reason or cause
        wait = self.retry_times.for_stream(job, kind, cause_refusal)
        return job.failure(kind, wait)
