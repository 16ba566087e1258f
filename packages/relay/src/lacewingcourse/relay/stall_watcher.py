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
    from collections.abc import Callable, Iterable

    from lacewingcourse.core.pipelines.path import Part
    from lacewingcourse.core.pipelines.speed import SpeedEstimator
    from lacewingcourse.core.pipelines.stalls import Watched
    from lacewingcourse.core.pipelines.suspects import Suspects
    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.job import Job
    from lacewingcourse.relay.path_finder import PathFinder
    from lacewingcourse.relay.ports import EngineReport, EngineReports

#: Seconds between two looks, a fraction of the shortest silence that is looked at.
PERIOD = 0.02
#: Seconds between two questions to the same endpoint.
QUESTION_PERIOD = 0.1
#: Seconds in which an endpoint must answer that lives. A report takes a round trip and
#: waits for no slot.
ANSWER_TIMEOUT = 0.05
#: Seconds after which a question is put a second time, or at once if its connection
#: failed: a packet may be lost, and a kept connection may have been reset.
SECOND_QUESTION = 0.02
#: Seconds for which it is believed without a question that an endpoint is dead. An
#: older suspicion may have been refuted meanwhile.
FRESH = 0.5
#: Seconds between two questions that count as put together.
TOGETHER = 0.005


@attrs.frozen
class NobodyAnswers:
    """A sentinel value: neither an endpoint nor those compared with it answered.

    Attributes:
        compared: Addresses of the others.
    """

    compared: tuple[str, ...]


@attrs.define
class StallWatcher:
    """Watches the streams of this entry, and asks endpoints that fall silent.

    Attributes:
        reports: What engines tell of themselves.
        suspects: Endpoints that are left out.
        speeds: Endpoints that run slower than published.
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
        answered: When the last question that each address answered was put.
    """

    reports: EngineReports
    suspects: Suspects
    speeds: SpeedEstimator
    finder: PathFinder
    clock: Callable[[], float]
    log: DecisionLog
    on_suspect: Callable[[tuple[str, ...], str], None]
    on_start: Callable[[str, int], bool]
    watch: StallWatch = attrs.field(factory=StallWatch)
    jobs: dict[Watched, Job] = attrs.field(factory=dict)
    asked: dict[str, float] = attrs.field(factory=dict)
    asking: set[str] = attrs.field(factory=set)
    answered: dict[str, float] = attrs.field(factory=dict)

    def begin(self, job: Job, now: float) -> None:
        """Watch a stream that was sent."""
        job.watched = self.watch.begin(
            job.path, now, job.route.max_event_gap, job.route.objective
        )
        self.jobs[job.watched] = job

    def progress(self, job: Job, now: float) -> None:
        """Note that events of a stream arrived."""
        if job.watched is not None:
            job.watched.progress(now)

    def resume(self, job: Job, now: float) -> None:
        """Watch a stream again that was to move and goes on after all."""
        if job.watched is None:
            self.begin(job, now)
            self.progress(job, now)

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
        known = self.suspects.silent(now, since=now - FRESH)
        for silence in self.watch.silent(now):
            cause = known.intersection(p.endpoint for p in silence.unheard)
            if cause:
                self._move(silence.watched, cause)
                continue
            self._ask_all(silence.unheard, now)
        for silence in self.watch.cut_off(now):
            parts = (p for p in silence.unheard if p.endpoint not in known)
            self._ask_all(parts, now)
        self._ask_slow(now)

    def _ask_slow(self, now: float) -> None:
        """Ask endpoints that were slow whether they still are, while they are used."""
        slow = self.speeds.expiring(now)
        if slow:
            parts = {part for w in self.watch.streams for part in w.path.parts}
            self._ask_all((p for p in parts if p.endpoint in slow), now)

    def _ask_all(self, parts: Iterable[Part], now: float) -> None:
        for part in parts:
            self.ask(part, now)

    def _move_early(self, endpoint: str, now: float) -> None:
        """Send silent streams on whose endpoint has not answered at once.

        The second question tells for sure, but with the new run a caller then waits
        longer than a pause in an answer should be. On a fleet with much room a
        needless move costs little.
        """
        unheard = {endpoint}
        for watched, job in list(self.jobs.items()):
            silent = now - watched.progressed_at > watched.early_patience
            if not silent or not watched.begun or not watched.path.uses(unheard):
                continue
            if job.may_move and self.finder.is_idle(job, unheard):
                self._move(watched, unheard)

    def ask(self, part: Part, now: float) -> None:
        """Ask an endpoint whether it lives, unless it was asked just now.

        What the first part tells of requests that stand still at it is older than the
        pause that callers accept; whether any part answers at all is news of this
        moment.
        """
        asked = self.asked.get(part.address, float("-inf"))
        if part.address in self.asking or now - asked < QUESTION_PERIOD:
            return
        self.asked[part.address] = now
        self.asking.add(part.address)
        asyncio.ensure_future(self._ask(part))

    async def _ask(self, part: Part) -> None:
        started = self.clock()
        try:
            found = await self._answer(part, started)
            if isinstance(found, Unavailable) and not self._others_answer(
                part, started
            ):
                started = self.clock()
                found = await self._compare(part)
        finally:
            self.asking.discard(part.address)
        if isinstance(found, Undecodable):
            # It answered, so it is no dead one; what it says is not known.
            self.log.belief(
                "report_unreadable", endpoint=part.endpoint, reason=found.reason
            )
        elif isinstance(found, Unavailable):
            # A process that stood still itself has not read an answer that came.
            if self.clock() - started < ANSWER_TIMEOUT + SECOND_QUESTION + PERIOD:
                self._dead({part.endpoint}, f"no report: {found.reason}")
        elif isinstance(found, NobodyAnswers):
            self.log.belief(
                "not_suspected", endpoint=part.endpoint, compared=found.compared
            )
        elif self.on_start(part.name, found.born):
            self.restarted(part.endpoint)
        else:
            self.speeds.update(part.endpoint, found.pace, self.clock())
            self._take_report(part, found)

    async def _answer(
        self, part: Part, started: float
    ) -> EngineReport | Unavailable | Undecodable:
        """Return an endpoint's report, or why neither of two questions brought one."""
        first = asyncio.ensure_future(self._report(part.address))
        await asyncio.wait({first}, timeout=SECOND_QUESTION)
        if first.done() and not isinstance(first.result(), Unavailable):
            return first.result()
        now = self.clock()
        prompt = now - started < SECOND_QUESTION + PERIOD
        if prompt and self._others_answer(part, started):
            self._move_early(part.endpoint, now)
        second = asyncio.ensure_future(self._report(part.address))
        waiting = {first, second}
        while waiting:
            done, waiting = await asyncio.wait(
                waiting, return_when=asyncio.FIRST_COMPLETED
            )
            for answered in done:
                found = answered.result()
                if not isinstance(found, Unavailable):
                    return found
        return found

    async def _report(self, address: str) -> EngineReport | Unavailable | Undecodable:
        """Put one question to an endpoint."""
        asked = self.clock()
        found = await self.reports.report(address, ANSWER_TIMEOUT)
        if not isinstance(found, Unavailable):
            self.answered[address] = asked
        return found

    def _others_answer(self, part: Part, started: float) -> bool:
        """Tell whether others answered what they were asked together with an endpoint.

        While something fills the link of this entry, nobody's answers come in time:
        silence then tells of the entry, and not of those that it asks. What was asked
        later may be answered over a link that is free again.
        """
        since = started - TOGETHER
        until = started + SECOND_QUESTION + TOGETHER
        return any(
            since <= asked <= until
            for address, asked in self.answered.items()
            if address != part.address
        )

    async def _compare(
        self, part: Part
    ) -> EngineReport | Unavailable | Undecodable | NobodyAnswers:
        """Ask an endpoint once more, together with others that should answer."""
        others = self._controls(part)
        if not others:
            return await self._report(part.address)
        own, *found = await asyncio.gather(
            self._report(part.address), *(self._report(other) for other in others)
        )
        if isinstance(own, Unavailable) and _all_unavailable(found):
            return NobodyAnswers(tuple(others))
        return own

    def _controls(self, part: Part) -> list[str]:
        """Return addresses of endpoints to compare one with.

        The one heard last lives if this entry hears anything; one that no stream uses
        does not share the fate of those that fell silent together.
        """
        used = {p.address for w in self.watch.streams for p in w.path.parts}
        heard = self.watch.last_heard(besides=part.address)
        unused = self.finder.unused(used | {part.address})
        return [address for address in (heard, unused) if address is not None]

    def _take_report(self, asked: Part, found: EngineReport) -> None:
        """Leave out what an engine names as the cause that requests stand still."""
        addresses = {stalled.address for stalled in found.stalled}
        parts = {p for w in self.watch.streams for p in w.path.parts}
        dead = {part.endpoint for part in parts if part.address in addresses}
        if dead:
            self._dead(dead, f"named by {asked.address} as not answering")

    def restarted(self, ended: str) -> None:
        """Send the streams through an incarnation that has ended on elsewhere."""
        for watched in list(self.jobs):
            if watched.path.uses({ended}):
                self._move(watched, {ended})

    def _dead(self, endpoints: set[str], reason: str) -> None:
        """Leave out endpoints, and send the streams through them on elsewhere."""
        self.on_suspect(tuple(sorted(endpoints)), reason)
        now = self.clock()
        for watched in list(self.jobs):
            # Events that flow refute the suspicion; one that falls silent later is
            # seen at the next look.
            silent = now - watched.progressed_at > watched.early_patience
            if silent and watched.path.uses(endpoints):
                self._move(watched, endpoints)

    def _move(self, watched: Watched, endpoints: set[str]) -> None:
        """Send a stream on elsewhere, if it may go on at all."""
        job = self.jobs[watched]
        if job.may_move and job.current is not None:
            job.avoid.update(endpoints)
            job.current.arrivals.put_nowait(Stalled(known=True))
            self.end(job)


def _all_unavailable(found: list[EngineReport | Unavailable | Undecodable]) -> bool:
    return all(isinstance(answer, Unavailable) for answer in found)
