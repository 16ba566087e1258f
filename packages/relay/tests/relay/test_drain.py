"""Tests of the answers to requests that are open when the entry must end."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest
from tornado.httputil import HTTPHeaders

from lacewingcourse.relay.application import Application
from lacewingcourse.relay.drain import Drainer
from lacewingcourse.relay.gateway import Gateway
from lacewingcourse.relay.readiness import Readiness
from lacewingcourse.relay.routing_state import RoutingState

from .test_caller import REQUEST, make_gateway, read_answer, run, serving_connections

#: Seconds from the shutdown request within which the entry must have ended.
GRACE = 1.0
#: Seconds after which another entry accepts connections.
OTHER_ENTRY_READY_IN = 0.3


class EndlessExchange:
    """An exchange with an endpoint that never answers."""

    def __init__(self) -> None:
        self.abandoned = False

    def abandon(self) -> None:
        """Record that the exchange was abandoned."""
        self.abandoned = True


class LogRecorder:
    """Records the names of the decision log's methods that are called."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def __getattr__(self, name: str):
        return lambda *args, **fields: self.events.append(name)


def refusal(refused, request):
    """Return an answer with a `Retry-After` header."""
    headers = HTTPHeaders()
    if refused.retry_after is not None:
        headers["Retry-After"] = str(refused.retry_after)
    return refused.answer.status, headers, b""


def entry_with(forward, log) -> Gateway:
    """Return a gateway with a given forwarder of streams."""
    found = make_gateway(forward, [])
    found.log = log
    found.codec.refusal = refusal
    found.ready_in = lambda: OTHER_ENTRY_READY_IN
    found.rng = SimpleNamespace(uniform=lambda low, high: low)
    return found


def failing_once(work, log):
    """Return a function that raises on its first call and then calls `work`."""
    failed = []

    def fail_then_work(*args):
        if failed:
            return work(*args)
        failed.append(True)
        log.events.append("raised")
        raise ValueError("a defect")

    return fail_then_work


async def drain(entry, connections) -> None:
    """Ask an entry to shut down and wait until it has drained."""
    readiness = Readiness(RoutingState(), GRACE)
    readiness.start_drain(entry.clock())
    await Drainer(readiness, connections, entry, entry.clock).run()


def test_unsent_request_gets_503_with_retry_after_at_the_drain_deadline():
    log = LogRecorder()

    async def wait_forever(job, shape):
        await asyncio.Event().wait()

    async def test():
        entry = entry_with(wait_forever, log)
        async with serving_connections(entry.serve) as (address, connections):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(REQUEST % 0)
            await drain(entry, connections)
            head, _ = await read_answer(reader)
            assert head.startswith(b"HTTP/1.1 503")
            assert b"Retry-After: 0.3" in head
            assert log.events == ["refused"]
            assert not entry.jobs

    run(test)


@pytest.mark.parametrize("started", [False, True])
def test_exchange_with_the_endpoint_is_abandoned_at_the_drain_deadline(started):
    log = LogRecorder()
    exchange = EndlessExchange()

    async def send_and_wait_forever(job, shape):
        job.current_exchange = exchange
        job.begin_send("a")
        try:
            if started:
                job.caller.begin(200, HTTPHeaders(), b"some")
            await asyncio.Event().wait()
        finally:
            job.current_exchange = None

    async def test():
        entry = entry_with(send_and_wait_forever, log)
        async with serving_connections(entry.serve) as (address, connections):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(REQUEST % 0)
            await drain(entry, connections)
            if started:
                assert (await reader.read()).endswith(b"4\r\nsome\r\n")
            else:
                head, _ = await read_answer(reader)
                assert head.startswith(b"HTTP/1.1 502")
                assert b"Retry-After" not in head
        assert exchange.abandoned
        assert log.events == ["broken_off" if started else "refused"]

    run(test)


def test_request_with_a_partial_body_gets_503_at_the_drain_deadline():
    log = LogRecorder()

    async def test():
        entry = entry_with(None, log)
        async with serving_connections(entry.serve) as (address, connections):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf")
            while not connections.open:
                await asyncio.sleep(0)
            await drain(entry, connections)
            head, _ = await read_answer(reader)
            assert head.startswith(b"HTTP/1.1 503")
            assert not connections.open

    run(test)


def test_request_is_open_until_its_answer_is_flushed():
    size = 32 * 1024 * 1024

    async def large(exchange):
        exchange.answer(200, HTTPHeaders(), b"x" * size)

    async def test():
        async with serving_connections(large) as (address, connections):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(REQUEST % 0)
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            (exchange,) = connections.open
            assert exchange.response_complete
            await reader.readexactly(size)
            while connections.open:
                await asyncio.sleep(0)

    run(test)


def test_request_of_a_disconnected_caller_is_not_open():
    async def test():
        async with serving_connections(None) as (address, connections):
            _, writer = await asyncio.open_connection(*address)
            writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf")
            while not connections.open:
                await asyncio.sleep(0)
            writer.close()
            while connections.open:
                await asyncio.sleep(0)

    run(test)


def test_pipelined_request_is_not_served_after_the_last_answer_to_a_slow_reader():
    size = 32 * 1024 * 1024
    served = []

    async def large(exchange):
        served.append(exchange.target)
        exchange.answer(200, HTTPHeaders(), b"x" * size)

    async def test():
        server = serving_connections(large, close_after_answer=lambda: True)
        async with server as (address, connections):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(REQUEST % 0 + REQUEST % 1)
            await reader.readuntil(b"\r\n\r\n")
            assert len(await reader.read()) == size
            assert not connections.open
        assert served == ["/0"]

    run(test)


@pytest.mark.parametrize("started", [False, True])
def test_exception_while_aborting_one_request_does_not_affect_others(started):
    log = LogRecorder()

    async def wait_forever(job, shape):
        if started:
            job.caller.begin(200, HTTPHeaders(), b"some")
        await asyncio.Event().wait()

    async def test():
        entry = entry_with(wait_forever, log)
        entry.codec.refusal = failing_once(refusal, log)
        log.broken_off = failing_once(lambda *args: log.events.append("end"), log)
        server = serving_connections(entry.serve, close_after_answer=lambda: True)
        async with server as (address, connections):
            callers = [await asyncio.open_connection(*address) for _ in range(3)]
            for _, writer in callers:
                writer.write(REQUEST % 0)
            while len(entry.jobs) < len(callers):
                await asyncio.sleep(0)
            await drain(entry, connections)
            assert not connections.open
            ends = sorted([await reader.read() for reader, _ in callers])
        if started:
            assert all(end.endswith(b"4\r\nsome\r\n") for end in ends)
            assert log.events == ["raised", "failed", "end", "end"]
        else:
            assert ends[0] == b""
            assert all(end.startswith(b"HTTP/1.1 503") for end in ends[1:])
            assert log.events.count("failed") == 1

    run(test)


def test_process_ends_when_its_drainer_raises():
    class FailingDrainer:
        async def run(self):
            raise ValueError("a defect")

    async def test():
        entry = object.__new__(Application)
        entry.ingress = SimpleNamespace(drainer=FailingDrainer())
        entry.ended = asyncio.Event()
        with pytest.raises(ValueError, match="a defect"):
            await entry._leave()
        assert entry.ended.is_set()

    run(test)


def test_request_waiting_for_the_first_configuration_is_refused_once_the_entry_drains():
    log = LogRecorder()

    async def test():
        entry = entry_with(None, log)
        entry.routing_state.table = None
        entry.readiness = Readiness(RoutingState(), GRACE)
        # The clock stands still, so the wait for the configuration never times out.
        entry.clock = lambda: 0.0
        async with serving_connections(entry.serve) as (address, _):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(REQUEST % 0)
            while not entry.serving:
                await asyncio.sleep(0)
            entry.readiness.start_drain(entry.clock())
            head, _ = await read_answer(reader)
            assert head.startswith(b"HTTP/1.1 503")
            assert b"Retry-After: 0.3" in head
            assert log.events == ["refused"]

    run(test)


@pytest.mark.parametrize("size", [4, 32 * 1024 * 1024])
def test_pipelined_request_is_open_before_the_previous_one_closes(size):
    """A draining entry closes connections that have no open request."""
    served = []

    async def serve(exchange):
        served.append(exchange.target)
        exchange.answer(200, HTTPHeaders(), b"x" * size)

    async def read_all(reader):
        while await reader.read(65536):
            pass

    async def test():
        async with serving_connections(serve) as (address, connections):
            reader, writer = await asyncio.open_connection(*address)
            reading = asyncio.ensure_future(read_all(reader))
            writer.write(REQUEST % 0 + REQUEST % 1)
            while not connections.open:
                await asyncio.sleep(0)
            while len(served) < 2:
                assert connections.open
                await asyncio.sleep(0)
            while connections.open:
                await asyncio.sleep(0)
            reading.cancel()

    run(test)
