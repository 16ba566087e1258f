"""Tests of sends of requests that were accepted before the drain started."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import attrs
import pytest
from tornado.httputil import HTTPHeaders

from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.core.pipelines.shutdown import admit_none
from lacewingcourse.relay.admission import RETRY_PERIOD
from lacewingcourse.relay.connections import NotSent, Unsent
from lacewingcourse.relay.gateway import DRAINING_REASON
from lacewingcourse.relay.readiness import Readiness
from lacewingcourse.relay.routing_state import RoutingState
from lacewingcourse.relay.sending import Sender, WholeAnswer
from lacewingcourse.testing.virtual_time import run_virtual

from .stream_scenario import Engine, StreamScenario, path_of, whole_answer
from .test_calls import REJECTED, CallPlay
from .test_drain import OTHER_ENTRY_READY_IN, LogRecorder, entry_with
from .test_requests_while_draining import Caller

#: Seconds from the shutdown request within which an entry must have ended.
GRACE = 8.0
#: When an entry is asked to shut down, seconds.
DRAIN_STARTS_AT = 0.1
#: A time after that, in seconds, at which earlier sends are answered.
AFTER_DRAIN_START = 0.2


def accept_until_drain(job, drain_starts_at=DRAIN_STARTS_AT):
    """Return a request that the entry no longer accepts once it drains."""
    readiness = Readiness(RoutingState(), GRACE, admit_none)
    asyncio.get_running_loop().call_at(
        drain_starts_at, readiness.start_drain, drain_starts_at
    )
    job.accepts = lambda now: readiness.accepts(job.route.name, now, job.deadline)
    return job


@attrs.define(slots=False)
class DrainingStream(StreamScenario):
    """A stream whose entry is asked to shut down.

    Attributes:
        is_full: Whether the first path has no room.
        connect_seconds: Seconds that a connection takes after the first one.
        drain_starts_at: When its entry is asked to shut down, seconds.
    """

    is_full: bool = False
    connect_seconds: float = 0.0
    drain_starts_at: float = DRAIN_STARTS_AT

    def _job(self):
        return accept_until_drain(super()._job(), self.drain_starts_at)

    def _find(self, job, shape, demand, besides=()):
        if self.is_full and self.clock() < self.room_available_at:
            return Refusal(ErrorKind.OVERLOADED, "no path has memory")
        return super()._find(job, shape, demand, besides)

    async def reserve(self, address, fresh):
        if self.runs:
            await asyncio.sleep(self.connect_seconds)
        return await super().reserve(address, fresh)


@attrs.define(slots=False)
class DrainingCall(CallPlay):
    """A call whose entry is asked to shut down.

    Attributes:
        objective: Seconds in which an answer is wanted.
    """

    objective: float = 0.2

    def _job(self):
        job = accept_until_drain(super()._job())
        job.route = attrs.evolve(job.route, objective=self.objective)
        return job


def test_stream_stops_waiting_for_a_path_when_the_entry_drains(shape):
    played = DrainingStream(
        shape, {}, is_full=True, room_available_at=AFTER_DRAIN_START
    )
    ended = run_virtual(played.serve())
    assert played.firsts == []
    assert (ended.kind, ended.outcome) == (ErrorKind.DRAINING, Outcome.NOT_RUN)
    assert played.ended_at <= DRAIN_STARTS_AT + 2 * RETRY_PERIOD


def test_rejected_stream_is_not_sent_again_by_a_draining_entry(shape):
    engines = {"a": Engine(status=REJECTED, accepts_after=AFTER_DRAIN_START)}
    played = DrainingStream(shape, engines)
    ended = run_virtual(played.serve())
    assert played.firsts == ["a"]
    assert (ended.kind, ended.outcome) == (ErrorKind.DRAINING, Outcome.NOT_RUN)


def test_stream_that_may_have_run_is_reported_as_unknown(shape):
    lost = Engine(accepts_after=AFTER_DRAIN_START, pause_after=0, breaks=True)
    played = DrainingStream(shape, {"a": lost})
    ended = run_virtual(played.serve())
    assert played.firsts == ["a"]
    assert ended.outcome is Outcome.UNKNOWN


def test_started_answer_is_resumed_on_another_path(shape):
    played = DrainingStream(shape, {"a": Engine(pause_after=5, breaks=True)})
    assert run_virtual(played.serve()) is None
    assert played.firsts == ["a", "c"]
    assert played.caller.body == whole_answer()


@pytest.mark.parametrize(
    ("drain_starts_at", "connect_seconds"), [(DRAIN_STARTS_AT, 0.0), (0.3, 0.2)]
)
def test_silent_run_is_not_closed_for_a_run_that_may_not_be_sent(
    shape, drain_starts_at, connect_seconds
):
    engines = {"a": Engine(accepts_after=1.0)}
    played = DrainingStream(
        shape, engines, connect_seconds=connect_seconds, drain_starts_at=drain_starts_at
    )
    run_virtual(played.serve((AFTER_DRAIN_START, played.declare_dead("b"))))
    assert played.firsts == ["a"]
    assert played.caller.body == whole_answer()


def test_connection_established_after_the_drain_started_is_closed(shape):
    made = SimpleNamespace(closed=False)

    def close() -> None:
        made.closed = True

    async def connect(address):
        await asyncio.sleep(AFTER_DRAIN_START)
        return SimpleNamespace(close=close)

    async def test():
        played = DrainingStream(shape, {})
        job = played._job()
        pool = SimpleNamespace(connect=connect)
        sender = Sender(pool, None, played.clock, played.budget)
        path = path_of("a", "b")
        sending = job.sending("a", "a:1", path, played.clock(), "")
        return await sender.send(job, sending, fresh=True)

    assert run_virtual(test()) == NotSent(Unsent.LEAVING)
    assert made.closed


@attrs.define(slots=False)
class LateStream(DrainingStream):
    """A stream whose connections are established after the drain started."""

    async def send(self, job, sending, fresh, reserved=None):
        await asyncio.sleep(AFTER_DRAIN_START)
        return NotSent(Unsent.LEAVING)


@attrs.define(slots=False)
class LateCall(DrainingCall):
    """A call whose connections are established after the drain started."""

    async def send(self, job, sending, fresh):
        await asyncio.sleep(AFTER_DRAIN_START)
        return NotSent(Unsent.LEAVING)


def test_stream_refused_while_draining_does_not_suspect_the_endpoint(shape):
    played = LateStream(shape, {})
    ended = run_virtual(played.serve())
    assert (ended.kind, ended.outcome) == (ErrorKind.DRAINING, Outcome.NOT_RUN)
    assert played.routing_state.suspects.excluded(0.0) == set()


def test_call_refused_while_draining_does_not_suspect_the_endpoint():
    played = LateCall()
    ended = run_virtual(played.serve())
    assert (ended.kind, ended.outcome) == (ErrorKind.DRAINING, Outcome.NOT_RUN)
    assert played.routing_state.suspects.excluded(0.0) == set()


def test_rejected_call_is_not_sent_again_by_a_draining_entry():
    played = DrainingCall(status=REJECTED)
    ended = run_virtual(played.serve())
    assert len(played.sends) == 1
    assert (ended.kind, ended.outcome) == (ErrorKind.DRAINING, Outcome.NOT_RUN)


def test_call_stops_waiting_for_an_endpoint_when_the_entry_drains():
    played = DrainingCall(endpoints=0, objective=2.0)

    async def test():
        ended = await played.serve()
        return ended, played.clock()

    ended, ended_at = run_virtual(test())
    assert ended.kind is ErrorKind.DRAINING
    assert ended_at <= DRAIN_STARTS_AT + 2 * RETRY_PERIOD


def test_slow_call_is_not_abandoned_for_one_that_may_not_be_sent():
    played = DrainingCall()
    assert isinstance(run_virtual(played.serve()), WholeAnswer)
    assert len(played.sends) == 1


def test_retry_after_of_a_drain_refusal_is_that_of_another_entry():
    async def refuses(job, shape):
        return Refusal(ErrorKind.DRAINING, DRAINING_REASON, retry_after=9.0)

    async def test():
        caller = Caller(1)
        caller.headers = HTTPHeaders()
        await entry_with(refuses, LogRecorder()).serve(caller)
        return caller

    caller = run_virtual(test())
    assert caller.status == 503
    assert float(caller.headers["Retry-After"]) == OTHER_ENTRY_READY_IN
