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
from lacewingcourse.relay.caller import MAX_HEAD_BYTES, CallerConnections
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


def head_of_fields(count: int, *lines: bytes) -> bytes:
    """Return the head of a request with many short fields, and other lines last."""
    filler = b"a:\r\n" * count
    end = b"".join(line + b"\r\n" for line in lines)
    return b"POST /1 HTTP/1.1\r\nHost: h\r\n" + filler + end + b"\r\n"


@pytest.fixture
def decoded(monkeypatch):
    """The number of characters of each head that is decoded, in order."""
    sizes: list[int] = []
    parse = HTTPHeaders.parse

    def record(text, **options):
        sizes.append(len(text))
        return parse(text, **options)

    monkeypatch.setattr(HTTPHeaders, "parse", record)
    return sizes


@pytest.mark.parametrize("count", [MAX_HEAD_BYTES // 4 - 20, 12_000])
def test_heads_of_many_fields_beyond_the_limit_are_refused_undecoded(decoded, count):
    """Guards against heads whose decoding stopped the loop before they were refused."""

    async def test():
        async with serving(ClientLimits(8 * MEBIBYTE, 10)) as (address, server):
            server.clients.max_head_bytes = MAX_HEAD_BYTES // 4
            reader, writer = await asyncio.open_connection(*address)
            writer.write(head_of_fields(count))
            assert (await reader.readline()).startswith(b"HTTP/1.1 431")
            await reader.read()
            assert sum(decoded) < 100

    run(test)


@pytest.mark.parametrize(
    "field", [b"Content-Length: 70", b"Transfer-Encoding: chunked"]
)
def test_body_behind_a_refused_head_is_no_request(field):
    served = []

    async def serve(exchange) -> None:
        served.append(exchange.target)
        exchange.answer(200, HTTPHeaders(), b"")

    async def test():
        limits = ClientLimits(8 * MEBIBYTE, 10)
        async with serving(limits, serve) as (address, server):
            server.clients.max_head_bytes = 4096
            reader, writer = await asyncio.open_connection(*address)
            writer.write(head_of_fields(2_000, field))
            writer.write(b"GET /2 HTTP/1.1\r\nHost: h\r\n\r\n" * 5)
            assert (await reader.readline()).startswith(b"HTTP/1.1 431")
            await reader.read()
            assert not served

    run(test)


def test_heads_of_many_fields_are_decoded_one_in_an_iteration_of_the_loop(monkeypatch):
    """Guards against a crowd's heads that are all decoded before anything else."""
    iteration = 0
    decoded_in = []
    parse = HTTPHeaders.parse

    def record(text, **options):
        decoded_in.append(iteration)
        return parse(text, **options)

    def count():
        nonlocal iteration
        iteration += 1
        asyncio.get_running_loop().call_soon(count)

    async def test():
        async with serving(ClientLimits(8 * MEBIBYTE, 40)) as (address, _):
            connections = [await asyncio.open_connection(*address) for _ in range(20)]
            for _, writer in connections:
                writer.write(head_of_fields(1_000, b"Content-Length: 0"))
            monkeypatch.setattr(HTTPHeaders, "parse", record)
            asyncio.get_running_loop().call_soon(count)
            for reader, _ in connections:
                assert (await reader.readline()).startswith(b"HTTP/1.1 200")
        assert len(decoded_in) == len(set(decoded_in)) == 20

    run(test)
