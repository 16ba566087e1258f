"""One attempt of a stream: relays its events to the caller until it ends."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import Refusal
from lacewingcourse.core.pipelines.answer_faults import AnswerFault
from lacewingcourse.core.pipelines.crashes import AnswerProgress, answer_progress
from lacewingcourse.core.pipelines.event_form import EventDefect
from lacewingcourse.core.pipelines.send_history import SendOutcome
from lacewingcourse.relay.held_answers import FREE_BYTES
from lacewingcourse.relay.job import Phase
from lacewingcourse.relay.ports import AnswerKind
from lacewingcourse.relay.sending import (
    SERVER_ERROR,
    STALE_CONNECTION_WINDOW,
    WholeAnswer,
    next_arrival,
)
from lacewingcourse.relay.stream_state import AttemptEnd, AttemptResult, Replacement
from lacewingcourse.relay.upstream import (
    Abandoned,
    Data,
    End,
    Head,
    Stalled,
    StandbySettled,
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

#: Seconds without an event, and without a known cause, after which a stream is moved to
#: another path. Callers leave after two seconds of silence. A shorter time moves
#: streams off paths that are only busy, and reading their prompts again loads the other
#: paths.
STALL_TIMEOUT = 1.5
#: Seconds between two searches for a path for a stalled attempt. Many attempts stall at
#: once when an endpoint dies, and each search compares paths.
PATH_SEARCH_PERIOD = 0.05
#: Seconds to wait for the body of a response without success.
ERROR_BODY_TIMEOUT = 0.5
#: Reason of an attempt that is closed because another one replaces it.
STALLED_REASON = "the stream stood still"
#: Reason of an attempt whose connection closed before any event.
NO_EVENT_REASON = "closed before the first event"


@attrs.define
class StreamAttempt:
    """Relays the events of one attempt to the caller.

    A stalled attempt stays open until a standby was accepted, if the parts that both
    use have memory for both, and otherwise until the next attempt may be sent. Its
    engine may resume. If it were closed first and no replacement could be sent, the
    caller would be left with a partial answer.

    Attributes:
        state: The stream.
        exchange: The HTTP exchange that carries this attempt.
        sender: Sends requests and returns connections to the pool.
        stalls: Detects streams that stall behind dead endpoints.
        log: Decision log.
        mover: Finds the next path and starts the standby on it.
        early_head: Response head that was received before relaying began, None if
            there was none.
        head: Decoded head of this attempt's response, None before it.
        started_at: When relaying began, seconds.
        first_event_at: When this attempt passed on its first event, seconds, None
            before that.
        moving_since: When the attempt was found stalled and the search for another
            path began, seconds; None while it is not stalled.
        caller_wait: Done once the caller has taken the events passed on, None if it
            took the last ones at once.
        standby: Standby attempt, None if there is none.
        standby_task: Task that waits for the standby's response.
        ended_result: Result of this attempt if it ended while the standby was still
            pending, None otherwise.
        charged: Bytes that are charged for what was received and not passed on.
    """

    state: StreamState
    exchange: Exchange
    sender: Sender
    stalls: StallWatcher
    log: DecisionLog
    mover: Mover
    early_head: Head | None = None
    head: AnswerHead | None = None
    started_at: float = 0.0
    first_event_at: float | None = None
    moving_since: float | None = None
    caller_wait: asyncio.Future[None] | None = None
    standby: Standby | None = None
    standby_task: asyncio.Task | None = None
    ended_result: AttemptResult | None = None
    charged: int = 0

    @property
    def job(self) -> Job:
        """The request."""
        return self.state.job

    async def relay(self) -> AttemptResult:
        """Relay events until the attempt ends; return its result."""
        try:
            return await self._relay()
        finally:
            self._charge(0)
            if self.standby is not None:
                self.standby_task.cancel()
                self.mover.drop_standby(self.standby)

    async def _relay(self) -> AttemptResult:
        arrivals = self.exchange.arrivals
        self.started_at = self.state.last_event_at = self.sender.clock()
        if self.early_head is not None:
            await self._on_head(self.early_head)
        while True:
            now = self.sender.clock()
            arrival = await next_arrival(self.exchange, self._next_check_at(now), now)
            result: AttemptResult | None = None
            if isinstance(arrival, Head):
                result = await self._on_head(arrival)
            elif isinstance(arrival, Data):
                self.receive(arrival.data)
            elif isinstance(arrival, Stalled):
                result = await self._on_stall(arrival)
            elif isinstance(arrival, StandbySettled):
                result = self._on_standby_settled()
            else:
                result = self._on_end(arrival)
            if result is not None:
                return result
            if self.head is not None and arrivals.empty():
                self.exchange.sink = self.receive

    def receive(self, data: bytes) -> asyncio.Future[None] | None:
        """Add received bytes, and pass complete events on to the caller.

        Returns:
            What to wait for before more is read, None if the caller can take more.
        """
        copy = self.state.copy
        if copy.unsound is not None:
            return None
        events = copy.feed(data)
        self.job.dropped_events = copy.dropped
        self.job.is_continuable = copy.is_continuable
        self.caller_wait = self._forward_events(events)
        if copy.held_bytes > FREE_BYTES or self.charged:
            self._charge(copy.held_bytes)
        if copy.unsound is not None:
            self.log.unsound_event(self.job, self.mover.path, copy.unsound)
            is_oversized = copy.unsound.defect is EventDefect.OVERSIZED
            fault = AnswerFault.OVERSIZED if is_oversized else None
            self.exchange.arrivals.put_nowait(End(False, copy.failure, fault=fault))
        return self.caller_wait

    def _charge(self, held: int) -> None:
        """Charge what was received and not passed on to the memory of answers."""
        if held != self.charged:
            change, self.charged = held - self.charged, held
            self.sender.answers.add(self.job, change)

    def _check_end(self) -> None:
        """Log bytes behind the last event of a response that has ended complete."""
        copy = self.state.copy
        if copy.unsound is None:
            copy.check_end()
            if copy.unsound is not None:
                self.log.unsound_event(self.job, self.mover.path, copy.unsound)

    def _next_check_at(self, now: float) -> float:
        """Return when to check for a stall if nothing arrives until then, seconds."""
        if self._awaits_caller:
            # The caller is slow, not the engine.
            self.state.last_event_at = now
            self.stalls.progress(self.job, now)
        if self.standby is not None:
            return min(self.job.deadline, self.standby.started_at + STALL_TIMEOUT)
        if self.moving_since is not None:
            return min(self.job.deadline, now + PATH_SEARCH_PERIOD)
        if self.job.may_move:
            return min(self.job.deadline, self.state.last_event_at + STALL_TIMEOUT)
        return self.job.deadline

    async def _on_head(self, arrival: Head) -> AttemptResult | None:
        """Process a response head; return the result if it is not a success."""
        self.head = self.sender.codec.head(
            arrival.status, arrival.headers, self.job.request
        )
        if not self.head.succeeded:
            return await self._read_error_response(self.exchange, self.head)
        if not self.job.caller.response_started:
            self.state.head = self.head
        return None

    def _forward_events(self, events: bytes) -> asyncio.Future[None] | None:
        """Write complete events to the caller; return what to wait for, if anything."""
        if not events:
            return self.caller_wait
        now = self.sender.clock()
        self.state.last_event_at = now
        if self.first_event_at is None:
            self.first_event_at = now
            self.job.phase = Phase.STREAMING
        self.job.record_events(now)
        self.mover.forwarder.times.record_events(self.job, now)
        if not self.job.established:
            self._check_established(now)
        self.stalls.progress(self.job, now)
        if self.job.caller.response_started:
            return self.job.caller.write(events)
        return self._begin_response(events)

    @property
    def _awaits_caller(self) -> bool:
        """Whether the caller has to take events before more are read."""
        return self.caller_wait is not None and not self.caller_wait.done()

    def _check_established(self, now: float) -> None:
        """Record it once this attempt has been passing on events for some time."""
        progress = answer_progress(True, self.first_event_at, now)
        if progress is AnswerProgress.ESTABLISHED:
            self.mover.forwarder.crash_guard.record_established(self.job)

    async def _on_stall(self, arrival: Stalled) -> AttemptResult | None:
        """Process a stall; return the result, None if the attempt stays open."""
        now = self.sender.clock()
        if now >= self.job.deadline:
            self._close_attempt("the time of the route is over")
            return AttemptResult(AttemptEnd.OVERDUE, self.job.reason)
        if self.standby is not None:
            return self._drop_stalled_standby(arrival, now)
        if not self.job.may_move or not self.exchange.arrivals.empty():
            return None
        if self._awaits_caller and not arrival.cause_known:
            return None
        if not arrival.cause_known and self._has_resumed(now):
            return None
        first_search = self.moving_since is None
        if first_search:
            self.moving_since = now
            self.job.phase = Phase.MOVING
        found = await self.mover.find_replacement()
        if isinstance(found, Refusal):
            if first_search:
                self.log.not_moved(self.job, found, now)
            return None
        if self.state.last_event_at > now or not self.exchange.arrivals.empty():
            # The attempt resumed or ended while the connection was being made.
            self.mover.discard(found)
            return None
        if found.has_room:
            await self._start_standby(found)
            return None
        self._close_attempt(STALLED_REASON)
        return AttemptResult(AttemptEnd.STALLED, self.job.reason, replacement=found)

    async def _start_standby(self, found: Replacement) -> None:
        """Start the next attempt while this one stays open."""
        self.standby = await self.mover.start_standby(found)
        if self.standby is not None:
            self.standby_task = asyncio.ensure_future(self._await_standby(self.standby))

    async def _await_standby(self, standby: Standby) -> None:
        """Wait for the response of a standby, and signal it to the relay loop."""
        now = self.sender.clock()
        arrival = await next_arrival(standby.exchange, self.job.deadline, now)
        if isinstance(arrival, Head):
            head = self.sender.codec.head(
                arrival.status, arrival.headers, self.job.request
            )
            if head.succeeded:
                standby.head = arrival
            else:
                standby.failure = await self._read_error_response(
                    standby.exchange, head
                )
        else:
            exchange, started_at = standby.exchange, standby.started_at
            standby.failure = self._on_lost(exchange, started_at, arrival)
        self.exchange.arrivals.put_nowait(StandbySettled())

    def _on_standby_settled(self) -> AttemptResult | None:
        """Switch to the standby if it was accepted and this attempt did not resume."""
        standby = self.standby
        if standby is None or not (standby.head or standby.failure):
            # The signal belongs to a standby that was dropped just before.
            return None
        self.standby = None
        if standby.failure is not None:
            self.mover.on_standby_failed(standby)
            return self.ended_result
        has_ended = self.ended_result is not None
        has_resumed = self.state.copy.forwarded > standby.forwarded
        if not self.state.copy.is_continuable or (has_resumed and not has_ended):
            self.mover.drop_standby(standby)
            if not has_ended:
                self._has_resumed(self.sender.clock())
            return self.ended_result
        if not has_ended:
            self._close_attempt(STALLED_REASON)
        self.mover.release_load(standby)
        replacement = Replacement(standby.path, standby=standby)
        return AttemptResult(
            AttemptEnd.STALLED, self.job.reason, replacement=replacement
        )

    def _drop_stalled_standby(
        self, arrival: Stalled, now: float
    ) -> AttemptResult | None:
        """Drop a standby that has stalled as well."""
        if not arrival.cause_known and now < self.standby.started_at + STALL_TIMEOUT:
            return None
        self.standby_task.cancel()
        standby, self.standby = self.standby, None
        self.mover.drop_standby(standby)
        return self.ended_result

    def _has_resumed(self, now: float) -> bool:
        """Return whether events arrived again, so that the attempt is not stalled."""
        if self.moving_since is None:
            return now < self.state.last_event_at + STALL_TIMEOUT
        if self.state.last_event_at <= self.moving_since:
            return False
        self.moving_since = None
        self.job.phase = Phase.STREAMING
        self.job.avoid.difference_update(p.endpoint for p in self.job.path.parts)
        self.stalls.resume(self.job, now)
        return True

    def _close_attempt(self, reason: str) -> None:
        """Close this attempt and record that it may have run."""
        self.exchange.abandon()
        self.exchange.send.conclude(SendOutcome.MAY_HAVE_RUN)
        self.job.reason = reason

    def _on_end(self, arrival: End | Abandoned) -> AttemptResult | None:
        """Return the result of an ended attempt, None while a standby is pending."""
        if isinstance(arrival, Abandoned):
            self._close_attempt(arrival.reason)
            self.job.caller.abort()
            return AttemptResult(AttemptEnd.ABANDONED, arrival.reason)
        if arrival.complete:
            self._check_end()
        if self._is_complete(arrival):
            self.exchange.send.conclude(SendOutcome.ANSWERED)
            self.sender.release(self.exchange, self.head)
            self._finish_response()
            return AttemptResult(AttemptEnd.WHOLE)
        if self.moving_since is None:
            return self._on_lost(self.exchange, self.started_at, arrival)
        # An engine ends a stream that stalled behind another part. It has not crashed
        # itself, so this attempt does not count as lost.
        self._close_attempt(arrival.reason or self.state.copy.failure)
        result = AttemptResult(AttemptEnd.STALLED, self.job.reason)
        if self.state.copy.unsound is not None:
            # The first part wrote the bytes, whichever part it had waited for.
            self.job.avoid.add(self.mover.path.first.endpoint)
        if self.standby is None:
            return result
        self.ended_result = result
        return None

    def _is_complete(self, arrival: End) -> bool:
        """Return whether the end of a response completes the stream.

        An engine that crashes closes its connection as well. A stream that only the
        close ends is therefore taken for broken off if it has no event.
        """
        if not arrival.complete or not self.state.copy.may_end:
            return False
        return not arrival.by_close or self.state.copy.has_new_events

    def _on_lost(
        self, exchange: Exchange, started_at: float, arrival: Arrival
    ) -> AttemptResult:
        """Close an attempt that ended early, and return its result."""
        reason = getattr(arrival, "reason", "")
        if not reason:
            failure = self.state.copy.failure if exchange is self.exchange else ""
            reason = failure or NO_EVENT_REASON
        exchange.abandon()
        self.job.reason = reason
        now = self.sender.clock()
        if exchange.was_dropped and now < started_at + STALE_CONNECTION_WINDOW:
            exchange.send.conclude(SendOutcome.STALE)
            return AttemptResult(AttemptEnd.DROPPED, reason)
        exchange.send.conclude(SendOutcome.MAY_HAVE_RUN)
        fault = getattr(arrival, "fault", None)
        if fault is not None:
            return AttemptResult(AttemptEnd.LOST, reason, fault=fault)
        by_close = getattr(arrival, "by_close", False)
        is_unsound = exchange is self.exchange and self.state.copy.unsound is not None
        if is_unsound and not by_close:
            # Its engine has not crashed.
            return AttemptResult(AttemptEnd.LOST, reason)
        answered = exchange is self.exchange and self.head is not None
        first_event_at = self.first_event_at if answered else None
        progress = answer_progress(answered, first_event_at, now)
        return AttemptResult(
            AttemptEnd.LOST, reason, first_lost=True, progress=progress
        )

    def _finish_response(self) -> None:
        """End the caller's response, which may have no events."""
        has_event = self.state.copy.held is not None
        rest = self.state.copy.finish()
        if has_event:
            self._forward_events(rest)
        elif not self.job.caller.response_started:
            self._begin_response(rest)
        else:
            self.job.caller.write(rest)
        self.job.caller.end()

    def _begin_response(self, events: bytes) -> asyncio.Future[None] | None:
        """Start the caller's response.

        Content-Length is left out: the response may consist of several attempts.
        """
        headers = self.sender.codec.for_caller(self.state.head)
        headers.pop("Content-Length", None)
        return self.job.caller.begin(self.state.head.status, headers, events)

    async def _read_error_response(
        self, exchange: Exchange, head: AnswerHead
    ) -> AttemptResult:
        """Read the body of a response without success, and return the result.

        An engine's own error response is kept, so that it can be sent to the caller.
        """
        job = self.job
        body = bytearray()
        until = min(job.deadline, self.sender.clock() + ERROR_BODY_TIMEOUT)
        while True:
            now = self.sender.clock()
            arrival = await next_arrival(exchange, until, now)
            if isinstance(arrival, Data):
                body += arrival.data
                self.sender.answers.add(job, len(arrival.data))
            elif not isinstance(arrival, Head):
                break
        whole = isinstance(arrival, End) and arrival.complete
        self.sender.release(exchange, head if whole else None)
        is_own = head.answer_kind is AnswerKind.ANSWERED and whole
        if not is_own or job.caller.response_started:
            self.sender.answers.add(job, -len(body))
        exchange.send.conclude(head.answer_kind.send_outcome)
        if isinstance(arrival, Abandoned):
            return AttemptResult(AttemptEnd.ABANDONED, arrival.reason)
        if head.answer_kind is AnswerKind.REJECTED:
            job.reason = f"rejected with {head.status}"
            return AttemptResult(
                AttemptEnd.REJECTED, job.reason, head.fault_address, head.misdirected
            )
        job.reason = f"status {head.status} {head.reason}"
        if not is_own or job.caller.response_started:
            fault = getattr(arrival, "fault", None)
            return AttemptResult(AttemptEnd.LOST, job.reason, fault=fault)
        self.state.failure = WholeAnswer(head, bytes(body))
        # Errors below 500 concern the request itself; another engine would return the
        # same.
        if head.status >= SERVER_ERROR and job.may_send_again:
            return AttemptResult(AttemptEnd.LOST, job.reason)
        return AttemptResult(AttemptEnd.FAILED, job.reason)
