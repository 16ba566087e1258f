"""Routes, forwards and answers the requests of callers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.relay.admission import RETRY_PERIOD
from lacewingcourse.relay.caller import DEFAULT_BODY_TIMEOUT
from lacewingcourse.relay.connections import Unsent
from lacewingcourse.relay.crash_guard import CrashGuard
from lacewingcourse.relay.job import Job
from lacewingcourse.relay.sending import WholeAnswer
from lacewingcourse.relay.staleness import StalenessGuard

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from lacewingcourse.relay.caller import CallerExchange
    from lacewingcourse.relay.calls import CallForwarder
    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.ports import CallerRequest, RequestCodec
    from lacewingcourse.relay.readiness import Readiness
    from lacewingcourse.relay.routing_state import RoutingState
    from lacewingcourse.relay.streams import StreamForwarder

#: Seconds for which a request waits for the first configuration. An entry listens tens
#: of milliseconds before it has one, and after a restart of all entries the callers
#: that arrive then have no further retry.
FIRST_CONFIGURATION_WAIT = 0.8
#: `Retry-After` in seconds of an entry that has no configuration.
NOT_READY_RETRY_AFTER = 0.5
#: `Retry-After` in seconds of a draining entry while others serve; the caller's next
#: connection goes to another one. While every entry drains, the time until the first is
#: back is used instead.
DRAINING_RETRY_AFTER = 0.05
#: Greatest jitter in seconds that is added to the time until the first entry is back,
#: so that callers refused together do not return together.
RETRY_JITTER = 0.5
#: Reason of a request that a draining entry refuses or aborts.
DRAINING_REASON = Unsent.LEAVING.value


@attrs.define
class Gateway:
    """Routes, forwards and answers requests.

    Attributes:
        routing_state: Local view of the deployment.
        codec: Decodes and encodes requests and answers of the platform.
        calls: Forwards calls to plain services.
        streams: Forwards streams.
        readiness: State of this entry's drain.
        log: Decision log.
        clock: Returns the present time in seconds.
        ready_in: Returns the seconds until an entry accepts connections.
        rng: Source of random numbers.
        jobs: Jobs of the requests that were routed and have not ended.
        serving: Exchanges whose requests were received completely and have not ended.
        waits_for: Returns which entry `ready_in` is based on, for the log.
        guard: Decides whether refusals for unknown routes and keys can be trusted.
        crash_guard: Refuses requests that crash endpoints.
    """

    routing_state: RoutingState
    codec: RequestCodec
    calls: CallForwarder
    streams: StreamForwarder
    readiness: Readiness
    log: DecisionLog
    clock: Callable[[], float]
    ready_in: Callable[[], float]
    rng: Random
    jobs: dict[CallerExchange, Job] = attrs.field(factory=dict)
    serving: set[CallerExchange] = attrs.field(factory=set)
    waits_for: Callable[[], str] = lambda: ""
    guard: StalenessGuard = attrs.field(factory=StalenessGuard)
    crash_guard: CrashGuard = attrs.field()

    @crash_guard.default
    def _own_crash_guard(self) -> CrashGuard:
        return CrashGuard(self.routing_state, self.log, self.clock)

    async def serve(self, caller: CallerExchange) -> None:
        """Serve one request of a caller; always answer it, even after an exception."""
        self.serving.add(caller)
        caller.on_disconnect = lambda: self._withdraw(caller)
        try:
            await self._serve(caller)
        except asyncio.CancelledError:
            self._log_withdrawn(caller)
            raise
        except Exception as error:
            self.log.failed(error)
            if caller.response_started:
                caller.abort()
            else:
                self._refuse(caller, None, Refusal(ErrorKind.INTERNAL, "a defect"))
        finally:
            self.jobs.pop(caller, None)
            self.serving.discard(caller)

    def body_timeout(self, caller: CallerExchange) -> float:
        """Return the seconds within which the body of a request must arrive.

        A request that its caller or its route gives up before cannot be served.

        Args:
            caller: Exchange of the request.
        """
        request = self.codec.decode(
            caller.method, caller.target, caller.headers, caller.arrived_at
        )
        table = self.routing_state.table
        if isinstance(request, Refusal) or table is None:
            return DEFAULT_BODY_TIMEOUT
        route = table.route(request.host, request.path)
        limit = DEFAULT_BODY_TIMEOUT if isinstance(route, Refusal) else route.timeout
        return limit if request.timeout is None else min(limit, request.timeout)

    def reject_unread(self, caller: CallerExchange, refusal: Refusal) -> None:
        """Refuse a request before it has been received completely.

        Args:
            caller: Exchange of the request.
            refusal: Why; the request has not run.
        """
        request = self.codec.decode(
            caller.method, caller.target, caller.headers, caller.arrived_at
        )
        if isinstance(request, Refusal):
            request = None
        if refusal.retry_after is not None:
            wait = refusal.retry_after + self.rng.uniform(0.0, RETRY_JITTER)
            refusal = attrs.evolve(refusal, retry_after=wait)
        refusal = self._with_retry_after(refusal)
        if request is not None:
            self.log.refused(request, refusal, None)
        caller.answer_unread(*self.codec.refusal(refusal, request))

    def log_departure(self, caller: CallerExchange, quiet: float | None) -> None:
        """Log that a caller has left before the end of its answer.

        Args:
            caller: Exchange of its request.
            quiet: Seconds since then, None if unknown.
        """
        request = self.codec.decode(
            caller.method, caller.target, caller.headers, caller.arrived_at
        )
        name = "" if isinstance(request, Refusal) else request.id
        job, is_served = self.jobs.get(caller), caller in self.serving
        self.log.caller_closed(caller, name, job, is_served, quiet, self.clock())

    def _withdraw(self, caller: CallerExchange) -> None:
        """Stop serving a request whose caller has left, whatever it waits for.

        What it holds is released as its task ends.
        """
        job = self.jobs.get(caller)
        if job is not None:
            job.on_caller_disconnect()
        caller.cancel()

    def _log_withdrawn(self, caller: CallerExchange) -> None:
        """Log the end of a cancelled request if its caller has left."""
        job = self.jobs.get(caller)
        if job is not None and caller.disconnected:
            self.log.served(job, self.clock())

    def abort(self, caller: CallerExchange, now: float) -> None:
        """End an open request at the drain deadline, even if an exception is raised.

        Its task is cancelled first, so that it sends and answers nothing more.

        Args:
            caller: Exchange of the request.
            now: Present time in seconds.
        """
        caller.cancel()
        try:
            self._answer_aborted(caller, now)
        except Exception as error:
            self.log.failed(error)
            if not caller.response_ended:
                caller.abort()

    def _answer_aborted(self, caller: CallerExchange, now: float) -> None:
        """End the answer of a cancelled request, with its outcome as far as known."""
        job = self.jobs.get(caller)
        if caller.response_ended or caller.disconnected:
            return
        if job is None:
            wait = self._retry_after()
            refusal = Refusal(ErrorKind.DRAINING, DRAINING_REASON, retry_after=wait)
            self._refuse(caller, None, refusal)
            return
        self._abandon_send(job)
        if caller.response_started:
            caller.abort()
            cause = Refusal(ErrorKind.DRAINING, DRAINING_REASON, Outcome.PARTIAL)
            self.log.broken_off(job, cause, now)
            return
        refusal = job.failure(ErrorKind.DRAINING, self._retry_after())
        self.log.refused(job.request, refusal, job, self._awaited_entry(refusal))
        self._refuse(caller, job.request, refusal)

    def _abandon_send(self, job: Job) -> None:
        """Abandon the exchange with an endpoint for a request that is aborted."""
        job.reason = DRAINING_REASON
        if job.current_exchange is not None:
            job.current_exchange.abandon()

    async def _serve(self, caller: CallerExchange) -> None:
        request = self.codec.decode(
            caller.method, caller.target, caller.headers, caller.arrived_at
        )
        if isinstance(request, Refusal):
            self._refuse(caller, None, request)
            return
        request.body = bytes(caller.body)
        await self._wait_for_configuration(request)
        job = await self._resolve_job(caller, request)
        if isinstance(job, Refusal):
            job = self._with_retry_after(job)
            self.log.refused(request, job, None, self._awaited_entry(job))
            self._refuse(caller, request, job)
            return
        refusal = self.crash_guard.refusal(job)
        if refusal is not None:
            self.log.refused(request, refusal, job)
            self._refuse(caller, request, refusal)
            return
        self.jobs[caller] = job
        self.calls.budget.on_request(job.service, self.clock())
        refusal = await self._forward(job)
        now = self.clock()
        if refusal is None or caller.disconnected:
            if caller.response_complete:
                self.routing_state.crashes.clear(job.fingerprint)
                self._record_duration(job, now)
            self.log.served(job, now)
            return
        if not caller.response_started:
            refusal = self._with_retry_after(refusal)
            self.log.refused(request, refusal, job, self._awaited_entry(refusal))
            self._refuse(caller, request, refusal)
        else:
            caller.abort()
            self.log.broken_off(job, refusal, now)

    def _record_duration(self, job: Job, now: float) -> None:
        """Record how long a complete answer took."""
        durations, received = self.routing_state.durations, job.request.received_at
        durations.record_answer(job.route.name, now - received)
        if job.events > 1:
            interval = (job.last_event_at - job.first_event_at) / (job.events - 1)
            durations.record_stream(
                job.service, job.first_event_at - received, interval
            )

    async def _wait_for_configuration(self, request: CallerRequest) -> None:
        """Hold a request that arrived before the first configuration.

        A draining entry does not hold it, so that its caller retries elsewhere at once.
        """
        until = request.received_at + FIRST_CONFIGURATION_WAIT
        while self.routing_state.table is None and self.clock() < until:
            if self.readiness.draining:
                return
            await asyncio.sleep(RETRY_PERIOD)

    async def _resolve_job(
        self, caller: CallerExchange, request: CallerRequest
    ) -> Job | Refusal:
        """Return the job of a request, or why it is refused.

        A lookup that fails while the configuration is stale is repeated after a wait
        for a newer version.
        """
        job = self._route(caller, request)
        if not isinstance(job, Refusal) or not self.guard.may_be_outdated(job):
            return job
        await self.guard.wait_for_update()
        job = self._route(caller, request)
        if isinstance(job, Refusal) and self.guard.may_be_outdated(job):
            return self.guard.refusal(self.rng.random())
        return job

    def _route(self, caller: CallerExchange, request: CallerRequest) -> Job | Refusal:
        """Return the job of a request by the current table, or why it is refused."""
        table = self.routing_state.table
        if table is None and self.readiness.draining:
            return Refusal(ErrorKind.DRAINING, DRAINING_REASON)
        if table is None:
            reason = "no configuration is known yet"
            return Refusal(
                ErrorKind.NOT_READY, reason, retry_after=NOT_READY_RETRY_AFTER
            )
        route = table.route(request.host, request.path)
        if isinstance(route, Refusal):
            return route
        organisation = table.organisation(route, request.key)
        if isinstance(organisation, Refusal):
            return organisation
        patience = route.timeout
        if request.timeout is not None:
            patience = min(patience, request.timeout)
        deadline = request.received_at + patience
        service = route.service_for(request.id)

        def accepts(now: float) -> bool:
            return self.readiness.accepts(route.name, now, deadline)

        job = Job(
            request=request,
            route=route,
            service=service,
            organisation=organisation,
            caller=caller,
            strip_key=table.keys is not None,
            deadline=deadline,
            accepts=accepts,
        )
        now = self.clock()
        refusal = job.drain_refusal(now)
        if self.readiness.draining:
            self._log_last_request(job, refusal is None, now)
        return refusal or job

    def _with_retry_after(self, refusal: Refusal) -> Refusal:
        """Return a refusal that sends no caller back to draining entries."""
        if refusal.kind is ErrorKind.DRAINING:
            return attrs.evolve(refusal, retry_after=self._retry_after())
        if refusal.retry_after is None or not self.readiness.draining:
            return refusal
        wait = max(refusal.retry_after, self._retry_after())
        return attrs.evolve(refusal, retry_after=wait)

    def _log_last_request(self, job: Job, accepted: bool, now: float) -> None:
        """Log whether a request that arrived while this entry drains was accepted."""
        time = self.readiness.answer_time(job.route.name, now, job.deadline)
        self.log.last_request(
            job.request, accepted, time, self.readiness.drain_deadline - now
        )

    def _retry_after(self) -> float:
        """Return the seconds after which a caller reaches an entry that serves it."""
        wait = self.ready_in()
        if not wait:
            return DRAINING_RETRY_AFTER
        return wait + self.rng.uniform(0.0, RETRY_JITTER)

    def _awaited_entry(self, refusal: Refusal) -> str:
        """Return which entry the caller of a refused request waits for, or empty."""
        waits = refusal.kind is ErrorKind.DRAINING and refusal.retry_after is not None
        return self.waits_for() if waits else ""

    async def _forward(self, job: Job) -> Refusal | None:
        """Forward a request; return why it has no complete answer, else None."""
        shape = self.routing_state.shape(job.service)
        if shape is not None:
            return await self.streams.serve(job, shape)
        result = await self.calls.serve(job)
        if isinstance(result, WholeAnswer):
            headers = self.codec.for_caller(result.head)
            job.caller.answer(result.head.status, headers, result.body)
            return None
        return result

    def _refuse(
        self, caller: CallerExchange, request: CallerRequest | None, refusal: Refusal
    ) -> None:
        status, headers, body = self.codec.refusal(refusal, request)
        caller.answer(status, headers, body)
