"""One run of a stream: what arrives of it is passed on until it ends."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import Refusal
from lacewingcourse.relay.ports import AnswerKind
from lacewingcourse.relay.sending import (
    DROP_NOTICED,
    SERVER_ERROR,
    WholeAnswer,
    next_arrival,
)
from lacewingcourse.relay.stream_state import Replacement, RunResult, StreamEnd
from lacewingcourse.relay.upstream import (
    Abandoned,
    Data,
    End,
    Head,
    SendOutcome,
    Stalled,
    StandbyHeard,
)

if TYPE_CHECKING:
    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.job import Job
    from lacewingcourse.relay.moving import Mover
    from lacewingcourse.relay.ports import AnswerHead
    from lacewingcourse.relay.sending import Sender
    from lacewingcourse.relay.stall_watcher import StallWatcher
    from lacewingcourse.relay.stream_state import Standby, StreamState
    from lacewingcourse.relay.upstream import Arrival, Exchange

#: Seconds for which a run may stand still without a known cause before it goes on on
#: another path. Callers leave after two seconds of silence. A shorter time sends
#: streams away from paths that are only busy, and the prompts that are then read again
#: make the others busier.
SILENCE_PATIENCE = 1.5


#: Seconds between two looks for a path for a run that stands still. Many do at once
#: when an endpoint dies, and each look compares paths.
MOVE_PERIOD = 0.05
#: Seconds for which the body of an answer that is no stream is waited for.
BODY_PATIENCE = 0.5
#: Why a run is closed in whose place another one goes on.
STOOD_STILL = "the stream stood still"
#: Why a run is lost that ended in an event.
CUT_EVENT = "cut event"


@attrs.define
class StreamRun:
    """Passes on what arrives of a run.

    A run that stands still is kept open until another one was accepted, if the parts
    that they share have room for both, and at least until another one may begin. Its
    engine may go on after all, and a run that is closed first leaves the caller with a
    part of an answer where nothing takes its place.

    Attributes:
        state: The stream.
        exchange: What was sent for this run.
        sender: What sent it.
        stalls: Watches streams for standing still.
        log: Log of decisions.
        mover: Finds and begins what the stream goes on with.
        first: Head that arrived already, None if none did.
        head: Head of this run's answer, None before it.
        began_at: When the run was sent, seconds.
        moving_since: Time since which the stream is to go on elsewhere, None if it is
            not.
        standby: Run that was begun beside this one, None without one.
        listening: Waits for the standby's answer.
        over: How this run ended while its standby was not heard, None if it did not.
    """

    state: StreamState
    exchange: Exchange
    sender: Sender
    stalls: StallWatcher
    log: DecisionLog
    mover: Mover
    first: Head | None = None
    head: AnswerHead | None = None
    began_at: float = 0.0
    moving_since: float | None = None
    standby: Standby | None = None
    listening: asyncio.Task | None = None
    over: RunResult | None = None

    @property
    def job(self) -> Job:
        """The request."""
        return self.state.job

    async def relay(self) -> RunResult:
        """Pass on what arrives until the run ends."""
        try:
            return await self._relay()
        finally:
            if self.standby is not None:
                self.listening.cancel()
                self.mover.drop(self.standby)

    async def _relay(self) -> RunResult:
        arrivals = self.exchange.arrivals
        self.began_at = self.state.quiet_since = self.sender.clock()
        if self.first is not None:
            await self._take_head(self.first)
        while True:
            now = self.sender.clock()
            arrival = await next_arrival(self.exchange, self._look_at(now), now)
            result: RunResult | None = None
            if isinstance(arrival, Head):
                result = await self._take_head(arrival)
            elif isinstance(arrival, Data):
                self.take(arrival.data)
            elif isinstance(arrival, Stalled):
                result = await self._stand_still(arrival)
            elif isinstance(arrival, StandbyHeard):
                result = self._take_standby()
            else:
                result = self._ended(arrival)
            if result is not None:
                return result
            if self.head is not None and arrivals.empty():
                self.exchange.sink = self.take

    def take(self, data: bytes) -> None:
        """Take bytes of the run, and pass on the events that are whole."""
        self._pass_on(self.state.cutter.feed(data))
        if self.state.cutter.overgrown:
            self.exchange.arrivals.put_nowait(End(False, "bytes that are no events"))

    def _look_at(self, now: float) -> float:
        """Return when to look again if nothing arrives, seconds."""
        if self.standby is not None:
            return min(self.job.until, self.standby.began_at + SILENCE_PATIENCE)
        if self.moving_since is not None:
            return min(self.job.until, now + MOVE_PERIOD)
        if self.job.may_move:
            return min(self.job.until, self.state.quiet_since + SILENCE_PATIENCE)
        return self.job.until

    async def _take_head(self, arrival: Head) -> RunResult | None:
        """Take the head of an answer; return the end of a run that is no stream."""
        self.head = self.sender.codec.head(
            arrival.status, arrival.headers, self.job.request
        )
        if not self.head.succeeded:
            return await self._refused(self.exchange, self.head)
        if self.state.head is None:
            self.state.head = self.head
        return None

    def _pass_on(self, events: bytes) -> None:
        """Write whole events to the caller."""
        if not events:
            return
        now = self.sender.clock()
        self.state.quiet_since = now
        self.job.progress(now)
        self.stalls.progress(self.job, now)
        if self.job.caller.begun:
            self.job.caller.write(events)
            return
        self._begin_answer(events)

    async def _stand_still(self, arrival: Stalled) -> RunResult | None:
        """Return the end of a run that stands still, None if it is kept open."""
        now = self.sender.clock()
        if now >= self.job.until:
            self._give_up("the time of the route is over")
            return RunResult(StreamEnd.OVERDUE, self.job.reason)
        if self.standby is not None:
            return self._give_up_standby(arrival, now)
        if not self.job.may_move or not self.exchange.arrivals.empty():
            return None
        if not arrival.known and self._goes_on(now):
            return None
        first_look = self.moving_since is None
        if first_look:
            self.moving_since = now
        found = await self.mover.find()
        if isinstance(found, Refusal):
            if first_look:
                self.log.not_moved(self.job, found, now)
            return None
        if self.state.quiet_since > now or not self.exchange.arrivals.empty():
            # It went on, or ended, while the connection was made.
            self.mover.discard(found)
            return None
        if found.has_room:
            await self._begin_standby(found)
            return None
        self._give_up(STOOD_STILL)
        return RunResult(StreamEnd.STALLED, self.job.reason, replacement=found)

    async def _begin_standby(self, found: Replacement) -> None:
        """Begin the next run beside this one."""
        self.standby = await self.mover.begin(found)
        if self.standby is not None:
            self.listening = asyncio.ensure_future(self._listen(self.standby))

    async def _listen(self, standby: Standby) -> None:
        """Wait for the answer to a standby, and tell this run of it."""
        now = self.sender.clock()
        arrival = await next_arrival(standby.exchange, self.job.until, now)
        if isinstance(arrival, Head):
            head = self.sender.codec.head(
                arrival.status, arrival.headers, self.job.request
            )
            if head.succeeded:
                standby.head = arrival
            else:
                standby.failure = await self._refused(standby.exchange, head)
        else:
            exchange, began_at = standby.exchange, standby.began_at
            standby.failure = self._lost(exchange, began_at, arrival)
        self.exchange.arrivals.put_nowait(StandbyHeard())

    def _take_standby(self) -> RunResult | None:
        """Go on with the standby if it was accepted and this run did not go on."""
        standby = self.standby
        if standby is None or not (standby.head or standby.failure):
            # It tells of one that was dropped just before.
            return None
        self.standby = None
        if standby.failure is not None:
            self.mover.failed(standby)
            return self.over
        if self.state.quiet_since > standby.began_at:
            self.mover.drop(standby)
            self._goes_on(self.sender.clock())
            return None
        if self.over is None:
            self._give_up(STOOD_STILL)
        self.mover.end(standby)
        replacement = Replacement(standby.path, standby=standby)
        return RunResult(StreamEnd.STALLED, self.job.reason, replacement=replacement)

    def _give_up_standby(self, arrival: Stalled, now: float) -> RunResult | None:
        """Drop a standby that stands still as well."""
        if not arrival.known and now < self.standby.began_at + SILENCE_PATIENCE:
            return None
        self.listening.cancel()
        standby, self.standby = self.standby, None
        self.mover.drop(standby)
        return self.over

    def _goes_on(self, now: float) -> bool:
        """Tell whether events went past a wait, so that the run is well."""
        if self.moving_since is None:
            return now < self.state.quiet_since + SILENCE_PATIENCE
        if self.state.quiet_since <= self.moving_since:
            return False
        self.moving_since = None
        self.job.avoid.difference_update(p.endpoint for p in self.job.path.parts)
        self.stalls.resume(self.job, now)
        return True

    def _give_up(self, reason: str) -> None:
        """Close a run that is still open."""
        self.exchange.abandon()
        self.job.note(SendOutcome.MAY_HAVE_RUN, reason)

    def _ended(self, arrival: End | Abandoned) -> RunResult | None:
        """Return what the end of a run amounts to, None while another is heard of."""
        if isinstance(arrival, Abandoned):
            self._give_up(arrival.reason)
            self.job.caller.break_off()
            return RunResult(StreamEnd.ABANDONED, arrival.reason)
        if arrival.complete and not self.state.cutter.pending:
            self.sender.release(self.exchange, self.head)
            self._end_whole()
            return RunResult(StreamEnd.WHOLE)
        if self.moving_since is None:
            return self._lost(self.exchange, self.began_at, arrival)
        # An engine ends a run that stood still behind another part; it is not lost.
        self._give_up(arrival.reason or CUT_EVENT)
        result = RunResult(StreamEnd.STALLED, self.job.reason)
        if self.standby is None:
            return result
        self.over = result
        return None

    def _lost(self, exchange: Exchange, began_at: float, arrival: Arrival) -> RunResult:
        """Return what the early end of a run amounts to."""
        reason = getattr(arrival, "reason", "") or CUT_EVENT
        exchange.abandon()
        self.job.note(SendOutcome.MAY_HAVE_RUN, reason)
        now = self.sender.clock()
        if exchange.was_dropped and now < began_at + DROP_NOTICED:
            return RunResult(StreamEnd.DROPPED, reason)
        return RunResult(StreamEnd.LOST, reason, first_lost=True)

    def _end_whole(self) -> None:
        """End the caller's answer, which may have no events."""
        if not self.job.caller.begun:
            self._begin_answer(b"")
        self.job.caller.end()

    def _begin_answer(self, events: bytes) -> None:
        """Begin the caller's answer; its length is not that of one run."""
        headers = self.sender.codec.for_caller(self.state.head)
        headers.pop("Content-Length", None)
        self.job.caller.begin(self.state.head.status, headers, events)

    async def _refused(self, exchange: Exchange, head: AnswerHead) -> RunResult:
        """Read the body of an answer that is no stream, and keep a failure."""
        job = self.job
        body = bytearray()
        until = min(job.until, self.sender.clock() + BODY_PATIENCE)
        while True:
            now = self.sender.clock()
            arrival = await next_arrival(exchange, until, now)
            if isinstance(arrival, Data):
                body += arrival.data
            elif not isinstance(arrival, Head):
                break
        whole = isinstance(arrival, End) and arrival.complete
        self.sender.release(exchange, head if whole else None)
        if isinstance(arrival, Abandoned):
            return RunResult(StreamEnd.ABANDONED, arrival.reason)
        if head.answer_kind is AnswerKind.REJECTED:
            reason = f"rejected with {head.status}"
            job.note(SendOutcome.REJECTED, reason)
            return RunResult(
                StreamEnd.REJECTED, reason, head.fault_address, head.misdirected
            )
        job.note(SendOutcome.MAY_HAVE_RUN, f"status {head.status} {head.reason}")
        if head.answer_kind is not AnswerKind.ANSWERED or not whole or job.caller.begun:
            return RunResult(StreamEnd.LOST, job.reason)
        self.state.failure = WholeAnswer(head, bytes(body))
        # What an engine says of the request itself, another one would say as well.
        if head.status >= SERVER_ERROR and job.may_send_again:
            return RunResult(StreamEnd.LOST, job.reason)
        return RunResult(StreamEnd.FAILED, job.reason)
