"""Tests of many requests that are to be sent again at one moment."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.core.pipelines.retry_budget import (
    LOAN_TIME,
    SAFETY_SHARE,
    RetryBudget,
)
from lacewingcourse.relay.connections import NotSent, Unsent
from lacewingcourse.relay.sending import WholeAnswer

from .stream_play import PLENTY, STEP, Engine, StreamPlay, whole_answer
from .test_calls import QUICK, REJECTED, CallPlay
from .virtual_time import run_virtual

#: Requests of an endpoint, and the retries that are left when it is lost.
REQUESTS = 12
LEFT = 4
#: Those of them that are kept for requests which cannot be refused truly.
KEPT = 1
#: Seconds that a connection takes.
CONNECTING = 0.005
#: When an endpoint is taken for dead, seconds.
DEAD_AT = 0.4
#: When a run breaks, and when one goes on after its pause, seconds.
BREAKS_AT = CONNECTING + 5 * STEP
GOES_ON_AT = BREAKS_AT + 0.4 + STEP
#: Engines whose run breaks, and stands still for a moment, after an event.
BREAKS = Engine(pause_after=5, breaks=True)
PAUSES = Engine(pause_after=5, pause=0.4)
#: One that stands still until all the others have looked for a path.
PAUSES_LONG = Engine(pause_after=5, pause=1.0)


@attrs.define(slots=False)
class CutStream(StreamPlay):
    """A stream whose connections take a while.

    Attributes:
        unreachable: Whether its second path cannot be reached.
        alone: Whether endpoints have no room for two of its runs.
    """

    unreachable: bool = False
    alone: bool = False

    async def reserve(self, address, fresh):
        await asyncio.sleep(CONNECTING)
        if self.unreachable and address.startswith("c"):
            return NotSent(Unsent.UNREACHABLE)
        return await super().reserve(address, fresh)

    def _find(self, job, shape, demand, besides=()):
        if self.alone and self.routing_state.loads.own:
            return Refusal(ErrorKind.OVERLOADED, "no path has memory")
        return super()._find(job, shape, demand, besides)


@attrs.define(slots=False)
class CutCall(CallPlay):
    """A call whose connections take a while."""

    async def reserve(self, address, fresh):
        await asyncio.sleep(CONNECTING)
        return await super().reserve(address, fresh)


@pytest.fixture
def budget() -> RetryBudget:
    """Return a budget with some retries left, whatever comes."""
    return RetryBudget(0.0, 100.0, (LEFT + 0.01) / SAFETY_SHARE)


@pytest.fixture
def streams(shape, budget):
    """Return a function that makes streams which share a budget."""

    def make(engine, count=REQUESTS, second=None, **options) -> list[CutStream]:
        engines = {"a": engine, "c": second or Engine()}
        made = [CutStream(shape, engines, **options) for _ in range(count)]
        for played in made:
            played.budget = budget
        return made

    return make


def serve(made, *happenings) -> list:
    """Serve requests together; return how each ended."""

    async def together():
        return await asyncio.gather(*(one.serve(*happenings) for one in made))

    return run_virtual(together())


def retries_of(streams) -> int:
    """Return the sends beyond the first of each stream."""
    return sum(len(played.runs) - 1 for played in streams)


@pytest.mark.parametrize(
    ("engine", "left"), [(BREAKS, LEFT), (Engine(status=REJECTED), LEFT - KEPT)]
)
def test_streams_cut_at_one_moment_stay_within_the_budget(
    streams, budget, engine, left
):
    made = streams(engine)
    serve(made)
    assert retries_of(made) == left
    assert len(budget.retries["rooms"]) == left


def test_runs_that_are_dropped_at_one_moment_stay_within_the_budget(streams, budget):
    made = streams(BREAKS, second=Engine(drops=True))
    serve(made)
    assert retries_of(made) == LEFT
    assert len(budget.retries["rooms"]) == LEFT


@pytest.mark.parametrize("alone", [False, True])
def test_streams_moved_at_one_moment_stay_within_the_budget(streams, budget, alone):
    made = streams(PAUSES, alone=alone)
    serve(made, (DEAD_AT, made[0].dies("b")))
    assert retries_of(made) == LEFT
    assert len(budget.retries["rooms"]) == LEFT
    assert all(played.caller.body == whole_answer() for played in made)


def test_calls_left_at_one_moment_stay_within_the_budget(budget):
    made = [CutCall() for _ in range(REQUESTS)]
    for played in made:
        played.budget = budget
    ends = serve(made)
    assert sum(len(played.sends) - 1 for played in made) == LEFT - KEPT
    assert len(budget.retries["desk"]) == LEFT - KEPT
    assert all(isinstance(end, WholeAnswer) for end in ends)


def test_calls_rejected_at_one_moment_stay_within_the_budget(budget):
    made = [CutCall(status=REJECTED, slow=QUICK) for _ in range(REQUESTS)]
    for played in made:
        played.budget = budget
    ends = serve(made)
    assert sum(len(played.sends) - 1 for played in made) == LEFT - KEPT
    assert len(budget.retries["desk"]) == LEFT - KEPT
    assert all(end.outcome is Outcome.NOT_RUN for end in ends)


@pytest.mark.parametrize("engine", [BREAKS, PAUSES_LONG])
def test_streams_that_cannot_be_sent_leave_their_retries_to_others(
    streams, budget, engine
):
    lost = streams(engine, unreachable=True)
    made = streams(engine, LEFT)
    serve(lost + made, (DEAD_AT, made[0].dies("b")))
    assert retries_of(lost) == 0
    assert retries_of(made) == LEFT


@pytest.mark.parametrize("unreachable", [False, True])
def test_runs_that_go_on_while_they_connect_leave_their_retries_to_others(
    streams, unreachable
):
    going_on = streams(PAUSES, LEFT, unreachable=unreachable)
    broken = streams(Engine(pause_after=15, breaks=True), LEFT)
    just_before = going_on[0].dies("b")
    serve(going_on + broken, (GOES_ON_AT - CONNECTING / 2, just_before))
    assert retries_of(going_on) == 0
    assert [played.firsts for played in broken] == [["a", "c"]] * LEFT
    assert all(played.runs[1][0] < 2 * GOES_ON_AT for played in broken)


def test_streams_that_lack_descriptors_leave_their_retries_to_others(streams):
    lacking = streams(BREAKS, LEFT, lacks_descriptors=(BREAKS_AT, 2 * BREAKS_AT))
    broken = streams(Engine(pause_after=5, pause=2 * CONNECTING, breaks=True), LEFT)
    serve(lacking + broken)
    assert all(played.runs[1][0] < BREAKS_AT + 4 * CONNECTING for played in broken)


def test_calls_that_have_no_other_endpoint_leave_their_retries_to_others(budget):
    lone = [CutCall(endpoints=1) for _ in range(REQUESTS)]
    made = [CutCall() for _ in range(LEFT - KEPT)]
    for played in lone + made:
        played.budget = budget
    serve(lone + made)
    assert [len(played.sends) for played in made] == [2] * (LEFT - KEPT)


@pytest.fixture
def loan():
    """Return a function that makes a budget of a loan which ends at some time."""

    def make(until: float) -> RetryBudget:
        made = RetryBudget(0.0, 100.0, 0.0)
        for service in ("rooms", "desk"):
            made.borrow(service, 1, until - LOAN_TIME)
        return made

    return make


def test_a_call_whose_loan_ends_while_it_connects_is_refused(loan):
    played = CutCall(status=REJECTED, slow=QUICK)
    played.budget = loan(QUICK + 1.5 * CONNECTING)
    (ended,) = serve([played])
    assert len(played.sends) == 1
    assert ended.kind is ErrorKind.RETRIES_EXHAUSTED
    assert ended.outcome is Outcome.NOT_RUN


def test_a_stream_whose_loan_ends_while_it_connects_waits_for_a_retry(streams, loan):
    (played,) = streams(BREAKS, 1)
    played.budget = loan(BREAKS_AT + CONNECTING / 2)
    serve([played], (DEAD_AT, played.allow(PLENTY)))
    assert played.firsts == ["a", "c"]
    assert played.runs[1][0] > DEAD_AT
    assert played.caller.body == whole_answer()


@pytest.mark.parametrize("alone", [False, True])
def test_a_run_is_not_closed_for_one_whose_loan_ends_while_it_connects(
    streams, loan, alone
):
    (played,) = streams(PAUSES, 1, alone=alone)
    played.budget = loan(DEAD_AT + CONNECTING / 2)
    serve([played], (DEAD_AT, played.dies("b")))
    assert played.firsts == ["a"]
    assert played.caller.body == whole_answer()


@pytest.mark.parametrize("service", ["rooms", "desk"])
def test_a_request_cancelled_while_it_connects_leaves_its_retry(
    streams, budget, service
):
    calls = [CutCall(status=REJECTED, slow=QUICK)]
    (played,) = streams(BREAKS, 1) if service == "rooms" else calls
    played.budget = budget

    async def cancel() -> None:
        serving = asyncio.ensure_future(played.serve())
        while not budget.holds.get(service):
            assert not serving.done()
            await asyncio.sleep(CONNECTING / 2)
        serving.cancel()
        await asyncio.wait({serving})

    run_virtual(cancel())
    assert not budget.holds[service]
    assert sum(budget.take(service, 1.0) for _ in range(REQUESTS)) == LEFT
