"""Tests of streams whose prompts hold a part that crashes endpoints."""

from __future__ import annotations

import attrs

from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.core.pipelines.crashes import AnswerProgress
from lacewingcourse.relay.crash_guard import CrashGuard
from lacewingcourse.testing.virtual_time import run_virtual

from .stream_scenario import Engine, StreamScenario, whole_answer

PARTS = ("common", "bad", "own")
#: An engine that sends the head of an answer and no event.
CRASHING = Engine(pause_after=0, breaks=True)


def refuse(scenario: StreamScenario, part: str = "rooms bad") -> None:
    """Refuse a part by the loss of three endpoints."""
    history = scenario.routing_state.parts
    for name in "xyz":
        history.record_loss((part,), name, AnswerProgress.BEGUN, 0.0)
    assert history.judge((part,), 0.0) == part


def test_a_lost_stream_counts_against_its_shared_parts(shape):
    scenario = StreamScenario(shape, {"a": CRASHING}, prompt_parts=PARTS)
    run_virtual(scenario.serve())
    assert scenario.firsts == ["a", "c"]
    assert scenario.caller.body == whole_answer()
    # The whole answer of the second attempt has cleared them.
    assert scenario.routing_state.parts.losses == {}
    assert set(scenario.routing_state.parts.sound) == {"rooms common", "rooms bad"}


def test_a_stream_that_crashes_each_endpoint_leaves_its_losses(shape):
    engines = {"a": CRASHING, "c": CRASHING}
    scenario = StreamScenario(shape, engines, prompt_parts=PARTS)
    run_virtual(scenario.serve())
    losses = scenario.routing_state.parts.losses["rooms bad"]
    assert {name: loss.weight for name, loss in losses.items()} == {"a": 1.0, "c": 1.0}


def test_a_stream_with_a_refused_part_is_not_sent(shape):
    scenario = StreamScenario(shape, {}, prompt_parts=PARTS)
    refuse(scenario)
    refusal = run_virtual(scenario.serve())
    assert scenario.firsts == []
    assert refusal.kind is ErrorKind.REQUEST_CRASHES_ENDPOINTS
    assert refusal.outcome is Outcome.NOT_RUN
    assert refusal.retry_after is None


@attrs.define(slots=False)
class RoomlessStream(StreamScenario):
    """A stream for which no path has room."""

    def _find(self, job, shape, demand, besides=()):
        return Refusal(ErrorKind.OVERLOADED, "no path has memory")


def test_a_stream_that_waits_for_room_is_refused_once_its_part_is(shape):
    scenario = RoomlessStream(shape, {}, prompt_parts=PARTS)
    refusal = run_virtual(scenario.serve((0.1, lambda watcher: refuse(scenario))))
    assert refusal.kind is ErrorKind.REQUEST_CRASHES_ENDPOINTS
    assert scenario.ended_at < 0.2


def test_a_lost_stream_is_not_sent_again_once_its_part_is_refused(shape):
    scenario = StreamScenario(shape, {"a": CRASHING}, prompt_parts=PARTS)
    history = scenario.routing_state.parts
    for name in "xy":
        history.record_loss(("rooms bad",), name, AnswerProgress.BEGUN, 0.0)
    refusal = run_virtual(scenario.serve())
    assert scenario.firsts == ["a"]
    assert refusal.outcome is Outcome.UNKNOWN


def test_an_established_stream_goes_on_if_one_of_its_parts_is_refused(shape):
    engine = Engine(pause_after=18, pause=0.5, breaks=True)
    scenario = StreamScenario(shape, {"a": engine}, prompt_parts=PARTS)

    def establish_and_refuse(watcher) -> None:
        scenario.job.established = True
        refuse(scenario)

    run_virtual(scenario.serve((0.95, establish_and_refuse)))
    assert scenario.caller.body == whole_answer()


def test_whole_requests_are_not_blamed_for_losses_that_a_refused_part_explains(shape):
    scenario = StreamScenario(shape, {}, prompt_parts=("common", "own"))
    refuse(scenario)
    run_virtual(scenario.serve())
    guard = CrashGuard(scenario.routing_state, scenario.log, lambda: 1.0)
    scenario.job.established = False
    for name in "xyz":
        scenario.routing_state.crashes.record_loss(scenario.job.fingerprint, name, 0.5)
    assert guard.refusal(scenario.job) is None
