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

from .stream_play import (
    EVENTS,
    NONE,
    PLENTY,
    Engine,
    StreamPlay,
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

    def make(engine, **options) -> StreamPlay:
        return StreamPlay(shape, {"a": engine}, **options)

    return make


def test_a_run_stays_open_where_no_retry_is_left(stream):
    played = stream(SHORT_PAUSE, slack=NONE)
    ended = play(played.serve((IN_PAUSE, played.dies("b"))))
    assert ended is None
    assert played.caller.whole
    assert played.caller.body == whole_answer()
    assert played.firsts == ["a"]


def test_a_run_stays_open_where_no_other_path_has_room(stream):
    """Room was waited for with the run closed already, until the caller left."""
    played = stream(SHORT_PAUSE, room_from=100.0)
    ended = play(played.serve((IN_PAUSE, played.dies("b"))))
    assert ended is None
    assert played.caller.body == whole_answer()
    assert played.firsts == ["a"]


@pytest.mark.parametrize("lacks", [{"slack": NONE}, {"room_from": 100.0}])
def test_silence_alone_ends_no_run_that_nothing_replaces(stream, lacks):
    played = stream(Engine(pause_after=5, pause=1.9), **lacks)
    ended = play(played.serve())
    assert ended is None
    assert played.caller.body == whole_answer()


def test_a_stream_goes_on_elsewhere_as_soon_as_that_is_possible(stream):
    played = stream(Engine(pause_after=5, pause=30.0), room_from=1.0)
    ended = play(played.serve((IN_PAUSE, played.dies("b"))))
    assert ended is None
    assert played.caller.body == whole_answer()
    assert played.firsts == ["a", "c"]
    moved_at = played.runs[1][0]
    assert 1.0 <= moved_at < 1.1
    assert played.runs[0][2].abandoned


def test_a_stream_goes_on_once_a_repeat_is_allowed_again(stream):
    played = stream(Engine(pause_after=5, pause=30.0), slack=NONE)
    ended = play(
        played.serve((IN_PAUSE, played.dies("b")), (1.0, played.allow(PLENTY)))
    )
    assert ended is None
    assert played.caller.body == whole_answer()
    assert played.firsts == ["a", "c"]


def test_an_answer_whose_engine_ended_it_waits_for_a_retry(stream):
    """It was given up at once, while its caller would have read on for two seconds."""
    played = stream(Engine(pause_after=5, breaks=True), slack=NONE)
    ended = play(played.serve((1.0, played.allow(PLENTY))))
    assert ended is None
    assert played.caller.body == whole_answer()
    assert played.firsts == ["a", "c"]


def test_a_run_that_goes_on_after_all_is_watched_again(stream):
    """Taken for dead a second time, it moves, now that a retry is left."""
    played = stream(Engine(pause_after=5, pause=0.4, stops_after=8), slack=NONE)
    dies_again = 1.1
    ended = play(
        played.serve(
            (IN_PAUSE, played.dies("b")),
            (dies_again, played.allow(PLENTY)),
            (dies_again, played.dies("b")),
        )
    )
    assert ended is None
    assert played.caller.body == whole_answer()
    assert played.firsts == ["a", "c"]
    assert played.runs[1][0] < dies_again + 0.1


def test_an_engine_that_ends_a_run_which_stood_still_is_not_taken_for_crashed(stream):
    """It ends what depends on a dead part; the request would be refused for good."""
    played = stream(
        Engine(pause_after=5, pause=1.0, breaks=True), room_from=IN_PAUSE + 1.5
    )
    ended = play(played.serve((IN_PAUSE, played.dies("b"))))
    assert ended is None
    assert played.caller.body == whole_answer()
    assert played.beliefs.crashes.losses(played.ended_at) == {}


def test_a_request_that_no_engine_ran_is_refused_as_such(stream):
    """Its caller was told that it may have run, and not when to come back."""
    played = stream(Engine(status=503), slack=NONE)
    ended = play(played.serve())
    assert ended.kind is ErrorKind.RETRIES_EXHAUSTED
    assert ended.outcome is Outcome.NOT_RUN
    assert ended.retry_after is not None


def test_a_request_that_lacks_only_a_retry_comes_back_at_once(stream):
    """It was held for half of its objective, and then told to come back after seconds.

    An engine that had to leave rejected it, and the budget of retries was used up. Its
    caller's new request is a first send and needs no retry: back after a tenth of a
    second it is in time, but it was asked back when one to two and a half answers had
    passed, and was late whatever it met.
    """
    played = stream(Engine(status=503), slack=NONE)
    ended = play(played.serve())
    assert ended.outcome is Outcome.NOT_RUN
    assert played.ended_at <= 0.05
    assert 0.05 <= ended.retry_after <= 0.15


def test_a_request_that_may_have_run_waits_for_a_retry(stream):
    """Its caller cannot be told that it has not run, and would not ask again."""
    played = stream(Engine(breaks=True, pause_after=0), slack=NONE)
    play(played.serve((0.1, played.allow(PLENTY))))
    assert played.firsts == ["a", "c"]
    assert played.caller.body == whole_answer()


def test_a_request_without_room_comes_back_after_usual_answers(stream):
    """Callers were asked back after 5 to 14 s where half of the answers took 2 s.

    The time was that of the longest of twenty answers, in place of the usual one by
    which it was chosen how many of them pass until a caller comes back. Room was there
    after two seconds, and callers were late whatever they met.
    """
    played = stream(Engine())
    for seconds in (2.0,) * 20 + (6.0,) * 2:
        played.beliefs.durations.record_answer("rooms", seconds)
    played._find = lambda *asked: Refusal(ErrorKind.OVERLOADED, "no path has memory")
    ended = play(played.serve())
    least, most = RETRY_AFTER_ANSWERS
    assert ended.kind is ErrorKind.OVERLOADED
    assert 2.0 * least <= ended.retry_after <= 2.0 * most


@pytest.mark.parametrize(
    "retry_safety", [RetrySafety.RESUMABLE_STREAM, RetrySafety.STREAM]
)
def test_a_dropped_connection_takes_no_attempt_and_no_retry(stream, retry_safety):
    """Streams were given up, within milliseconds, though their engines lived."""
    played = stream(
        Engine(drops=True), slack=NONE, attempts=1, retry_safety=retry_safety
    )
    assert play(played.serve()) is None
    assert played.caller.body == whole_answer()
    assert played.beliefs.crashes.losses(played.ended_at) == {}


def test_an_answer_waits_for_a_file_descriptor(stream):
    """It was broken off by the error that the lack of one raised."""
    played = stream(Engine(pause_after=5, breaks=True), lacks_descriptors=(0.1, 1.0))
    assert play(played.serve()) is None
    assert played.caller.body == whole_answer()


def test_a_request_is_refused_where_no_file_descriptor_is_left(stream):
    played = stream(Engine(), lacks_descriptors=(0.0, 9.0))
    ended = play(played.serve())
    assert ended.kind is ErrorKind.OVERLOADED
    assert ended.outcome is Outcome.NOT_RUN
    assert played.beliefs.suspects.excluded(played.ended_at) == set()


def test_a_defect_stops_what_an_endpoint_does_for_a_stream(stream):
    """The endpoint works on for a caller whose answer has been ended."""
    played = stream(Engine())

    def fails(status, headers, request):
        raise ValueError("a defect")

    played._head = fails
    with pytest.raises(ValueError, match="a defect"):
        play(played.serve())
    assert [run.abandoned for _, _, run in played.runs] == [True]


@pytest.mark.parametrize("resume_after", ["", str(EVENTS)])
def test_an_answer_has_no_length_of_one_run(stream, resume_after):
    """An answer without new events was promised a body, and broken off as a defect."""
    played = stream(Engine(), resume_after=resume_after)
    assert play(played.serve()) is None
    assert played.caller.whole
    assert "Content-Length" not in played.caller.headers
