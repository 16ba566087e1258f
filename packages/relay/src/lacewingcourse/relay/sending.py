"""Sends of requests to endpoints, with what became of each."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.relay.ports import AnswerHead, CallerRequest, Sending, Standing
from lacewingcourse.relay.upstream import (
    Abandoned,
    Arrival,
    ConnectionPool,
    Data,
    End,
    Exchange,
    Head,
    SendOutcome,
    Stalled,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.relay.ports import RequestCodec


@attrs.frozen
class NotSent:
    """A sentinel value: the request never left this process.

    Attributes:
        reason: What happened.
    """

    reason: str


@attrs.define
class Sender:
    """Sends requests over pooled connections.

    Attributes:
        pool: Connections to endpoints.
        codec: How requests look on the platform.
        clock: Returns the present time in seconds.
    """

    pool: ConnectionPool
    codec: RequestCodec
    clock: Callable[[], float]

    async def send(
        self, request: CallerRequest, sending: Sending, fresh: bool
    ) -> Exchange | NotSent:
        """Send a request; `fresh` asks for a connection never used before.

        A connection that was used may have been closed by the endpoint just now, and
        then nobody knows whether the request ran; what may run only once therefore
        goes over a new one.
        """
        connection = None
        started = self.clock()
        if not fresh:
            connection = self.pool.take(sending.address, started)
        if connection is None:
            connection = await self.pool.connect(sending.address)
        if connection is None:
            return NotSent("no connection could be made")
        passed = self.clock() - started
        sending = attrs.evolve(sending, time_left=sending.time_left - passed)
        if sending.time_left <= 0:
            connection.close()
            return NotSent("the time was over before it was sent")
        exchange = Exchange(connection, lambda s, h: self._is_ours(s, h, request))
        headers = self.codec.outgoing(request, sending)
        exchange.start(request.method, request.target, headers, request.body)
        return exchange

    def release(self, exchange: Exchange, head: AnswerHead | None) -> None:
        """Keep or close the connection of an exchange that is over."""
        if head is not None and exchange.reusable:
            self.pool.give_back(exchange.connection, head.keep_alive, self.clock())
        else:
            exchange.abandon()

    def _is_ours(self, status: int, headers, request: CallerRequest) -> bool:
        head = self.codec.head(status, headers, request)
        return head.standing is not Standing.FOREIGN


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
    """

    outcome: SendOutcome
    reason: str
    timed_out: bool = False
    connection_lost: bool = False


async def collect(
    sender: Sender, exchange: Exchange, request: CallerRequest, until: float
) -> WholeAnswer | NoAnswer:
    """Read an answer to its end.

    Args:
        sender: What sent the request.
        exchange: What was sent.
        request: The caller's request.
        until: Time until which to wait, seconds.
    """
    head: AnswerHead | None = None
    body = bytearray()
    while True:
        arrival = await next_arrival(exchange, until, sender.clock())
        if isinstance(arrival, Head):
            head = sender.codec.head(arrival.status, arrival.headers, request)
        elif isinstance(arrival, Data):
            body += arrival.data
        elif isinstance(arrival, (Stalled, Abandoned)):
            exchange.abandon()
            reason = getattr(arrival, "reason", "no answer in time")
            timed_out = isinstance(arrival, Stalled)
            return NoAnswer(SendOutcome.MAY_HAVE_RUN, reason, timed_out)
        elif isinstance(arrival, End):
            sender.release(exchange, head)
            return _judge(arrival, head, bytes(body))


def _judge(end: End, head: AnswerHead | None, body: bytes) -> WholeAnswer | NoAnswer:
    """Return what an answer that has ended amounts to."""
    if head is None or not end.complete:
        reason = end.reason or "no head"
        return NoAnswer(SendOutcome.MAY_HAVE_RUN, reason, connection_lost=True)
    if head.standing is Standing.REJECTED:
        reason = f"rejected with {head.status}"
        return NoAnswer(SendOutcome.REJECTED, reason)
    if head.standing is not Standing.ANSWERED:
        return NoAnswer(SendOutcome.MAY_HAVE_RUN, head.reason)
    return WholeAnswer(head, body)
