"""Tests of how the request to end is taken and from when it counts."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.relay.application import Application
from lacewingcourse.relay.readiness import Readiness
from lacewingcourse.relay.routing_state import RoutingState

from .test_caller import REQUEST, read_answer, run, serving_connections
from .test_leaving import Lines, entry_with

#: Seconds in which the entry must have ended.
GRACE = 8.0
#: Present time, and when the loop was known to run before it.
NOW, BEFORE = 10.0, 9.0
#: Seconds after which another entry takes connections.
BACK = 4.0


@pytest.fixture
def make_application():
    """Return a function that makes what the handlers of an entry use."""

    def make(ends_in=lambda: 1.0):
        readiness = Readiness(RoutingState(), GRACE)
        entry = SimpleNamespace(
            readiness=readiness,
            clock=lambda: NOW,
            watch=SimpleNamespace(previous_tick=BEFORE),
            ingress=SimpleNamespace(leave=readiness.leave, tell_leaving=ends_in),
            log=Lines(),
            started=[],
            told=[],
            configuration=SimpleNamespace(
                freshness=SimpleNamespace(expire=lambda: None)
            ),
            directory=SimpleNamespace(freshness=SimpleNamespace(expire=lambda: None)),
            holder=SimpleNamespace(lease=None),
            budget=SimpleNamespace(drop_loans=lambda: None),
            routing_state=RoutingState(),
        )
        entry._leave = lambda: "departure"
        entry._start = entry.started.append
        entry._notify_peers = lambda: entry.told.append(entry.readiness.leaving)
        return entry

    return make


def test_the_grace_time_counts_from_before_a_loop_that_was_held_up(make_application):
    entry = make_application()
    Application._on_term(entry)
    assert entry.readiness.leaving_since == BEFORE


def test_other_entries_are_told_of_the_request_to_end_at_once(make_application):
    entry = make_application()
    Application._on_term(entry)
    assert entry.told == [True]


def test_a_defect_in_the_expected_end_does_not_keep_the_entry_from_ending(
    make_application,
):
    def defect():
        raise RuntimeError("a defect")

    entry = make_application(defect)
    with pytest.raises(RuntimeError):
        Application._on_term(entry)
    Application._on_term(entry)
    assert entry.started == ["departure"]


@pytest.mark.parametrize(("leaves", "counted"), [(True, 2.0), (False, 0.0)])
def test_time_for_which_the_machine_was_suspended_is_gone(
    make_application, leaves, counted
):
    entry = make_application()
    if leaves:
        Application._on_term(entry)
    last = entry.readiness.last
    Application._on_resume(entry, 2.0)
    assert entry.readiness.last == pytest.approx(last - counted)


@pytest.mark.parametrize("leaves", [True, False])
@pytest.mark.parametrize("kind", [ErrorKind.OVERLOADED, ErrorKind.RETRIES_EXHAUSTED])
def test_no_caller_is_sent_back_to_entries_that_are_all_ending(kind, leaves):
    async def lacks(job, shape):
        return Refusal(kind, "no path has memory", retry_after=0.5)

    async def test():
        entry = entry_with(lacks, Lines())
        entry.ready_in = lambda: BACK
        entry.readiness = Readiness(RoutingState(), GRACE)
        if leaves:
            entry.readiness.leave(entry.clock())
        async with serving_connections(entry.serve) as (address, _):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(REQUEST % 0)
            head, _ = await read_answer(reader)
        told = BACK if leaves else 0.5
        assert head.startswith(b"HTTP/1.1 503")
        assert f"Retry-After: {told}\r\n".encode() in head

    run(test)
