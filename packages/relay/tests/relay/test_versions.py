"""Tests of requests under way when another version of the configuration comes."""

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
from lacewingcourse.relay.beliefs import Beliefs
from lacewingcourse.relay.path_finder import PathFinder
from lacewingcourse.relay.ports import EngineReport
from lacewingcourse.relay.stall_watcher import PERIOD, SECOND_QUESTION, StallWatcher
from lacewingcourse.relay.streams import RunResult, StreamEnd, StreamForwarder

#: Turns of the loop between the arrival of an answer and its being read.
TURNS = 3
#: What a request needs.
DEMAND = Demand(1_000, 200)


class Anything:
    """Takes any call and does nothing."""

    def __getattr__(self, name: str):
        return lambda *args, **kwargs: None


@pytest.fixture
def beliefs(small, shape):
    """Four endpoints, two for each of two layers."""
    found = Beliefs()
    come(found, rooms=shape)
    for name, layer in zip("abcd", (0, 0, 1, 1), strict=True):
        found.fleet.put(small(name, layer))
    return found


def come(beliefs, **shapes):
    """Put a version in force with the figures of some services."""
    services = {
        name: SimpleNamespace(name=name, shape=shape) for name, shape in shapes.items()
    }
    beliefs.table = SimpleNamespace(services=services)


def other_kinds(shape, *names):
    """Return figures whose accelerators are of other kinds."""
    kinds = {name: Accelerator(name, 150.0, 1.0, 1.0) for name in names}
    return attrs.evolve(shape, accelerators=kinds)


def job_of(begun=True):
    """Return a request of which events may have been passed on."""
    return SimpleNamespace(
        service="rooms",
        caller=SimpleNamespace(begun=begun),
        avoid=set(),
        request=SimpleNamespace(prompt=1_000, answer_hint=None, most_answer=0),
        only_firsts=None,
        limited=set(),
    )


@pytest.mark.parametrize("kinds", [("small", "large"), ("small",)])
def test_a_stream_finds_a_path_by_the_figures_that_it_began_with(beliefs, shape, kinds):
    """Another version changes steps and kinds, and the service may be gone."""
    finder = PathFinder(beliefs, Random(1), lambda: 0.0)
    come(beliefs, rooms=attrs.evolve(other_kinds(shape, *kinds), step_ms=3.0))
    assert not isinstance(finder.find(job_of(), shape, DEMAND), Refusal)
    come(beliefs)
    assert not isinstance(finder.find(job_of(), shape, DEMAND), Refusal)


def test_paths_are_not_searched_anew_while_old_and_new_requests_look_in_turn(
    beliefs, shape
):
    """A version changes figures while requests wait with those they came with.

    Waiting requests and new ones look for paths in turn, and each look throws the
    other's candidates away and searches anew. A search over a fleet of 117 endpoints
    holds up the loop, and the more requests wait the more often it does. Candidates
    are kept for one set of figures of a service only.
    """
    newer = attrs.evolve(shape, step_ms=2.0)
    come(beliefs, rooms=newer)
    old = beliefs.paths("rooms", shape, 0.0)
    new = beliefs.paths("rooms", newer, 0.0)
    assert beliefs.paths("rooms", shape, 0.0) is old
    assert beliefs.paths("rooms", newer, 0.0) is new


@pytest.mark.parametrize("kinds", [("small", "large"), ("large",)])
def test_a_rejected_stream_survives_a_version_of_other_kinds(beliefs, shape, kinds):
    """A part on a stream's path rejects it after a version has dropped the part's kind.

    The caller's answer is broken off, or it is told of a defect. How full the part is
    is worked out from the version in force, whose kinds the part has none of, and the
    look-up of its kind raises an error.
    """
    path = beliefs.paths("rooms", shape, 0.0)[0]
    come(beliefs, rooms=other_kinds(shape, *kinds))
    sender = SimpleNamespace(clock=lambda: 0.0)
    nothing = Anything()
    forwarder = StreamForwarder(
        beliefs, nothing, sender, nothing, Random(1), nothing, nothing, nothing
    )
    result = RunResult(StreamEnd.REJECTED, "rejected", path.parts[1].address)
    job = job_of()
    forwarder.learn(job, path, result)
    assert job.avoid == {path.parts[1].endpoint}


class HeldUp:
    """Endpoints that answer at once, to a loop that stands still meanwhile."""

    def __init__(self, stands: bool) -> None:
        self.stands = stands
        self.now = 0.0

    def clock(self) -> float:
        return self.now

    async def report(self, address: str, patience: float) -> EngineReport:
        if self.stands and self.now == 0.0:
            time.sleep(SECOND_QUESTION + PERIOD / 4)
            self.now = SECOND_QUESTION + PERIOD / 2
        for _ in range(TURNS):
            await asyncio.sleep(0)
        return EngineReport()


@pytest.mark.parametrize("stands", [False, True])
def test_a_stream_stays_where_it_is_while_the_entry_itself_stands_still(
    beliefs, shape, stands
):
    """The loop stands still for a moment after an endpoint was asked whether it lives.

    The endpoint has answered, but its answer is read some turns of the loop after the
    time for it is over. The streams through it are sent elsewhere, each at the price
    of a retry, and where none is left the answer is broken off. Decoding a version
    of a thousand routes, or searching paths once, takes as long as is needed for it.
    """
    held_up = HeldUp(stands)
    finder = SimpleNamespace(is_idle=lambda job, avoid: True)
    nothing = Anything()
    watcher = StallWatcher(
        held_up,
        Suspects(),
        SpeedEstimator(),
        finder,
        held_up.clock,
        nothing,
        nothing.on_suspect,
        lambda name, born: False,
    )

    async def run():
        job = job_of()
        job.path = beliefs.paths("rooms", shape, 0.0)[0]
        job.route = SimpleNamespace(max_event_gap=0.2, objective=0.5)
        job.may_move, job.watched = True, None
        job.current = SimpleNamespace(arrivals=asyncio.Queue())
        watcher.begin(job, -2.0)
        watcher.progress(job, -1.0)
        watcher.ask(job.path.first, 0.0)
        while watcher.asking:
            await asyncio.sleep(0)
        return job

    assert asyncio.run(run()).current.arrivals.empty()
