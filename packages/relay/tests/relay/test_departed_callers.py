"""Tests of callers that leave while their requests wait, over real sockets."""

from __future__ import annotations

import asyncio
import socket
from contextlib import asynccontextmanager
from random import Random
from types import SimpleNamespace

import pytest
from tornado.httputil import HTTPHeaders

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.pipelines.fleet import Endpoint
from lacewingcourse.core.pipelines.retry_budget import RetryBudget
from lacewingcourse.core.pipelines.routing import Organisation, RetrySafety
from lacewingcourse.relay.calls import CallForwarder
from lacewingcourse.relay.connections import ConnectionPool, EndpointStream
from lacewingcourse.relay.gateway import Gateway
from lacewingcourse.relay.ports import AnswerHead, AnswerKind
from lacewingcourse.relay.routing_state import RoutingState
from lacewingcourse.relay.sending import Sender
from lacewingcourse.relay.staleness import StalenessGuard
from lacewingcourse.testing.virtual_time import run_virtual

from .routes import route_of
from .stream_scenario import UNLIMITED_RETRIES, Engine, RecordingLog, StreamScenario
from .test_caller import REQUEST, run, serving_connections

#: Seconds for which a caller that has left could still be taken for present.
NOTICE_TIME = 0.1
#: Seconds in which a request that may be sent reaches its endpoint.
SEND_TIME = 0.3
#: Calls that the endpoint takes at once.
SLOTS = 1
#: The start of another request.
BYTES_BEHIND = b"POST /next HTTP/1.1\r\n"
with_bytes_behind = pytest.mark.parametrize(
    "behind", [b"", BYTES_BEHIND], ids=["alone", "bytes_behind"]
)


class HeldPool(ConnectionPool):
    """Connections that are made only while a test allows it."""

    def __init__(self) -> None:
        super().__init__()
        self.allowed = asyncio.Event()
        self.allowed.set()

    async def connect(self, address):
        await self.allowed.wait()
        return await super().connect(address)


class CallService:
    """An endpoint that holds its calls.

    Attributes:
        got: Targets of the calls that it got.
        release: Set to answer the calls.
        resets: Set to close their connections without an answer.
    """

    def __init__(self) -> None:
        self.got: list[bytes] = []
        self.release = asyncio.Event()
        self.resets = asyncio.Event()

    async def __call__(self, reader, writer) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        self.got.append(head.split()[1])
        closed = asyncio.ensure_future(reader.read())
        ends = [self.release, self.resets]
        waits = [closed, *(asyncio.ensure_future(each.wait()) for each in ends)]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        if self.release.is_set():
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        writer.close()
        for wait in waits:
            wait.cancel()


class Entry:
    """The parts of an entry that forward calls, before one or two endpoints.

    Attributes:
        service: What the endpoints do and got.
        pool: Connections to them.
        table: The configuration.
        gateway: Serves the callers.
        admission: Gives room to their requests.
        guard: Decides whether the configuration is outdated.
        address: Where callers connect to.
        callers: Their connections.
    """

    def __init__(self, addresses: list[str], service: CallService) -> None:
        clock = asyncio.get_running_loop().time
        self.service = service
        self.pool = HeldPool()
        route = route_of("desk", RetrySafety.IDEMPOTENT, timeout=8.0, objective=4.0)
        self.table = SimpleNamespace(
            route=lambda host, path: route,
            organisation=lambda route, key: Organisation(""),
            keys=None,
            services={"desk": SimpleNamespace(shape=None)},
            version=1,
        )
        state = RoutingState(table=self.table)
        for number, address in enumerate(addresses):
            endpoint = Endpoint(f"e{number}", "desk", address, "east", SLOTS)
            state.fleet.put(endpoint)
        codec = SimpleNamespace(
            decode=self.decode,
            outgoing=lambda request, sending: HTTPHeaders({"Host": "h"}),
            head=lambda status, headers, request: AnswerHead(
                status, headers, AnswerKind.ANSWERED
            ),
            for_caller=lambda head: HTTPHeaders(),
            refusal=lambda refusal, request: (
                refusal.answer.status,
                HTTPHeaders(),
                b"",
            ),
        )
        budget, log = RetryBudget(0.0, 10.0, UNLIMITED_RETRIES), RecordingLog()
        sender = Sender(self.pool, codec, clock, budget, state.send_limits)
        calls = CallForwarder(state, sender, budget, "east", Random(1), log)
        self.admission = calls.admission
        self.guard = StalenessGuard()
        self.gateway = Gateway(
            state,
            codec,
            calls,
            None,
            SimpleNamespace(accepts=lambda *request: True, draining=False),
            log,
            clock,
            lambda: 0.0,
            Random(1),
            guard=self.guard,
        )

    def decode(self, method, target, headers, now):
        return SimpleNamespace(
            host="h",
            path=target,
            target=target,
            method=method,
            key=None,
            timeout=None,
            id=target,
            received_at=now,
            body=b"",
            prompt_parts=(),
            max_answer_tokens=0,
        )

    def ask(self, number: int, behind: bytes = b"") -> socket.socket:
        """Send a request; return the caller's socket."""
        caller = socket.create_connection(self.address)
        caller.sendall(REQUEST % number + behind)
        return caller

    async def wait_got(self, count: int) -> None:
        """Wait until the endpoints have got this many requests."""
        while len(self.service.got) < count:
            await asyncio.sleep(0.01)


@asynccontextmanager
async def running_entry(endpoints: int = 1):
    """Run an entry before endpoints of a plain service."""
    service = CallService()
    servers = [
        await asyncio.start_server(service, "127.0.0.1", 0) for _ in range(endpoints)
    ]
    names = [server.sockets[0].getsockname() for server in servers]
    entry = Entry([f"{host}:{port}" for host, port in names], service)
    async with serving_connections(entry.gateway.serve) as (address, callers):
        entry.address, entry.callers = address, callers
        yield entry
    for server in servers:
        server.close()


@asynccontextmanager
async def nothing(entry):
    """Let the request be sent at once."""
    yield


@asynccontextmanager
async def no_configuration(entry):
    """Withhold the first configuration."""
    entry.gateway.routing_state.table = None
    yield
    entry.gateway.routing_state.table = entry.table


@asynccontextmanager
async def old_configuration(entry):
    """Withhold the version that has the request's route."""
    found = entry.table.route
    refusal = Refusal(ErrorKind.UNKNOWN_RESOURCE, "no such route")
    entry.table.route = lambda host, path: refusal
    entry.guard.age, entry.guard.limit = lambda: 1.0, 0.5
    yield
    entry.table.route = found
    entry.guard.age = lambda: 0.0


@asynccontextmanager
async def no_room(entry):
    """Let other calls take the room of the endpoint."""
    others = [entry.ask(number) for number in range(3 * SLOTS)]
    await entry.wait_got(2 * SLOTS)
    await asyncio.sleep(NOTICE_TIME)
    yield
    entry.service.release.set()
    await entry.wait_got(len(others))
    for other in others:
        other.close()


@asynccontextmanager
async def no_connection(entry):
    """Withhold connections to the endpoint."""
    entry.pool.allowed.clear()
    yield
    entry.pool.allowed.set()


WAITS = [no_configuration, old_configuration, no_room, no_connection]


@with_bytes_behind
@pytest.mark.parametrize("wait", WAITS)
def test_request_that_waits_is_not_sent_after_its_caller_has_left(wait, behind):
    async def test():
        async with running_entry() as entry:
            async with wait(entry):
                with entry.ask(9, behind):
                    await asyncio.sleep(NOTICE_TIME)
                await asyncio.sleep(NOTICE_TIME)
            await asyncio.sleep(SEND_TIME)
            assert b"/9" not in entry.service.got

    run(test)


@with_bytes_behind
@pytest.mark.parametrize("wait", [*WAITS, nothing])
def test_request_whose_caller_has_left_holds_nothing(wait, behind):
    async def test():
        async with running_entry() as entry:
            async with wait(entry):
                with entry.ask(9, behind):
                    await asyncio.sleep(NOTICE_TIME)
                await asyncio.sleep(NOTICE_TIME)
                assert "/9" not in {each.target for each in entry.gateway.serving}
                queued = [each.job for each in entry.admission.pending.values()]
                assert "/9" not in {job.request.id for job in queued}
                assert "/9" not in {each.target for each in entry.callers.open}

    run(test)


@with_bytes_behind
def test_request_is_not_sent_to_another_endpoint_after_its_caller_has_left(behind):
    async def test():
        async with running_entry(endpoints=2) as entry:
            with entry.ask(9, behind):
                await entry.wait_got(1)
            await asyncio.sleep(NOTICE_TIME)
            entry.service.resets.set()
            await asyncio.sleep(SEND_TIME)
            assert entry.service.got == [b"/9"]

    run(test)


@with_bytes_behind
def test_request_that_was_closed_while_the_loop_was_busy_is_not_sent(behind):
    async def test():
        async with running_entry() as entry:
            # No turn of the loop lies between the connection and its close.
            entry.ask(9, behind).close()
            await asyncio.sleep(SEND_TIME)
            assert entry.service.got == []

    run(test)


def test_connection_that_was_still_being_made_is_closed_with_its_request(monkeypatch):
    streams = []

    def connect(stream, address):
        streams.append(stream)
        return asyncio.get_running_loop().create_future()

    monkeypatch.setattr(EndpointStream, "connect", connect)

    async def test():
        made = asyncio.ensure_future(ConnectionPool().connect("127.0.0.1:9"))
        await asyncio.sleep(0)
        made.cancel()
        await asyncio.wait([made])
        assert [stream.closed() for stream in streams] == [True]

    run(test)


def test_standby_is_not_started_after_the_caller_has_left(shape):
    class SlowConnections(StreamScenario):
        async def reserve(self, address, fresh):
            if address.startswith("c"):
                self.caller.disconnected = True
                await asyncio.sleep(SEND_TIME)
            return await super().reserve(address, fresh)

    scenario = SlowConnections(shape, {"a": Engine(stops_after=5)})
    run_virtual(scenario.serve((0.6, scenario.declare_dead("b"))))
    assert scenario.firsts == ["a"]
