"""Tests of exchanges with endpoints that are given up while they are read."""

from __future__ import annotations

import asyncio

from tornado.httputil import HTTPHeaders

from lacewingcourse.relay.connections import ConnectionPool
from lacewingcourse.relay.upstream import Exchange

#: Seconds between two writes of a server.
WRITE_INTERVAL = 0.1
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def test_bytes_of_an_abandoned_exchange_reach_nobody():
    """The rest of a run was glued to the events of the run that had replaced it."""

    async def respond(reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(RESPONSE_HEAD)
        await asyncio.sleep(WRITE_INTERVAL)
        writer.write(chunk(b"first"))
        await asyncio.sleep(WRITE_INTERVAL)
        writer.write(chunk(b"rest") + chunk(b""))
        await reader.read()
        writer.close()

    async def received() -> list[bytes]:
        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        connection = await ConnectionPool().connect(f"{host}:{port}")
        exchange = Exchange(connection, lambda status, headers: True)
        found, slow_caller = [], asyncio.get_running_loop().create_future()

        def sink(data: bytes) -> asyncio.Future[None]:
            found.append(data)
            return slow_caller

        exchange.sink = sink
        exchange.start("GET", "/", HTTPHeaders({"Host": "h"}), b"")
        await asyncio.sleep(4 * WRITE_INTERVAL)
        exchange.abandon()
        await asyncio.sleep(WRITE_INTERVAL)
        server.close()
        await server.wait_closed()
        return found

    assert asyncio.run(received()) == [b"first"]


def chunk(data: bytes) -> bytes:
    """Return data as one chunk of a response."""
    return b"%x\r\n%s\r\n" % (len(data), data)
