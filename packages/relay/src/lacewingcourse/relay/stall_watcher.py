"""Finds streams that stand still behind a dead endpoint, and sends them elsewhere."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.stalls import StallWatch
from lacewingcourse.relay.decoding import Undecodable
from lacewingcourse.relay.ports import Unavailable
from lacewingcourse.relay.upstream import Stalled

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.path import Part
    from lacewingcourse.core.pipelines.stalls import Watched
    from lacewingcourse.core.pipelines.suspects import Suspects
    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.job import Job
    from lacewingcourse.relay.path_finder import PathFinder
    from lacewingcourse.relay.ports import EngineReport, EngineReports

#: Seconds between two looks. A quarter of the shortest silence that is looked at.
PERIOD = 0.025
#: Seconds between two questions to the same endpoint. Its report lags by about 200
#: milliseconds, so the first ones may not tell yet.
QUESTION_PERIOD = 0.06


@attrs.define
class StallWatcher:
    """Watches the streams of this entry.

    Attributes:
        reports: What engines tell of themselves.
        suspects: Endpoints that are left out.
        finder: Finds paths.
        clock: Returns the present time in seconds.
        log: Log of decisions.
        on_suspect: Called with endpoints that were found to be dead, and why.
        on_start: Called with an endpoint's name and when it says that it started;
            tells whether that ended the incarnation that was known.
        watch: Decides which streams may stand still.
        jobs: The requests whose streams are watched.
        asked: When each endpoint was last asked, by address.
        asking: Addresses of the endpoints that are being asked.
    """

    reports: EngineReports
    suspects: Suspects
    finder: PathFinder
    clock: Callable[[], float]
    log: DecisionLog
    on_suspect: Callable[[tuple[str, ...], str], None]
    on_start: Callable[[str, int], bool]
    watch: StallWatch = attrs.field(factory=StallWatch)
    jobs: dict[Watched, Job] = attrs.field(factory=dict)
    asked: dict[str, float] = attrs.field(factory=dict)
    asking: set[str] = attrs.field(factory=set)

    def begin(self, job: Job, now: float) -> None:
        """Watch a stream that was sent."""
        job.watched = self.watch.begin(job.path, now)
        self.jobs[job.watched] = job

    def progress(self, job: Job, now: float) -> None:
        """Note that events of a stream arrived."""
        if job.watched is not None:
            job.watched.progress(now)

    def end(self, job: Job) -> None:
        """Note the end of a run of a stream."""
        if job.watched is not None:
            self.watch.end(job.watched)
            self.jobs.pop(job.watched, None)
            job.watched = None

    async def run(self) -> None:
        """Look for streams that stand still, for ever.

        Nothing is concluded right after this process itself stood still, when what
        arrived meanwhile has not been read.
        """
        last = self.clock()
        while True:
            await asyncio.sleep(PERIOD)
            now = self.clock()
            if now - last < 2 * PERIOD:
                self.look(now)
            last = now

    def look(self, now: float) -> None:
        """Move silent streams whose cause is known, ask about the others."""
        known = self.suspects.excluded(now)
        for watched in self.watch.silent(now):
            if watched.path.uses(known):
                self._move(watched, known)
                continue
            self.ask(watched.path.first, now)
        self._move_early(now)

    def _move_early(self, now: float) -> None:
        """Send streams on that look cut off, without waiting for a report.

        A report tells for sure, but it is some 200 milliseconds old, and with the new
        run a caller then waits longer than a pause in an answer should be. On a fleet
        with much room a needless move costs little.
        """
        for watched, unheard in self.watch.cut_off(now):
            job = self.jobs[watched]
            if job.may_move and self.finder.is_idle(job, unheard):
                self._move(watched, unheard)

    def ask(self, first: Part, now: float) -> None:
        """Ask an endpoint what stands still behind it, unless it was asked just now.

        One that does not answer is taken to be dead itself.
        """
        asked = self.asked.get(first.address, float("-inf"))
        if first.address in self.asking or now - asked < QUESTION_PERIOD:
            return
        self.asked[first.address] = now
        self.asking.add(first.address)
        asyncio.ensure_future(self._ask(first))

    async def _ask(self, first: Part) -> None:
        try:
            found = await self.reports.report(first.address)
        finally:
            self.asking.discard(first.address)
        if isinstance(found, Undecodable):
            # It answered, so it is no dead one; what it says is not known.
            self.log.belief(
                "report_unreadable", endpoint=first.endpoint, reason=found.reason
            )
        elif isinstance(found, Unavailable):
            self._dead({first.endpoint}, f"no report: {found.reason}")
        elif self.on_start(first.name, found.born):
            self.restarted(first.endpoint)
        else:
            self._take_report(first, found)

    def _take_report(self, first: Part, found: EngineReport) -> None:
        """Leave out what an engine names as the cause that requests stand still."""
        addresses = {stalled.address for stalled in found.stalled}
        parts = {p for w in self.watch.streams for p in w.path.parts}
        dead = {part.endpoint for part in parts if part.address in addresses}
        if dead:
            self._dead(dead, f"named by {first.address} as not answering")

    def restarted(self, ended: str) -> None:
        """Send the streams through an incarnation that has ended on elsewhere."""
        self._move_all({ended})

    def _dead(self, endpoints: set[str], reason: str) -> None:
        """Leave out endpoints, and send the streams through them on elsewhere."""
        self.on_suspect(tuple(sorted(endpoints)), reason)
        self._move_all(endpoints)

    def _move_all(self, endpoints: set[str]) -> None:
        """Send all streams through some endpoints on elsewhere."""
        for watched in list(self.jobs):
            if watched.path.uses(endpoints):
                self._move(watched, endpoints)

    def _move(self, watched: Watched, endpoints: set[str]) -> None:
        """Send a stream on elsewhere, if it may go on at all."""
        job = self.jobs[watched]
        if job.may_move and job.current is not None:
            job.avoid.update(endpoints)
            job.current.arrivals.put_nowait(Stalled(known=True))
            self.end(job)
