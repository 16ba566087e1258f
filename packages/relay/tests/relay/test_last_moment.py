"""Tests of what callers get that send between the last look and the entry's end."""

from __future__ import annotations

import asyncio
import socket
from types import SimpleNamespace

import attrs
import pytest
from tornado.httputil import HTTPHeaders

from lacewingcourse.relay import leaving
from lacewingcourse.relay.beliefs import Beliefs
from lacewingcourse.relay.caller import CallerConnections
from lacewingcourse.relay.front import Front
from lacewingcourse.relay.leaving import Departure
from lacewingcourse.relay.readiness import Readiness

from .test_caller import REQUEST, run
from .test_leaving import Lines, entry_with

#: Seconds after which an entry ends of which nothing is open.
QUIET_AFTER = 0.3
#: Seconds in which the entry must have ended: less than that, and much more.
GRACE = (0.6, 8.0)
#: Turns of the loop that pass between the end of the departure and that of the process.
LAST_TURNS = 10
BODY = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf"


class LastLook(Departure):
    """A departure at whose last look something happens that it cannot see."""

    def _is_over(self, now: float) -> bool:
        over = super()._is_over(now)
        if over:
            self.happens()
        return over


@attrs.define(slots=False)
class Entry:
    """An entry that ends while callers send.

    Attributes:
        grace: Seconds in which it must have ended.
        passed_on: Targets of the requests that it passed on.
    """

    grace: float
    passed_on: list[str] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.gateway = entry_with(self._pass_on, Lines())
        self.clock = self.gateway.clock
        readiness = self.gateway.readiness = Readiness(Beliefs(), self.grace)
        self.callers = CallerConnections(
            self.gateway.serve, self.clock, lambda: readiness.draining
        )
        self.front = Front(self.callers)
        self.front.conn_params.header_timeout = None
        self.front.listen(0, "127.0.0.1")
        (listening,) = self.front.listening
        self.address = listening.getsockname()

    async def _pass_on(self, job, shape) -> None:
        self.passed_on.append(job.request.target)
        job.caller.answer(200, HTTPHeaders(), b"done")

    def connect(self) -> socket.socket:
        """Return a connection of a caller, which the entry may not know of yet."""
        return socket.create_connection(self.address)

    async def kept(self) -> socket.socket:
        """Return a connection of a caller that the entry waits on."""
        made = self.connect()
        while not self.front.streams:
            await asyncio.sleep(0)
        await asyncio.sleep(0.01)
        return made

    async def end(self, happens) -> None:
        """End, and let something happen at the last look."""
        self.gateway.readiness.start_drain(self.clock())
        departure = LastLook(
            self.gateway.readiness,
            self.callers,
            self.gateway,
            self.clock,
            self.front.stop_listening,
            self.front.close_idle,
        )
        departure.happens = happens
        await departure.carry_out()
        for _ in range(LAST_TURNS):
            await asyncio.sleep(0)


@pytest.fixture(params=GRACE)
def make_entry(request, monkeypatch):
    """Return what makes an entry that ends soon, in want of time or of requests."""
    monkeypatch.setattr(leaving, "BALANCER_DELAY", QUIET_AFTER)
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


@pytest.mark.parametrize("request_bytes", [REQUEST % 0, BODY])
def test_a_request_on_a_kept_connection_is_not_passed_on_after_the_last_look(
    make_entry, request_bytes
):
    async def test():
        entry = make_entry()
        caller = await entry.kept()
        await entry.end(lambda: caller.sendall(request_bytes))
        assert entry.passed_on == []
        answer = read_all(caller)
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"Retry-After: 0.3" in answer

    run(test)


def test_a_request_that_waits_to_be_accepted_is_refused_with_an_answer(make_entry):
    async def test():
        entry = make_entry()
        made = SimpleNamespace()

        def connect() -> None:
            made.caller = entry.connect()
            made.caller.sendall(REQUEST % 0)

        await entry.end(connect)
        assert entry.passed_on == []
        assert read_all(made.caller).startswith(b"HTTP/1.1 503")

    run(test)


def test_an_entry_that_has_ended_refuses_connections(make_entry):
    async def test():
        entry = make_entry()
        await entry.end(lambda: None)
        with pytest.raises(ConnectionRefusedError):
            entry.connect()

    run(test)


@pytest.mark.parametrize("begun", [b"", b"POST / HTTP/1.1\r\nHost:"])
def test_an_entry_that_has_ended_reads_no_connection(make_entry, begun):
    """A request that comes now is one that its caller may send elsewhere."""

    async def test():
        entry = make_entry()
        caller = await entry.kept()
        caller.sendall(begun)
        await entry.end(lambda: None)
        assert entry.front.streams == set()
        assert read_all(caller) == b""

    run(test)


def test_what_is_read_up_to_the_end_has_an_answer(make_entry):
    """Callers that go on sending get a whole answer for what was read, or none."""

    async def test():
        entry = make_entry()
        callers = [entry.connect() for _ in range(20)]
        unread = list(callers)

        async def go_on() -> None:
            while unread:
                unread.pop().sendall(REQUEST % 0)
                await asyncio.sleep(0.005)

        sending = []
        await entry.end(lambda: sending.append(asyncio.ensure_future(go_on())))
        assert entry.passed_on == []
        assert not entry.callers.open
        sending[0].cancel()
        answers = [read_all(c) for c in callers if c not in unread]
        assert {a[:12] for a in answers if a} == {b"HTTP/1.1 503"}

    run(test)
