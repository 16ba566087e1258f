"""Sending of requests to endpoints, and reading of responses of plain services."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.answer_faults import AnswerFault
from lacewingcourse.core.pipelines.backoff import BackoffTable
from lacewingcourse.core.pipelines.client_memory import FIELD_BYTES
from lacewingcourse.core.pipelines.send_history import SendOutcome
from lacewingcourse.core.pipelines.send_limits import SendLimits
from lacewingcourse.relay.connections import (
    Connection,
    ConnectionPool,
    NotSent,
    Unsent,
)
from lacewingcourse.relay.held_answers import FREE_BYTES, HeldAnswers
from lacewingcourse.relay.job import Phase
from lacewingcourse.relay.ports import AnswerHead, AnswerKind, Sending
from lacewingcourse.relay.upstream import (
    Abandoned,
    Arrival,
    Data,
    End,
    Exchange,
    Head,
    Stalled,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from tornado.httputil import HTTPHeaders

    from lacewingcourse.core.errors import Refusal
    from lacewingcourse.core.pipelines.retry_budget import RetryBudget
    from lacewingcourse.relay.job import Job
    from lacewingcourse.relay.ports import RequestCodec


#: Lowest HTTP status that reports a failure of the endpoint itself.
SERVER_ERROR = 500
#: Seconds after a send within which the close of a pooled connection means that it was
#: stale. After a later close the endpoint may have crashed while it ran the request.
STALE_CONNECTION_WINDOW = 0.1
#: Fields of a response head above which they are charged to the memory of answers.
MAX_FREE_FIELDS = 64


@attrs.define
class Sender:
    """Sends requests over pooled connections, within retry budget and rate limits.

    Attributes:
        pool: Connections to endpoints.
        codec: Encodes and decodes HTTP headers as the platform defines them.
        clock: Returns the current time in seconds.
        budget: Retry budget. Each send of a request beyond its first uses one retry.
        limits: Rate limits of endpoints.
        backoffs: Delays that endpoints asked for.
        head_observers: Called for each response head with what was sent, the head, and
            the time of the send in seconds.
        answers: Charges answers to the memory of the process.
        crash_refusal: Returns why a request may not be sent as it crashes endpoints,
            None if it may.
    """

    pool: ConnectionPool
    codec: RequestCodec
    clock: Callable[[], float]
    budget: RetryBudget
    limits: SendLimits = attrs.field(factory=SendLimits)
    backoffs: BackoffTable = attrs.field(factory=BackoffTable)
    head_observers: Sequence[Callable[[Sending, AnswerHead, float], None]] = ()
    crash_refusal: Callable[[Job], Refusal | None] = lambda job: None
    answers: HeldAnswers = attrs.field(factory=HeldAnswers)

    async def reserve(self, address: str, fresh: bool) -> Connection | NotSent:
        """Return an idle or new connection to an endpoint, or why there is none.

        Args:
            address: Address of the endpoint.
            fresh: Whether the connection must be new.
        """
        kept = None if fresh else self.pool.acquire(address, self.clock())
        return kept or await self.pool.connect(address)

    async def send(
        self,
        job: Job,
        sending: Sending,
        fresh: bool,
        reserved: Connection | None = None,
    ) -> Exchange | NotSent:
        """Send a request if it may still be sent once a connection is available.

        The request's holds on the retry budget and the rate limits are released,
        whether it was sent or not.

        Args:
            job: The request.
            sending: Destination and parameters of the send.
            fresh: Whether to send it over a new connection.
            reserved: Connection to send it over, None to acquire one.
        """
        started = self.clock()
        job.phase = Phase.CONNECTING
        connection = reserved or await self.reserve(sending.address, fresh)
        if isinstance(connection, NotSent):
            self.release_holds(job)
            job.phase = Phase.WAITING
            return connection
        now = self.clock()
        passed = now - started
        sending = attrs.evolve(sending, time_left=sending.time_left - passed)
        cause = self._claim_send(job, sending, now)
        if cause is not None:
            self.release_holds(job)
            connection.close()
            job.phase = Phase.WAITING
            return NotSent(cause)
        job.phase, job.sent_at = Phase.SENT, now
        send = job.begin_send(sending.incarnation)
        exchange = self.start(job, sending, connection)
        exchange.send = send
        return exchange

    def release_holds(self, job: Job) -> None:
        """Release the retry and the rate limit permit that a request holds."""
        self.budget.release(job.service, job)
        self.limits.release(job)

    def end(self, job: Job) -> None:
        """Release all that a request holds, as it has ended."""
        self.release_holds(job)
        self.answers.release(job)

    def start(self, job: Job, sending: Sending, connection: Connection) -> Exchange:
        """Send a request over a connection without further checks.

        Args:
            job: The request.
            sending: Destination and parameters of the send.
            connection: The connection.
        """
        request, sent_at = job.request, self.clock()

        def accepts_head(status: int, headers: HTTPHeaders) -> bool:
            if len(headers) > MAX_FREE_FIELDS:
                self.answers.add(job, FIELD_BYTES * len(headers))
            head = self.codec.head(status, headers, request)
            for observe in self.head_observers:
                observe(sending, head, sent_at)
            return head.answer_kind is not AnswerKind.FOREIGN

        exchange = Exchange(connection, accepts_head)
        headers = self.codec.outgoing(request, sending)
        exchange.start(request.method, request.target, headers, request.body)
        return exchange

    def _claim_send(self, job: Job, sending: Sending, now: float) -> Unsent | None:
        """Use up the retry and the permit of a send; return why it is denied, if so.

        Every send passes here, whatever its request waited for before.
        """
        if job.caller.has_left():
            return Unsent.CALLER_LEFT
        if not job.may_run_again:
            return Unsent.MAY_HAVE_RUN
        if job.drain_refusal(now) is not None:
            return Unsent.LEAVING
        if sending.time_left <= 0:
            return Unsent.OVERDUE
        if self.crash_refusal(job) is not None:
            return Unsent.CRASHES
        if not self.backoffs.allows(sending.incarnations, now):
            return Unsent.BACKING_OFF
        if not self.limits.may_send(sending.incarnation, job, now):
            return Unsent.OVER_LIMIT
        if job.sends:
            if not self.budget.take(job.service, now, job):
                return Unsent.NO_RETRY
        elif job.history.sends:
            # The endpoint may have received the send over the stale connection.
            self.budget.charge(job.service, now)
        self.limits.take(sending.incarnation, job, now)
        self.backoffs.record_send(sending.incarnations, now)
        return None

    def release(self, exchange: Exchange, head: AnswerHead | None) -> None:
        """Return the connection of a finished exchange to the pool, or close it."""
        if head is not None and exchange.reusable:
            self.pool.release(exchange.connection, head.keep_alive, self.clock())
        else:
            exchange.abandon()


async def next_arrival(exchange: Exchange, until: float, now: float) -> Arrival:
    """Return the next arrival of an exchange, `Stalled` if there is none in time.

    Args:
        exchange: The exchange.
        until: Time until which to wait, seconds.
        now: Current time, seconds.
    """
    if not exchange.arrivals.empty():
        return exchange.arrivals.get_nowait()
    try:
        async with asyncio.timeout(max(0.0, until - now)):
            return await exchange.arrivals.get()
    except TimeoutError:
        return Stalled()


@attrs.frozen
class WholeAnswer:
    """A complete response of an endpoint.

    Attributes:
        head: Its head.
        body: Its body.
    """

    head: AnswerHead
    body: bytes


@attrs.frozen
class NoAnswer:
    """A sentinel value: a send produced no response that may be passed on.

    Attributes:
        outcome: What is known of the send.
        reason: What happened.
        timed_out: Whether the request's deadline passed.
        connection_lost: Whether the connection closed before the response was complete.
        fault: What is wrong with the bytes that the endpoint wrote, None if nothing is
            known to be.
    """

    outcome: SendOutcome
    reason: str
    timed_out: bool = False
    connection_lost: bool = False
    fault: AnswerFault | None = None


@attrs.define
class AnswerReader:
    """Reads the response of a plain service, and concludes its send.

    Attributes:
        sender: Sender of the request.
        exchange: HTTP exchange of the request.
        job: The request.
        sent_at: When it was sent, seconds.
        head: Head of the response, None before it.
        body: Body received so far.
    """

    sender: Sender
    exchange: Exchange
    job: Job
    sent_at: float
    head: AnswerHead | None = None
    body: bytearray = attrs.field(factory=bytearray)

    async def read(self, until: float) -> WholeAnswer | NoAnswer | None:
        """Return the response, or None if it is not complete in time.

        Args:
            until: Time until which to wait, seconds. Reading may continue after it.
        """
        while True:
            now = self.sender.clock()
            arrival = await next_arrival(self.exchange, until, now)
            if isinstance(arrival, Head):
                self.head = self.sender.codec.head(
                    arrival.status, arrival.headers, self.job.request
                )
            elif isinstance(arrival, Data):
                self._receive(arrival.data)
            elif isinstance(arrival, Abandoned):
                return self.abandon(arrival.reason)
            elif isinstance(arrival, End):
                self.sender.release(self.exchange, self.head)
                return self._classify(arrival)
            else:
                return None

    def _receive(self, data: bytes) -> None:
        """Add bytes of the body, and charge those of one that is not small."""
        before = len(self.body)
        self.body += data
        count = len(self.body)
        if count > FREE_BYTES:
            charged = before if before > FREE_BYTES else 0
            self.sender.answers.add(self.job, count - charged)

    def _drop_body(self) -> None:
        """Drop a body that is not passed on."""
        if len(self.body) > FREE_BYTES:
            self.sender.answers.add(self.job, -len(self.body))
        self.body = bytearray()

    def abandon(self, reason: str, timed_out: bool = False) -> NoAnswer:
        """Close the exchange, so that the endpoint stops its work.

        Args:
            reason: Why it is closed.
            timed_out: Whether the request's deadline passed.
        """
        self._drop_body()
        self.exchange.abandon()
        self.exchange.send.conclude(SendOutcome.MAY_HAVE_RUN)
        return NoAnswer(SendOutcome.MAY_HAVE_RUN, reason, timed_out)

    def _classify(self, end: End) -> WholeAnswer | NoAnswer:
        """Return the result of a response that has ended."""
        head = self.head
        outcome = self._outcome(end)
        self.exchange.send.conclude(outcome)
        if outcome is SendOutcome.ANSWERED and end.complete:
            return WholeAnswer(head, bytes(self.body))
        self._drop_body()
        if outcome is SendOutcome.REJECTED:
            return NoAnswer(outcome, f"rejected with {head.status}")
        if head is None or not end.complete:
            reason, is_lost = end.reason or "no head", end.fault is None
            return NoAnswer(outcome, reason, connection_lost=is_lost, fault=end.fault)
        return NoAnswer(outcome, head.reason)

    def _outcome(self, end: End) -> SendOutcome:
        """Return what a response that has ended says of the send."""
        if self.head is not None:
            return self.head.answer_kind.send_outcome
        soon = self.sender.clock() < self.sent_at + STALE_CONNECTION_WINDOW
        is_stale = self.exchange.was_dropped and soon
        return SendOutcome.STALE if is_stale else SendOutcome.MAY_HAVE_RUN
