"""Tests of callers that leave a server of a daemon before they have their answer."""

from __future__ import annotations

import asyncio
import socket
from contextlib import asynccontextmanager

import pytest
from tornado.web import Application, RequestHandler

from lacewingcourse.daemon.server import GuardedServer, RequestLimits

#: Seconds in which a close must be noticed.
NOTICE_TIME = 1.0
REQUEST = b"POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"


class Handler(RequestHandler):
    """Answers after a while, unless the caller leaves."""

    def initialize(self, started: list, left: asyncio.Event) -> None:
        self.started, self.left = started, left

    async def post(self) -> None:
        self.started.append(self.request.path)
        await self.left.wait()

    def on_connection_close(self) -> None:
        self.left.set()


@asynccontextmanager
async def serving():
    """Run a server; yield its address, the requests begun, and a note of a close."""
    started: list[str] = []
    left = asyncio.Event()
    handlers = [("/.*", Handler, {"started": started, "left": left})]
    server = GuardedServer(Application(handlers), limits=RequestLimits(1000, 5.0, 5.0))
    server.listen(0, "127.0.0.1")
    (listening,) = server.listen_sockets
    yield listening.getsockname(), started, left
    server.stop()
    await server.close_all_connections()


@pytest.mark.parametrize("behind", [b"", b"POST /next"], ids=["alone", "bytes_behind"])
def test_a_close_is_noticed_while_a_request_is_handled(behind):
    async def test():
        async with serving() as (address, started, left):
            caller = socket.create_connection(address)
            caller.sendall(REQUEST % 1 + behind)
            while not started:
                await asyncio.sleep(0.01)
            caller.close()
            await asyncio.wait_for(left.wait(), NOTICE_TIME)

    asyncio.run(test())


@pytest.mark.parametrize("behind", [b"", REQUEST % 2], ids=["alone", "request_behind"])
def test_a_request_whose_caller_left_before_it_was_read_is_not_handled(behind):
    async def test():
        async with serving() as (address, started, _):
            with socket.create_connection(address) as caller:
                caller.sendall(REQUEST % 1 + behind)
            await asyncio.sleep(0.2)
            assert started == []

    asyncio.run(test())
