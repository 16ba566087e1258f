"""What callers meet: each request is routed, forwarded and answered here."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.relay.admission import RETRY_PERIOD
from lacewingcourse.relay.connections import Unsent
from lacewingcourse.relay.job import Job
from lacewingcourse.relay.sending import WholeAnswer
from lacewingcourse.relay.staleness import StalenessGuard
from lacewingcourse.relay.upstream import SendOutcome

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from lacewingcourse.relay.beliefs import Beliefs
    from lacewingcourse.relay.caller import CallerExchange
    from lacewingcourse.relay.calls import CallForwarder
    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.ports import CallerRequest, RequestCodec
    from lacewingcourse.relay.readiness import Readiness
    from lacewingcourse.relay.streams import StreamForwarder

#: Seconds for which a request waits for the first configuration. An entry listens
#: tens of milliseconds before it has one; after a restart of all entries the callers
#: that come then have no further try.
FIRST_CONFIGURATION_WAIT = 0.8
#: Seconds after which a caller may try an entry again that knows no configuration.
NOT_READY_RETRY = 0.5
#: Seconds after which a caller may try again that met an entry about to end while
#: others serve; its next connection goes to another one. While every entry is ending,
#: the time is that until the first is back.
LEAVING_RETRY = 0.05
#: Seconds by which that time is spread, so that those refused together do not return
#: together.
RETRY_SPREAD = 0.5
#: Why a request is refused or cut short by an entry that leaves.
LEAVING = Unsent.LEAVING.value


@attrs.define
class Gateway:
    """Routes, forwards and answers requests.

    Attributes:
        beliefs: What is believed of the deployment.
        codec: How requests look on the platform.
        calls: Forwards calls to plain services.
        streams: Forwards streams.
        readiness: Whether this entry is ending.
        log: Log of decisions.
        clock: Returns the present time in seconds.
        ready_in: Returns the seconds until an entry takes connections.
        rng: Source of draws.
        jobs: What is done for the requests that were routed and have not ended.
        serving: Those whose requests have arrived whole and have not ended.
        waits_for: Returns what the seconds of `ready_in` rest on, for the log.
        guard: Tells whether refusals for unknown routes and keys can be trusted.
    """

    beliefs: Beliefs
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

    async def serve(self, caller: CallerExchange) -> None:
        """Serve one request of a caller; whatever happens, it is answered."""
        self.serving.add(caller)
        try:
            await self._serve(caller)
        except Exception as error:
            self.log.failed(error)
            if caller.begun:
                caller.break_off()
            else:
                self._refuse(caller, None, Refusal(ErrorKind.INTERNAL, "a defect"))
        finally:
            self.jobs.pop(caller, None)
            self.serving.discard(caller)

    def cut_short(self, caller: CallerExchange, now: float) -> None:
        """End a request for which no time is left, whatever happens.

        Its task is stopped first, so that nothing is sent for it any more and nothing
        else is answered.

        Args:
            caller: Whose request it is.
            now: Present time in seconds.
        """
        caller.cancel()
        try:
            self._tell_end(caller, now)
        except Exception as error:
            self.log.failed(error)
            if not caller.ended:
                caller.break_off()

    def _tell_end(self, caller: CallerExchange, now: float) -> None:
        """End a request that was stopped, as truly as can be told."""
        job = self.jobs.get(caller)
        if caller.ended or caller.gone:
            return
        if job is None:
            wait = self._other_entry()
            refusal = Refusal(ErrorKind.DRAINING, LEAVING, retry_after=wait)
            self._refuse(caller, None, refusal)
            return
        self._stop(job)
        if caller.begun:
            caller.break_off()
            cause = Refusal(ErrorKind.DRAINING, LEAVING, Outcome.PARTIAL)
            self.log.broken_off(job, cause, now)
            return
        refusal = job.failure(ErrorKind.DRAINING, self._other_entry())
        self.log.refused(job.request, refusal, job, self._basis(refusal))
        self._refuse(caller, job.request, refusal)

    def _stop(self, job: Job) -> None:
        """Stop what an endpoint does for a request that is cut short."""
        if job.current is None:
            job.reason = LEAVING
            return
        job.note(SendOutcome.MAY_HAVE_RUN, LEAVING)
        job.current.abandon()

    async def _serve(self, caller: CallerExchange) -> None:
        request = self.codec.decode(
            caller.method, caller.target, caller.headers, caller.arrived_at
        )
        if isinstance(request, Refusal):
            self._refuse(caller, None, request)
            return
        request.body = bytes(caller.body)
        await self._wait_for_configuration(request)
        job = await self._certain_job(caller, request)
        if isinstance(job, Refusal):
            job = self._with_return_time(job)
            self.log.refused(request, job, None, self._basis(job))
            self._refuse(caller, request, job)
            return
        if self.beliefs.crashes.is_refused(job.fingerprint, self.clock()):
            reason = "endpoints were lost each time it ran"
            kind = ErrorKind.REQUEST_CRASHES_ENDPOINTS
            refusal = Refusal(kind, reason, Outcome.RAN)
            self.log.refused(request, refusal, job)
            self._refuse(caller, request, refusal)
            return
        caller.on_gone = job.caller_gone
        self.jobs[caller] = job
        self.calls.budget.on_request(job.service, self.clock())
        refusal = await self._forward(job)
        now = self.clock()
        if refusal is None:
            if caller.whole:
                self.beliefs.crashes.clear(job.fingerprint)
                self._note_duration(job, now)
            self.log.served(job, now)
            return
        if not caller.begun:
            refusal = self._with_return_time(refusal)
            self.log.refused(request, refusal, job, self._basis(refusal))
            self._refuse(caller, request, refusal)
        elif caller.gone:
            self.log.served(job, now)
        else:
            caller.break_off()
            self.log.broken_off(job, refusal, now)

    def _note_duration(self, job: Job, now: float) -> None:
        """Note how long a whole answer took."""
        durations, received = self.beliefs.durations, job.request.received_at
        durations.record_answer(job.route.name, now - received)
        if job.events > 1:
            interval = (job.progressed_at - job.first_at) / (job.events - 1)
            durations.record_stream(job.service, job.first_at - received, interval)

    async def _wait_for_configuration(self, request: CallerRequest) -> None:
        """Hold a request that came before the first configuration did.

        An entry that is ending asks its caller to go elsewhere at once.
        """
        until = request.received_at + FIRST_CONFIGURATION_WAIT
        while self.beliefs.table is None and self.clock() < until:
            if self.readiness.leaving:
                return
            await asyncio.sleep(RETRY_PERIOD)

    async def _certain_job(
        self, caller: CallerExchange, request: CallerRequest
    ) -> Job | Refusal:
        """Return what is to be done for a request, or why nothing is.

        What is not known here may have come meanwhile, if this entry has not heard for
        long that its configuration is the newest.
        """
        job = self._job(caller, request)
        if not isinstance(job, Refusal) or not self.guard.doubts(job):
            return job
        await self.guard.wait()
        job = self._job(caller, request)
        if isinstance(job, Refusal) and self.guard.doubts(job):
            return self.guard.refusal(self.rng.random())
        return job

    def _job(self, caller: CallerExchange, request: CallerRequest) -> Job | Refusal:
        """Return what is to be done for a request, or why nothing is."""
        table = self.beliefs.table
        if table is None and self.readiness.leaving:
            return Refusal(ErrorKind.DRAINING, LEAVING)
        if table is None:
            reason = "no configuration is known yet"
            return Refusal(ErrorKind.NOT_READY, reason, retry_after=NOT_READY_RETRY)
        route = table.route(request.host, request.path)
        if isinstance(route, Refusal):
            return route
        organisation = table.organisation(route, request.key)
        if isinstance(organisation, Refusal):
            return organisation
        patience = route.timeout
        if request.patience is not None:
            patience = min(patience, request.patience)
        until = request.received_at + patience
        service = route.service_for(request.id)

        def takes(now: float) -> bool:
            return self.readiness.takes(route.name, now, until)

        job = Job(
            request=request,
            route=route,
            service=service,
            organisation=organisation,
            caller=caller,
            strip_key=table.keys is not None,
            until=until,
            takes=takes,
        )
        now = self.clock()
        refusal = job.refused_at(now)
        if self.readiness.leaving:
            self._log_last_request(job, refusal is None, now)
        return refusal or job

    def _with_return_time(self, refusal: Refusal) -> Refusal:
        """Return a refusal that sends no caller back to entries which are ending."""
        if refusal.kind is ErrorKind.DRAINING:
            return attrs.evolve(refusal, retry_after=self._other_entry())
        if refusal.retry_after is None or not self.readiness.leaving:
            return refusal
        wait = max(refusal.retry_after, self._other_entry())
        return attrs.evolve(refusal, retry_after=wait)

    def _log_last_request(self, job: Job, taken: bool, now: float) -> None:
        """Tell whether a request was taken that came while this entry ends."""
        time = self.readiness.answer_time(job.route.name, now, job.until)
        self.log.last_request(job.request, taken, time, self.readiness.last - now)

    def _other_entry(self) -> float:
        """Return the seconds after which a caller meets an entry that serves it."""
        wait = self.ready_in()
        if not wait:
            return LEAVING_RETRY
        return wait + self.rng.uniform(0.0, RETRY_SPREAD)

    def _basis(self, refusal: Refusal) -> str:
        """Return what the caller of a refused request waits for, empty for nothing."""
        waits = refusal.kind is ErrorKind.DRAINING and refusal.retry_after is not None
        return self.waits_for() if waits else ""

    async def _forward(self, job: Job) -> Refusal | None:
        """Forward a request; return why it has no whole answer, if it has none."""
        shape = self.beliefs.shape(job.service)
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
