"""Drives the schedulers of an entry: requests wait here until they get room."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.pipelines.admission_queue import resume_timeout, wait_in_time
from lacewingcourse.core.pipelines.request_scheduler import (
    OTHERS_WAIT,
    RequestScheduler,
)
from lacewingcourse.core.pipelines.scheduling import (
    QueuedRequest,
    Started,
    UnlimitedShare,
)
from lacewingcourse.relay.room import TakenRoom

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from lacewingcourse.core.pipelines.scheduling import Decision, RoomShare
    from lacewingcourse.relay.job import Job

#: Seconds between two checks of a condition that no event reports.
RETRY_PERIOD = 0.03
#: Shortest time in seconds to a scheduled pass over a queue, so that a timer that fires
#: a rounding error early is not set again for the same time.
MIN_PASS_INTERVAL = 0.001


@attrs.define(eq=False)
class PendingRequest:
    """A request between its arrival and the decision about it.

    Attributes:
        job: The request.
        take: Takes room for it, or returns why there is none.
        result: The room, or why it is refused; None while it waits.
        error: Exception that was raised while room was taken.
        decided: Completed with the decision, None if it did not have to wait.
    """

    job: Job
    take: Callable[[], TakenRoom | Refusal]
    result: TakenRoom | Refusal | None = None
    error: Exception | None = None
    decided: asyncio.Future | None = None

    def resolve(self, result: TakenRoom | Refusal) -> None:
        """Set the decision."""
        self.result = result
        if self.decided is not None and not self.decided.done():
            self.decided.set_result(None)


@attrs.define(eq=False)
class Admission:
    """Gives room to requests in the order of the scheduler of their service.

    Attributes:
        clock: Returns the present time in seconds.
        wait: Returns the latest start of a stream from its arrival and objective.
        share_of: Returns what this entry may take of the room of a service.
        is_due: Returns whether a caller returns at the time it was given.
        on_queued: Called with a request that waits, its queue entry, and the number of
            those that wait with it.
        on_decided: Called with a request and the decision about it.
        schedulers: Schedulers by service.
        pending: Requests without a decision.
        timers: Next scheduled pass over the queue of each service.
    """

    clock: Callable[[], float]
    wait: Callable[[float, float], float] = wait_in_time
    share_of: Callable[[str], RoomShare] = lambda service: UnlimitedShare()
    is_due: Callable[[Job], bool] = lambda job: False
    on_queued: Callable[[Job, QueuedRequest, int], None] = lambda *fields: None
    on_decided: Callable[[Job, Decision], None] = lambda *fields: None
    schedulers: dict[str, RequestScheduler] = attrs.field(factory=dict)
    pending: dict[QueuedRequest, PendingRequest] = attrs.field(factory=dict)
    timers: dict[str, asyncio.TimerHandle] = attrs.field(factory=dict)

    async def room_for(
        self,
        job: Job,
        tokens: int,
        take: Callable[[], TakenRoom | Refusal],
        latest_start: float,
    ) -> TakenRoom | Refusal:
        """Return room for a request, waiting for its turn, or why it gets none.

        Args:
            job: The request.
            tokens: Tokens that it needs.
            take: Takes room for it, or returns why there is none at present.
            latest_start: Until when it waits, seconds.
        """
        now = self.clock()
        request = self._queue_entry(job, tokens, latest_start, now)
        waiting = self.pending[request] = PendingRequest(job, take)
        scheduler = self._scheduler(job.service)
        try:
            self._apply(scheduler.arrive(request, now))
            if waiting.result is None:
                waiting.decided = asyncio.get_running_loop().create_future()
                self.on_queued(job, request, scheduler.size)
                self._schedule_pass(job.service)
                await waiting.decided
                job.waited += self.clock() - now
            if waiting.error is not None:
                raise waiting.error
            return waiting.result
        except BaseException:
            # A request that stayed queued here would be decided without a receiver.
            self._withdraw(request, waiting)
            raise
        finally:
            self.pending.pop(request, None)

    def take(self, request: QueuedRequest, now: float) -> TakenRoom | Refusal:
        """Take room for a request that has its turn; see `RoomSource`."""
        waiting = self.pending[request]
        try:
            return waiting.take()
        except Exception as error:
            waiting.error = error
            return Refusal(ErrorKind.INTERNAL, "a defect")

    def latest_start(self, job: Job) -> float:
        """Return until when a stream may wait for room, seconds."""
        route = job.route
        if job.caller.response_started:
            timeout = resume_timeout(route.objective, route.max_event_gap)
            return min(job.last_event_at + timeout, job.deadline)
        return min(self.wait(job.request.received_at, route.objective), job.deadline)

    def room_changed(self, service: str | None = None) -> None:
        """Start requests that wait for a service, or for any, as soon as possible."""
        for name in self.schedulers if service is None else (service,):
            scheduler = self.schedulers.get(name)
            if scheduler is not None and scheduler.size:
                self._schedule_pass(name, soon=True)

    def queue_state(self) -> tuple[dict[int, int], float]:
        """Return the number of waiting requests by rank, and the longest wait."""
        depths: dict[int, int] = {}
        now, oldest = self.clock(), 0.0
        for scheduler in self.schedulers.values():
            for rank, depth in scheduler.depths().items():
                depths[rank] = depths.get(rank, 0) + depth
            arrival = scheduler.oldest_arrival()
            if arrival is not None:
                oldest = max(oldest, now - arrival)
        return depths, oldest

    def _scheduler(self, service: str) -> RequestScheduler:
        scheduler = self.schedulers.get(service)
        if scheduler is None:
            share = self.share_of(service)
            scheduler = self.schedulers[service] = RequestScheduler(self, share)
        return scheduler

    def _queue_entry(
        self, job: Job, tokens: int, latest_start: float, now: float
    ) -> QueuedRequest:
        resumed = job.caller.response_started
        return QueuedRequest(
            id=job.request.id,
            rank=job.urgency,
            organisation=job.organisation.name,
            tokens=tokens,
            arrived_at=now if resumed else job.request.received_at,
            latest_start=latest_start,
            resumed=resumed,
            due=self.is_due(job),
            restricted=bool(job.avoid) or job.allowed_endpoints is not None,
            caller_may_retry=job.caller_may_retry,
        )

    def _apply(self, decisions: Iterable[Decision]) -> None:
        """Hand decisions to the requests that wait for them."""
        for decision in decisions:
            waiting = self.pending[decision.request]
            self.on_decided(waiting.job, decision)
            if isinstance(decision, Started):
                waiting.resolve(decision.room)
            else:
                waiting.job.refused_by = decision.cause.value
                waiting.resolve(decision.refusal)

    def _withdraw(self, request: QueuedRequest, waiting: PendingRequest) -> None:
        """Give up the place of a cancelled request, or the room that it got."""
        if isinstance(waiting.result, TakenRoom):
            waiting.result.release()
        elif waiting.result is None:
            scheduler = self._scheduler(waiting.job.service)
            self._apply(scheduler.leave(request, self.clock()))

    def _schedule_pass(self, service: str, soon: bool = False) -> None:
        """Schedule the next pass over a queue, unless an earlier one is scheduled."""
        now, loop = self.clock(), asyncio.get_running_loop()
        wake = now if soon else self.schedulers[service].next_wake(now)
        if wake is None:
            return
        at = loop.time() + (0.0 if soon else max(wake - now, MIN_PASS_INTERVAL))
        timer = self.timers.get(service)
        if timer is not None:
            if timer.when() <= at:
                return
            timer.cancel()
        self.timers[service] = loop.call_at(at, self._pass, service)

    def _pass(self, service: str) -> None:
        """Start and refuse requests of a service, and schedule the next pass."""
        self.timers.pop(service, None)
        scheduler, now = self.schedulers[service], self.clock()
        try:
            self._drop_ended(scheduler, now)
            self._apply(scheduler.room_changed(now))
        finally:
            # Requests must not wait for good after an error in one pass.
            self._schedule_pass(service)

    def _drop_ended(self, scheduler: RequestScheduler, now: float) -> None:
        """Drop requests whose caller has left or that a draining entry refuses."""
        for request in scheduler.waiting():
            waiting = self.pending[request]
            if waiting.result is not None:
                continue
            refusal = waiting.job.drain_refusal(now)
            if waiting.job.caller.disconnected:
                refusal = refusal or request.found or OTHERS_WAIT
            if refusal is not None:
                decisions = scheduler.leave(request, now)
                waiting.resolve(refusal)
                self._apply(decisions)
