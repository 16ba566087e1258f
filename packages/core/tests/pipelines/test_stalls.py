"""Tests of which silent streams are looked at."""

from __future__ import annotations

from lacewingcourse.core.pipelines.path import Part, Path
from lacewingcourse.core.pipelines.shape import Layers
from lacewingcourse.core.pipelines.stalls import (
    EARLY_SHARE,
    FIRST_EVENT_SHARE,
    MAX_SILENCE_SHARE,
    MIN_SILENCE_SHARE,
    StallWatch,
)

#: Seconds that a route allows between two events, and in which it wants the first.
GAP = 0.2
OBJECTIVE = 0.5


def path_of(*endpoints: str) -> Path:
    """Return a path through endpoints."""
    parts = [
        Part(name, f"{name}:1", "east", Layers(i, i + 1))
        for i, name in enumerate(endpoints)
    ]
    return Path(tuple(parts), 5.0)


def begun(watch: StallWatch, path: Path, now: float):
    """Return a watched stream whose first event has arrived."""
    watched = watch.begin(path, now, GAP, OBJECTIVE)
    watched.progress(now)
    return watched


def test_a_stream_that_was_just_heard_is_left_alone():
    watch = StallWatch()
    begun(watch, path_of("a", "b"), 0.0)
    assert watch.silent(0.05) == []


def test_a_stream_is_looked_at_when_nothing_passes_an_endpoint():
    watch = StallWatch()
    watched = begun(watch, path_of("a", "b"), 0.0)
    (silence,) = watch.silent(MAX_SILENCE_SHARE * GAP + 0.01)
    assert silence.watched is watched
    assert silence.silent_parts == watched.path.parts


def test_only_the_endpoints_that_nothing_passed_are_in_question():
    watch = StallWatch()
    watched = begun(watch, path_of("a", "b"), 0.0)
    begun(watch, path_of("a", "c"), 0.0).progress(0.19)
    (silence,) = watch.silent(0.2)
    assert silence.watched is watched
    assert [part.endpoint for part in silence.silent_parts] == ["b"]


def test_a_stream_is_left_alone_while_others_pass_all_its_endpoints():
    watch = StallWatch()
    begun(watch, path_of("a", "b"), 0.0)
    other = begun(watch, path_of("a", "b", "c"), 0.0)
    other.progress(0.19)
    assert watch.silent(0.2) == []


def test_a_slow_stream_has_more_patience():
    watch = StallWatch()
    watched = begun(watch, path_of("a"), 0.0)
    for at in range(1, 30):
        watched.progress(at * 0.045)
    assert MIN_SILENCE_SHARE * GAP < watched.silence_timeout <= MAX_SILENCE_SHARE * GAP


def test_a_stream_without_an_event_is_looked_at_later():
    watch = StallWatch()
    watched = watch.begin(path_of("a"), 0.0, GAP, OBJECTIVE)
    assert watch.silent(FIRST_EVENT_SHARE * OBJECTIVE - 0.01) == []
    (silence,) = watch.silent(FIRST_EVENT_SHARE * OBJECTIVE + 0.01)
    assert silence.watched is watched


def test_an_ended_stream_is_forgotten():
    watch = StallWatch()
    watch.end(begun(watch, path_of("a"), 0.0))
    assert watch.silent(10.0) == []


def flowing(watch: StallWatch, path: Path, until: float):
    """Return a stream that gets an event every 20 milliseconds until a time."""
    watched = begun(watch, path, 0.0)
    for step in range(1, round(until / 0.02) + 1):
        watched.progress(step * 0.02)
    return watched


def test_streams_that_fell_silent_together_look_cut_off():
    watch = StallWatch()
    first = flowing(watch, path_of("a", "x"), 1.0)
    second = flowing(watch, path_of("b", "x"), 1.0)
    flowing(watch, path_of("b", "c"), 1.2)
    found = {
        silence.watched: {part.endpoint for part in silence.silent_parts}
        for silence in watch.cut_off(1.2)
    }
    assert found == {first: {"a", "x"}, second: {"x"}}


def test_streams_are_not_cut_off_before_their_pauses_are_long():
    watch = StallWatch()
    flowing(watch, path_of("a", "x"), 1.0)
    flowing(watch, path_of("b", "x"), 1.0)
    flowing(watch, path_of("c"), 1.2)
    assert watch.cut_off(1.0 + EARLY_SHARE * GAP - 0.01) == []


def test_one_silent_stream_alone_may_only_wait_for_memory():
    watch = StallWatch()
    flowing(watch, path_of("a", "x"), 1.0)
    flowing(watch, path_of("c"), 1.2)
    assert watch.cut_off(1.2) == []


def test_nothing_is_cut_off_while_this_entry_hears_nobody():
    watch = StallWatch()
    flowing(watch, path_of("a", "x"), 1.0)
    flowing(watch, path_of("b", "x"), 1.0)
    flowing(watch, path_of("c"), 1.0)
    assert watch.cut_off(1.2) == []
