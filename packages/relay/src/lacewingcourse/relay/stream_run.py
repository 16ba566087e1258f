"""One run of a stream: what arrives of it is passed on until it ends."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import Refusal
from lacewingcourse.relay.ports import Standing
from lacewingcourse.relay.sending import (
    DROP_NOTICED,
    SERVER_ERROR,
    WholeAnswer,
    next_arrival,
)
from lacewingcourse.relay.upstream import (
    Abandoned,
    Data,
    End,
    Head,
    SendOutcome,
    Stalled,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from lacewingcourse.core.pipelines.choice import Demand
    from lacewingcourse.core.pipelines.events import EventCutter
    from lacewingcourse.core.pipelines.path import Path
    from lacewingcourse.core.pipelines.shape import EngineShape
    from lacewingcourse.relay.connections import Connection
    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.job import Job
    from lacewingcourse.relay.ports import AnswerHead
    from lacewingcourse.relay.sending import Sender
    from lacewingcourse.relay.stall_watcher import StallWatcher
    from lacewingcourse.relay.upstream import Exchange

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


class StreamEnd(Enum):
    """How one run of a stream ended."""

    WHOLE = "whole"
    LOST = "lost"
    STALLED = "stalled"
    REJECTED = "rejected"
    ABANDONED = "abandoned"
    OVERDUE = "overdue"
    DROPPED = "dropped"
    HELD = "held"
    FAILED = "failed"


@attrs.frozen
class Replacement:
    """What a stream goes on with in place of a run that stands still.

    Attributes:
        path: Its next path.
        connection: A connection to the first part of it.
    """

    path: Path
    connection: Connection


@attrs.frozen
class RunResult:
    """What became of one run of a stream.

    Attributes:
        end: How it ended.
        reason: What happened.
        fault_address: Address of the endpoint at fault, or empty.
        misdirected: Whether that endpoint does not hold what the path names.
        first_lost: Whether the connection to the first part broke.
        replacement: What the stream goes on with, None if that is still to be found.
    """

    end: StreamEnd
    reason: str = ""
    fault_address: str = ""
    misdirected: bool = False
    first_lost: bool = False
    replacement: Replacement | None = None


@attrs.define
class StreamState:
    """A stream, over all of its runs.

    Attributes:
        job: The request.
        shape: Figures of the service's engines.
        demand: What it needs of a path.
        cutter: Cuts bytes into events, and knows the last one passed on.
        head: Head of the first run's answer, None before it.
        quiet_since: Time since which nothing arrived of the present run, seconds.
        failure: An engine's own failure, which is passed on if nothing better comes.
    """

    job: Job
    shape: EngineShape
    demand: Demand
    cutter: EventCutter
    head: AnswerHead | None = None
    quiet_since: float = 0.0
    failure: WholeAnswer | None = None


@attrs.define
class StreamRun:
    """Passes on what arrives of a run.

    A run that stands still is kept open until the stream may go on elsewhere. Its
    engine may go on after all, and a run that is closed first leaves the caller with a
    part of an answer where no repeat is allowed or no other path has room.

    Attributes:
        state: The stream.
        exchange: What was sent for this run.
        sender: What sent it.
        stalls: Watches streams for standing still.
        log: Log of decisions.
        replacement: Returns what the stream may go on with, or why there is nothing at
            present.
        head: Head of this run's answer, None before it.
        began_at: When the run was sent, seconds.
        moving_since: Time since which the stream is to go on elsewhere, None if it is
            not.
    """

    state: StreamState
    exchange: Exchange
    sender: Sender
    stalls: StallWatcher
    log: DecisionLog
    replacement: Callable[[], Awaitable[Replacement | Refusal]]
    head: AnswerHead | None = None
    began_at: float = 0.0
    moving_since: float | None = None

    @property
    def job(self) -> Job:
        """The request."""
        return self.state.job

    async def relay(self) -> RunResult:
        """Pass on what arrives until the run ends."""
        arrivals = self.exchange.arrivals
        self.began_at = self.state.quiet_since = self.sender.clock()
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
            return await self._refused()
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
        if not self.job.may_move or not self.exchange.arrivals.empty():
            return None
        if not arrival.known and self._goes_on(now):
            return None
        first_look = self.moving_since is None
        if first_look:
            self.moving_since = now
        found = await self.replacement()
        if isinstance(found, Refusal):
            if first_look:
                self.log.not_moved(self.job, found, now)
            return None
        if self.state.quiet_since > now or not self.exchange.arrivals.empty():
            # It went on, or ended, while the connection was made.
            found.connection.close()
            return None
        self._give_up("the stream stood still")
        return RunResult(StreamEnd.STALLED, self.job.reason, replacement=found)

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

    def _ended(self, arrival: End | Abandoned) -> RunResult:
        """Return what the end of a run amounts to."""
        now = self.sender.clock()
        if isinstance(arrival, Abandoned):
            self._give_up(arrival.reason)
            self.job.caller.break_off()
            return RunResult(StreamEnd.ABANDONED, arrival.reason)
        if arrival.complete and not self.state.cutter.pending:
            self.sender.release(self.exchange, self.head)
            self._end_whole()
            return RunResult(StreamEnd.WHOLE)
        self._give_up(arrival.reason or "cut event")
        # An engine ends a run that stood still behind another part; it is not lost.
        if self.moving_since is not None:
            return RunResult(StreamEnd.STALLED, self.job.reason)
        if self.exchange.was_dropped and now < self.began_at + DROP_NOTICED:
            return RunResult(StreamEnd.DROPPED, self.job.reason)
        return RunResult(StreamEnd.LOST, self.job.reason, first_lost=True)

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

    async def _refused(self) -> RunResult:
        """Read the body of an answer that is no stream, and pass on a failure."""
        job, head = self.job, self.head
        body = bytearray()
        until = min(job.until, self.sender.clock() + BODY_PATIENCE)
        while True:
            now = self.sender.clock()
            arrival = await next_arrival(self.exchange, until, now)
            if isinstance(arrival, Data):
                body += arrival.data
            elif not isinstance(arrival, Head):
                break
        whole = isinstance(arrival, End) and arrival.complete
        self.sender.release(self.exchange, head if whole else None)
        if isinstance(arrival, Abandoned):
            return RunResult(StreamEnd.ABANDONED, arrival.reason)
        if head.standing is Standing.REJECTED:
            reason = f"rejected with {head.status}"
            job.note(SendOutcome.REJECTED, reason)
            return RunResult(
                StreamEnd.REJECTED, reason, head.fault_address, head.misdirected
            )
        job.note(SendOutcome.MAY_HAVE_RUN, f"status {head.status} {head.reason}")
        if head.standing is not Standing.ANSWERED or not whole or job.caller.begun:
            return RunResult(StreamEnd.LOST, job.reason)
        self.state.failure = WholeAnswer(head, bytes(body))
        # What an engine says of the request itself, another one would say as well.
        if head.status >= SERVER_ERROR and job.may_send_again:
            return RunResult(StreamEnd.LOST, job.reason)
        return RunResult(StreamEnd.FAILED, job.reason)
