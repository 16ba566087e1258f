"""Forwarding of streams of events, which go on elsewhere when a path breaks."""

from __future__ import annotations

from enum import Enum
from functools import partial
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.core.pipelines.events import EventCutter
from lacewingcourse.core.pipelines.suspects import is_full
from lacewingcourse.core.pipelines.waiting import come_back_after
from lacewingcourse.relay.path_finder import demand_of
from lacewingcourse.relay.ports import AnswerHead, Standing
from lacewingcourse.relay.sending import NotSent, Sender, next_arrival
from lacewingcourse.relay.upstream import (
    Abandoned,
    Data,
    End,
    Head,
    SendOutcome,
    Stalled,
)

if TYPE_CHECKING:
    from random import Random

    from lacewingcourse.core.pipelines.choice import Demand
    from lacewingcourse.core.pipelines.path import Part, Path
    from lacewingcourse.core.pipelines.repeats import RepeatBudget
    from lacewingcourse.core.pipelines.shape import EngineShape
    from lacewingcourse.relay.admission import Admission
    from lacewingcourse.relay.beliefs import Beliefs
    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.job import Job
    from lacewingcourse.relay.path_finder import PathFinder
    from lacewingcourse.relay.stall_watcher import StallWatcher
    from lacewingcourse.relay.upstream import Arrival, Exchange

#: Seconds for which a run may stand still without a known cause before it goes on on
#: another path. Callers leave after two seconds of silence. A shorter time sends
#: streams away from paths that are only busy, and the prompts that are then read again
#: make the others busier: with 240 milliseconds, half of a fleet's streams were late
#: for as long as the load lasted.
SILENCE_PATIENCE = 1.5


class StreamEnd(Enum):
    """How one run of a stream ended."""

    WHOLE = "whole"
    LOST = "lost"
    STALLED = "stalled"
    REJECTED = "rejected"
    ABANDONED = "abandoned"
    OVERDUE = "overdue"


@attrs.frozen
class RunResult:
    """What became of one run of a stream.

    Attributes:
        end: How it ended.
        reason: What happened.
        fault_address: Address of the endpoint at fault, or empty.
        misdirected: Whether that endpoint does not hold what the path names.
        first_lost: Whether the connection to the first part broke.
    """

    end: StreamEnd
    reason: str = ""
    fault_address: str = ""
    misdirected: bool = False
    first_lost: bool = False


@attrs.define
class StreamState:
    """What was passed on of a stream.

    Attributes:
        cutter: Cuts bytes into events, and knows the last one passed on.
        head: Head of the first run's answer, None before it.
        quiet_since: Time since which nothing arrived of the present run, seconds.
    """

    cutter: EventCutter
    head: AnswerHead | None = None
    quiet_since: float = 0.0


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
    """

    beliefs: Beliefs
    finder: PathFinder
    sender: Sender
    budget: RepeatBudget
    rng: Random
    admission: Admission
    stalls: StallWatcher
    log: DecisionLog

    async def serve(self, job: Job, shape: EngineShape) -> Refusal | None:
        """Forward a stream; return why its answer is not whole, if it is not."""
        state = StreamState(EventCutter(last_id=job.request.resume_after))
        demand = demand_of(job, shape)
        while True:
            asked = self.sender.clock()
            path = await self.admission.path_for(
                job, demand, lambda: self.finder.find(job, shape, demand)
            )
            now = self.sender.clock()
            job.waited += now - asked
            if isinstance(path, Refusal):
                return self._give_up(job, path.kind, path.reason)
            if job.sends and not self.budget.take(job.service, now):
                return self._give_up(job, ErrorKind.STAGE_LOST, "no repeat is left")
            self._note_transfers(path, demand, shape, now)
            result = await self._run(job, path, demand, state, now)
            if result is None:
                self.beliefs.suspects.suspect(path.first.endpoint, job.reason, now)
                job.avoid.add(path.first.endpoint)
                continue
            if result.end in (StreamEnd.WHOLE, StreamEnd.ABANDONED):
                return None
            self._learn(job, path, result)
            if result.end is StreamEnd.OVERDUE:
                return self._give_up(job, ErrorKind.DEADLINE_EXCEEDED, result.reason)
            if not job.may_send_again:
                return self._give_up(job, self._kind(result), "no attempt is left")

    def _note_transfers(
        self, path: Path, demand: Demand, shape: EngineShape, now: float
    ) -> None:
        """Note the time that a prompt takes on the pipes of its path."""
        for pair in path.crossings:
            seconds = shape.transfer_seconds(demand.prompt)
            self.beliefs.pipes.add(pair, seconds, now)

    async def _run(
        self, job: Job, path: Path, demand: Demand, state: StreamState, now: float
    ) -> RunResult | None:
        """Run a stream on a path; None if the request never left this process."""
        self.beliefs.loads.begin(path, demand.tokens)
        try:
            first = path.first
            job.path = path
            after = state.cutter.last_id
            sending = job.sending(first.name, first.address, path, now, after)
            sent = await self.sender.send(job.request, sending, fresh=False)
            if isinstance(sent, NotSent):
                job.note(SendOutcome.NEVER_LEFT, sent.reason)
                return None
            job.sends += 1
            job.firsts.add(first.endpoint)
            job.current = sent
            self.stalls.begin(job, now)
            age = now - self.beliefs.fleet.known_at
            self.log.sent(job, first.endpoint, age, job.waited)
            if job.caller.gone:
                job.caller_gone()
            state.cutter.restart()
            return await self._relay(job, sent, state)
        finally:
            job.current = None
            self.stalls.end(job)
            self.beliefs.loads.end(path, demand.tokens)

    async def _relay(
        self, job: Job, exchange: Exchange, state: StreamState
    ) -> RunResult:
        """Pass on what arrives until the run ends."""
        state.quiet_since = self.sender.clock()
        head: AnswerHead | None = None
        while True:
            until = job.until
            if job.may_move:
                until = min(until, state.quiet_since + SILENCE_PATIENCE)
            arrival = await next_arrival(exchange, until, self.sender.clock())
            if isinstance(arrival, Head):
                head = self.sender.codec.head(
                    arrival.status, arrival.headers, job.request
                )
                if not head.succeeded:
                    return await self._refused_run(job, exchange, head, state)
                if state.head is None:
                    state.head = head
            elif isinstance(arrival, Data):
                self._take(job, state, arrival.data)
            elif not self._has_moved_on(job, state, arrival, until):
                return self._ended(job, exchange, head, state, arrival)
            if head is not None and exchange.arrivals.empty():
                exchange.sink = partial(self._take, job, state)

    def _has_moved_on(
        self, job: Job, state: StreamState, arrival: Arrival, until: float
    ) -> bool:
        """Tell whether a wait ran out although events went past it meanwhile."""
        if not isinstance(arrival, Stalled) or arrival.known:
            return False
        moved = state.quiet_since + SILENCE_PATIENCE > until
        return moved and self.sender.clock() < job.until

    def _take(self, job: Job, state: StreamState, data: bytes) -> None:
        """Take bytes of a stream, and pass on the events that are whole."""
        self._pass_on(job, state, state.cutter.feed(data))
        if state.cutter.overgrown and job.current is not None:
            job.current.arrivals.put_nowait(End(False, "bytes that are no events"))

    def _pass_on(self, job: Job, state: StreamState, events: bytes) -> None:
        """Write whole events to the caller."""
        if not events:
            return
        state.quiet_since = self.sender.clock()
        job.progress(state.quiet_since)
        self.stalls.progress(job, state.quiet_since)
        if job.caller.begun:
            job.caller.write(events)
            return
        headers = self.sender.codec.for_caller(state.head)
        headers.pop("Content-Length", None)
        job.caller.begin(state.head.status, headers, events)

    def _ended(
        self,
        job: Job,
        exchange: Exchange,
        head: AnswerHead | None,
        state: StreamState,
        arrival: Arrival,
    ) -> RunResult:
        """Return what the end of a run amounts to."""
        if isinstance(arrival, End) and arrival.complete and not state.cutter.pending:
            self.sender.release(exchange, head)
            if not job.caller.begun:
                job.caller.begin(
                    state.head.status, self.sender.codec.for_caller(state.head)
                )
            job.caller.end()
            return RunResult(StreamEnd.WHOLE)
        exchange.abandon()
        job.note(SendOutcome.MAY_HAVE_RUN, "the stream broke off")
        if isinstance(arrival, Abandoned):
            job.caller.break_off()
            return RunResult(StreamEnd.ABANDONED, arrival.reason)
        if isinstance(arrival, Stalled):
            if self.sender.clock() >= job.until:
                job.reason = "the time of the route is over"
                return RunResult(StreamEnd.OVERDUE, job.reason)
            job.reason = "the stream stood still"
            return RunResult(StreamEnd.STALLED, job.reason)
        job.reason = arrival.reason if isinstance(arrival, End) else "cut event"
        return RunResult(StreamEnd.LOST, job.reason, first_lost=True)

    async def _refused_run(
        self, job: Job, exchange: Exchange, head: AnswerHead, state: StreamState
    ) -> RunResult:
        """Read the body of an answer that is no stream, and pass on a failure."""
        body = bytearray()
        while True:
            arrival = await next_arrival(exchange, job.until, self.sender.clock())
            if isinstance(arrival, Data):
                body += arrival.data
            elif not isinstance(arrival, Head):
                break
        whole = isinstance(arrival, End) and arrival.complete
        self.sender.release(exchange, head if whole else None)
        if isinstance(arrival, Abandoned):
            return RunResult(StreamEnd.ABANDONED, arrival.reason)
        if head.standing is Standing.REJECTED:
            reason = f"rejected with {head.status}"
            job.note(SendOutcome.REJECTED, reason)
            return RunResult(
                StreamEnd.REJECTED, reason, head.fault_address, head.misdirected
            )
        job.note(SendOutcome.MAY_HAVE_RUN, f"status {head.status} {head.reason}")
        if head.standing is not Standing.ANSWERED or not whole or job.may_send_again:
            return RunResult(StreamEnd.LOST, job.reason)
        if job.caller.begun:
            return RunResult(StreamEnd.LOST, job.reason)
        headers = self.sender.codec.for_caller(head)
        job.caller.answer(head.status, headers, bytes(body))
        return RunResult(StreamEnd.WHOLE)

    def _learn(self, job: Job, path: Path, result: RunResult) -> None:
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
        return self.beliefs.chooser(shape).filled(part)

    def _kind(self, result: RunResult) -> ErrorKind:
        if result.end is StreamEnd.REJECTED:
            return ErrorKind.OVERLOADED
        return ErrorKind.STAGE_LOST

    def _give_up(self, job: Job, kind: ErrorKind, cause: str) -> Refusal:
        """Return how a stream ends that cannot go on."""
        if job.caller.begun:
            return Refusal(kind, cause, Outcome.PARTIAL)
        job.reason = job.reason or cause
        answer = self.beliefs.durations.expected(job.route.name)
        return job.failure(kind, come_back_after(answer, self.rng.random()))
