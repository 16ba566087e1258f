"""Permits to send to limited endpoints, asked of other entries and given to them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.limit_sharing import PermitSharing
from lacewingcourse.core.pipelines.permits import Grant, PermitDemand, issuer_of
from lacewingcourse.core.pipelines.request_limits import NO_LIMIT
from lacewingcourse.relay.decoding import Undecodable
from lacewingcourse.relay.peer_messages import (
    PermitReply,
    PermitRequest,
    decode,
    decode_limit,
    encode,
    encode_limit,
)
from lacewingcourse.relay.small_server import Question, Reply

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from lacewingcourse.core.pipelines.peers import PeerTable
    from lacewingcourse.core.pipelines.permits import PermitIssuer
    from lacewingcourse.core.pipelines.send_limits import SendLimits
    from lacewingcourse.relay.decisions import DecisionLog

#: Path under which other entries ask for permits.
PERMITS_PATH = "/peer/permits"
#: Seconds after which an entry is asked again that gave no answer, or that takes
#: another one for the issuer.
UNANSWERED_RETRY = 0.2
#: Seconds between two rounds of questions at the least.
MIN_INTERVAL = 0.005


@attrs.define
class PermitExchange:
    """Asks for the permits that requests here lack, and gives out those of others.

    Attributes:
        limits: What this entry may send.
        issuer: What it gives out.
        book: The other entries.
        fetch: Returns an entry's answer to a message, None if there is none.
        clock: Returns the present time in seconds.
        rng: Source of draws.
        log: Log of decisions.
        on_unreadable: Called for each message that cannot be read.
        is_leaving: Tells whether this entry is ending.
        asking: Endpoints whose issuer has been asked and has not answered.
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
    asking: set[str] = attrs.field(factory=set)
    wake: asyncio.Event = attrs.field(factory=asyncio.Event)

    def handlers(self) -> dict:
        """Return what answers other entries."""
        return {("POST", PERMITS_PATH): self._on_request}

    def check(self) -> None:
        """Note that a permit may be lacking."""
        self.wake.set()

    async def run(self) -> None:
        """Ask for what is lacking, for ever."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            for endpoint in list(self.limits.table.members):
                self._check(endpoint)
            await asyncio.sleep(MIN_INTERVAL)

    def _check(self, endpoint: str) -> None:
        """Ask for permits of an endpoint if any are lacking."""
        sharing = self.limits.sharing
        if endpoint in self.asking or not isinstance(sharing, PermitSharing):
            return
        now = self.clock()
        asked = self._issuer_of(endpoint, now)
        rate = self.limits.table.rate(endpoint, now)
        demand = sharing.demand(self.book.name, endpoint, asked, rate, now)
        if demand is None:
            return
        if asked == self.book.name:
            is_alone = len(self.book.alive(now)) == 1
            grant = self.issuer.grant(endpoint, demand, rate, now, own=not is_alone)
            self._take(endpoint, demand, grant, asked, now)
            return
        self.asking.add(endpoint)
        asyncio.ensure_future(self._request_permits(endpoint, demand, asked))

    async def _request_permits(
        self, endpoint: str, demand: PermitDemand, asked: str
    ) -> None:
        """Ask another entry for permits of an endpoint."""
        try:
            asked_at = self.clock()
            message = encode(self._request(endpoint, demand, asked_at))
            address = self.book.peers[asked].address
            answer = await self.fetch(address, PERMITS_PATH, message)
            grant = self._granted(answer)
            self._take(endpoint, demand, grant, asked, asked_at)
        finally:
            self.asking.discard(endpoint)

    def _request(
        self, endpoint: str, demand: PermitDemand, now: float
    ) -> PermitRequest:
        """Return the message that asks for permits of an endpoint."""
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

    def _granted(self, answer: bytes | None) -> Grant:
        """Return what an answer gives, nothing if there is none."""
        found = decode(answer, PermitReply) if answer else None
        if isinstance(found, Undecodable):
            self.on_unreadable()
            found = None
        if found is None:
            return Grant("", (), UNANSWERED_RETRY)
        delays = tuple(max(0.0, delay) for delay in found.delays)
        return Grant(found.issuer, delays, max(0.0, found.retry_in))

    def _take(
        self,
        endpoint: str,
        demand: PermitDemand,
        grant: Grant,
        asked: str,
        asked_at: float,
    ) -> None:
        """Take what was given, and tell of it."""
        now, draw = self.clock(), self.rng.random()
        sharing = self.limits.sharing
        sharing.accept_grant(endpoint, grant, asked, asked_at, now, draw)
        self.log.belief(
            "permits",
            endpoint=endpoint,
            wanted=demand.count,
            given=len(grant.delays),
            issuer=grant.issuer or None,
            asked=asked,
            earlier=len(demand.ages),
            retry_in_ms=round(grant.retry_in * 1000, 1),
        )

    def _on_request(self, question: Question) -> Reply:
        found = decode(question.body, PermitRequest)
        if isinstance(found, Undecodable):
            self.on_unreadable()
            return Reply(400)
        return Reply(200, encode(self._reply(found, self.clock())))

    def _reply(self, found: PermitRequest, now: float) -> PermitReply:
        """Return what another entry is given.

        One that does not take itself for the issuer gives nothing: of two entries that
        gave out permits each would give out all of them.
        """
        endpoint, table = found.endpoint, self.limits.table
        if self._issuer_of(endpoint, now) != self.book.name:
            return PermitReply("", [], UNANSWERED_RETRY)
        named, before = decode_limit(found.named), table.named(endpoint)
        if table.from_peer(endpoint, named, found.age, now):
            self.log.limit(endpoint, named, before, found.entry)
        demand = PermitDemand(found.entry, found.count, tuple(found.ages))
        rate = table.rate(endpoint, now)
        grant = self.issuer.grant(endpoint, demand, rate, now)
        return PermitReply(grant.issuer, list(grant.delays), grant.retry_in)

    def _issuer_of(self, endpoint: str, now: float) -> str:
        """Return the entry that gives out the permits of an endpoint."""
        entries = self.book.coordinators(now)
        if self.is_leaving() and len(entries) > 1:
            entries.discard(self.book.name)
        return issuer_of(endpoint, entries)
