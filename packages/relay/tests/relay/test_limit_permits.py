"""Tests of the permits that entries request from one another."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from lacewingcourse.core.pipelines.peers import PeerTable
from lacewingcourse.core.pipelines.permits import PermitIssuer, issuer_of
from lacewingcourse.core.pipelines.send_limits import SendLimits
from lacewingcourse.relay.limit_permits import PERMITS_PATH, PermitExchange
from lacewingcourse.relay.peer_messages import (
    PermitReply,
    PermitRequest,
    decode,
    encode,
)
from lacewingcourse.relay.small_server import ServerRequest
from lacewingcourse.testing.virtual_time import run_virtual

from .stream_scenario import RecordingLog

NAMES = ["e0", "e1", "e2"]
ENDPOINT = "a"
ISSUER = issuer_of(ENDPOINT, NAMES)
OTHER = next(name for name in NAMES if name != ISSUER)


class Entries:
    """Entries that know one another, and the messages between them.

    Attributes:
        exchanges: Their exchanges by name.
        answers: Whether messages are answered.
        contacted: Addresses to which messages were sent.
    """

    def __init__(self) -> None:
        self.answers = True
        self.contacted: list[str] = []
        self.unreadable = 0
        self.exchanges = {name: self.make(name) for name in NAMES}

    def make(self, name: str) -> PermitExchange:
        book = PeerTable(name)
        for other in NAMES:
            book.record_message(other, other, False, 0.0)
        limits = SendLimits()
        exchange = PermitExchange(
            limits,
            PermitIssuer(f"{name} 1"),
            book,
            self.fetch,
            asyncio.get_running_loop().time,
            Random(1),
            RecordingLog(),
            self.count_unreadable,
        )
        limits.on_demand = exchange.schedule_check
        return exchange

    def count_unreadable(self) -> None:
        self.unreadable += 1

    async def fetch(self, address: str, path: str, body: bytes) -> bytes | None:
        assert path == PERMITS_PATH
        self.contacted.append(address)
        await asyncio.sleep(0.001)
        if not self.answers:
            return None
        handler = self.exchanges[address].handlers()["POST", PERMITS_PATH]
        return handler(ServerRequest(path, body)).body

    async def wait_for_permit(self, name: str, limit: float, seconds: float) -> bool:
        """Let an entry request a permit; return whether it gets one in time."""
        exchange = self.exchanges[name]
        exchange.limits.table.observe(ENDPOINT, limit, 0.0, 0.0)
        task = asyncio.ensure_future(exchange.run())
        for _ in range(int(seconds / 0.03)):
            now = exchange.clock()
            if exchange.limits.hold(ENDPOINT, "request", now):
                task.cancel()
                return True
            await asyncio.sleep(0.03)
        task.cancel()
        return False


@pytest.mark.parametrize("name", [ISSUER, OTHER])
def test_an_entry_gets_a_permit_in_its_turn(name):
    async def test():
        entries = Entries()
        assert await entries.wait_for_permit(name, 2.0, 1.1)
        assert set(entries.contacted) == ({ISSUER} if name == OTHER else set())

    run_virtual(test())


def test_an_issuer_that_does_not_answer_is_asked_again_after_a_delay():
    async def test():
        entries = Entries()
        entries.answers = False
        assert not await entries.wait_for_permit(OTHER, 2.0, 1.0)
        assert len(entries.contacted) <= 6

    run_virtual(test())


def test_an_issuer_takes_a_limit_from_a_permit_request():
    async def test():
        entries = Entries()
        await entries.wait_for_permit(OTHER, 2.0, 1.0)
        assert entries.exchanges[ISSUER].limits.table.named(ENDPOINT) == 2.0

    run_virtual(test())


@pytest.mark.parametrize("leaves", [True, False])
def test_an_entry_that_is_not_the_issuer_gives_no_permit(leaves):
    async def test():
        name = ISSUER if leaves else OTHER
        exchange = Entries().exchanges[name]
        exchange.is_leaving = lambda: leaves
        request = PermitRequest("e9", ENDPOINT, 5, [], 100.0, 0.0)
        reply = exchange._on_request(ServerRequest(PERMITS_PATH, encode(request)))
        assert decode(reply.body, PermitReply).issuer == ""
        assert decode(reply.body, PermitReply).delays == []

    run_virtual(test())


def test_an_unreadable_message_gives_no_permit():
    async def test():
        entries = Entries()
        exchange = entries.exchanges[ISSUER]
        assert exchange._on_request(ServerRequest(PERMITS_PATH, b"{}")).status == 400
        assert exchange._decode_grant(b"[]").delays == ()
        assert entries.unreadable == 2

    run_virtual(test())
