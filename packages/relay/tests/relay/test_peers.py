"""Tests of the exchanges between entries over a connection."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest
from tornado.httpserver import HTTPServer

from lacewingcourse.relay.peers import (
    CONFIGURATION_PATH,
    GOSSIP_PERIOD,
    TIMEOUT,
    PeerExchange,
)
from lacewingcourse.relay.small_server import SmallServer
from lacewingcourse.testing.virtual_time import run_virtual

#: A version of a thousand routes.
DOCUMENT = b"".join(
    b'{"name": "route-%d", "host": "host-%d.example", "prefix": "/p%d/"},' % (n, n, n)
    for n in range(1_000)
)


def make_exchange(document: bytes) -> PeerExchange:
    """Return the exchange of an entry that has a version in force."""
    table = SimpleNamespace(version=7, document=document)
    gossip = SimpleNamespace(routing_state=SimpleNamespace(table=table), log=None)
    return PeerExchange(gossip, (), None, lambda: 0.0, lambda: None)


def test_a_version_is_sent_compressed():
    """An uncompressed version filled the link of a small entry and delayed events."""

    async def fetched():
        peers = make_exchange(DOCUMENT)
        server = HTTPServer(SmallServer(peers.handlers()))
        server.listen(0, "127.0.0.1")
        (listening,) = server._sockets.values()
        host, port = listening.getsockname()
        try:
            body = await peers.fetch(f"{host}:{port}", CONFIGURATION_PATH)
        finally:
            server.stop()
            await server.close_all_connections()
        return body, peers.compressed

    body, compressed = asyncio.run(fetched())
    assert body == DOCUMENT
    assert len(compressed.body) < len(DOCUMENT) / 5


def test_a_version_is_fetched_elsewhere_when_an_entry_has_stopped():
    """A fetch from a stopped entry delayed the version by the whole timeout."""

    async def fetched():
        loop = asyncio.get_running_loop()
        peers = make_exchange(DOCUMENT)
        peers.clock = loop.time
        fetches = []

        async def fetch(message):
            fetches.append((message.address, loop.time()))
            if message.address == "stopped":
                await asyncio.sleep(TIMEOUT)

        for _ in range(4):
            for address in ("stopped", "sound"):
                message = SimpleNamespace(address=address)
                peers._start_fetch("configuration", message, fetch)
            await asyncio.sleep(GOSSIP_PERIOD / 2)
        await asyncio.sleep(TIMEOUT)
        return fetches, peers.active_fetches

    fetches, left = run_virtual(fetched())
    addresses = [address for address, _ in fetches]
    assert addresses.count("stopped") == 1
    assert dict(reversed(fetches))["sound"] <= GOSSIP_PERIOD
    assert left == {"configuration": {}}


def test_a_version_is_compressed_once():
    peers = make_exchange(DOCUMENT)
    first = peers._on_configuration(None)
    assert peers._on_configuration(None).body is first.body
    peers.gossip.routing_state.table = SimpleNamespace(version=8, document=b"{}")
    assert peers._on_configuration(None).body != first.body


@pytest.mark.parametrize(
    "address",
    ["\x00", "é:1", "\u2028:1", "a b:1", "", "127.0.0.1:" + "9" * 5_000, "x" * 70_000],
)
def test_an_impossible_address_of_an_entry_answers_nothing(address):
    """An error of the client ended the loop that borrows retries."""

    async def fetched():
        return await make_exchange(DOCUMENT).fetch(address, CONFIGURATION_PATH)

    assert asyncio.run(fetched()) is None
