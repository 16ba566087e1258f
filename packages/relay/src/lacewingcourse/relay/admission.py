"""Requests that wait here until a path has room for them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.pipelines.admission_queue import (
    AdmissionQueue,
    QueuedRequest,
    continued_wait,
    wait_in_time,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.choice import Demand
    from lacewingcourse.core.pipelines.path import Path
    from lacewingcourse.relay.job import Job

#: Seconds between two tries of a request that waits. Room that other entries' requests
#: leave is heard of a few times a second, so no wake-up tells of it.
RETRY_PERIOD = 0.03
#: Reasons for which there may be a path a moment later.
MOMENTARY = frozenset({ErrorKind.OVERLOADED, ErrorKind.NO_ROUTE})


@attrs.define
class Admission:
    """Lets requests onto paths, in order of their urgency.

    Attributes:
        clock: Returns the present time in seconds.
        wait: Returns until when a request waits, from when it came and its objective.
        queue: The requests that wait.
    """

    clock: Callable[[], float]
    wait: Callable[[float, float], float] = wait_in_time
    queue: AdmissionQueue = attrs.field(factory=AdmissionQueue)

    async def path_for(
        self, job: Job, demand: Demand, choose: Callable[[], Path | Refusal]
    ) -> Path | Refusal:
        """Return a path for a request, waiting a little for room if there is none.

        Args:
            job: The request.
            demand: What it needs.
            choose: Returns a path, or why there is none at present.
        """
        now = self.clock()
        found = self._now(job, choose, now)
        queued = self._queued(job, demand, now)
        if not _worth_waiting(found, job, queued.until - now):
            return found
        self.queue.push(queued)
        try:
            while not job.caller.gone:
                now = self.clock()
                left = queued.until - now
                if left <= 0 or not _worth_waiting(found, job, left):
                    break
                await asyncio.sleep(min(RETRY_PERIOD, left))
                found = choose()
            return found
        finally:
            self.queue.discard(queued)

    def _queued(self, job: Job, demand: Demand, now: float) -> QueuedRequest:
        """Return how long a request waits."""
        if job.caller.begun:
            patience = continued_wait(job.route.objective, job.route.max_event_gap)
            until = job.progressed_at + patience
        else:
            until = self.wait(job.request.received_at, job.route.objective)
        return QueuedRequest(job.urgency, demand.tokens, now, min(until, job.until))

    def _now(
        self, job: Job, choose: Callable[[], Path | Refusal], now: float
    ) -> Path | Refusal:
        if not self.queue.has_precedence(job.urgency, now) and not job.caller.begun:
            return Refusal(ErrorKind.OVERLOADED, "others wait for room")
        return choose()


def _worth_waiting(found: Path | Refusal, job: Job, left: float) -> bool:
    """Tell whether a request waits for room that may turn up soon.

    That nothing holds the layers may be news of a moment as well: an entry that has
    just started learns of the endpoints within some tens of milliseconds. For a retry
    waits only what cannot be asked back: any other caller comes back with a new
    request, which needs none.

    Args:
        found: What was found.
        job: The request.
        left: Seconds for which it may wait.
    """
    if not isinstance(found, Refusal):
        return False
    if found.retry_after is not None and found.retry_after >= left:
        return False
    if found.kind is ErrorKind.RETRIES_EXHAUSTED:
        return not job.may_come_back
    return found.kind in MOMENTARY
