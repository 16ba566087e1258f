"""Tests that nothing is given up before its replacement is certain.

Guards against responses that break off, and healthy attempts that are closed, because
an attempt was closed, a retry charged or an endpoint declared dead too early.
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
from lacewingcourse.testing.virtual_time import run_virtual

from .stream_scenario import (
    NO_RETRIES,
    UNLIMITED_RETRIES,
    Engine,
    EngineRun,
    StreamScenario,
    whole_answer,
)

SHORT_PAUSE = Engine(pause_after=5, pause=0.4)
IN_PAUSE = 0.4
#: Slack of a budget that allows exactly one retry (0.7 * 2 >= 1).
ONE_RETRY = 2.0


@attrs.define(slots=False)
class UnreachableStream(StreamScenario):
    """A stream whose connections to some first parts fail after 0.35 s each.

    Attributes:
        unreachable: Names of these first parts.
    """

    unreachable: tuple[str, ...] = ()

    async def reserve(self, address, fresh):
        if address.partition(":")[0] in self.unreachable:
            await asyncio.sleep(0.35)
            return NotSent(Unsent.UNREACHABLE)
        return await super().reserve(address, fresh)


def test_an_attempt_stays_open_if_the_next_path_is_unreachable(shape):
    scenario = UnreachableStream(
        shape, {"a": SHORT_PAUSE}, slack=ONE_RETRY, unreachable=("c",)
    )
    run_virtual(scenario.serve((IN_PAUSE, scenario.declare_dead("b"))))
    assert scenario.caller.body == whole_answer()


def test_an_attempt_stays_open_if_the_standby_is_rejected(shape):
    """The next path has no room, which is known only from its engine's response."""
    engines = {"a": SHORT_PAUSE, "c": Engine(status=503)}
    scenario = StreamScenario(shape, engines, slack=ONE_RETRY)
    run_virtual(scenario.serve((IN_PAUSE, scenario.declare_dead("b"))))
    assert scenario.caller.body == whole_answer()


SLOW_START = Engine(accepts_after=0.3)


def test_an_attempt_is_closed_once_the_standby_was_accepted(shape):
    engines = {"a": Engine(stops_after=5), "c": SLOW_START}
    scenario = StreamScenario(shape, engines)
    first = []

    def look(watcher) -> None:
        first.extend(run.abandoned for _, _, run in scenario.runs)

    run_virtual(
        scenario.serve((IN_PAUSE, scenario.declare_dead("b")), (IN_PAUSE + 0.2, look))
    )
    assert first == [False, False]
    assert [run.abandoned for _, _, run in scenario.runs] == [True, False]
    assert scenario.caller.body == whole_answer()


def test_an_attempt_that_resumes_before_the_standby_was_accepted_is_kept(shape):
    engines = {"a": SHORT_PAUSE, "c": SLOW_START}
    scenario = StreamScenario(shape, engines)
    run_virtual(scenario.serve((IN_PAUSE, scenario.declare_dead("b"))))
    assert [run.abandoned for _, _, run in scenario.runs] == [False, True]
    assert scenario.caller.body == whole_answer()


def test_the_standby_continues_if_the_stalled_attempt_ends(shape):
    engines = {"a": Engine(pause_after=5, pause=0.3, breaks=True), "c": SLOW_START}
    scenario = StreamScenario(shape, engines)
    run_virtual(scenario.serve((IN_PAUSE, scenario.declare_dead("b"))))
    assert scenario.firsts == ["a", "c"]
    assert scenario.caller.body == whole_answer()


def test_a_stale_connection_of_the_standby_costs_no_attempt(shape):
    engines = {"a": Engine(stops_after=5), "c": Engine(drops=True)}
    scenario = StreamScenario(shape, engines)
    run_virtual(scenario.serve((IN_PAUSE, scenario.declare_dead("b"))))
    assert scenario.caller.body == whole_answer()
    assert scenario.job.sends == 2


def test_a_caller_that_leaves_closes_attempt_and_standby(shape):
    scenario = StreamScenario(shape, {"a": Engine(stops_after=5), "c": SLOW_START})

    def leave(watcher) -> None:
        scenario.caller.disconnected = True
        scenario.job.on_caller_disconnect()

    run_virtual(
        scenario.serve((IN_PAUSE, scenario.declare_dead("b")), (IN_PAUSE + 0.1, leave))
    )
    assert [run.abandoned for _, _, run in scenario.runs] == [True, True]


@pytest.mark.parametrize("engine", [SLOW_START, Engine(status=503), Engine(drops=True)])
def test_attempt_and_standby_leave_no_load(shape, engine):
    scenario = StreamScenario(shape, {"a": SHORT_PAUSE, "c": engine})
    run_virtual(scenario.serve((IN_PAUSE, scenario.declare_dead("b"))))
    assert scenario.routing_state.loads.own == {}


@attrs.define(slots=False)
class SingleRunStream(StreamScenario):
    """A stream of which the endpoints have memory for one attempt only."""

    def _find(self, job, shape, demand, besides=()):
        found = super()._find(job, shape, demand, besides)
        if self.routing_state.loads.own:
            return Refusal(ErrorKind.OVERLOADED, "no path has memory")
        return found


def test_an_attempt_is_closed_first_if_the_parts_lack_room_for_both(shape):
    scenario = SingleRunStream(shape, {"a": Engine(stops_after=5), "c": SLOW_START})
    run_virtual(scenario.serve((IN_PAUSE, scenario.declare_dead("b"))))
    (_, _, first), (sent_at, _, _) = scenario.runs
    assert first.abandoned
    assert sent_at < IN_PAUSE + 0.1
    assert scenario.caller.body == whole_answer()


def test_a_request_that_was_not_sent_uses_no_retry(shape):
    scenario = UnreachableStream(
        shape,
        {"a": Engine(pause_after=5, breaks=True)},
        slack=UNLIMITED_RETRIES,
        unreachable=("c",),
    )
    run_virtual(scenario.serve())
    assert len(scenario.budget.retries.get("rooms", ())) == 0


def test_waiting_for_a_descriptor_uses_no_further_retries(shape):
    engine = Engine(pause_after=5, breaks=True)
    scenario = StreamScenario(shape, {"a": engine}, descriptor_outage=(0.1, 1.0))
    run_virtual(scenario.serve())
    assert len(scenario.budget.retries["rooms"]) == 1


def test_waiting_for_a_descriptor_ends_at_the_route_timeout(shape):
    engine = Engine(pause_after=5, breaks=True)
    scenario = StreamScenario(shape, {"a": engine}, descriptor_outage=(0.1, 60.0))
    run_virtual(scenario.serve())
    assert scenario.ended_at <= 20.1


def test_waiting_for_a_descriptor_ends_when_the_caller_has_left(shape):
    engine = Engine(pause_after=5, breaks=True)
    scenario = StreamScenario(shape, {"a": engine}, descriptor_outage=(0.1, 10.0))

    def leave(watcher) -> None:
        scenario.caller.disconnected = True

    run_virtual(scenario.serve((1.0, leave)))
    assert scenario.ended_at <= 1.5


@attrs.define(slots=False)
class OwnErrorStream(StreamScenario):
    """A stream whose engines' error responses are their own, not rejections."""

    def _head(self, status, headers, request) -> AnswerHead:
        return AnswerHead(status, headers, AnswerKind.ANSWERED)


@pytest.mark.parametrize("status", [422, 500])
def test_an_engines_error_is_passed_on_if_no_retry_is_left(shape, status):
    scenario = OwnErrorStream(shape, {"a": Engine(status=status)}, slack=NO_RETRIES)
    run_virtual(scenario.serve())
    assert scenario.caller.status == status


class LateClosedRun(EngineRun):
    """An attempt over a pooled connection that closes late, before a response head."""

    def __init__(self, after: int, delay: float) -> None:
        self.delay = delay
        super().__init__(Engine(), after, False)
        self.was_dropped = True

    async def _write(self, engine, after) -> None:
        await asyncio.sleep(self.delay)
        self.arrivals.put_nowait(End(False, "closed"))


@attrs.define(slots=False)
class LateClosedStream(StreamScenario):
    """The first attempt stalls behind b and ends after a while without a head."""

    async def send(self, request, sending, fresh, reserved=None):
        name = sending.path.first.endpoint
        if name == "a" and not fresh:
            run = LateClosedRun(0, 1.0)
            run.send = request.begin_send(name)
            request.sent_at = self.clock()
            self.runs.append((self.clock(), name, run))
            return run
        return await super().send(request, sending, fresh, reserved)


def test_a_stalled_stream_is_not_sent_again_over_a_dead_part(shape):
    scenario = LateClosedStream(shape, {"a": Engine()}, room_available_at=1.2)
    run_virtual(scenario.serve((0.2, scenario.declare_dead("b"))))
    assert scenario.firsts.count("a") == 1


def test_a_connection_closed_long_after_the_send_counts_as_a_crash(shape):
    """The engine crashed while the request waited in it for its first token."""
    scenario = LateClosedStream(shape, {"a": Engine()})
    run_virtual(scenario.serve())
    assert scenario.firsts == ["a", "c"]
    assert scenario.routing_state.crashes.losses(scenario.ended_at)


def test_an_active_stream_stays_on_a_part_that_is_reported_dead(shape):
    """Its events refute the report; each such move cost an attempt and a retry."""
    scenario = StreamScenario(shape, {"a": Engine()})
    run_virtual(scenario.serve((IN_PAUSE, scenario.declare_dead("b"))))
    assert scenario.firsts == ["a"]


def test_an_active_stream_is_not_broken_off_by_a_move(shape):
    engines = {"a": Engine(), "c": Engine(status=503)}
    scenario = StreamScenario(shape, engines, slack=ONE_RETRY)
    run_virtual(scenario.serve((IN_PAUSE, scenario.declare_dead("b"))))
    assert scenario.caller.body == whole_answer()


@attrs.define(slots=False)
class SlowConnectStream(StreamScenario):
    """A stream whose connections take a while to be made."""

    async def reserve(self, address, fresh):
        await asyncio.sleep(0.2)
        return await super().reserve(address, fresh)


def test_an_engine_that_ends_an_attempt_during_a_move_counts_no_crash(shape):
    """It ended a stream that stalled behind a dead part while a connection was made."""
    engine = Engine(pause_after=5, pause=0.2, breaks=True)
    scenario = SlowConnectStream(shape, {"a": engine})
    run_virtual(scenario.serve((0.55, scenario.declare_dead("b"))))
    assert scenario.caller.body == whole_answer()
    assert scenario.routing_state.crashes.losses(scenario.ended_at) == {}
