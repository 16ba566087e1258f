"""Forwards calls to plain services."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.pipelines.admission_queue import wait_in_time
from lacewingcourse.core.pipelines.choice import choose_endpoint
from lacewingcourse.core.pipelines.crashes import AnswerProgress
from lacewingcourse.core.pipelines.send_history import SendOutcome
from lacewingcourse.relay.admission import RETRY_PERIOD, Admission
from lacewingcourse.relay.connections import (
    NotSent,
    Unsent,
)
from lacewingcourse.relay.crash_guard import CrashGuard
from lacewingcourse.relay.limited_choice import choose_sendable
from lacewingcourse.relay.retry_times import CALL_RETRY_AFTER, RetryTimes
from lacewingcourse.relay.room import TakenRoom, take_slot
from lacewingcourse.relay.sending import (
    SERVER_ERROR,
    AnswerReader,
    NoAnswer,
    Sender,
    WholeAnswer,
)

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.retry_budget import RetryBudget
    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.job import Job
    from lacewingcourse.relay.routing_state import RoutingState
    from lacewingcourse.relay.upstream import Exchange

#: Failed connection attempts after which a call is refused.
MAX_CONNECT_FAILURES = 3
#: Multiple of the route's objective after which an idempotent call is tried at another
#: endpoint.
PATIENCE_OBJECTIVES = 2.5
#: Error kind of a call that was not sent for a reason unrelated to the endpoint.
UNSENT_ERROR_KINDS = {
    Unsent.OVERDUE: ErrorKind.DEADLINE_EXCEEDED,
    Unsent.NO_DESCRIPTOR: ErrorKind.OVERLOADED,
    Unsent.LEAVING: ErrorKind.DRAINING,
    Unsent.NO_RETRY: ErrorKind.RETRIES_EXHAUSTED,
    Unsent.CRASHES: ErrorKind.REQUEST_CRASHES_ENDPOINTS,
    Unsent.CALLER_LEFT: ErrorKind.CALLER_GONE,
    Unsent.MAY_HAVE_RUN: ErrorKind.ENDPOINT_FAILED,
}
#: Causes of a call that was not sent, after which an endpoint is chosen anew.
NOT_SENT_YET = frozenset({Unsent.OVER_LIMIT, Unsent.BACKING_OFF})


@attrs.define
class CallForwarder:
    """Sends calls to endpoints of plain services.

    Attributes:
        routing_state: Local view of the endpoints.
        sender: Sends requests.
        budget: Retry budget.
        zone: Availability zone of this entry.
        rng: Source of random numbers.
        log: Decision log.
        crash_guard: Refuses calls that crash endpoints.
        admission: Gives slots of endpoints to calls in their order.
        retry_times: Computes when refused callers may return.
    """

    routing_state: RoutingState
    sender: Sender
    budget: RetryBudget
    zone: str
    rng: Random
    log: DecisionLog
    crash_guard: CrashGuard = attrs.field()
    admission: Admission = attrs.field()
    retry_times: RetryTimes = attrs.field()

    @crash_guard.default
    def _own_crash_guard(self) -> CrashGuard:
        return CrashGuard(self.routing_state, self.log, self.sender.clock)

    @admission.default
    def _own_admission(self) -> Admission:
        return Admission(self.sender.clock)

    @retry_times.default
    def _own_retry_times(self) -> RetryTimes:
        return RetryTimes(self.routing_state.durations, self.rng)

    async def serve(self, job: Job) -> WholeAnswer | Refusal:
        """Return an endpoint's answer to a call, or the refusal if it has none."""
        try:
            return await self._serve(job)
        finally:
            self.sender.end(job)

    async def _serve(self, job: Job) -> WholeAnswer | Refusal:
        """Send a call until it is answered or cannot be sent again."""
        connect_failures = 0
        last_answer: WholeAnswer | None = None
        while True:
            now = self.sender.clock()
            if now >= job.deadline:
                return last_answer or job.failure(ErrorKind.DEADLINE_EXCEEDED, None)
            room = await self._wait_for_slot(job)
            if isinstance(room, Refusal):
                job.reason = job.reason or room.reason
                wait = self.retry_times.for_call(room)
                return last_answer or job.failure(room.kind, wait)
            endpoint, now = room.target, self.sender.clock()
            try:
                result = await self._attempt(job, endpoint)
            finally:
                room.release()
            if isinstance(result, NotSent) and result.cause in NOT_SENT_YET:
                continue
            if isinstance(result, NotSent) and result.cause in UNSENT_ERROR_KINDS:
                job.reason = result.reason
                return last_answer or job.failure(
                    UNSENT_ERROR_KINDS[result.cause], CALL_RETRY_AFTER
                )
            if isinstance(result, NotSent):
                self.routing_state.suspects.suspect(endpoint.id, result.reason, now)
                job.avoid.add(endpoint.id)
                job.reason = result.reason
                connect_failures += 1
                if connect_failures >= MAX_CONNECT_FAILURES:
                    return last_answer or job.failure(
                        ErrorKind.NO_ROUTE, CALL_RETRY_AFTER
                    )
                continue
            job.avoid.add(endpoint.id)
            self._record_soundness(endpoint, result)
            if isinstance(result, WholeAnswer):
                if result.head.status < SERVER_ERROR or not job.may_try_another:
                    return result
                job.reason = f"status {result.head.status}"
                last_answer = result
                continue
            job.reason = result.reason
            self.log.lost(job, endpoint.id, result.reason)
            if result.connection_lost:
                progress = AnswerProgress.UNANSWERED
                self.crash_guard.record_loss(job, endpoint.id, progress)
            if not job.may_try_another:
                return last_answer or self._failure(job, result)

    def _record_soundness(
        self, endpoint: Endpoint, result: WholeAnswer | NoAnswer
    ) -> None:
        """Leave an endpoint out for a while if it writes bytes that are no answers."""
        faults = self.routing_state.answer_faults
        if isinstance(result, WholeAnswer):
            faults.record_sound(endpoint.id)
        elif result.fault is not None and faults.record(endpoint.id, result.fault):
            now = self.sender.clock()
            self.routing_state.suspects.suspect(endpoint.id, result.reason, now)

    async def _wait_for_slot(self, job: Job) -> TakenRoom | Refusal:
        """Return a slot of an endpoint, or why there is none.

        Only a call that was not sent waits: any other has an answer to return, or its
        caller has waited for an endpoint before.
        """

        def on_release() -> None:
            self.admission.room_changed(job.service)

        def take() -> TakenRoom | Refusal:
            found = self._choose(job, self.sender.clock())
            if isinstance(found, Refusal):
                return found
            return take_slot(self.routing_state.loads, found, on_release)

        latest_start = wait_in_time(job.request.received_at, job.route.objective)
        if job.sends or job.avoid or job.caller.disconnected:
            latest_start = job.request.received_at
        return await self.admission.room_for(job, 1, take, latest_start)

    def _choose(
        self, job: Job, now: float, besides: Collection[str] = ()
    ) -> Endpoint | Refusal:
        """Return the endpoint that a call may be sent to now, or why there is none.

        The call then holds the retry and the permit under a limit that the send needs.

        Args:
            job: The call.
            now: Present time in seconds.
            besides: Endpoints to avoid in addition to those that the call avoids.
        """
        refusal = job.drain_refusal(now) or self.crash_guard.refusal(job)
        if refusal is not None:
            return refusal
        if job.sends and not self.budget.hold(job.service, job, now, reserved=False):
            return Refusal(ErrorKind.RETRIES_EXHAUSTED, Unsent.NO_RETRY.value)
        usable = self.routing_state.usable(job.service, now)
        if not usable:
            usable = self.routing_state.fleet.of_service(job.service)
        limits = self.routing_state.send_limits
        limits.release(job)
        found = self._choose_among(job, usable, job.avoid.union(besides), now)
        if isinstance(found, Refusal):
            self.sender.release_holds(job)
        else:
            limits.hold(found.id, job, now)
        return found

    def _choose_among(
        self,
        job: Job,
        endpoints: list[Endpoint],
        avoided: Collection[str],
        now: float,
    ) -> Endpoint | Refusal:
        """Return which of some endpoints a call may be sent to now, or why none."""
        limits, loads = self.routing_state.send_limits, self.routing_state.loads

        def choose(among: list[Endpoint]) -> Endpoint | Refusal:
            return choose_endpoint(among, loads, self.zone, avoided, self.rng)

        return choose_sendable(
            limits,
            self.routing_state.backoffs,
            job,
            endpoints,
            lambda endpoint: (endpoint.id,),
            choose,
            now,
        )

    async def _attempt(
        self, job: Job, endpoint: Endpoint
    ) -> WholeAnswer | NoAnswer | NotSent:
        """Return an endpoint's answer to a call, or why there is none."""
        result = await self._send(job, endpoint)
        if not isinstance(result, NoAnswer) or result.outcome is not SendOutcome.STALE:
            return result
        # Endpoints drop idle connections without notice; this is not a lost run.
        self.sender.pool.close_idle(endpoint.address)
        job.reason = result.reason
        again = await self._send(job, endpoint)
        if isinstance(again, NotSent) and again.cause is Unsent.UNREACHABLE:
            job.history.charge_stale()
            return result
        return again

    async def _send(
        self, job: Job, endpoint: Endpoint
    ) -> WholeAnswer | NoAnswer | NotSent:
        """Send a call to an endpoint and read its answer."""
        now = self.sender.clock()
        sending = job.sending(
            endpoint.name, endpoint.address, None, now, "", endpoint.id
        )
        sent = await self.sender.send(job, sending, job.needs_new_connection)
        if isinstance(sent, NotSent):
            return sent
        job.current_exchange = sent
        age = now - self.routing_state.fleet.known_at
        limit = self.routing_state.limits.named(endpoint.id)
        remaining = self.routing_state.backoffs.remaining(endpoint.id, now)
        self.log.sent(job, endpoint.id, age, job.waited, limit, remaining)
        if job.caller.disconnected:
            job.on_caller_disconnect()
        try:
            return await self._read(job, endpoint, sent, now)
        except BaseException:
            # The endpoint must not keep working for a caller whose answer has ended.
            sent.abandon()
            raise
        finally:
            job.current_exchange = None

    async def _read(
        self, job: Job, endpoint: Endpoint, exchange: Exchange, sent_at: float
    ) -> WholeAnswer | NoAnswer:
        """Return an endpoint's answer, or why it was abandoned.

        A slow endpoint is abandoned only if another one may be sent the call: closing
        its exchange first would lose an answer that may still come in time.
        """
        reader = AnswerReader(self.sender, exchange, job, sent_at)
        answer = await reader.read(self._answer_timeout_at(job, sent_at))
        while answer is None:
            now = self.sender.clock()
            if now >= job.deadline:
                return reader.abandon("no answer in time", timed_out=True)
            if self._may_switch(job, endpoint, now):
                return reader.abandon("no answer yet, and another one may give it")
            answer = await reader.read(min(job.deadline, now + RETRY_PERIOD))
        return answer

    def _may_switch(self, job: Job, endpoint: Endpoint, now: float) -> bool:
        """Return whether another endpoint may be sent the call instead."""
        if not job.may_try_another:
            return False
        other = self._choose(job, now, besides=(endpoint.id,))
        return not isinstance(other, Refusal)

    def _answer_timeout_at(self, job: Job, now: float) -> float:
        """Return the time until which to wait before another endpoint is tried."""
        if not job.may_try_another:
            return job.deadline
        patience = max(0.1, PATIENCE_OBJECTIVES * job.route.objective)
        return min(job.deadline, now + patience)

    def _failure(self, job: Job, result: NoAnswer) -> Refusal:
        if result.timed_out:
            return job.failure(ErrorKind.DEADLINE_EXCEEDED, None)
        if result.outcome is SendOutcome.REJECTED:
            return job.failure(ErrorKind.OVERLOADED, CALL_RETRY_AFTER)
        return job.failure(ErrorKind.ENDPOINT_FAILED, None)
