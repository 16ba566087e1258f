"""Tests of the handling of SIGTERM and of when the grace time starts."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.relay.application import Application
from lacewingcourse.relay.readiness import Readiness
from lacewingcourse.relay.routing_state import RoutingState

from .test_caller import REQUEST, read_answer, run, serving_connections
from .test_drain import LogRecorder, entry_with

#: Seconds from the shutdown request within which the entry must have ended.
GRACE = 8.0
#: Present time, and when the loop was last known to run before it.
NOW, BEFORE = 10.0, 9.0
#: Seconds after which another entry accepts connections.
READY_IN = 4.0


@pytest.fixture
def make_application():
    """Return a function that makes the attributes that the signal handlers use."""

    def make(log_drain_start=lambda: 1.0):
        readiness = Readiness(RoutingState(), GRACE)
        entry = SimpleNamespace(
            readiness=readiness,
            clock=lambda: NOW,
            watch=SimpleNamespace(previous_tick=BEFORE),
            ingress=SimpleNamespace(
                start_drain=readiness.start_drain, log_drain_start=log_drain_start
            ),
            log=LogRecorder(),
            started=[],
            notified=[],
            configuration=SimpleNamespace(
                freshness=SimpleNamespace(expire=lambda: None)
            ),
            directory=SimpleNamespace(freshness=SimpleNamespace(expire=lambda: None)),
            holder=SimpleNamespace(lease=None),
            budget=SimpleNamespace(drop_loans=lambda: None),
            routing_state=RoutingState(),
        )
        entry._leave = lambda: "drain"
        entry.background = SimpleNamespace(
            start=lambda name, work: entry.started.append(work)
        )
        entry._notify_peers = lambda: entry.notified.append(entry.readiness.draining)
        return entry

    return make


def test_grace_time_starts_before_a_blocked_loop_handles_sigterm(make_application):
    entry = make_application()
    Application._on_term(entry)
    assert entry.readiness.drain_started_at == BEFORE


def test_peers_are_notified_of_the_drain_at_once(make_application):
    entry = make_application()
    Application._on_term(entry)
    assert entry.notified == [True]


def test_exception_while_logging_the_drain_does_not_prevent_it(
    make_application,
):
    def defect():
        raise RuntimeError("a defect")

    entry = make_application(defect)
    with pytest.raises(RuntimeError):
        Application._on_term(entry)
    Application._on_term(entry)
    assert entry.started == ["drain"]


@pytest.mark.parametrize(("draining", "counted"), [(True, 2.0), (False, 0.0)])
def test_suspended_time_counts_towards_the_drain_deadline(
    make_application, draining, counted
):
    entry = make_application()
    if draining:
        Application._on_term(entry)
    last = entry.readiness.drain_deadline
    Application._on_resume(entry, 2.0)
    assert entry.readiness.drain_deadline == pytest.approx(last - counted)


@pytest.mark.parametrize("draining", [True, False])
@pytest.mark.parametrize("kind", [ErrorKind.OVERLOADED, ErrorKind.RETRIES_EXHAUSTED])
def test_retry_after_is_raised_while_every_entry_drains(kind, draining):
    async def refuse(job, shape):
        return Refusal(kind, "no path has memory", retry_after=0.5)

    async def test():
        entry = entry_with(refuse, LogRecorder())
        entry.ready_in = lambda: READY_IN
        entry.readiness = Readiness(RoutingState(), GRACE)
        if draining:
            entry.readiness.start_drain(entry.clock())
        async with serving_connections(entry.serve) as (address, _):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(REQUEST % 0)
            head, _ = await read_answer(reader)
        expected = READY_IN if draining else 0.5
        assert head.startswith(b"HTTP/1.1 503")
        assert f"Retry-After: {expected}\r\n".encode() in head

    run(test)
