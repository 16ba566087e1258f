"""Forwarding of streams of events, which go on elsewhere when a path breaks."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.core.pipelines.admission_queue import (
    retry_after,
    retry_after_denied,
    retry_after_limit,
)
from lacewingcourse.core.pipelines.events import EventCutter
from lacewingcourse.core.pipelines.suspects import is_full
from lacewingcourse.relay.admission import RETRY_PERIOD
from lacewingcourse.relay.connections import (
    NotSent,
    Unsent,
)
from lacewingcourse.relay.moving import Mover
from lacewingcourse.relay.path_finder import demand_of
from lacewingcourse.relay.sending import Sender
from lacewingcourse.relay.stream_run import StreamRun
from lacewingcourse.relay.stream_state import (
    Replacement,
    RunResult,
    StreamEnd,
    StreamState,
)
from lacewingcourse.relay.upstream import SendOutcome

if TYPE_CHECKING:
    from collections.abc import Callable, Collection
    from random import Random

    from lacewingcourse.core.pipelines.path import Part, Path
    from lacewingcourse.core.pipelines.retry_budget import RetryBudget
    from lacewingcourse.core.pipelines.shape import EngineShape
    from lacewingcourse.relay.admission import Admission
    from lacewingcourse.relay.beliefs import Beliefs
    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.job import Job
    from lacewingcourse.relay.path_finder import PathFinder
    from lacewingcourse.relay.stall_watcher import StallWatcher
    from lacewingcourse.relay.upstream import Exchange, Head


@attrs.define
class StreamForwarder:
    """Sends streams along paths and passes their events on.

    Attributes:
        beliefs: What is believed of the endpoints.
        finder: Finds paths.
        sender: What sends.
        budget: Repeats that are left.
        rng: Source of draws.
        admission: Lets requests onto paths.
        stalls: Watches streams for standing still.
        log: Log of decisions.
        on_suspect: Called when an endpoint is left out that other entries still use.
        on_denied: Called with the service and identifier of a request for which no
            retry is left.
    """

    beliefs: Beliefs
    finder: PathFinder
    sender: Sender
    budget: RetryBudget
    rng: Random
    admission: Admission
    stalls: StallWatcher
    log: DecisionLog
    on_suspect: Callable[[], None] = lambda: None
    on_denied: Callable[[str, str], None] = lambda service, request: None

    async def serve(self, job: Job, shape: EngineShape) -> Refusal | None:
        """Forward a stream; return why its answer is not whole, if it is not."""
        cutter = EventCutter(last_id=job.request.resume_after)
        state = StreamState(job, shape, demand_of(job, shape), cutter)
        try:
            return await self._serve(state)
        finally:
            self.sender.drop_holds(job)

    async def _serve(self, state: StreamState) -> Refusal | None:
        """Run a stream until it is whole or cannot go on."""
        job = state.job
        replacement: Replacement | None = None
        while True:
            if replacement is not None:
                path = replacement.path
            else:
                path = await self._wait_for_path(state)
            if isinstance(path, Refusal):
                return self._give_up(state, path.kind, path.reason, path.retry_after)
            now = self.sender.clock()
            self._note_transfers(state, path, now)
            result = await self._run(state, path, replacement)
            replacement = result.replacement if result is not None else None
            if result is None:
                self.unreachable(job, path)
                continue
            if result.end in (StreamEnd.WHOLE, StreamEnd.ABANDONED):
                return None
            if result.end is StreamEnd.NOT_TAKEN:
                return self._give_up(state, ErrorKind.DRAINING, result.reason)
            if result.end is StreamEnd.HELD:
                if not job.caller.begun or job.caller.gone:
                    return self._give_up(state, ErrorKind.OVERLOADED, result.reason)
                await asyncio.sleep(RETRY_PERIOD)
                continue
            if result.end in (StreamEnd.NO_RETRY, StreamEnd.LIMITED):
                continue
            self.learn(job, path, result)
            if replacement is not None and replacement.standby is not None:
                continue
            if result.end is StreamEnd.OVERDUE:
                return self._give_up(state, ErrorKind.DEADLINE_EXCEEDED, result.reason)
            if result.end is StreamEnd.FAILED or not job.may_send_again:
                return self._give_up(state, self._kind(result), "no attempt is left")

    async def _wait_for_path(self, state: StreamState) -> Path | Refusal:
        """Return a path for a request, or why none was found while it waited."""
        asked = self.sender.clock()
        path = await self.admission.path_for(
            state.job, state.demand, lambda: self.path_now(state)
        )
        state.job.waited += self.sender.clock() - asked
        return path

    def path_now(
        self, state: StreamState, besides: Collection[str] = ()
    ) -> Path | Refusal:
        """Return a path that a request may be sent on now, or why there is none.

        The request holds the retry and the place under a limit that the send needs.

        Args:
            state: The stream.
            besides: Endpoints to avoid besides those that it avoids anyway.
        """
        job = state.job
        refusal = self.refused_now(job)
        if refusal is not None:
            return refusal
        limits = self.beliefs.send_limits
        limits.release(job)
        found = self.finder.find(job, state.shape, state.demand, besides)
        if isinstance(found, Refusal):
            self.sender.drop_holds(job)
        else:
            limits.hold(found.first.endpoint, job, self.sender.clock())
        return found

    def refused_now(self, job: Job) -> Refusal | None:
        """Hold the retry that a send needs; return why it may not be sent, if so."""
        now = self.sender.clock()
        refusal = job.refused_at(now)
        if refusal is not None:
            return refusal
        if job.sends and not self.budget.hold(
            job.service, job, now, reserved=not job.may_come_back
        ):
            self.on_denied(job.service, job.request.id)
            return Refusal(ErrorKind.RETRIES_EXHAUSTED, Unsent.NO_RETRY.value)
        return None

    def _note_transfers(self, state: StreamState, path: Path, now: float) -> None:
        """Note the time that a prompt takes on the links of its path."""
        for pair in path.crossings:
            seconds = state.shape.transfer_seconds(state.demand.prompt_tokens)
            self.beliefs.links.record_transfer(pair, seconds, now)

    async def _run(
        self, state: StreamState, path: Path, replacement: Replacement | None
    ) -> RunResult | None:
        """Run a stream on a path; None if the request never left this process.

        Args:
            state: The stream.
            path: The path.
            replacement: What it was found as, None for a stream that moves from none.
        """
        job = state.job
        job.path = path
        self.beliefs.loads.begin(path, state.demand.tokens)
        try:
            fresh = not job.route.retry_safety.may_retry
            result = await self._relay(state, fresh, replacement)
            if result is None or result.end is not StreamEnd.DROPPED:
                return result
            # Endpoints drop kept connections without notice. Taken for a lost run, each
            # of these would use up an attempt of the route and a retry.
            job.sends -= 1
            self.sender.pool.drop(path.first.address)
            again = await self._relay(state, fresh=True)
            if again is None:
                # The endpoint is gone, perhaps under this request.
                job.sends += 1
                self.unreachable(job, path)
                return RunResult(StreamEnd.LOST, result.reason, first_lost=True)
            return again
        finally:
            self.beliefs.loads.end(path, state.demand.tokens)

    async def _relay(
        self, state: StreamState, fresh: bool, replacement: Replacement | None = None
    ) -> RunResult | None:
        """Send a stream on its path and pass on what comes; None if it never left.

        Args:
            state: The stream.
            fresh: Whether to send it over a new connection.
            replacement: What it goes on with, None if its path is its first one.
        """
        if replacement is not None and replacement.standby is not None:
            standby = replacement.standby
            return await self._pass_on(state, standby.exchange, standby.head)
        reserved = replacement.connection if replacement is not None else None
        job = state.job
        now = self.sender.clock()
        first = job.path.first
        after = state.cutter.last_id
        if now >= job.until:
            if reserved is not None:
                reserved.close()
            return self._unsent(NotSent(Unsent.OVERDUE))
        sending = job.sending(
            first.name, first.address, job.path, now, after, first.endpoint
        )
        sent = await self.sender.send(job, sending, fresh, reserved)
        if isinstance(sent, NotSent):
            job.note(SendOutcome.NEVER_LEFT, sent.reason)
            return self._unsent(sent)
        self.note_send(job, job.path)
        return await self._pass_on(state, sent, None)

    async def _pass_on(
        self, state: StreamState, sent: Exchange, head: Head | None
    ) -> RunResult:
        """Pass on what arrives of a run that was sent.

        Args:
            state: The stream.
            sent: What was sent.
            head: Head of its answer if that arrived already.
        """
        job = state.job
        try:
            job.current = sent
            self.stalls.begin(job, self.sender.clock())
            if job.caller.gone:
                job.caller_gone()
            state.cutter.restart()
            mover = Mover(self, state, job.path)
            run = StreamRun(
                state, sent, self.sender, self.stalls, self.log, mover, head
            )
            return await run.relay()
        except BaseException:
            # The engine must not work on for a caller whose answer has ended.
            sent.abandon()
            raise
        finally:
            job.current = None
            self.stalls.end(job)

    def note_send(self, job: Job, path: Path) -> None:
        """Note that a run was sent on a path."""
        job.sends += 1
        job.firsts.add(path.first.endpoint)
        job.path = path
        age = self.sender.clock() - self.beliefs.fleet.known_at
        limit = self.beliefs.limits.named(path.first.endpoint)
        self.log.sent(job, path.first.endpoint, age, job.waited, limit)

    def unreachable(self, job: Job, path: Path) -> None:
        """Leave out the first endpoint of a path, to which no connection was made."""
        endpoint = path.first.endpoint
        reason = Unsent.UNREACHABLE.value
        self.beliefs.suspects.suspect(endpoint, reason, self.sender.clock())
        job.avoid.add(endpoint)

    def _unsent(self, sent: NotSent) -> RunResult | None:
        """Return what a request amounts to that was not sent; None to try elsewhere.

        A time that is over, or a lack of this entry, says nothing of the endpoint: left
        out for it, one request after the other would take every endpoint from all
        others.
        """
        if sent.cause is Unsent.OVERDUE:
            return RunResult(StreamEnd.OVERDUE, sent.reason)
        if sent.cause is Unsent.NO_DESCRIPTOR:
            return RunResult(StreamEnd.HELD, sent.reason)
        if sent.cause is Unsent.LEAVING:
            return RunResult(StreamEnd.NOT_TAKEN, sent.reason)
        if sent.cause is Unsent.NO_RETRY:
            return RunResult(StreamEnd.NO_RETRY, sent.reason)
        if sent.cause is Unsent.OVER_LIMIT:
            return RunResult(StreamEnd.LIMITED, sent.reason)
        return None

    def learn(self, job: Job, path: Path, result: RunResult) -> None:
        """Leave out what failed, for this request or for all."""
        now = self.sender.clock()
        at_fault = [p for p in path.parts if p.address == result.fault_address]
        filled = None
        if at_fault:
            endpoint = at_fault[0].endpoint
            job.avoid.add(endpoint)
            filled = self._filled(job, at_fault[0])
            if is_full(result.misdirected, filled):
                self.stalls.ask(at_fault[0], now)
            else:
                self.beliefs.suspects.suspect(endpoint, result.reason, now)
                # Its word reaches the others in a round of news; until then each of
                # them sends it requests, and every one costs a retry.
                self.on_suspect()
        elif result.first_lost:
            job.avoid.add(path.first.endpoint)
            self.beliefs.crashes.strike(job.fingerprint, path.first.endpoint, now)
        elif result.end is StreamEnd.STALLED:
            if not path.uses(job.avoid):
                job.avoid.update(part.endpoint for part in path.parts)
        else:
            job.avoid.add(path.first.endpoint)
        fault = at_fault[0].endpoint if at_fault else ""
        self.log.lost(job, path.first.endpoint, result.reason, fault, filled)

    def _filled(self, job: Job, part: Part) -> float:
        """Return the share of a part's memory that is believed to be taken."""
        shape = self.beliefs.shape(job.service)
        if shape is None:
            return 0.0
        return self.beliefs.chooser(shape).memory_share(part)

    def _kind(self, result: RunResult) -> ErrorKind:
        if result.end is StreamEnd.REJECTED:
            return ErrorKind.OVERLOADED
        return ErrorKind.STAGE_LOST

    def _give_up(
        self,
        state: StreamState,
        kind: ErrorKind,
        cause: str,
        next_in: float | None = None,
    ) -> Refusal | None:
        """Return how a stream ends that cannot go on; None if it was answered.

        Args:
            state: The stream.
            kind: Why it cannot.
            cause: What happened.
            next_in: Seconds until an endpoint takes a request by the limit that it
                names, None if no limit is the cause.
        """
        job = state.job
        if state.failure is not None and not job.caller.begun:
            headers = self.sender.codec.for_caller(state.failure.head)
            job.caller.answer(state.failure.head.status, headers, state.failure.body)
            return None
        if job.caller.begun:
            return Refusal(kind, cause, Outcome.PARTIAL)
        job.reason = job.reason or cause
        wait = self._retry_after(job, kind)
        if next_in is not None:
            wait = max(wait, retry_after_limit(next_in, self.rng.random()))
        return job.failure(kind, wait)

    def _retry_after(self, job: Job, kind: ErrorKind) -> float:
        """Return the seconds after which the caller of a refused request comes back."""
        draw = self.rng.random()
        if kind is ErrorKind.RETRIES_EXHAUSTED:
            return retry_after_denied(draw)
        return retry_after(self.beliefs.durations.median(job.route.name), draw)
