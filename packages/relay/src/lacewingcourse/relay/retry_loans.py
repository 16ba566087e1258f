"""Retries that entries borrow from one another."""

from __future__ import annotations

import asyncio
from math import ceil
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.retry_budget import ask_for_all
from lacewingcourse.relay.decoding import Undecodable
from lacewingcourse.relay.peer_messages import LoanReply, LoanRequest, decode, encode
from lacewingcourse.relay.small_server import Reply, ServerRequest

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from lacewingcourse.core.pipelines.peers import Peer, PeerTable
    from lacewingcourse.core.pipelines.retry_budget import RetryBudget
    from lacewingcourse.relay.decisions import DecisionLog

#: Path of loan requests.
LOAN_PATH = "/peer/retries"
#: Number of entries that are asked at a time.
MAX_LENDERS = 3
#: Shortest and longest time in seconds between two rounds of requests. It doubles while
#: no entry has anything to lend.
MIN_INTERVAL = 0.05
MAX_INTERVAL = 0.8


@attrs.define
class RetryLoans:
    """Borrows the retries that requests lack from other entries, and lends to them.

    Entries have even shares of the budget, but the streams that are cut by the loss of
    an endpoint are spread unevenly over them.

    Attributes:
        budget: Retries of this entry.
        book: The other entries.
        fetch: Returns an entry's answer to a message, None if there is none.
        clock: Returns the present time in seconds.
        rng: Source of random numbers.
        log: Decision log.
        on_unreadable: Called for each message that cannot be decoded.
        ask_for: Returns how many retries to ask for, given how many are lacking.
        wake: Set when a request lacks a retry.
    """

    budget: RetryBudget
    book: PeerTable
    fetch: Callable[[str, str, bytes], Awaitable[bytes | None]]
    clock: Callable[[], float]
    rng: Random
    log: DecisionLog
    on_unreadable: Callable[[], None]
    ask_for: Callable[[int], int] = ask_for_all
    wake: asyncio.Event = attrs.field(factory=asyncio.Event)

    def handlers(self) -> dict:
        """Return the handlers of requests of other entries, by method and path."""
        return {("POST", LOAN_PATH): self._on_request}

    def request_loan(self, service: str, request: str) -> None:
        """Note a request that lacks a retry, and borrow one with the next round."""
        if self.ask_for(1):
            self.budget.want(service, request)
            self.wake.set()

    async def run(self) -> None:
        """Borrow lacking retries until cancelled."""
        interval = MIN_INTERVAL
        while True:
            await self.wake.wait()
            self.wake.clear()
            wanted, self.budget.wanted = self.budget.wanted, {}
            borrowed = 0
            for service, requests in wanted.items():
                borrowed += await self._borrow(service, self.ask_for(len(requests)))
            interval = MIN_INTERVAL if borrowed else min(MAX_INTERVAL, 2 * interval)
            await asyncio.sleep(interval)

    async def _borrow(self, service: str, wanted: int) -> int:
        """Ask some entries for retries; return how many were lent."""
        asked_at = self.clock()
        lenders = self._lenders(asked_at)
        if not lenders:
            return 0
        count = ceil(wanted / len(lenders))
        message = encode(LoanRequest(service, count, self.budget.entries))
        answers = await asyncio.gather(
            *(self.fetch(lender.address, LOAN_PATH, message) for lender in lenders)
        )
        lent = (self._decode_loan(answer) for answer in answers if answer)
        count = sum(min(each, count) for each in lent)
        self.budget.borrow(service, count, asked_at)
        self.log.log_event(
            "retries_borrowed",
            service=service,
            wanted=wanted,
            borrowed=count,
            lenders=[lender.name for lender in lenders],
        )
        return count

    def _lenders(self, now: float) -> list[Peer]:
        """Return a random choice of live entries."""
        names = [name for name in self.book.alive(now) if name != self.book.name]
        drawn = self.rng.sample(names, min(MAX_LENDERS, len(names)))
        return [self.book.peers[name] for name in drawn]

    def _decode_loan(self, answer: bytes) -> int:
        """Return how many retries an answer lends."""
        reply = decode(answer, LoanReply)
        if isinstance(reply, Undecodable):
            self.on_unreadable()
            return 0
        return max(0, reply.count)

    def _on_request(self, request: ServerRequest) -> Reply:
        loan = decode(request.body, LoanRequest)
        if isinstance(loan, Undecodable):
            self.on_unreadable()
            return Reply(400)
        # An entry that has just started knows few others yet, and would compute too
        # large a share for itself.
        self.budget.entries = max(self.budget.entries, loan.entries)
        lent = self.budget.lend(loan.service, loan.count, self.clock())
        return Reply(200, encode(LoanReply(lent)))
