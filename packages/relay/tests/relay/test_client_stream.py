"""Tests of connections of clients that are bounded, over real sockets."""

from __future__ import annotations

import asyncio
import errno
from contextlib import asynccontextmanager

import pytest
from tornado.httputil import HTTPHeaders

from lacewingcourse.core.pipelines.client_memory import (
    CONNECTION_BYTES,
    MEBIBYTE,
    ClientLimits,
    Shortage,
    Stage,
)
from lacewingcourse.relay.caller import CallerConnections
from lacewingcourse.relay.caller_server import CallerServer
from lacewingcourse.relay.client_monitor import CALM_TIME, ClientMonitor
from lacewingcourse.relay.client_stream import Clients, Turns

#: Seconds after which a test fails because nothing arrives.
TIMEOUT = 10.0
HEAD = b"POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"


async def echo(exchange) -> None:
    """Answer with the size of the body."""
    exchange.answer(200, HTTPHeaders(), b"%d" % len(exchange.body))


@asynccontextmanager
async def serving(limits, serve=echo):
    """Run a server for callers within limits; yield its address and the server."""
    clock = asyncio.get_running_loop().time
    clients = Clients(limits, clock)
    server = CallerServer(
        CallerConnections(serve, clock, lambda: False), clients=clients
    )
    server.conn_params.header_timeout = None
    server.conn_params.max_body_size = MEBIBYTE
    server.listen(0, "127.0.0.1")
    (listening,) = server.listen_sockets
    try:
        yield listening.getsockname(), server
    finally:
        server.stop()
        await server.close_all_connections()


def run(test) -> None:
    """Run a test in a loop of its own, with a timeout."""

    async def run_with_timeout():
        async with asyncio.timeout(TIMEOUT):
            await test()

    asyncio.run(run_with_timeout())


async def until(condition) -> None:
    """Wait until a condition holds."""
    while not condition():
        await asyncio.sleep(0.01)


def test_what_a_connection_holds_is_charged_and_released():
    async def test():
        async with serving(ClientLimits(8 * MEBIBYTE, 10)) as (address, server):
            memory = server.clients.memory
            reader, writer = await asyncio.open_connection(*address)
            writer.write(HEAD % (1, 500_000) + b"x" * 400_000)
            await until(lambda: memory.held > 400_000 + CONNECTION_BYTES)
            writer.write(b"x" * 100_000)
            await reader.readuntil(b"500000")
            await until(lambda: memory.held == CONNECTION_BYTES)
            writer.close()
            await until(lambda: memory.held == 0)
            assert not server.clients.streams

    run(test)


def test_a_caller_that_stands_still_is_told_to_come_back():
    async def test():
        async with serving(ClientLimits(MEBIBYTE, 10)) as (address, server):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(HEAD % (1, 900_000) + b"x" * 600_000)
            _, other = await asyncio.open_connection(*address)
            other.write(HEAD % (2, 600_000) + b"x" * 500_000)
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 503")
            assert b"Connection: close" in head
            await until(lambda: server.clients.memory.shortage is None)

    run(test)


def test_requests_that_are_served_outlast_a_shortage():
    released = asyncio.Event()

    async def wait(exchange):
        await released.wait()
        await echo(exchange)

    async def test():
        async with serving(ClientLimits(MEBIBYTE, 10), wait) as (address, server):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(HEAD % (1, 700_000) + b"x" * 700_000)
            stages = server.clients.memory.uses
            await until(lambda: {use.stage for use in stages} == {Stage.SERVED})
            other_reader, other = await asyncio.open_connection(*address)
            other.write(HEAD % (2, 700_000) + b"x" * 600_000)
            assert (await other_reader.readuntil(b"\r\n")).split()[1] == b"503"
            released.set()
            await reader.readuntil(b"700000")

    run(test)


def test_a_connection_without_a_request_is_closed_for_a_new_one():
    async def test():
        async with serving(ClientLimits(MEBIBYTE, 2)) as (address, server):
            idle = [await asyncio.open_connection(*address) for _ in range(2)]
            await until(lambda: len(server.connections) == 2)
            reader, writer = await asyncio.open_connection(*address)
            assert await idle[0][0].read() == b""
            writer.write(HEAD % (1, 0))
            assert (await reader.readuntil(b"\r\n")).split()[1] == b"200"

    run(test)


@pytest.mark.parametrize("has_others", [True, False])
def test_accepting_goes_on_once_a_descriptor_is_free(has_others):
    async def test():
        async with serving(ClientLimits(MEBIBYTE, 10)) as (address, server):
            if has_others:
                idle, _ = await asyncio.open_connection(*address)
                await until(lambda: len(server.connections) == 1)
            failures = [OSError(errno.EMFILE, "too many open files")]
            (listening,) = server.listen_sockets
            accept = server._accept

            def fail_once(listen_socket):
                if failures:
                    failures.pop()
                    server._on_descriptors_exhausted(listen_socket)
                    return False
                return accept(listen_socket)

            server._accept = fail_once
            reader, writer = await asyncio.open_connection(*address)
            writer.write(HEAD % (1, 0))
            assert (await reader.readuntil(b"\r\n")).split()[1] == b"200"
            if has_others:
                assert await idle.read() == b""

    run(test)


def test_one_task_continues_in_each_iteration_of_the_loop():
    async def test():
        turns, order = Turns(), []

        async def work(name):
            for _ in range(3):
                await turns.wait()
                order.append(name)

        iterations = 0

        async def count():
            nonlocal iterations
            while len(order) < 9:
                iterations += 1
                await asyncio.sleep(0)

        await asyncio.gather(*(work(name) for name in "abc"), count())
        assert order == list("abcabcabc")
        assert iterations >= 9

    run(test)


def test_a_shortage_is_logged_when_it_begins_and_when_it_is_over():
    lines, counted, now = [], [], 100.0
    clients = Clients(ClientLimits(MEBIBYTE, 10), lambda: now)
    monitor = ClientMonitor(
        {"callers": clients},
        lambda event, **fields: lines.append((event, fields.get("closed"))),
        lambda *labels: counted.append(labels),
        lambda: now,
    )
    for _ in range(3):
        clients.on_closed(Shortage.MEMORY, Stage.BODY)
    monitor.report_ends(now + CALM_TIME / 2)
    assert lines == [("clients_crowded", None)]
    monitor.report_ends(now + CALM_TIME)
    assert lines == [("clients_crowded", None), ("clients_calm", 3)]
    assert counted == [("callers", "memory", "body")] * 3
