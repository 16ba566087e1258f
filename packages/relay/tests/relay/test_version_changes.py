"""Tests of requests in progress while another version of the configuration arrives."""

from __future__ import annotations

import asyncio
import time
from random import Random
from types import SimpleNamespace

import attrs
import pytest

from lacewingcourse.core.errors import Refusal
from lacewingcourse.core.pipelines.choice import Demand
from lacewingcourse.core.pipelines.shape import Accelerator
from lacewingcourse.core.pipelines.speed import SpeedEstimator
from lacewingcourse.core.pipelines.suspects import Suspects
from lacewingcourse.relay.path_finder import PathFinder
from lacewingcourse.relay.ports import EngineReport
from lacewingcourse.relay.routing_state import RoutingState
from lacewingcourse.relay.stall_watcher import (
    CHECK_PERIOD,
    SECOND_PROBE_DELAY,
    StallWatcher,
)
from lacewingcourse.relay.streams import AttemptEnd, AttemptResult, StreamForwarder

#: Turns of the event loop between the arrival of an answer and its processing.
READ_TURNS = 3
#: Demand of a request.
DEMAND = Demand(1_000, 200)


class NullObject:
    """Accepts any call and does nothing."""

    def __getattr__(self, name: str):
        return lambda *args, **kwargs: None


@pytest.fixture
def routing_state(small, shape):
    """Four endpoints, two for each of two layers."""
    state = RoutingState()
    install_version(state, rooms=shape)
    for name, layer in zip("abcd", (0, 0, 1, 1), strict=True):
        state.fleet.put(small(name, layer))
    return state


def install_version(routing_state, **shapes):
    """Put a version in force with the shapes of some services."""
    services = {
        name: SimpleNamespace(name=name, shape=shape) for name, shape in shapes.items()
    }
    routing_state.table = SimpleNamespace(services=services)


def other_kinds(shape, *names):
    """Return a shape whose accelerators are of other kinds."""
    kinds = {name: Accelerator(name, 150.0, 1.0, 1.0) for name in names}
    return attrs.evolve(shape, accelerators=kinds)


def make_job(begun=True):
    """Return a request of which events may have been forwarded."""
    return SimpleNamespace(
        service="rooms",
        caller=SimpleNamespace(response_started=begun),
        avoid=set(),
        request=SimpleNamespace(prompt=1_000, answer_hint=None, max_answer_tokens=0),
        allowed_endpoints=None,
        limited=set(),
    )


@pytest.mark.parametrize("kinds", [("small", "large"), ("small",)])
def test_a_stream_finds_a_path_by_the_figures_that_it_began_with(
    routing_state, shape, kinds
):
    """A new version changes step times and accelerators, or drops the service."""
    finder = PathFinder(routing_state, Random(1), lambda: 0.0)
    install_version(
        routing_state, rooms=attrs.evolve(other_kinds(shape, *kinds), step_ms=3.0)
    )
    assert not isinstance(finder.find(make_job(), shape, DEMAND), Refusal)
    install_version(routing_state)
    assert not isinstance(finder.find(make_job(), shape, DEMAND), Refusal)


def test_candidate_paths_are_cached_for_old_and_new_figures(routing_state, shape):
    """Requests of an old and a new version use their cached candidate paths in turn.

    Waiting requests keep the shape of the version that they arrived under. With a cache
    for one shape of a service only, they and new requests evict each other's candidates
    and each look-up searches anew. A search over a fleet of 117 endpoints blocks the
    event loop, and happens more often the more requests wait.
    """
    newer = attrs.evolve(shape, step_ms=2.0)
    install_version(routing_state, rooms=newer)
    old = routing_state.paths("rooms", shape, 0.0)
    new = routing_state.paths("rooms", newer, 0.0)
    assert routing_state.paths("rooms", shape, 0.0) is old
    assert routing_state.paths("rooms", newer, 0.0) is new


@pytest.mark.parametrize("kinds", [("small", "large"), ("large",)])
def test_a_rejection_is_handled_after_a_version_dropped_the_accelerator_kind(
    routing_state, shape, kinds
):
    """An endpoint rejects a stream after a version has dropped its kind of accelerator.

    The memory in use of the endpoint was computed from the version in force. The
    look-up of the missing kind raised an error, and the caller's answer was broken off
    or ended with an internal error.
    """
    path = routing_state.paths("rooms", shape, 0.0)[0]
    install_version(routing_state, rooms=other_kinds(shape, *kinds))
    sender = SimpleNamespace(clock=lambda: 0.0)
    nothing = NullObject()
    forwarder = StreamForwarder(
        routing_state, nothing, sender, nothing, Random(1), nothing, nothing, nothing
    )
    result = AttemptResult(AttemptEnd.REJECTED, "rejected", path.parts[1].address)
    job = make_job()
    forwarder.record_failure(job, path, result)
    assert job.avoid == {path.parts[1].endpoint}


class BlockedLoop:
    """Endpoints that answer at once while the event loop is blocked."""

    def __init__(self, blocks: bool) -> None:
        self.blocks = blocks
        self.now = 0.0

    def clock(self) -> float:
        return self.now

    async def report(self, address: str, timeout: float) -> EngineReport:
        if self.blocks and self.now == 0.0:
            time.sleep(SECOND_PROBE_DELAY + CHECK_PERIOD / 4)
            self.now = SECOND_PROBE_DELAY + CHECK_PERIOD / 2
        for _ in range(READ_TURNS):
            await asyncio.sleep(0)
        return EngineReport()


@pytest.mark.parametrize("blocks", [False, True])
def test_a_stream_is_not_moved_because_the_event_loop_was_blocked(
    routing_state, shape, blocks
):
    """The event loop is blocked for a moment after an endpoint was asked for a report.

    The endpoint has answered, but its answer is processed some turns of the loop after
    the timeout. The streams through it were moved, each at the cost of a retry, and
    broken off where none was left. Decoding a version of a thousand routes or a single
    search for paths blocks the loop for long enough.
    """
    blocked_loop = BlockedLoop(blocks)
    finder = SimpleNamespace(is_idle=lambda job, avoid: True)
    nothing = NullObject()
    watcher = StallWatcher(
        blocked_loop,
        Suspects(),
        SpeedEstimator(),
        finder,
        blocked_loop.clock,
        nothing,
        nothing.on_suspect,
        lambda name, born: False,
    )

    async def run():
        job = make_job()
        job.path = routing_state.paths("rooms", shape, 0.0)[0]
        job.route = SimpleNamespace(max_event_gap=0.2, objective=0.5)
        job.may_move, job.watched = True, None
        job.current_exchange = SimpleNamespace(arrivals=asyncio.Queue())
        watcher.begin(job, -2.0)
        watcher.progress(job, -1.0)
        watcher.probe(job.path.first, 0.0)
        while watcher.probing:
            await asyncio.sleep(0)
        return job

    assert asyncio.run(run()).current_exchange.arrivals.empty()
