"""Sends of requests to endpoints, with what became of each."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.send_limits import SendLimits
from lacewingcourse.relay.connections import (
    Connection,
    ConnectionPool,
    NotSent,
    Unsent,
)
from lacewingcourse.relay.ports import AnswerHead, AnswerKind, Sending
from lacewingcourse.relay.upstream import (
    Abandoned,
    Arrival,
    Data,
    End,
    Exchange,
    Head,
    SendOutcome,
    Stalled,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.httputil import HTTPHeaders

    from lacewingcourse.core.pipelines.retry_budget import RetryBudget
    from lacewingcourse.relay.job import Job
    from lacewingcourse.relay.ports import CallerRequest, RequestCodec


#: Status from which an endpoint's answer is its own failure.
SERVER_ERROR = 500
#: Seconds after a send in which the end of a kept connection tells that it had been
#: dropped. Later ends may be crashes under the request.
DROP_NOTICED = 0.1


@attrs.define
class Sender:
    """Sends requests over pooled connections, within what may be sent again.

    Attributes:
        pool: Connections to endpoints.
        codec: How requests look on the platform.
        clock: Returns the present time in seconds.
        budget: Retries that are left. Each send of a request beyond its first takes
            one.
        limits: What may be sent to endpoints that name limits.
        on_head: Called with the head of each answer, what it answers, and when that was
            sent in seconds.
    """

    pool: ConnectionPool
    codec: RequestCodec
    clock: Callable[[], float]
    budget: RetryBudget
    limits: SendLimits = attrs.field(factory=SendLimits)
    on_head: Callable[[Sending, AnswerHead, float], None] = lambda *news: None

    async def reserve(self, address: str, fresh: bool) -> Connection | NotSent:
        """Return a connection to an endpoint that nobody uses.

        A connection that was used may have been closed by the endpoint just now, and
        then nobody knows whether the request ran; what may run only once therefore
        goes over a new one.

        Args:
            address: Address of the endpoint.
            fresh: Whether it must never have been used before.
        """
        kept = None if fresh else self.pool.take(address, self.clock())
        return kept or await self.pool.connect(address)

    async def send(
        self,
        job: Job,
        sending: Sending,
        fresh: bool,
        reserved: Connection | None = None,
    ) -> Exchange | NotSent:
        """Send a request if it may still be sent once there is a connection.

        It holds neither a retry nor a place under a limit afterwards, whether it was
        sent or not.

        Args:
            job: The request.
            sending: Where to send it, and with what.
            fresh: Whether to send it over a connection never used before.
            reserved: Connection to send it over, None to take one.
        """
        started = self.clock()
        connection = reserved or await self.reserve(sending.address, fresh)
        if isinstance(connection, NotSent):
            self.drop_holds(job)
            return connection
        now = self.clock()
        passed = now - started
        sending = attrs.evolve(sending, time_left=sending.time_left - passed)
        cause = self._cause_unsent(job, sending, now)
        if cause is not None:
            self.drop_holds(job)
            connection.close()
            return NotSent(cause)
        return self.start(job, sending, connection)

    def drop_holds(self, job: Job) -> None:
        """Give back the retry and the place under a limit that a request holds."""
        self.budget.release(job.service, job)
        self.limits.release(job)

    def start(self, job: Job, sending: Sending, connection: Connection) -> Exchange:
        """Send a request over a connection, whatever speaks against it.

        Args:
            job: The request.
            sending: Where to send it, and with what.
            connection: The connection.
        """
        request, sent_at = job.request, self.clock()

        def is_ours(status: int, headers: HTTPHeaders) -> bool:
            head = self.codec.head(status, headers, request)
            self.on_head(sending, head, sent_at)
            return head.answer_kind is not AnswerKind.FOREIGN

        exchange = Exchange(connection, is_ours)
        headers = self.codec.outgoing(request, sending)
        exchange.start(request.method, request.target, headers, request.body)
        return exchange

    def _cause_unsent(self, job: Job, sending: Sending, now: float) -> Unsent | None:
        """Take what a send needs; return why it may not be sent, if so."""
        if job.refused_at(now) is not None:
            return Unsent.LEAVING
        if sending.time_left <= 0:
            return Unsent.OVERDUE
        if not self.limits.may_take(sending.incarnation, job, now):
            return Unsent.OVER_LIMIT
        if job.sends and not self.budget.take(job.service, now, job):
            return Unsent.NO_RETRY
        self.limits.take(sending.incarnation, job, now)
        return None

    def release(self, exchange: Exchange, head: AnswerHead | None) -> None:
        """Keep or close the connection of an exchange that is over."""
        if head is not None and exchange.reusable:
            self.pool.give_back(exchange.connection, head.keep_alive, self.clock())
        else:
            exchange.abandon()


async def next_arrival(exchange: Exchange, until: float, now: float) -> Arrival:
    """Return what arrives next, `Stalled` if nothing does until a time.

    Args:
        exchange: The exchange.
        until: Time until which to wait, seconds.
        now: Present time.
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
    """A whole answer of a plain service.

    Attributes:
        head: Its head.
        body: Its body.
    """

    head: AnswerHead
    body: bytes


@attrs.frozen
class NoAnswer:
    """A sentinel value: a send brought no answer that may be passed on.

    Attributes:
        outcome: How far the request got.
        reason: What happened.
        timed_out: Whether the time was over.
        connection_lost: Whether the endpoint's connection ended before its answer.
        dropped: Whether that connection had been kept, and nothing came over it.
    """

    outcome: SendOutcome
    reason: str
    timed_out: bool = False
    connection_lost: bool = False
    dropped: bool = False


@attrs.define
class AnswerReader:
    """Reads the answer of a plain service.

    Attributes:
        sender: What sent the request.
        exchange: What was sent.
        request: The caller's request.
        sent_at: When it was sent, seconds.
        head: Head of the answer, None before it.
        body: Body as far as it arrived.
    """

    sender: Sender
    exchange: Exchange
    request: CallerRequest
    sent_at: float
    head: AnswerHead | None = None
    body: bytearray = attrs.field(factory=bytearray)

    async def read(self, until: float) -> WholeAnswer | NoAnswer | None:
        """Return the answer; None if it has not ended by some time.

        Args:
            until: That time, seconds.
        """
        while True:
            now = self.sender.clock()
            arrival = await next_arrival(self.exchange, until, now)
            if isinstance(arrival, Head):
                self.head = self.sender.codec.head(
                    arrival.status, arrival.headers, self.request
                )
            elif isinstance(arrival, Data):
                self.body += arrival.data
            elif isinstance(arrival, Abandoned):
                return self.give_up(arrival.reason)
            elif isinstance(arrival, End):
                self.sender.release(self.exchange, self.head)
                return self._judge(arrival)
            else:
                return None

    def give_up(self, reason: str, timed_out: bool = False) -> NoAnswer:
        """Close the exchange, so that the endpoint stops its work.

        Args:
            reason: Why it is closed.
            timed_out: Whether the time was over.
        """
        self.exchange.abandon()
        return NoAnswer(SendOutcome.MAY_HAVE_RUN, reason, timed_out)

    def _judge(self, end: End) -> WholeAnswer | NoAnswer:
        """Return what an answer that has ended amounts to."""
        head = self.head
        if head is None or not end.complete:
            reason = end.reason or "no head"
            soon = self.sender.clock() < self.sent_at + DROP_NOTICED
            dropped = self.exchange.was_dropped and soon
            return NoAnswer(
                SendOutcome.MAY_HAVE_RUN, reason, connection_lost=True, dropped=dropped
            )
        if head.answer_kind is AnswerKind.REJECTED:
            reason = f"rejected with {head.status}"
            return NoAnswer(SendOutcome.REJECTED, reason)
        if head.answer_kind is not AnswerKind.ANSWERED:
            return NoAnswer(SendOutcome.MAY_HAVE_RUN, head.reason)
        return WholeAnswer(head, bytes(self.body))
