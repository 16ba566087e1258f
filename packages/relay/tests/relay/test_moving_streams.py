"""Tests of streams that are to go on on another path.

Callers saw answers closed in the middle, many at once, while the fleet was overloaded.
An endpoint on the path of running streams was taken for dead. The entry closed each
run first and asked only then whether a retry was allowed and whether another path had
room; where not, it broke the answer off, although the run was still open and its
engine might have gone on. In the record of such an answer the run and the answer ended
within 4 ms and no second send was made: no wait fits between them, so the budget of
retries, the one question without a wait, had said no.
"""

from __future__ import annotations

import pytest

from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.core.pipelines.admission_queue import RETRY_AFTER_ANSWERS
from lacewingcourse.core.pipelines.routing import RetrySafety

from .stream_scenario import (
    EVENT_COUNT,
    NO_RETRIES,
    UNLIMITED_RETRIES,
    Engine,
    StreamScenario,
    whole_answer,
)
from .virtual_time import play

#: An engine that stands still for a moment after its fifth event.
SHORT_PAUSE = Engine(pause_after=5, pause=0.4)
#: When an endpoint on the path is taken for dead, within that pause.
IN_PAUSE = 0.4


@pytest.fixture
def stream(shape):
    """Return a function that makes a play of one stream."""

    def make(engine, **options) -> StreamScenario:
        return StreamScenario(shape, {"a": engine}, **options)

    return make


def test_a_stalled_attempt_stays_open_without_retries_left(stream):
    scenario = stream(SHORT_PAUSE, slack=NO_RETRIES)
    ended = play(scenario.serve((IN_PAUSE, scenario.declare_dead("b"))))
    assert ended is None
    assert scenario.caller.whole
    assert scenario.caller.body == whole_answer()
    assert scenario.firsts == ["a"]


def test_a_stalled_attempt_stays_open_while_no_other_path_has_room(stream):
    """Room was waited for with the run closed already, until the caller left."""
    scenario = stream(SHORT_PAUSE, room_available_at=100.0)
    ended = play(scenario.serve((IN_PAUSE, scenario.declare_dead("b"))))
    assert ended is None
    assert scenario.caller.body == whole_answer()
    assert scenario.firsts == ["a"]


@pytest.mark.parametrize("lacks", [{"slack": NO_RETRIES}, {"room_available_at": 100.0}])
def test_silence_does_not_end_an_attempt_without_replacement(stream, lacks):
    scenario = stream(Engine(pause_after=5, pause=1.9), **lacks)
    ended = play(scenario.serve())
    assert ended is None
    assert scenario.caller.body == whole_answer()


def test_a_stalled_stream_moves_as_soon_as_another_path_has_room(stream):
    scenario = stream(Engine(pause_after=5, pause=30.0), room_available_at=1.0)
    ended = play(scenario.serve((IN_PAUSE, scenario.declare_dead("b"))))
    assert ended is None
    assert scenario.caller.body == whole_answer()
    assert scenario.firsts == ["a", "c"]
    moved_at = scenario.runs[1][0]
    assert 1.0 <= moved_at < 1.1
    assert scenario.runs[0][2].abandoned


def test_a_stalled_stream_moves_once_a_retry_is_allowed(stream):
    scenario = stream(Engine(pause_after=5, pause=30.0), slack=NO_RETRIES)
    ended = play(
        scenario.serve(
            (IN_PAUSE, scenario.declare_dead("b")),
            (1.0, scenario.set_slack(UNLIMITED_RETRIES)),
        )
    )
    assert ended is None
    assert scenario.caller.body == whole_answer()
    assert scenario.firsts == ["a", "c"]


def test_a_broken_stream_waits_for_a_retry(stream):
    """It was given up at once, while its caller would have read on for two seconds."""
    scenario = stream(Engine(pause_after=5, breaks=True), slack=NO_RETRIES)
    ended = play(scenario.serve((1.0, scenario.set_slack(UNLIMITED_RETRIES))))
    assert ended is None
    assert scenario.caller.body == whole_answer()
    assert scenario.firsts == ["a", "c"]


def test_a_resumed_attempt_is_watched_again(stream):
    """Taken for dead a second time, it moves, now that a retry is left."""
    scenario = stream(Engine(pause_after=5, pause=0.4, stops_after=8), slack=NO_RETRIES)
    dead_again_at = 1.1
    ended = play(
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
    """It ends what depends on a dead part; the request would be refused for good."""
    scenario = stream(
        Engine(pause_after=5, pause=1.0, breaks=True), room_available_at=IN_PAUSE + 1.5
    )
    ended = play(scenario.serve((IN_PAUSE, scenario.declare_dead("b"))))
    assert ended is None
    assert scenario.caller.body == whole_answer()
    assert scenario.beliefs.crashes.losses(scenario.ended_at) == {}


def test_a_request_that_no_engine_ran_is_refused_as_not_run(stream):
    """Its caller was told that it may have run, and not when to come back."""
    scenario = stream(Engine(status=503), slack=NO_RETRIES)
    ended = play(scenario.serve())
    assert ended.kind is ErrorKind.RETRIES_EXHAUSTED
    assert ended.outcome is Outcome.NOT_RUN
    assert ended.retry_after is not None


def test_a_request_denied_a_retry_is_refused_at_once(stream):
    """It was held for half of its objective, and then told to come back after seconds.

    An engine that had to leave rejected it, and the budget of retries was used up. Its
    caller's new request is a first send and needs no retry: back after a tenth of a
    second it is in time, but it was asked back when one to two and a half answers had
    passed, and was late whatever it met.
    """
    scenario = stream(Engine(status=503), slack=NO_RETRIES)
    ended = play(scenario.serve())
    assert ended.outcome is Outcome.NOT_RUN
    assert scenario.ended_at <= 0.05
    assert 0.05 <= ended.retry_after <= 0.15


def test_a_request_that_may_have_run_waits_for_a_retry(stream):
    """Its caller cannot be told that it has not run, and would not ask again."""
    scenario = stream(Engine(breaks=True, pause_after=0), slack=NO_RETRIES)
    play(scenario.serve((0.1, scenario.set_slack(UNLIMITED_RETRIES))))
    assert scenario.firsts == ["a", "c"]
    assert scenario.caller.body == whole_answer()


def test_retry_after_for_lack_of_room_follows_the_usual_answer_time(stream):
    """Callers were asked back after 5 to 14 s where half of the answers took 2 s.

    The time was that of the longest of twenty answers, in place of the usual one by
    which it was chosen how many of them pass until a caller comes back. Room was there
    after two seconds, and callers were late whatever they met.
    """
    scenario = stream(Engine())
    for seconds in (2.0,) * 20 + (6.0,) * 2:
        scenario.beliefs.durations.note("rooms", seconds)
    scenario._find = lambda *asked: Refusal(ErrorKind.OVERLOADED, "no path has memory")
    ended = play(scenario.serve())
    least, most = RETRY_AFTER_ANSWERS
    assert ended.kind is ErrorKind.OVERLOADED
    assert 2.0 * least <= ended.retry_after <= 2.0 * most


@pytest.mark.parametrize(
    "retry_safety", [RetrySafety.RESUMABLE_STREAM, RetrySafety.STREAM]
)
def test_a_stale_connection_costs_no_attempt_and_no_retry(stream, retry_safety):
    """Streams were given up, within milliseconds, though their engines lived."""
    scenario = stream(
        Engine(drops=True), slack=NO_RETRIES, attempts=1, retry_safety=retry_safety
    )
    assert play(scenario.serve()) is None
    assert scenario.caller.body == whole_answer()
    assert scenario.beliefs.crashes.losses(scenario.ended_at) == {}


def test_a_broken_stream_waits_for_a_file_descriptor(stream):
    """It was broken off by the error that the lack of one raised."""
    scenario = stream(Engine(pause_after=5, breaks=True), descriptor_outage=(0.1, 1.0))
    assert play(scenario.serve()) is None
    assert scenario.caller.body == whole_answer()


def test_a_request_is_refused_where_no_file_descriptor_is_left(stream):
    scenario = stream(Engine(), descriptor_outage=(0.0, 9.0))
    ended = play(scenario.serve())
    assert ended.kind is ErrorKind.OVERLOADED
    assert ended.outcome is Outcome.NOT_RUN
    assert scenario.beliefs.suspects.excluded(scenario.ended_at) == set()


def test_an_exception_aborts_the_exchange_with_the_endpoint(stream):
    """The endpoint works on for a caller whose answer has been ended."""
    scenario = stream(Engine())

    def fails(status, headers, request):
        raise ValueError("a defect")

    scenario._head = fails
    with pytest.raises(ValueError, match="a defect"):
        play(scenario.serve())
    assert [run.abandoned for _, _, run in scenario.runs] == [True]


@pytest.mark.parametrize("resume_after", ["", str(EVENT_COUNT)])
def test_a_stream_response_has_no_content_length(stream, resume_after):
    """An answer without new events was promised a body, and broken off as a defect."""
    scenario = stream(Engine(), resume_after=resume_after)
    assert play(scenario.serve()) is None
    assert scenario.caller.whole
    assert "Content-Length" not in scenario.caller.headers
