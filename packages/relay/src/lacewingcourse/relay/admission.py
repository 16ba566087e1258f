"""Queues requests until a path has room for them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.pipelines.admission_queue import (
    AdmissionQueue,
    QueuedRequest,
    resume_timeout,
    wait_in_time,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.choice import Demand
    from lacewingcourse.core.pipelines.path import Path
    from lacewingcourse.relay.job import Job

#: Seconds between two attempts of a waiting request to get a path. Room freed by
#: requests of other entries is reported by gossip a few times a second, so no event can
#: wake a request up.
RETRY_PERIOD = 0.03
#: Kinds of refusals after which a path may be available a moment later.
TRANSIENT_KINDS = frozenset({ErrorKind.OVERLOADED, ErrorKind.NO_ROUTE})


@attrs.define
class Admission:
    """Assigns paths to requests, in order of urgency.

    Attributes:
        clock: Returns the present time in seconds.
        wait: Returns the time until which a request waits, from its arrival and
            objective.
        queue: The waiting requests.
    """

    clock: Callable[[], float]
    wait: Callable[[float, float], float] = wait_in_time
    queue: AdmissionQueue = attrs.field(factory=AdmissionQueue)

    async def path_for(
        self, job: Job, demand: Demand, choose: Callable[[], Path | Refusal]
    ) -> Path | Refusal:
        """Return a path for a request, waiting for room for a limited time.

        Args:
            job: The request.
            demand: Its demand on the path.
            choose: Returns a path, or why there is none at present.
        """
        now = self.clock()
        found = self._choose_now(job, choose, now)
        queued = self._queue_entry(job, demand, now)
        if not _should_wait(found, job, queued.until - now):
            return found
        self.queue.push(queued)
        try:
            while not job.caller.disconnected:
                now = self.clock()
                left = queued.until - now
                if left <= 0 or not _should_wait(found, job, left):
                    break
                await asyncio.sleep(min(RETRY_PERIOD, left))
                found = choose()
            return found
        finally:
            self.queue.discard(queued)

    def _queue_entry(self, job: Job, demand: Demand, now: float) -> QueuedRequest:
        """Return the queue entry of a request, with the time until which it waits."""
        if job.caller.response_started:
            patience = resume_timeout(job.route.objective, job.route.max_event_gap)
            until = job.last_event_at + patience
        else:
            until = self.wait(job.request.received_at, job.route.objective)
        return QueuedRequest(job.urgency, demand.tokens, now, min(until, job.deadline))

    def _choose_now(
        self, job: Job, choose: Callable[[], Path | Refusal], now: float
    ) -> Path | Refusal:
        if (
            not self.queue.may_bypass(job.urgency, now)
            and not job.caller.response_started
        ):
            return Refusal(ErrorKind.OVERLOADED, "others wait for room")
        return choose()


def _should_wait(found: Path | Refusal, job: Job, left: float) -> bool:
    """Return whether a request waits for room that may become available soon.

    `NO_ROUTE` may be transient too: an entry that has just started discovers the
    endpoints within some tens of milliseconds. Only a request whose caller cannot send
    it again waits for a retry; any other caller sends a new request, which needs none.

    Args:
        found: The path, or why there is none.
        job: The request.
        left: Seconds for which it may still wait.
    """
    if not isinstance(found, Refusal):
        return False
    if found.retry_after is not None and found.retry_after >= left:
        return False
    if found.kind is ErrorKind.RETRIES_EXHAUSTED:
        return not job.caller_may_retry
    return found.kind in TRANSIENT_KINDS
