"""Exchange of permits to send to limited endpoints between entries."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.limit_sharing import PermitSharing
from lacewingcourse.core.pipelines.permits import Grant, PermitDemand, issuer_of
from lacewingcourse.core.pipelines.request_limits import NO_LIMIT
from lacewingcourse.relay.background import start_task
from lacewingcourse.relay.decoding import Undecodable
from lacewingcourse.relay.peer_messages import (
    PermitReply,
    PermitRequest,
    decode,
    decode_limit,
    encode,
    encode_limit,
)
from lacewingcourse.relay.small_server import Reply, ServerRequest

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from lacewingcourse.core.pipelines.peers import PeerTable
    from lacewingcourse.core.pipelines.permits import PermitIssuer
    from lacewingcourse.core.pipelines.send_limits import SendLimits
    from lacewingcourse.relay.decisions import DecisionLog

#: Path of permit requests.
PERMITS_PATH = "/peer/permits"
#: Seconds after which an entry is asked again that did not answer, or that takes
#: another one for the issuer.
UNANSWERED_RETRY_DELAY = 0.2
#: Minimum number of seconds between two rounds of requests.
MIN_INTERVAL = 0.005


@attrs.define
class PermitExchange:
    """Requests the permits that this entry lacks, and issues permits to other entries.

    Attributes:
        limits: Limits of this entry's sends to endpoints.
        issuer: Issuer of permits to other entries and to this one.
        book: The other entries.
        fetch: Returns an entry's answer to a message, None if there is none.
        clock: Returns the present time in seconds.
        rng: Source of random numbers.
        log: Decision log.
        on_unreadable: Called for each message that cannot be decoded.
        is_leaving: Returns whether this entry is ending.
        pending: Endpoints with a permit request that is not answered yet.
        wake: Set when a permit may be lacking.
    """

    limits: SendLimits
    issuer: PermitIssuer
    book: PeerTable
    fetch: Callable[[str, str, bytes], Awaitable[bytes | None]]
    clock: Callable[[], float]
    rng: Random
    log: DecisionLog
    on_unreadable: Callable[[], None]
    is_leaving: Callable[[], bool] = lambda: False
    pending: set[str] = attrs.field(factory=set)
    wake: asyncio.Event = attrs.field(factory=asyncio.Event)

    def handlers(self) -> dict:
        """Return the handlers of requests of other entries, by method and path."""
        return {("POST", PERMITS_PATH): self._on_request}

    def schedule_check(self) -> None:
        """Check for lacking permits in the next round."""
        self.wake.set()

    async def run(self) -> None:
        """Request lacking permits until cancelled."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            for endpoint in list(self.limits.table.members):
                self._request_if_lacking(endpoint)
            await asyncio.sleep(MIN_INTERVAL)

    def _request_if_lacking(self, endpoint: str) -> None:
        """Request permits of an endpoint if any are lacking."""
        sharing = self.limits.sharing
        if endpoint in self.pending or not isinstance(sharing, PermitSharing):
            return
        now = self.clock()
        issuer_name = self._issuer_of(endpoint, now)
        rate = self.limits.table.rate(endpoint, now)
        demand = sharing.demand(self.book.name, endpoint, issuer_name, rate, now)
        if demand is None:
            return
        if issuer_name == self.book.name:
            is_alone = len(self.book.alive(now)) == 1
            grant = self.issuer.grant(endpoint, demand, rate, now, own=not is_alone)
            self._apply_grant(endpoint, demand, grant, issuer_name, now)
            return
        self.pending.add(endpoint)
        work = self._request_permits(endpoint, demand, issuer_name)
        start_task("permit request", work, self.log)

    async def _request_permits(
        self, endpoint: str, demand: PermitDemand, issuer_name: str
    ) -> None:
        """Request permits of an endpoint from another entry."""
        try:
            asked_at = self.clock()
            message = encode(self._make_request(endpoint, demand, asked_at))
            address = self.book.peers[issuer_name].address
            answer = await self.fetch(address, PERMITS_PATH, message)
            grant = self._decode_grant(answer)
            self._apply_grant(endpoint, demand, grant, issuer_name, asked_at)
        finally:
            self.pending.discard(endpoint)

    def _make_request(
        self, endpoint: str, demand: PermitDemand, now: float
    ) -> PermitRequest:
        """Return the message that requests permits of an endpoint."""
        limit = self.limits.table.members.get(endpoint)
        named = limit.named if limit is not None else NO_LIMIT
        age = now - limit.observed_at if limit is not None else 0.0
        return PermitRequest(
            entry=demand.entry,
            endpoint=endpoint,
            count=demand.count,
            ages=list(demand.ages),
            named=encode_limit(named),
            age=round(age, 3),
        )

    def _decode_grant(self, answer: bytes | None) -> Grant:
        """Return the grant in an answer, an empty one if there is none."""
        reply = decode(answer, PermitReply) if answer else None
        if isinstance(reply, Undecodable):
            self.on_unreadable()
            reply = None
        if reply is None:
            return Grant("", (), UNANSWERED_RETRY_DELAY)
        delays = tuple(max(0.0, delay) for delay in reply.delays)
        return Grant(reply.issuer, delays, max(0.0, reply.retry_in))

    def _apply_grant(
        self,
        endpoint: str,
        demand: PermitDemand,
        grant: Grant,
        issuer_name: str,
        asked_at: float,
    ) -> None:
        """Add granted permits, and log them."""
        now, draw = self.clock(), self.rng.random()
        sharing = self.limits.sharing
        sharing.accept_grant(endpoint, grant, issuer_name, asked_at, now, draw)
        self.log.log_event(
            "permits",
            endpoint=endpoint,
            wanted=demand.count,
            given=len(grant.delays),
            issuer=grant.issuer or None,
            asked=issuer_name,
            earlier=len(demand.ages),
            retry_in_ms=round(grant.retry_in * 1000, 1),
        )

    def _on_request(self, request: ServerRequest) -> Reply:
        message = decode(request.body, PermitRequest)
        if isinstance(message, Undecodable):
            self.on_unreadable()
            return Reply(400)
        return Reply(200, encode(self._reply_to(message, self.clock())))

    def _reply_to(self, request: PermitRequest, now: float) -> PermitReply:
        """Return the answer to a permit request of another entry.

        An entry that is not the issuer by its own view grants nothing: two entries that
        both granted permits would each grant all of them.
        """
        endpoint, table = request.endpoint, self.limits.table
        if self._issuer_of(endpoint, now) != self.book.name:
            return PermitReply("", [], UNANSWERED_RETRY_DELAY)
        named, before = decode_limit(request.named), table.named(endpoint)
        if table.from_peer(endpoint, named, request.age, now):
            self.log.limit(endpoint, named, before, request.entry)
        demand = PermitDemand(request.entry, request.count, tuple(request.ages))
        rate = table.rate(endpoint, now)
        grant = self.issuer.grant(endpoint, demand, rate, now)
        return PermitReply(grant.issuer, list(grant.delays), grant.retry_in)

    def _issuer_of(self, endpoint: str, now: float) -> str:
        """Return the entry that issues the permits of an endpoint."""
        entries = self.book.coordinators(now)
        if self.is_leaving() and len(entries) > 1:
            entries.discard(self.book.name)
        return issuer_of(endpoint, entries)
