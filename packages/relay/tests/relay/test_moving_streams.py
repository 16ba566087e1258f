"""Tests of streams that are to move to another path.

Guards against many responses broken off at once while the fleet is overloaded. An
endpoint that running streams used was declared dead. The entry closed each attempt
before it checked whether a retry was allowed and whether another path had room. Where
not, it broke off the response although the engine might have resumed. In the logs the
attempt and the response ended within 4 ms and no second send was made: the retry
budget, the only check that does not wait, had denied the retry.
"""

from __future__ import annotations

import pytest

from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.core.pipelines.admission_queue import RETRY_AFTER_ANSWERS
from lacewingcourse.core.pipelines.routing import RetrySafety
from lacewingcourse.core.pipelines.suspects import Grade
from lacewingcourse.testing.virtual_time import run_virtual

from .stream_scenario import (
    EVENT_COUNT,
    NO_RETRIES,
    UNLIMITED_RETRIES,
    Engine,
    StreamScenario,
    whole_answer,
)

#: An engine that pauses for a moment after its fifth event.
SHORT_PAUSE = Engine(pause_after=5, pause=0.4)
#: Time at which an endpoint on the path is declared dead, within that pause, seconds.
IN_PAUSE = 0.4


@pytest.fixture
def stream(shape):
    """Return a function that makes a scenario of one stream."""

    def make(engine, **options) -> StreamScenario:
        return StreamScenario(shape, {"a": engine}, **options)

    return make


def test_a_stalled_attempt_stays_open_without_retries_left(stream):
    scenario = stream(SHORT_PAUSE, slack=NO_RETRIES)
    ended = run_virtual(scenario.serve((IN_PAUSE, scenario.declare_dead("b"))))
    assert ended is None
    assert scenario.caller.response_complete
    assert scenario.caller.body == whole_answer()
    assert scenario.firsts == ["a"]


def test_a_stalled_attempt_stays_open_while_no_other_path_has_room(stream):
    """The entry closed the attempt and then waited for room until the caller left."""
    scenario = stream(SHORT_PAUSE, room_available_at=100.0)
    ended = run_virtual(scenario.serve((IN_PAUSE, scenario.declare_dead("b"))))
    assert ended is None
    assert scenario.caller.body == whole_answer()
    assert scenario.firsts == ["a"]


@pytest.mark.parametrize("lacks", [{"slack": NO_RETRIES}, {"room_available_at": 100.0}])
def test_silence_does_not_end_an_attempt_without_replacement(stream, lacks):
    scenario = stream(Engine(pause_after=5, pause=1.9), **lacks)
    ended = run_virtual(scenario.serve())
    assert ended is None
    assert scenario.caller.body == whole_answer()


def test_a_stalled_stream_moves_as_soon_as_another_path_has_room(stream):
    scenario = stream(Engine(pause_after=5, pause=30.0), room_available_at=1.0)
    ended = run_virtual(scenario.serve((IN_PAUSE, scenario.declare_dead("b"))))
    assert ended is None
    assert scenario.caller.body == whole_answer()
    assert scenario.firsts == ["a", "c"]
    moved_at = scenario.runs[1][0]
    assert 1.0 <= moved_at < 1.1
    assert scenario.runs[0][2].abandoned


def test_a_stalled_stream_moves_once_a_retry_is_allowed(stream):
    scenario = stream(Engine(pause_after=5, pause=30.0), slack=NO_RETRIES)
    ended = run_virtual(
        scenario.serve(
            (IN_PAUSE, scenario.declare_dead("b")),
            (1.0, scenario.set_slack(UNLIMITED_RETRIES)),
        )
    )
    assert ended is None
    assert scenario.caller.body == whole_answer()
    assert scenario.firsts == ["a", "c"]


def test_a_broken_stream_waits_for_a_retry(stream):
    """It was given up at once, although its caller would have waited two seconds."""
    scenario = stream(Engine(pause_after=5, breaks=True), slack=NO_RETRIES)
    ended = run_virtual(scenario.serve((1.0, scenario.set_slack(UNLIMITED_RETRIES))))
    assert ended is None
    assert scenario.caller.body == whole_answer()
    assert scenario.firsts == ["a", "c"]


def test_a_resumed_attempt_is_watched_again(stream):
    """Its endpoint is declared dead again, and it moves, as a retry is left now."""
    scenario = stream(Engine(pause_after=5, pause=0.4, stops_after=8), slack=NO_RETRIES)
    dead_again_at = 1.1
    ended = run_virtual(
        scenario.serve(
            (IN_PAUSE, scenario.declare_dead("b")),
            (dead_again_at, scenario.set_slack(UNLIMITED_RETRIES)),
            (dead_again_at, scenario.declare_dead("b")),
        )
    )
    assert ended is None
    assert scenario.caller.body == whole_answer()
    assert scenario.firsts == ["a", "c"]
    assert scenario.runs[1][0] < dead_again_at + 0.1


def test_an_engine_that_ends_a_stalled_attempt_counts_no_crash(stream):
    """The engine ends streams that depend on a dead part.

    Counted as a crash, this would make the entry refuse the request for good.
    """
    scenario = stream(
        Engine(pause_after=5, pause=1.0, breaks=True), room_available_at=IN_PAUSE + 1.5
    )
    ended = run_virtual(scenario.serve((IN_PAUSE, scenario.declare_dead("b"))))
    assert ended is None
    assert scenario.caller.body == whole_answer()
    assert scenario.routing_state.crashes.losses(scenario.ended_at) == {}


def test_a_request_that_no_engine_ran_is_refused_as_not_run(stream):
    """Its caller was told that it may have run, and got no Retry-After."""
    scenario = stream(Engine(status=503), slack=NO_RETRIES)
    ended = run_virtual(scenario.serve())
    assert ended.kind is ErrorKind.RETRIES_EXHAUSTED
    assert ended.outcome is Outcome.NOT_RUN
    assert ended.retry_after is not None


def test_a_request_denied_a_retry_is_refused_at_once(stream):
    """It was held for half of its objective and then got a Retry-After of seconds.

    An engine that was shutting down rejected it, and the retry budget was used up. A
    new request of the caller is a first send and needs no retry, so it is in time if it
    comes after a tenth of a second. The Retry-After was one to two and a half times the
    usual answer time, so the new request was late in any case.
    """
    scenario = stream(Engine(status=503), slack=NO_RETRIES)
    ended = run_virtual(scenario.serve())
    assert ended.outcome is Outcome.NOT_RUN
    assert scenario.ended_at <= 0.05
    assert 0.05 <= ended.retry_after <= 0.15


def test_a_request_that_may_have_run_waits_for_a_retry(stream):
    """Its caller cannot be told that it has not run, and so would not send it again."""
    scenario = stream(Engine(breaks=True, pause_after=0), slack=NO_RETRIES)
    run_virtual(scenario.serve((0.1, scenario.set_slack(UNLIMITED_RETRIES))))
    assert scenario.firsts == ["a", "c"]
    assert scenario.caller.body == whole_answer()


def test_retry_after_for_lack_of_room_follows_the_usual_answer_time(stream):
    """Retry-After was 5 to 14 s where half of the responses took 2 s.

    It was a multiple of the longest of twenty answer times, although the factor was
    chosen for the usual one. Room was available after two seconds, so callers were late
    in any case.
    """
    scenario = stream(Engine())
    for seconds in (2.0,) * 20 + (6.0,) * 2:
        scenario.routing_state.durations.record_answer("rooms", seconds)
    scenario._find = lambda *asked: Refusal(ErrorKind.OVERLOADED, "no path has memory")
    ended = run_virtual(scenario.serve())
    least, most = RETRY_AFTER_ANSWERS
    assert ended.kind is ErrorKind.OVERLOADED
    assert 2.0 * least <= ended.retry_after <= 2.0 * most


@pytest.mark.parametrize(
    "retry_safety", [RetrySafety.RESUMABLE_STREAM, RetrySafety.STREAM]
)
def test_a_stale_connection_costs_no_attempt_and_no_retry(stream, retry_safety):
    """Streams were given up within milliseconds although their engines were alive."""
    scenario = stream(
        Engine(drops=True), slack=NO_RETRIES, attempts=1, retry_safety=retry_safety
    )
    assert run_virtual(scenario.serve()) is None
    assert scenario.caller.body == whole_answer()
    assert scenario.routing_state.crashes.losses(scenario.ended_at) == {}


def test_a_broken_stream_waits_for_a_file_descriptor(stream):
    """It was broken off by the exception that the lack of a descriptor raised."""
    scenario = stream(Engine(pause_after=5, breaks=True), descriptor_outage=(0.1, 1.0))
    assert run_virtual(scenario.serve()) is None
    assert scenario.caller.body == whole_answer()


def test_a_request_is_refused_where_no_file_descriptor_is_left(stream):
    scenario = stream(Engine(), descriptor_outage=(0.0, 9.0))
    ended = run_virtual(scenario.serve())
    assert ended.kind is ErrorKind.OVERLOADED
    assert ended.outcome is Outcome.NOT_RUN
    assert scenario.routing_state.suspects.excluded(scenario.ended_at) == set()


def test_an_exception_aborts_the_exchange_with_the_endpoint(stream):
    """Otherwise the endpoint works on for a caller whose response has ended."""
    scenario = stream(Engine())

    def fails(status, headers, request):
        raise ValueError("a defect")

    scenario._head = fails
    with pytest.raises(ValueError, match="a defect"):
        run_virtual(scenario.serve())
    assert [run.abandoned for _, _, run in scenario.runs] == [True]


@pytest.mark.parametrize("resume_after", ["", str(EVENT_COUNT)])
def test_a_stream_response_has_no_content_length(stream, resume_after):
    """A response without new events had a Content-Length of one and was broken off.

    The length was that of a whole response, but no event was left to be sent.
    """
    scenario = stream(Engine(), resume_after=resume_after)
    assert run_virtual(scenario.serve()) is None
    assert scenario.caller.response_complete
    assert "Content-Length" not in scenario.caller.headers


@pytest.mark.parametrize(
    ("grade", "firsts"), [(Grade.SLOW, ["a"]), (Grade.DOUBTFUL, ["a", "c"])]
)
def test_a_stream_behind_a_slow_endpoint_moves_to_no_suspected_one(
    stream, grade, firsts
):
    """Guards against moves from one slow endpoint to another, each read anew.

    Behind an endpoint that may be dead, a suspected one is better than none.
    """
    scenario = stream(SHORT_PAUSE)
    suspects = scenario.routing_state.suspects
    for endpoint in "bc":
        suspects.suspect(endpoint, "late report", 0.0, silent=True, grade=grade)
    ended = run_virtual(scenario.serve((IN_PAUSE, scenario.declare_dead("b"))))
    assert ended is None
    assert scenario.caller.body == whole_answer()
    assert scenario.firsts == firsts


def test_a_send_that_continues_a_stream_records_after_which_event(stream):
    """Guards against logs that do not tell whether a second run starts anew."""
    scenario = stream(Engine(pause_after=5, breaks=True))
    assert run_virtual(scenario.serve()) is None
    assert scenario.job.resumed_after == "5"
