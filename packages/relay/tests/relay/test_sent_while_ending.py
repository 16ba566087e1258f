"""Tests of sends of requests that were taken before the entry was asked to end."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import attrs
import pytest
from tornado.httputil import HTTPHeaders

from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.core.pipelines.shutdown import take_none
from lacewingcourse.relay.admission import RETRY_PERIOD
from lacewingcourse.relay.connections import NotSent, Unsent
from lacewingcourse.relay.gateway import LEAVING
from lacewingcourse.relay.readiness import Readiness
from lacewingcourse.relay.routing_state import RoutingState
from lacewingcourse.relay.sending import Sender, WholeAnswer

from .stream_play import Engine, StreamPlay, path_of, whole_answer
from .test_calls import REJECTED, CallPlay
from .test_last_requests import Caller
from .test_leaving import BACK, Lines, entry_with
from .virtual_time import run_virtual

#: Seconds in which an entry must have ended.
GRACE = 8.0
#: When an entry is asked to end, seconds.
ASKED = 0.1
#: When an answer comes to what was sent before, seconds.
AFTER = 0.2


def takes_until_asked(job, asked=ASKED):
    """Return a request that an entry which is asked to end takes no more."""
    readiness = Readiness(RoutingState(), GRACE, take_none)
    asyncio.get_running_loop().call_at(asked, readiness.leave, asked)
    job.takes = lambda now: readiness.takes(job.route.name, now, job.until)
    return job


@attrs.define(slots=False)
class EndingStream(StreamPlay):
    """A stream whose entry is asked to end.

    Attributes:
        is_full: Whether the first path has no room.
        connecting: Seconds that a connection takes after the first one.
        asked: When its entry is asked to end, seconds.
    """

    is_full: bool = False
    connecting: float = 0.0
    asked: float = ASKED

    def _job(self):
        return takes_until_asked(super()._job(), self.asked)

    def _find(self, job, shape, demand, besides=()):
        if self.is_full and self.clock() < self.room_from:
            return Refusal(ErrorKind.OVERLOADED, "no path has memory")
        return super()._find(job, shape, demand, besides)

    async def reserve(self, address, fresh):
        if self.runs:
            await asyncio.sleep(self.connecting)
        return await super().reserve(address, fresh)


@attrs.define(slots=False)
class EndingCall(CallPlay):
    """A call whose entry is asked to end.

    Attributes:
        objective: Seconds in which an answer is wanted.
    """

    objective: float = 0.2

    def _job(self):
        job = takes_until_asked(super()._job())
        job.route = attrs.evolve(job.route, objective=self.objective)
        return job


def test_a_request_waits_for_room_no_longer_than_an_ending_entry_takes_it(shape):
    played = EndingStream(shape, {}, is_full=True, room_from=AFTER)
    ended = run_virtual(played.serve())
    assert played.firsts == []
    assert (ended.kind, ended.outcome) == (ErrorKind.DRAINING, Outcome.NOT_RUN)
    assert played.ended_at <= ASKED + 2 * RETRY_PERIOD


def test_a_rejected_request_is_not_sent_again_by_an_ending_entry(shape):
    engines = {"a": Engine(status=REJECTED, accepts_after=AFTER)}
    played = EndingStream(shape, engines)
    ended = run_virtual(played.serve())
    assert played.firsts == ["a"]
    assert (ended.kind, ended.outcome) == (ErrorKind.DRAINING, Outcome.NOT_RUN)


def test_a_request_that_may_have_run_is_not_told_as_not_run(shape):
    lost = Engine(accepts_after=AFTER, pause_after=0, breaks=True)
    played = EndingStream(shape, {"a": lost})
    ended = run_virtual(played.serve())
    assert played.firsts == ["a"]
    assert ended.outcome is Outcome.UNKNOWN


def test_an_answer_that_was_begun_goes_on_elsewhere(shape):
    played = EndingStream(shape, {"a": Engine(pause_after=5, breaks=True)})
    assert run_virtual(played.serve()) is None
    assert played.firsts == ["a", "c"]
    assert played.caller.body == whole_answer()


@pytest.mark.parametrize(("asked", "connecting"), [(ASKED, 0.0), (0.3, 0.2)])
def test_a_silent_run_is_not_closed_for_one_that_may_not_be_sent(
    shape, asked, connecting
):
    engines = {"a": Engine(accepts_after=1.0)}
    played = EndingStream(shape, engines, connecting=connecting, asked=asked)
    run_virtual(played.serve((AFTER, played.dies("b"))))
    assert played.firsts == ["a"]
    assert played.caller.body == whole_answer()


def test_a_connection_that_was_made_too_late_carries_no_request(shape):
    made = SimpleNamespace(closed=False)

    def close() -> None:
        made.closed = True

    async def connect(address):
        await asyncio.sleep(AFTER)
        return SimpleNamespace(close=close)

    async def test():
        played = EndingStream(shape, {})
        job = played._job()
        pool = SimpleNamespace(connect=connect)
        sender = Sender(pool, None, played.clock, played.budget)
        path = path_of("a", "b")
        sending = job.sending("a", "a:1", path, played.clock(), "")
        return await sender.send(job, sending, fresh=True)

    assert run_virtual(test()) == NotSent(Unsent.LEAVING)
    assert made.closed


@attrs.define(slots=False)
class LateStream(EndingStream):
    """A stream whose connections are made after the entry was asked to end."""

    async def send(self, job, sending, fresh, reserved=None):
        await asyncio.sleep(AFTER)
        return NotSent(Unsent.LEAVING)


@attrs.define(slots=False)
class LateCall(EndingCall):
    """A call whose connections are made after the entry was asked to end."""

    async def send(self, job, sending, fresh):
        await asyncio.sleep(AFTER)
        return NotSent(Unsent.LEAVING)


def test_a_stream_that_was_not_sent_takes_no_endpoint_from_others(shape):
    played = LateStream(shape, {})
    ended = run_virtual(played.serve())
    assert (ended.kind, ended.outcome) == (ErrorKind.DRAINING, Outcome.NOT_RUN)
    assert played.routing_state.suspects.excluded(0.0) == set()


def test_a_call_that_was_not_sent_takes_no_endpoint_from_others():
    played = LateCall()
    ended = run_virtual(played.serve())
    assert (ended.kind, ended.outcome) == (ErrorKind.DRAINING, Outcome.NOT_RUN)
    assert played.routing_state.suspects.excluded(0.0) == set()


def test_a_rejected_call_is_not_sent_again_by_an_ending_entry():
    played = EndingCall(status=REJECTED)
    ended = run_virtual(played.serve())
    assert len(played.sends) == 1
    assert (ended.kind, ended.outcome) == (ErrorKind.DRAINING, Outcome.NOT_RUN)


def test_a_call_waits_for_an_endpoint_no_longer_than_an_ending_entry_takes_it():
    played = EndingCall(endpoints=0, objective=2.0)

    async def test():
        ended = await played.serve()
        return ended, played.clock()

    ended, ended_at = run_virtual(test())
    assert ended.kind is ErrorKind.DRAINING
    assert ended_at <= ASKED + 2 * RETRY_PERIOD


def test_a_slow_call_is_not_closed_for_one_that_may_not_be_sent():
    played = EndingCall()
    assert isinstance(run_virtual(played.serve()), WholeAnswer)
    assert len(played.sends) == 1


def test_a_request_that_is_refused_late_comes_back_to_another_entry():
    async def refuses(job, shape):
        return Refusal(ErrorKind.DRAINING, LEAVING, retry_after=9.0)

    async def test():
        caller = Caller(1)
        caller.headers = HTTPHeaders()
        await entry_with(refuses, Lines()).serve(caller)
        return caller

    caller = run_virtual(test())
    assert caller.status == 503
    assert float(caller.headers["Retry-After"]) == BACK
