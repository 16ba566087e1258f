"""Finds streams that stand still, and sends them on elsewhere."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.stalls import StallWatch
from lacewingcourse.relay.upstream import Stalled

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.stalls import Watched
    from lacewingcourse.relay.beliefs import Beliefs
    from lacewingcourse.relay.job import Job

#: Seconds between two looks. A quarter of the shortest silence that is looked at.
PERIOD = 0.025


@attrs.define
class StallWatcher:
    """Watches the streams of this entry.

    Attributes:
        beliefs: What is believed of the endpoints.
        clock: Returns the present time in seconds.
        on_suspect: Called with endpoints that were found to stand still.
        watch: Decides which streams stand still.
        jobs: The requests whose streams are watched.
    """

    beliefs: Beliefs
    clock: Callable[[], float]
    on_suspect: Callable[[tuple[str, ...], str], None]
    watch: StallWatch = attrs.field(factory=StallWatch)
    jobs: dict[Watched, Job] = attrs.field(factory=dict)

    def progress(self, job: Job, now: float) -> None:
        """Note that events of a stream arrived."""
        if job.watched is None:
            job.watched = self.watch.begin(job.path, now)
            self.jobs[job.watched] = job
        else:
            job.watched.progress(now)

    def end(self, job: Job) -> None:
        """Note the end of a run of a stream."""
        if job.watched is not None:
            self.watch.end(job.watched)
            self.jobs.pop(job.watched, None)
            job.watched = None

    async def run(self) -> None:
        """Look for streams that stand still, for ever."""
        last = self.clock()
        while True:
            await asyncio.sleep(PERIOD)
            now = self.clock()
            if now - last < 2 * PERIOD:
                self.look(now)
            last = now

    def look(self, now: float) -> None:
        """Send on the streams that stand still.

        Nothing is concluded right after this process itself stood still, when what
        arrived meanwhile has not been read.
        """
        stalls = self.watch.check(now)
        suspects: set[str] = set()
        for stall in stalls:
            suspects.update(stall.suspects)
        if suspects:
            self.on_suspect(tuple(sorted(suspects)), "nothing passes through")
        for stall in stalls:
            job = self.jobs.get(stall.watched)
            if job is not None and job.current is not None and job.may_move:
                job.current.arrivals.put_nowait(Stalled())
