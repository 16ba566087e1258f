"""Tests of sends while endpoints are in a delay that they asked for."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.relay.admission import RETRY_PERIOD
from lacewingcourse.relay.limited_choice import IN_BACKOFF
from lacewingcourse.relay.sending import WholeAnswer
from lacewingcourse.testing.virtual_time import run_virtual

from .stream_scenario import Engine, StreamScenario, whole_answer
from .test_calls import FAST_SECONDS, REJECTED, CallPlay
from .test_path_finder import DEMAND, job_of

#: Delay in seconds that endpoints ask for, longer than any request waits.
DELAY = 3.0


@attrs.define(slots=False)
class BackoffStream(StreamScenario):
    """A stream while connections take some time.

    Attributes:
        connect_seconds: Seconds that a connection takes.
        objective: Seconds in which the first event is wanted.
    """

    connect_seconds: float = 0.0
    objective: float = 0.5

    def _job(self):
        job = super()._job()
        job.route = attrs.evolve(job.route, objective=self.objective)
        return job

    async def reserve(self, address, fresh):
        await asyncio.sleep(self.connect_seconds)
        return await super().reserve(address, fresh)

    def ask_delay(self, *names: str):
        """Return a function that makes endpoints ask for a delay."""

        def ask(watcher) -> None:
            for name in names:
                self.backoffs.record(name, DELAY, self.clock())

        return ask

    def _find(self, job, shape, demand, besides=()):
        closed = self.backoffs.active(self.clock())
        return super()._find(job, shape, demand, {*besides, *closed})


def ask_delay(state, *names):
    for name in names:
        state.backoffs.record(name, DELAY, 0.0)


def test_request_avoids_paths_with_an_endpoint_in_its_delay(finder, shape):
    ask_delay(finder.routing_state, "a", "d")
    for _ in range(20):
        assert finder.find(job_of(), shape, DEMAND).endpoints == ("b", "c")


def test_path_around_endpoints_in_their_delay_is_found_beside_the_candidates(
    finder, shape
):
    state = finder.routing_state
    found = state.paths("rooms", shape, 0.0)
    kept = [path for path in found if path.uses({"a"})]
    state.candidates["rooms"][0].selection.paths[:] = kept
    ask_delay(state, "a")
    assert finder.find(job_of(), shape, DEMAND).first.endpoint == "b"


def test_request_is_refused_with_the_end_of_the_first_delay(finder, shape):
    ask_delay(finder.routing_state, "a")
    finder.routing_state.backoffs.record("b", DELAY + 1.0, 0.0)
    refusal = finder.find(job_of(), shape, DEMAND)
    assert (refusal.kind, refusal.reason) == (ErrorKind.OVERLOADED, IN_BACKOFF)
    assert refusal.retry_after == DELAY
    assert refusal.retry_spread > 0.0


def test_lack_of_any_path_is_not_put_down_to_a_delay(finder, shape):
    ask_delay(finder.routing_state, "a")
    refusal = finder.find(job_of(avoid="ab"), shape, DEMAND)
    assert refusal.kind is ErrorKind.NO_ROUTE


def test_retry_does_not_test_whether_an_endpoint_has_recovered(finder, shape):
    ask_delay(finder.routing_state, "a")
    finder.clock = lambda: DELAY
    job = job_of()
    job.sends = 1
    firsts = {finder.find(job, shape, DEMAND).first.endpoint for _ in range(20)}
    assert firsts == {"b"}
    job = job_of(avoid="b")
    job.sends = 1
    assert finder.find(job, shape, DEMAND).first.endpoint == "a"


def test_recovering_endpoint_is_not_sent_more_than_its_window(finder, shape):
    ask_delay(finder.routing_state, "a", "b")
    finder.clock = lambda: DELAY
    for name in "ab":
        finder.routing_state.backoffs.record_send((name,), DELAY)
    refusal = finder.find(job_of(), shape, DEMAND)
    assert (refusal.reason, refusal.retry_after) == (IN_BACKOFF, 0.0)


@pytest.mark.parametrize("name", ["a", "b"])
def test_stream_is_not_sent_if_a_delay_began_while_it_connected(shape, name):
    played = BackoffStream(shape, {}, connect_seconds=0.3)
    assert run_virtual(played.serve((0.1, played.ask_delay(name)))) is None
    assert played.firsts == ["c"]
    assert played.caller.body == whole_answer()


def test_stalled_stream_does_not_move_to_an_endpoint_in_its_delay(shape):
    played = BackoffStream(shape, {"a": Engine(pause_after=5, pause=6.0)})
    run_virtual(
        played.serve((0.1, played.ask_delay("c")), (0.5, played.declare_dead("b")))
    )
    at, name, _ = played.runs[1]
    assert name == "c" and at >= 0.1 + DELAY


def test_call_avoids_an_endpoint_in_its_delay():
    played = CallPlay(slow=FAST_SECONDS)
    ask_delay(played.routing_state, "e0")
    assert isinstance(run_virtual(played.serve()), WholeAnswer)
    assert played.sent_to == ["e1"]


def test_call_without_an_endpoint_is_refused_with_the_end_of_the_delay():
    played = CallPlay()
    ask_delay(played.routing_state, "e0", "e1")
    ended = run_virtual(played.serve())
    assert isinstance(ended, Refusal)
    assert ended.outcome is Outcome.NOT_RUN
    assert ended.retry_after >= DELAY
    assert played.sends == []


@pytest.mark.parametrize("objective", [0.5, 2.0])
def test_stream_that_every_endpoint_it_may_use_rejected_is_refused_at_once(
    shape, objective
):
    rejecting = Engine(status=REJECTED)
    engines = {"a": rejecting, "c": rejecting}
    played = BackoffStream(shape, engines, objective=objective)
    ended = run_virtual(played.serve())
    assert played.firsts == ["a", "c"]
    assert ended.outcome is Outcome.NOT_RUN
    assert played.ended_at < RETRY_PERIOD
