"""Tests of callers that read more slowly than endpoints write, over real sockets."""

from __future__ import annotations

import asyncio

from tornado.httputil import HTTPHeaders

from lacewingcourse.relay.connections import ConnectionPool
from lacewingcourse.relay.upstream import End, Exchange, Head
from lacewingcourse.testing.virtual_time import run_virtual

from .stream_scenario import Engine, StreamScenario, whole_answer
from .test_caller import REQUEST, run, serving
from .test_endless_responses import BLOCK_BYTES

#: Blocks of a response, far more than kernel buffers hold.
BLOCKS = 800
#: Checks in a row that must see no further block before the endpoint counts as blocked,
#: and the seconds between two of them.
IDLE_CHECKS, CHECK_PERIOD = 20, 0.02


class Endpoint:
    """An endpoint that writes a long response as fast as it is read.

    Attributes:
        blocks: Blocks that it has written.
    """

    def __init__(self) -> None:
        self.blocks = 0

    async def __call__(self, reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        length = BLOCKS * BLOCK_BYTES
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length)
        for _ in range(BLOCKS):
            writer.write(b"x" * BLOCK_BYTES)
            await writer.drain()
            self.blocks += 1
        writer.close()

    async def wait_blocked(self) -> None:
        """Wait until it can write no more."""
        seen, idle = -1, 0
        while idle < IDLE_CHECKS:
            idle = idle + 1 if self.blocks == seen else 0
            seen = self.blocks
            await asyncio.sleep(CHECK_PERIOD)


def test_an_endpoint_is_read_no_faster_than_the_caller_reads():
    """All that an endpoint wrote was held for its slow caller, and took the memory."""
    endpoint = Endpoint()

    async def test():
        async with await asyncio.start_server(endpoint, "127.0.0.1", 0) as server:
            host, port = server.sockets[0].getsockname()

            async def relay(caller):
                connection = await ConnectionPool().connect(f"{host}:{port}")
                exchange = Exchange(connection, lambda status, headers: True)
                exchange.sink = caller.write
                exchange.start("GET", "/", HTTPHeaders({"Host": "h"}), b"")
                assert isinstance(await exchange.arrivals.get(), Head)
                caller.begin(200, HTTPHeaders())
                end = await exchange.arrivals.get()
                assert isinstance(end, End) and end.complete
                caller.end()

            async with serving(relay) as address:
                reader, writer = await asyncio.open_connection(*address)
                writer.write(REQUEST % 0)
                await endpoint.wait_blocked()
                assert endpoint.blocks < BLOCKS // 2
                received = 0
                while received < BLOCKS * BLOCK_BYTES:
                    received += (await reader.read(BLOCK_BYTES)).count(b"x")
                writer.close()

    run(test)


def test_an_exchange_that_waits_for_its_caller_is_abandoned_without_an_error(caplog):
    """The library logs an error if what it waits for is cancelled."""
    endpoint = Endpoint()

    async def test():
        async with await asyncio.start_server(endpoint, "127.0.0.1", 0) as server:
            host, port = server.sockets[0].getsockname()
            connection = await ConnectionPool().connect(f"{host}:{port}")
            exchange = Exchange(connection, lambda status, headers: True)
            received, wait = asyncio.Event(), asyncio.Future()

            def receive(chunk):
                received.set()
                return wait

            exchange.sink = receive
            exchange.start("GET", "/", HTTPHeaders({"Host": "h"}), b"")
            await received.wait()
            exchange.abandon()
            await exchange.task
        assert caplog.records == []

    run(test)


def test_a_caller_that_leaves_keeps_nobody_waiting():
    async def test():
        flushed = []

        async def serve(caller):
            caller.begin(200, HTTPHeaders())
            wait = None
            while wait is None:
                wait = caller.write(b"x" * BLOCK_BYTES)
            flushed.append(await wait)
            done.set()

        done = asyncio.Event()
        async with serving(serve) as address:
            _, writer = await asyncio.open_connection(*address)
            writer.write(REQUEST % 0)
            await asyncio.sleep(0.1)
            writer.transport.abort()
            await done.wait()
        assert flushed == [None]

    run(test)


def test_a_stream_that_waits_for_its_caller_is_not_taken_for_stalled(shape):
    """Its run would be given up, and its prompt read again, for a slow caller."""
    scenario = StreamScenario(shape, {"a": Engine(pause_after=5, pause=4.0)})
    caller_wait = None
    begin = scenario.caller.begin

    def begin_slowly(*arguments):
        nonlocal caller_wait
        begin(*arguments)
        caller_wait = asyncio.get_running_loop().create_future()
        asyncio.get_running_loop().call_at(4.0, caller_wait.set_result, None)
        return caller_wait

    scenario.caller.begin = begin_slowly
    scenario.caller.write = lambda data: add(data)

    def add(data):
        scenario.caller.body += data
        return caller_wait

    assert run_virtual(scenario.serve()) is None
    assert scenario.caller.body == whole_answer()
    assert scenario.firsts == ["a"]
