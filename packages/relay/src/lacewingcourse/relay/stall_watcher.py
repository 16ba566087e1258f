"""Detects streams that stall behind a dead endpoint, and moves them elsewhere."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.stalls import StallWatch
from lacewingcourse.core.pipelines.suspects import Grade
from lacewingcourse.relay.background import start_task
from lacewingcourse.relay.decoding import Undecodable
from lacewingcourse.relay.ports import EngineReport, Unavailable
from lacewingcourse.relay.upstream import Stalled

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from lacewingcourse.core.pipelines.path import Part
    from lacewingcourse.core.pipelines.speed import SpeedEstimator
    from lacewingcourse.core.pipelines.stalls import WatchedStream
    from lacewingcourse.core.pipelines.suspects import Suspects
    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.job import Job
    from lacewingcourse.relay.path_finder import PathFinder
    from lacewingcourse.relay.ports import EngineReports

#: Seconds between two checks, a fraction of the shortest silence that is examined.
CHECK_PERIOD = 0.02
#: Seconds between two probes of the same endpoint.
PROBE_PERIOD = 0.1
#: Seconds in which a live endpoint responds to a probe. A report takes one round trip,
#: and does not wait for a slot of the engine.
PROBE_TIMEOUT = 0.05
#: Seconds for which the response to the second probe is awaited. An endpoint that runs
#: several times slower than published responds too late, but is alive.
LATE_PROBE_TIMEOUT = 0.25
#: Seconds after which a second probe is sent; it is sent at once if the first one
#: failed. A packet may have been lost, or a pooled connection reset.
SECOND_PROBE_DELAY = 0.02
#: Maximum age in seconds of a suspicion on which streams are moved without a probe. An
#: older suspicion may have been refuted meanwhile.
MAX_SUSPICION_AGE = 0.5
#: Seconds between two probes that count as sent at the same time.
CONCURRENT_PROBE_WINDOW = 0.005


@attrs.frozen
class AllUnavailable:
    """A sentinel value: neither an endpoint nor its controls responded.

    Attributes:
        compared: Addresses of the controls.
    """

    compared: tuple[str, ...]


@attrs.define
class StallWatcher:
    """Watches the streams of this entry, and probes endpoints that fall silent.

    Attributes:
        reports: Fetches the engines' status reports.
        suspects: Excluded endpoints.
        speeds: Endpoints that run slower than published.
        finder: Finds paths.
        clock: Returns the current time in seconds.
        log: Decision log.
        on_suspect: Called with endpoints that do not answer, the reason and the grade.
        on_start: Called with an endpoint's name and the start time that it reports;
            returns whether it has restarted since it was last known.
        watch: Decides which streams may have stalled.
        jobs: Requests of the watched streams.
        probed_at: When each endpoint was last probed, by address, seconds.
        probing: Addresses of the endpoints that are being probed.
        answered_probe_at: When the last probe that each address responded to was sent,
            seconds.
    """

    reports: EngineReports
    suspects: Suspects
    speeds: SpeedEstimator
    finder: PathFinder
    clock: Callable[[], float]
    log: DecisionLog
    on_suspect: Callable[[tuple[str, ...], str, Grade], None]
    on_start: Callable[[str, int], bool]
    watch: StallWatch = attrs.field(factory=StallWatch)
    jobs: dict[WatchedStream, Job] = attrs.field(factory=dict)
    probed_at: dict[str, float] = attrs.field(factory=dict)
    probing: set[str] = attrs.field(factory=set)
    answered_probe_at: dict[str, float] = attrs.field(factory=dict)

    def begin(self, job: Job, now: float) -> None:
        """Start to watch a stream that was sent."""
        job.watched = self.watch.begin(
            job.path, now, job.route.max_event_gap, job.route.objective
        )
        self.jobs[job.watched] = job

    def progress(self, job: Job, now: float) -> None:
        """Record that events of a stream arrived."""
        if job.watched is not None:
            job.watched.progress(now)

    def resume(self, job: Job, now: float) -> None:
        """Watch a stream again that resumed before it was moved."""
        if job.watched is None:
            self.begin(job, now)
            self.progress(job, now)

    def end(self, job: Job) -> None:
        """Stop watching a stream, as its attempt has ended."""
        if job.watched is not None:
            self.watch.end(job.watched)
            self.jobs.pop(job.watched, None)
            job.watched = None

    async def run(self) -> None:
        """Check for stalled streams periodically, for ever.

        A check is skipped if the event loop was held up before it: events that arrived
        meanwhile have not been read yet.
        """
        last = self.clock()
        while True:
            await asyncio.sleep(CHECK_PERIOD)
            now = self.clock()
            if now - last < 2 * CHECK_PERIOD:
                self.check(now)
            last = now

    def check(self, now: float) -> None:
        """Move silent streams whose cause is known; probe endpoints of the others."""
        known = self.suspects.silent(now, since=now - MAX_SUSPICION_AGE)
        for silence in self.watch.silent(now):
            cause = known.intersection(p.endpoint for p in silence.silent_parts)
            if cause:
                self._move(silence.watched, cause)
                continue
            self._probe_all(silence.silent_parts, now)
        for silence in self.watch.cut_off(now):
            parts = (p for p in silence.silent_parts if p.endpoint not in known)
            self._probe_all(parts, now)
        self._probe_slow(now)

    def _probe_slow(self, now: float) -> None:
        """Probe endpoints that were slow and that streams still use."""
        slow = self.speeds.expiring(now)
        if slow:
            parts = {part for w in self.watch.streams for part in w.path.parts}
            self._probe_all((p for p in parts if p.endpoint in slow), now)

    def _probe_all(self, parts: Iterable[Part], now: float) -> None:
        for part in parts:
            self.probe(part, now)

    def _move_early(self, endpoint: str, now: float) -> None:
        """Move silent streams off an endpoint that did not respond to the first probe.

        Only the second probe is conclusive. But if streams waited for it, the pause
        until events arrive from the next attempt would be longer than the route allows.
        On a fleet with much free memory an unnecessary move costs little.
        """
        unheard = {endpoint}
        for watched, job in list(self.jobs.items()):
            silent = now - watched.progressed_at > watched.early_timeout
            if not silent or not watched.begun or not watched.path.uses(unheard):
                continue
            if job.may_move and self.finder.is_idle(job, unheard):
                self._move(watched, unheard)

    def probe(self, part: Part, now: float) -> None:
        """Probe whether an endpoint is alive, unless it was probed just now.

        The first part of a path also reports stalled requests, but only after a longer
        pause than callers accept. Whether a part responds at all is current
        information.
        """
        probed_at = self.probed_at.get(part.address, float("-inf"))
        if part.address in self.probing or now - probed_at < PROBE_PERIOD:
            return
        self.probed_at[part.address] = now
        self.probing.add(part.address)
        start_task("probe", self._run_probe(part), self.log)

    async def _run_probe(self, part: Part) -> None:
        started = self.clock()
        second = None
        try:
            found, second = await self._probe_twice(part, started)
            if isinstance(found, Unavailable) and not self._others_answered(
                part, started
            ):
                started = self.clock()
                found = await self._probe_with_controls(part)
            self._apply_probe(part, found, started)
            if second is not None:
                await self._await_late_report(part, second)
        finally:
            self.probing.discard(part.address)

    def _apply_probe(
        self,
        part: Part,
        found: EngineReport | Unavailable | Undecodable | AllUnavailable,
        started: float,
    ) -> None:
        """Apply the result of the probes that were sent to an endpoint."""
        now = self.clock()
        if isinstance(found, Undecodable):
            # It responded, so it is alive; the content of its report is unknown.
            self.log.log_event(
                "report_unreadable", endpoint=part.endpoint, reason=found.reason
            )
        elif isinstance(found, Unavailable):
            # If the event loop was held up, a response may have arrived unread.
            longest = self._timeout(part, now) + SECOND_PROBE_DELAY + CHECK_PERIOD
            if now - started < longest:
                self._declare_dead(
                    {part.endpoint},
                    f"no report: {found.reason}",
                    self._grade(part, found, now),
                )
        elif isinstance(found, AllUnavailable):
            self.log.log_event(
                "not_suspected", endpoint=part.endpoint, compared=found.compared
            )
        elif self.on_start(part.name, found.born):
            self.move_streams_from(part.endpoint)
        else:
            self.speeds.update(part.endpoint, found.slowdown, now)
            self._apply_report(part, found)

    async def _await_late_report(self, part: Part, second: asyncio.Task) -> None:
        """Note that an endpoint is alive if it responds to a probe after the timeout.

        It is not probed meanwhile.
        """
        found = await second
        if isinstance(found, Unavailable):
            return
        now = self.clock()
        self.suspects.record_late_answer(part.endpoint, now)
        slowdown = found.slowdown if isinstance(found, EngineReport) else None
        self.log.log_event("late_report", endpoint=part.endpoint, slowdown=slowdown)
        self._apply_probe(part, found, now)

    def _is_slow(self, endpoint: str, now: float) -> bool:
        """Return whether an endpoint reported lately that it runs slowly, or late."""
        found = self.suspects.grades(now).get(endpoint)
        return found is Grade.SLOW or self.speeds.slowdown(endpoint, now) > 1.0

    def _timeout(self, part: Part, now: float) -> float:
        """Return the seconds after which an endpoint without response is suspected."""
        return (
            LATE_PROBE_TIMEOUT if self._is_slow(part.endpoint, now) else PROBE_TIMEOUT
        )

    def _grade(self, part: Part, found: Unavailable, now: float) -> Grade:
        """Return the grade of an endpoint that sent no report in time."""
        if found.refused:
            return Grade.GONE
        if found.connected or self._is_slow(part.endpoint, now):
            return Grade.SLOW
        return Grade.DOUBTFUL

    async def _probe_twice(
        self, part: Part, started: float
    ) -> tuple[EngineReport | Unavailable | Undecodable, asyncio.Task | None]:
        """Probe an endpoint, and once more if it does not respond soon.

        Returns:
            Its report or why there is none in time, and the second probe if it is still
            awaited.
        """
        first = asyncio.ensure_future(self._fetch_report(part.address))
        await asyncio.wait({first}, timeout=SECOND_PROBE_DELAY)
        if first.done() and not isinstance(first.result(), Unavailable):
            return first.result(), None
        now = self.clock()
        timeout = self._timeout(part, now)
        on_time = now - started < SECOND_PROBE_DELAY + CHECK_PERIOD
        fast = timeout == PROBE_TIMEOUT
        if fast and on_time and self._others_answered(part, started):
            self._move_early(part.endpoint, now)
        second = asyncio.ensure_future(
            self._fetch_report(part.address, LATE_PROBE_TIMEOUT)
        )
        waiting = {first, second}
        found = Unavailable(f"no response within {timeout} s")
        until = now + timeout
        while waiting:
            done, waiting = await asyncio.wait(
                waiting,
                timeout=max(0.0, until - self.clock()),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                found = task.result()
                if not isinstance(found, Unavailable):
                    return found, None
            if not done:
                return found, second
        return found, None

    async def _fetch_report(
        self, address: str, timeout: float = PROBE_TIMEOUT
    ) -> EngineReport | Unavailable | Undecodable:
        """Send one probe to an endpoint, and return its report."""
        probed_at = self.clock()
        found = await self.reports.report(address, timeout)
        if not isinstance(found, Unavailable):
            self.answered_probe_at[address] = probed_at
        return found

    def _others_answered(self, part: Part, started: float) -> bool:
        """Return whether others responded to probes sent at the same time.

        While the network link of this entry is saturated, no response arrives in time.
        A missing response then says nothing about the endpoint. Responses to later
        probes do not count, as the link may be free again by then.
        """
        since = started - CONCURRENT_PROBE_WINDOW
        until = started + SECOND_PROBE_DELAY + CONCURRENT_PROBE_WINDOW
        return any(
            since <= probed_at <= until
            for address, probed_at in self.answered_probe_at.items()
            if address != part.address
        )

    async def _probe_with_controls(
        self, part: Part
    ) -> EngineReport | Unavailable | Undecodable | AllUnavailable:
        """Probe an endpoint once more, together with controls that should respond."""
        others = self._controls(part)
        timeout = self._timeout(part, self.clock())
        if not others:
            return await self._fetch_report(part.address, timeout)
        own, *found = await asyncio.gather(
            self._fetch_report(part.address, timeout),
            *(self._fetch_report(other) for other in others),
        )
        if isinstance(own, Unavailable) and _all_unavailable(found):
            return AllUnavailable(tuple(others))
        return own

    def _controls(self, part: Part) -> list[str]:
        """Return addresses of control endpoints to compare one endpoint with.

        These are the endpoint with the latest event, which is probably alive, and one
        that no stream uses, so that it cannot be among those that fell silent together.
        """
        used = {p.address for w in self.watch.streams for p in w.path.parts}
        heard = self.watch.last_active(exclude=part.address)
        unused = self.finder.unused_address(used | {part.address})
        return [address for address in (heard, unused) if address is not None]

    def _apply_report(self, source: Part, found: EngineReport) -> None:
        """Exclude the endpoints that an engine reports as the cause of stalls."""
        addresses = {stalled.address for stalled in found.stalled}
        parts = {p for w in self.watch.streams for p in w.path.parts}
        dead = {part.endpoint for part in parts if part.address in addresses}
        reason = f"named by {source.address} as not answering"
        now = self.clock()
        for endpoint in sorted(dead):
            slow = self._is_slow(endpoint, now)
            grade = Grade.SLOW if slow else Grade.DOUBTFUL
            self._declare_dead({endpoint}, reason, grade)

    def move_streams_from(self, ended: str) -> None:
        """Move the streams that use an incarnation which has ended."""
        for watched in list(self.jobs):
            if watched.path.uses({ended}):
                self._move(watched, {ended})

    def _declare_dead(self, endpoints: set[str], reason: str, grade: Grade) -> None:
        """Report endpoints as suspected, and move the silent streams that use them."""
        self.on_suspect(tuple(sorted(endpoints)), reason, grade)
        now = self.clock()
        for watched in list(self.jobs):
            # A stream that still receives events refutes the suspicion. If it falls
            # silent later, the next check finds it.
            silent = now - watched.progressed_at > watched.early_timeout
            if silent and watched.path.uses(endpoints):
                self._move(watched, endpoints)

    def _move(self, watched: WatchedStream, endpoints: set[str]) -> None:
        """Signal a stall to a stream, if it may move, and stop watching it."""
        job = self.jobs[watched]
        if job.may_move and job.current_exchange is not None:
            job.avoid.update(endpoints)
            job.current_exchange.arrivals.put_nowait(Stalled(cause_known=True))
            self.end(job)


def _all_unavailable(found: list[EngineReport | Unavailable | Undecodable]) -> bool:
    return all(isinstance(answer, Unavailable) for answer in found)
