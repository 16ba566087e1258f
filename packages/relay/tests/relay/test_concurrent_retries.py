"""Tests of many requests that are to be sent again at the same time."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.core.pipelines.retry_budget import (
    LOAN_LIFETIME,
    SAFETY_SHARE,
    RetryBudget,
)
from lacewingcourse.relay.connections import NotSent, Unsent
from lacewingcourse.relay.sending import WholeAnswer
from lacewingcourse.testing.virtual_time import run_virtual

from .stream_scenario import (
    EVENT_INTERVAL,
    UNLIMITED_RETRIES,
    Engine,
    StreamScenario,
    whole_answer,
)
from .test_calls import FAST_SECONDS, REJECTED, CallPlay

#: Requests on an endpoint, and retries left in the budget when it is lost.
REQUESTS = 12
RETRIES_LEFT = 4
#: Retries of these that are reserved for requests that cannot be refused as not run.
RESERVED = 1
#: Seconds that it takes to make a connection.
CONNECT_SECONDS = 0.005
#: Time at which an endpoint is declared dead, seconds.
DEAD_AT = 0.4
#: Time at which an attempt breaks off, and one resumes after its pause, seconds.
BREAKS_AT = CONNECT_SECONDS + 5 * EVENT_INTERVAL
RESUMES_AT = BREAKS_AT + 0.4 + EVENT_INTERVAL
#: Engine that breaks off after an event, and one that pauses for a moment.
BREAKS = Engine(pause_after=5, breaks=True)
PAUSES = Engine(pause_after=5, pause=0.4)
#: Engine that pauses until all other streams have searched for a path.
PAUSES_LONG = Engine(pause_after=5, pause=1.0)


@attrs.define(slots=False)
class SlowConnectStream(StreamScenario):
    """A stream whose connections take a while to be made.

    Attributes:
        unreachable: Whether no connection to its second path can be made.
        single_run: Whether endpoints have no room for two of its attempts.
    """

    unreachable: bool = False
    single_run: bool = False

    async def reserve(self, address, fresh):
        await asyncio.sleep(CONNECT_SECONDS)
        if self.unreachable and address.startswith("c"):
            return NotSent(Unsent.UNREACHABLE)
        return await super().reserve(address, fresh)

    def _find(self, job, shape, demand, besides=()):
        if self.single_run and self.routing_state.loads.own:
            return Refusal(ErrorKind.OVERLOADED, "no path has memory")
        return super()._find(job, shape, demand, besides)


@attrs.define(slots=False)
class SlowConnectCall(CallPlay):
    """A call whose connections take a while to be made."""

    async def reserve(self, address, fresh):
        await asyncio.sleep(CONNECT_SECONDS)
        return await super().reserve(address, fresh)


@pytest.fixture
def budget() -> RetryBudget:
    """Return a budget with a fixed number of retries left."""
    return RetryBudget(0.0, 100.0, (RETRIES_LEFT + 0.01) / SAFETY_SHARE)


@pytest.fixture
def streams(shape, budget):
    """Return a function that makes streams that share a retry budget."""

    def make(engine, count=REQUESTS, second=None, **options) -> list[SlowConnectStream]:
        engines = {"a": engine, "c": second or Engine()}
        scenarios = [SlowConnectStream(shape, engines, **options) for _ in range(count)]
        for scenario in scenarios:
            scenario.budget = budget
        return scenarios

    return make


def serve(scenarios, *scheduled_calls) -> list:
    """Serve requests together; return how each ended."""

    async def together():
        return await asyncio.gather(*(one.serve(*scheduled_calls) for one in scenarios))

    return run_virtual(together())


def retries_of(streams) -> int:
    """Return the number of sends beyond the first of each stream."""
    return sum(len(scenario.runs) - 1 for scenario in streams)


@pytest.mark.parametrize(
    ("engine", "left"),
    [(BREAKS, RETRIES_LEFT), (Engine(status=REJECTED), RETRIES_LEFT - RESERVED)],
)
def test_streams_broken_at_once_stay_within_the_retry_budget(
    streams, budget, engine, left
):
    scenarios = streams(engine)
    serve(scenarios)
    assert retries_of(scenarios) == left
    assert len(budget.retries["rooms"]) == left


def test_retries_over_stale_connections_stay_within_the_retry_budget(streams, budget):
    scenarios = streams(BREAKS, second=Engine(drops=True))
    serve(scenarios)
    assert retries_of(scenarios) == RETRIES_LEFT
    assert len(budget.retries["rooms"]) == RETRIES_LEFT


@pytest.mark.parametrize("single_run", [False, True])
def test_streams_moved_at_once_stay_within_the_retry_budget(
    streams, budget, single_run
):
    scenarios = streams(PAUSES, single_run=single_run)
    serve(scenarios, (DEAD_AT, scenarios[0].declare_dead("b")))
    assert retries_of(scenarios) == RETRIES_LEFT
    assert len(budget.retries["rooms"]) == RETRIES_LEFT
    assert all(scenario.caller.body == whole_answer() for scenario in scenarios)


def test_slow_calls_retried_at_once_stay_within_the_retry_budget(budget):
    scenarios = [SlowConnectCall() for _ in range(REQUESTS)]
    for scenario in scenarios:
        scenario.budget = budget
    ends = serve(scenarios)
    assert (
        sum(len(scenario.sends) - 1 for scenario in scenarios)
        == RETRIES_LEFT - RESERVED
    )
    assert len(budget.retries["desk"]) == RETRIES_LEFT - RESERVED
    assert all(isinstance(end, WholeAnswer) for end in ends)


def test_calls_rejected_at_once_stay_within_the_retry_budget(budget):
    scenarios = [
        SlowConnectCall(status=REJECTED, slow=FAST_SECONDS) for _ in range(REQUESTS)
    ]
    for scenario in scenarios:
        scenario.budget = budget
    ends = serve(scenarios)
    assert (
        sum(len(scenario.sends) - 1 for scenario in scenarios)
        == RETRIES_LEFT - RESERVED
    )
    assert len(budget.retries["desk"]) == RETRIES_LEFT - RESERVED
    assert all(end.outcome is Outcome.NOT_RUN for end in ends)


@pytest.mark.parametrize("engine", [BREAKS, PAUSES_LONG])
def test_streams_that_cannot_be_sent_release_their_retries(streams, budget, engine):
    lost = streams(engine, unreachable=True)
    scenarios = streams(engine, RETRIES_LEFT)
    serve(lost + scenarios, (DEAD_AT, scenarios[0].declare_dead("b")))
    assert retries_of(lost) == 0
    assert retries_of(scenarios) == RETRIES_LEFT


@pytest.mark.parametrize("unreachable", [False, True])
def test_streams_that_resume_while_connecting_release_their_retries(
    streams, unreachable
):
    resuming = streams(PAUSES, RETRIES_LEFT, unreachable=unreachable)
    broken = streams(Engine(pause_after=15, breaks=True), RETRIES_LEFT)
    just_before = resuming[0].declare_dead("b")
    serve(resuming + broken, (RESUMES_AT - CONNECT_SECONDS / 2, just_before))
    assert retries_of(resuming) == 0
    assert [scenario.firsts for scenario in broken] == [["a", "c"]] * RETRIES_LEFT
    assert all(scenario.runs[1][0] < 2 * RESUMES_AT for scenario in broken)


def test_streams_without_descriptors_release_their_retries(streams):
    lacking = streams(
        BREAKS, RETRIES_LEFT, descriptor_outage=(BREAKS_AT, 2 * BREAKS_AT)
    )
    broken = streams(
        Engine(pause_after=5, pause=2 * CONNECT_SECONDS, breaks=True), RETRIES_LEFT
    )
    serve(lacking + broken)
    assert all(
        scenario.runs[1][0] < BREAKS_AT + 4 * CONNECT_SECONDS for scenario in broken
    )


def test_calls_without_another_endpoint_release_their_retries(budget):
    lone = [SlowConnectCall(endpoints=1) for _ in range(REQUESTS)]
    scenarios = [SlowConnectCall() for _ in range(RETRIES_LEFT - RESERVED)]
    for scenario in lone + scenarios:
        scenario.budget = budget
    serve(lone + scenarios)
    assert [len(scenario.sends) for scenario in scenarios] == [2] * (
        RETRIES_LEFT - RESERVED
    )


@pytest.fixture
def loan():
    """Return a function that makes a budget with one borrowed retry per service.

    The function takes the time at which the borrowed retries expire.
    """

    def make(until: float) -> RetryBudget:
        loan_budget = RetryBudget(0.0, 100.0, 0.0)
        for service in ("rooms", "desk"):
            loan_budget.borrow(service, 1, until - LOAN_LIFETIME)
        return loan_budget

    return make


def test_a_call_whose_borrowed_retry_expires_while_connecting_is_refused(loan):
    scenario = SlowConnectCall(status=REJECTED, slow=FAST_SECONDS)
    scenario.budget = loan(FAST_SECONDS + 1.5 * CONNECT_SECONDS)
    (ended,) = serve([scenario])
    assert len(scenario.sends) == 1
    assert ended.kind is ErrorKind.RETRIES_EXHAUSTED
    assert ended.outcome is Outcome.NOT_RUN


def test_a_stream_whose_borrowed_retry_expires_waits_for_another(streams, loan):
    (scenario,) = streams(BREAKS, 1)
    scenario.budget = loan(BREAKS_AT + CONNECT_SECONDS / 2)
    serve([scenario], (DEAD_AT, scenario.set_slack(UNLIMITED_RETRIES)))
    assert scenario.firsts == ["a", "c"]
    assert scenario.runs[1][0] > DEAD_AT
    assert scenario.caller.body == whole_answer()


@pytest.mark.parametrize("single_run", [False, True])
def test_an_attempt_stays_open_if_the_borrowed_retry_expires_while_connecting(
    streams, loan, single_run
):
    (scenario,) = streams(PAUSES, 1, single_run=single_run)
    scenario.budget = loan(DEAD_AT + CONNECT_SECONDS / 2)
    serve([scenario], (DEAD_AT, scenario.declare_dead("b")))
    assert scenario.firsts == ["a"]
    assert scenario.caller.body == whole_answer()


@pytest.mark.parametrize("service", ["rooms", "desk"])
def test_a_request_cancelled_while_connecting_releases_its_retry(
    streams, budget, service
):
    calls = [SlowConnectCall(status=REJECTED, slow=FAST_SECONDS)]
    (scenario,) = streams(BREAKS, 1) if service == "rooms" else calls
    scenario.budget = budget

    async def cancel() -> None:
        serving = asyncio.ensure_future(scenario.serve())
        while not budget.holds.get(service):
            assert not serving.done()
            await asyncio.sleep(CONNECT_SECONDS / 2)
        serving.cancel()
        await asyncio.wait({serving})

    run_virtual(cancel())
    assert not budget.holds[service]
    assert sum(budget.take(service, 1.0) for _ in range(REQUESTS)) == RETRIES_LEFT
