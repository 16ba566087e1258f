"""Tests of requests sent between the last drain check and the entry's end."""

from __future__ import annotations

import asyncio
import socket
from types import SimpleNamespace

import attrs
import pytest
from tornado.httputil import HTTPHeaders

from lacewingcourse.relay import drain
from lacewingcourse.relay.caller import CallerConnections
from lacewingcourse.relay.caller_server import CallerServer
from lacewingcourse.relay.drain import Drainer
from lacewingcourse.relay.readiness import Readiness
from lacewingcourse.relay.routing_state import RoutingState

from .test_caller import REQUEST, run
from .test_drain import LogRecorder, entry_with

#: Seconds after which an entry without open requests ends.
DRAIN_AFTER = 0.3
#: Grace times in seconds: with the first, the drain deadline comes before
#: `DRAIN_AFTER`.
GRACE = (0.6, 8.0)
#: Iterations of the loop between the end of the drain and the end of the process.
LOOP_ITERATIONS_AFTER_DRAIN = 10
PARTIAL_BODY = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf"


class DrainerWithHook(Drainer):
    """A drainer that calls a hook right after its last check for open requests."""

    def _is_drained(self, now: float) -> bool:
        is_drained = super()._is_drained(now)
        if is_drained:
            self.hook()
        return is_drained


@attrs.define(slots=False)
class Entry:
    """An entry that drains while callers send requests.

    Attributes:
        grace: Seconds within which it must have ended.
        forwarded: Targets of the requests that it forwarded.
    """

    grace: float
    forwarded: list[str] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.gateway = entry_with(self._forward, LogRecorder())
        self.clock = self.gateway.clock
        readiness = self.gateway.readiness = Readiness(RoutingState(), self.grace)
        self.callers = CallerConnections(
            self.gateway.serve, self.clock, lambda: readiness.draining
        )
        self.server = CallerServer(self.callers)
        self.server.conn_params.header_timeout = None
        self.server.listen(0, "127.0.0.1")
        (listening,) = self.server.listen_sockets
        self.address = listening.getsockname()

    async def _forward(self, job, shape) -> None:
        self.forwarded.append(job.request.target)
        job.caller.answer(200, HTTPHeaders(), b"done")

    def connect(self) -> socket.socket:
        """Return a connection of a caller, perhaps not yet accepted by the entry."""
        return socket.create_connection(self.address)

    async def connect_idle(self) -> socket.socket:
        """Return a connection of a caller that the entry has accepted."""
        made = self.connect()
        while not self.server.connections:
            await asyncio.sleep(0)
        await asyncio.sleep(0.01)
        return made

    async def end(self, hook) -> None:
        """Drain the entry, and call a hook at its last check."""
        self.gateway.readiness.start_drain(self.clock())
        drainer = DrainerWithHook(
            self.gateway.readiness,
            self.callers,
            self.gateway,
            self.clock,
            self.server.stop_listening,
            self.server.close_idle,
        )
        drainer.hook = hook
        await drainer.run()
        for _ in range(LOOP_ITERATIONS_AFTER_DRAIN):
            await asyncio.sleep(0)


@pytest.fixture(params=GRACE)
def make_entry(request, monkeypatch):
    """Return a function that makes an entry that drains soon, idle or at its limit."""
    monkeypatch.setattr(drain, "BALANCER_DELAY", DRAIN_AFTER)
    return lambda: Entry(request.param)


def read_all(connection: socket.socket) -> bytes:
    """Return what an entry that has ended wrote to a caller."""
    connection.settimeout(1.0)
    received = b""
    try:
        while data := connection.recv(65536):
            received += data
    except ConnectionResetError:
        return received
    return received


@pytest.mark.parametrize("request_bytes", [REQUEST % 0, PARTIAL_BODY])
def test_request_on_an_idle_connection_is_not_forwarded_after_the_drain(
    make_entry, request_bytes
):
    async def test():
        entry = make_entry()
        caller = await entry.connect_idle()
        await entry.end(lambda: caller.sendall(request_bytes))
        assert entry.forwarded == []
        answer = read_all(caller)
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"Retry-After: 0.3" in answer

    run(test)


def test_request_on_a_connection_in_the_accept_queue_is_refused_with_an_answer(
    make_entry,
):
    async def test():
        entry = make_entry()
        made = SimpleNamespace()

        def connect() -> None:
            made.caller = entry.connect()
            made.caller.sendall(REQUEST % 0)

        await entry.end(connect)
        assert entry.forwarded == []
        assert read_all(made.caller).startswith(b"HTTP/1.1 503")

    run(test)


def test_drained_entry_refuses_connections(make_entry):
    async def test():
        entry = make_entry()
        await entry.end(lambda: None)
        with pytest.raises(ConnectionRefusedError):
            entry.connect()

    run(test)


@pytest.mark.parametrize("partial_head", [b"", b"POST / HTTP/1.1\r\nHost:"])
def test_drained_entry_closes_idle_connections(make_entry, partial_head):
    """A caller whose request gets no answer here may send it to another entry."""

    async def test():
        entry = make_entry()
        caller = await entry.connect_idle()
        caller.sendall(partial_head)
        await entry.end(lambda: None)
        assert entry.server.connections == set()
        assert read_all(caller) == b""

    run(test)


def test_every_request_read_before_the_end_is_answered(make_entry):
    """Callers that keep sending get a whole answer to each request read, or none."""

    async def test():
        entry = make_entry()
        callers = [entry.connect() for _ in range(20)]
        not_sent = list(callers)

        async def keep_sending() -> None:
            while not_sent:
                not_sent.pop().sendall(REQUEST % 0)
                await asyncio.sleep(0.005)

        sending = []
        await entry.end(lambda: sending.append(asyncio.ensure_future(keep_sending())))
        assert entry.forwarded == []
        assert not entry.callers.open
        sending[0].cancel()
        answers = [read_all(c) for c in callers if c not in not_sent]
        assert {a[:12] for a in answers if a} == {b"HTTP/1.1 503"}

    run(test)
