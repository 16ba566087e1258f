"""Tests of what is predicted of streams that are sent, and learned from them."""

from __future__ import annotations

import pytest

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.pipelines.choice import NEVER_IN_TIME, NONE_IN_TIME
from lacewingcourse.relay.causes import RequestHistory, cause_of
from lacewingcourse.relay.metrics import Metrics
from lacewingcourse.testing.virtual_time import run_virtual

from .stream_scenario import EVENT_INTERVAL, Engine, StreamScenario
from .test_admission import RoomPlay, make_job


@pytest.fixture
def scenario_of(shape, small):
    """Return a function that makes a scenario with known endpoints."""

    def make(**fields):
        scenario = StreamScenario(shape, **fields)
        for name, layer in zip("abcd", (0, 1, 0, 1), strict=True):
            scenario.routing_state.fleet.put(small(name, layer))
        return scenario

    return make


def samples(scenario):
    """Return the number of learned first events and pauses."""
    ratios = scenario.routing_state.ratios
    found = ratios.first_events, ratios.pauses
    return [len(kind["rooms"].samples) if kind else 0 for kind in found]


def test_a_whole_stream_is_learned_from_once_and_leaves_nothing_behind(scenario_of):
    scenario = scenario_of(engines={"a": Engine()})
    assert run_virtual(scenario.serve()) is None
    assert samples(scenario) == [1, 1]
    predicted = scenario.job.predicted
    assert scenario.job.sent_at == 0.0
    (_, ratio), *_ = scenario.routing_state.ratios.first_events["rooms"].samples
    seen = ratio * predicted.published_first_event
    assert seen == pytest.approx(EVENT_INTERVAL)
    assert scenario.job.running is None
    assert not scenario.routing_state.running.by_endpoint


def test_pauses_of_a_stream_that_was_sent_again_are_not_learned_from(
    scenario_of,
):
    engines = {"a": Engine(pause_after=3, breaks=True), "c": Engine()}
    scenario = scenario_of(engines=engines)
    run_virtual(scenario.serve())
    assert scenario.firsts == ["a", "c"]
    assert samples(scenario) == [1, 0]
    assert not scenario.routing_state.running.by_endpoint


def test_a_resumed_stream_is_not_learned_from(scenario_of):
    scenario = scenario_of(engines={"a": Engine()}, resume_after="4")
    run_virtual(scenario.serve())
    assert samples(scenario) == [0, 0]


def test_a_request_that_cannot_be_in_time_is_refused_without_waiting():
    refusal = Refusal(ErrorKind.DEADLINE_UNREACHABLE, NEVER_IN_TIME)
    play = RoomPlay()
    job = make_job(received_at=0.0)

    async def serve():
        latest_start = play.admission.latest_start(job)
        found = await play.admission.room_for(job, 2, lambda: refusal, latest_start)
        return found, play.clock()

    assert run_virtual(serve()) == (refusal, 0.0)


@pytest.mark.parametrize(
    ("kind", "reason", "cause"),
    [
        ("overloaded", NONE_IN_TIME, "refused as no path was in time"),
        ("deadline_unreachable", NEVER_IN_TIME, "refused as no path was in time"),
        ("overloaded", "no path has memory", "refused for want of room"),
    ],
)
def test_the_cause_of_a_refusal_tells_time_from_memory(kind, reason, cause):
    end = {"event": "refused", "kind": kind, "reason": reason, "time": 1.0}
    assert cause_of(RequestHistory("r", end=end)) == cause


def test_refusals_for_time_and_ratios_are_counted():
    metrics = Metrics()
    for reason in (NONE_IN_TIME, NEVER_IN_TIME, "no path has memory"):
        metrics.refused(Refusal(ErrorKind.OVERLOADED, reason), None)
    metrics.predicted("rooms", "pause", 2.0)
    metrics.predicted("rooms", "pause", None)
    page = metrics.respond(None).body.decode()
    prefix = "lacewingcourse_relay_"
    for line in (
        'refused_for_time_total{paths="loaded"} 1.0',
        'refused_for_time_total{paths="idle"} 1.0',
        'time_ratio_sum{service="rooms",time="pause"} 2.0',
        'absurd_times_total{time="pause"} 1.0',
    ):
        assert prefix + line in page
