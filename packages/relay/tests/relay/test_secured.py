"""Tests of what is given up only once what replaces it is secured.

Answers were cut off, or runs that were well closed, because something was released,
charged or believed before the step that it was for had been taken.
"""

from __future__ import annotations

import asyncio

import attrs
import pytest

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.relay.connections import (
    NotSent,
    Unsent,
)
from lacewingcourse.relay.ports import AnswerHead, AnswerKind
from lacewingcourse.relay.upstream import End

from .stream_play import NONE, PLENTY, Engine, Run, StreamPlay, whole_answer
from .virtual_time import run_virtual

SHORT_PAUSE = Engine(pause_after=5, pause=0.4)
IN_PAUSE = 0.4
#: A budget without a share of requests that allows exactly one retry (0.7 * 2 >= 1).
ONE = 2.0


@attrs.define(slots=False)
class Unreachable(StreamPlay):
    """Connections to some first parts cannot be made; each try takes 0.35 s."""

    gone: tuple[str, ...] = ()

    async def reserve(self, address, fresh):
        if address.partition(":")[0] in self.gone:
            await asyncio.sleep(0.35)
            return NotSent(Unsent.UNREACHABLE)
        return await super().reserve(address, fresh)


def test_a_run_is_not_closed_for_a_first_part_that_cannot_be_reached(shape):
    played = Unreachable(shape, {"a": SHORT_PAUSE}, slack=ONE, gone=("c",))
    run_virtual(played.serve((IN_PAUSE, played.dies("b"))))
    assert played.caller.body == whole_answer()


def test_a_run_is_not_closed_for_an_engine_that_then_rejects(shape):
    """The engine of the next path has no room, which only its answer tells."""
    engines = {"a": SHORT_PAUSE, "c": Engine(status=503)}
    played = StreamPlay(shape, engines, slack=ONE)
    run_virtual(played.serve((IN_PAUSE, played.dies("b"))))
    assert played.caller.body == whole_answer()


SLOW = Engine(accepts_after=0.3)


def test_a_run_is_closed_once_the_next_one_was_accepted(shape):
    engines = {"a": Engine(stops_after=5), "c": SLOW}
    played = StreamPlay(shape, engines)
    first = []

    def look(watcher) -> None:
        first.extend(run.abandoned for _, _, run in played.runs)

    run_virtual(played.serve((IN_PAUSE, played.dies("b")), (IN_PAUSE + 0.2, look)))
    assert first == [False, False]
    assert [run.abandoned for _, _, run in played.runs] == [True, False]
    assert played.caller.body == whole_answer()


def test_a_run_that_goes_on_before_the_next_one_was_accepted_is_kept(shape):
    engines = {"a": SHORT_PAUSE, "c": SLOW}
    played = StreamPlay(shape, engines)
    run_virtual(played.serve((IN_PAUSE, played.dies("b"))))
    assert [run.abandoned for _, _, run in played.runs] == [False, True]
    assert played.caller.body == whole_answer()


def test_an_engine_that_ends_its_run_leaves_the_one_begun_beside_it(shape):
    engines = {"a": Engine(pause_after=5, pause=0.3, breaks=True), "c": SLOW}
    played = StreamPlay(shape, engines)
    run_virtual(played.serve((IN_PAUSE, played.dies("b"))))
    assert played.firsts == ["a", "c"]
    assert played.caller.body == whole_answer()


def test_an_engine_that_drops_the_next_run_costs_no_attempt(shape):
    engines = {"a": Engine(stops_after=5), "c": Engine(drops=True)}
    played = StreamPlay(shape, engines)
    run_virtual(played.serve((IN_PAUSE, played.dies("b"))))
    assert played.caller.body == whole_answer()
    assert played.job.sends == 2


def test_a_caller_that_leaves_ends_both_runs(shape):
    played = StreamPlay(shape, {"a": Engine(stops_after=5), "c": SLOW})

    def leave(watcher) -> None:
        played.caller.gone = True
        played.job.caller_gone()

    run_virtual(played.serve((IN_PAUSE, played.dies("b")), (IN_PAUSE + 0.1, leave)))
    assert [run.abandoned for _, _, run in played.runs] == [True, True]


@pytest.mark.parametrize("engine", [SLOW, Engine(status=503), Engine(drops=True)])
def test_what_runs_beside_one_another_leaves_no_load(shape, engine):
    played = StreamPlay(shape, {"a": SHORT_PAUSE, "c": engine})
    run_virtual(played.serve((IN_PAUSE, played.dies("b"))))
    assert played.routing_state.loads.own == {}


@attrs.define(slots=False)
class Narrow(StreamPlay):
    """Endpoints whose memory holds one run of the stream."""

    def _find(self, job, shape, demand, besides=()):
        found = super()._find(job, shape, demand, besides)
        if self.routing_state.loads.own:
            return Refusal(ErrorKind.OVERLOADED, "no path has memory")
        return found


def test_a_run_gives_way_to_one_that_has_no_room_beside_it(shape):
    played = Narrow(shape, {"a": Engine(stops_after=5), "c": SLOW})
    run_virtual(played.serve((IN_PAUSE, played.dies("b"))))
    (_, _, first), (begun_at, _, _) = played.runs
    assert first.abandoned
    assert begun_at < IN_PAUSE + 0.1
    assert played.caller.body == whole_answer()


def test_a_send_that_never_left_takes_no_retry(shape):
    played = Unreachable(
        shape, {"a": Engine(pause_after=5, breaks=True)}, slack=PLENTY, gone=("c",)
    )
    run_virtual(played.serve())
    assert len(played.budget.retries.get("rooms", ())) == 0


def test_waiting_for_a_descriptor_takes_no_repeats(shape):
    engine = Engine(pause_after=5, breaks=True)
    played = StreamPlay(shape, {"a": engine}, lacks_descriptors=(0.1, 1.0))
    run_virtual(played.serve())
    assert len(played.budget.retries["rooms"]) == 1


def test_waiting_for_a_descriptor_ends_with_the_time_of_the_route(shape):
    engine = Engine(pause_after=5, breaks=True)
    played = StreamPlay(shape, {"a": engine}, lacks_descriptors=(0.1, 60.0))
    run_virtual(played.serve())
    assert played.ended_at <= 20.1


def test_waiting_for_a_descriptor_ends_when_the_caller_has_left(shape):
    engine = Engine(pause_after=5, breaks=True)
    played = StreamPlay(shape, {"a": engine}, lacks_descriptors=(0.1, 10.0))

    def leave(watcher) -> None:
        played.caller.gone = True

    run_virtual(played.serve((1.0, leave)))
    assert played.ended_at <= 1.5


@attrs.define(slots=False)
class Failing(StreamPlay):
    """Engines whose answers without success are their own, signed ones."""

    def _head(self, status, headers, request) -> AnswerHead:
        return AnswerHead(status, headers, AnswerKind.ANSWERED)


@pytest.mark.parametrize("status", [422, 500])
def test_an_engines_own_answer_is_kept_until_another_may_be_asked(shape, status):
    played = Failing(shape, {"a": Engine(status=status)}, slack=NONE)
    run_virtual(played.serve())
    assert played.caller.status == status


class HeldRun(Run):
    """A run over a kept connection that the engine ends late, before its head."""

    def __init__(self, after: int, held: float) -> None:
        self.held = held
        super().__init__(Engine(), after, False)
        self.was_dropped = True

    async def _write(self, engine, after) -> None:
        await asyncio.sleep(self.held)
        self.arrivals.put_nowait(End(False, "closed"))


@attrs.define(slots=False)
class Held(StreamPlay):
    """The first run stands still behind b and is ended without a head after a while."""

    async def send(self, request, sending, fresh, reserved=None):
        name = sending.path.first.endpoint
        if name == "a" and not fresh:
            run = HeldRun(0, 1.0)
            self.runs.append((self.clock(), name, run))
            return run
        return await super().send(request, sending, fresh, reserved)


def test_a_run_that_stood_still_is_not_sent_again_on_the_path_of_a_dead_part(shape):
    played = Held(shape, {"a": Engine()}, room_from=1.2)
    run_virtual(played.serve((0.2, played.dies("b"))))
    assert played.firsts.count("a") == 1


def test_a_run_ended_long_after_it_was_sent_was_no_dropped_connection(shape):
    """A crash under the request while it waited in the engine for its first token."""
    played = Held(shape, {"a": Engine()})
    run_virtual(played.serve())
    assert played.firsts == ["a", "c"]
    assert played.routing_state.crashes.losses(played.ended_at)


def test_a_run_whose_events_flow_is_not_closed_for_a_part_that_is_said_to_be_dead(
    shape,
):
    """Its events refute it; each such move took an attempt and a retry."""
    played = StreamPlay(shape, {"a": Engine()})
    run_virtual(played.serve((IN_PAUSE, played.dies("b"))))
    assert played.firsts == ["a"]


def test_an_answer_whose_events_flow_is_not_lost_to_a_move(shape):
    engines = {"a": Engine(), "c": Engine(status=503)}
    played = StreamPlay(shape, engines, slack=ONE)
    run_virtual(played.serve((IN_PAUSE, played.dies("b"))))
    assert played.caller.body == whole_answer()


@attrs.define(slots=False)
class SlowToReach(StreamPlay):
    """Connections take a while to be made."""

    async def reserve(self, address, fresh):
        await asyncio.sleep(0.2)
        return await super().reserve(address, fresh)


def test_an_engine_that_ends_a_run_while_it_is_moved_is_not_taken_for_crashed(shape):
    """It ended what stood still behind a dead part, while a connection was made."""
    engine = Engine(pause_after=5, pause=0.2, breaks=True)
    played = SlowToReach(shape, {"a": engine})
    run_virtual(played.serve((0.55, played.dies("b"))))
    assert played.caller.body == whole_answer()
    assert played.routing_state.crashes.losses(played.ended_at) == {}
