"""Tests of which silent streams are checked for a stall."""

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

#: Seconds that a route allows between two events, and its objective in seconds.
GAP = 0.2
OBJECTIVE = 0.5


def path_of(*endpoints: str) -> Path:
    """Return a path through endpoints."""
    parts = [
        Part(name, f"{name}:1", "east", Layers(i, i + 1))
        for i, name in enumerate(endpoints)
    ]
    return Path(tuple(parts), 5.0)


def begin_with_event(watch: StallWatch, path: Path, now: float):
    """Return a watched stream whose first event has arrived."""
    watched = watch.begin(path, now, GAP, OBJECTIVE)
    watched.progress(now)
    return watched


def test_a_stream_with_a_recent_event_is_not_suspected():
    watch = StallWatch()
    begin_with_event(watch, path_of("a", "b"), 0.0)
    assert watch.silent(0.05) == []


def test_a_stream_is_suspected_when_an_endpoint_is_silent():
    watch = StallWatch()
    watched = begin_with_event(watch, path_of("a", "b"), 0.0)
    (silence,) = watch.silent(MAX_SILENCE_SHARE * GAP + 0.01)
    assert silence.watched is watched
    assert silence.silent_parts == watched.path.parts


def test_only_silent_endpoints_are_suspected():
    watch = StallWatch()
    watched = begin_with_event(watch, path_of("a", "b"), 0.0)
    begin_with_event(watch, path_of("a", "c"), 0.0).progress(0.19)
    (silence,) = watch.silent(0.2)
    assert silence.watched is watched
    assert [part.endpoint for part in silence.silent_parts] == ["b"]


def test_a_stream_is_not_suspected_while_others_use_all_its_endpoints():
    watch = StallWatch()
    begin_with_event(watch, path_of("a", "b"), 0.0)
    other = begin_with_event(watch, path_of("a", "b", "c"), 0.0)
    other.progress(0.19)
    assert watch.silent(0.2) == []


def test_a_slow_stream_has_a_longer_timeout():
    watch = StallWatch()
    watched = begin_with_event(watch, path_of("a"), 0.0)
    for at in range(1, 30):
        watched.progress(at * 0.045)
    assert MIN_SILENCE_SHARE * GAP < watched.silence_timeout <= MAX_SILENCE_SHARE * GAP


def test_a_stream_without_an_event_has_its_own_timeout():
    watch = StallWatch()
    watched = watch.begin(path_of("a"), 0.0, GAP, OBJECTIVE)
    assert watch.silent(FIRST_EVENT_SHARE * OBJECTIVE - 0.01) == []
    (silence,) = watch.silent(FIRST_EVENT_SHARE * OBJECTIVE + 0.01)
    assert silence.watched is watched


def test_an_ended_stream_is_not_watched():
    watch = StallWatch()
    watch.end(begin_with_event(watch, path_of("a"), 0.0))
    assert watch.silent(10.0) == []


def stream_with_events(watch: StallWatch, path: Path, until: float):
    """Return a stream that receives an event every 20 milliseconds until a time."""
    watched = begin_with_event(watch, path, 0.0)
    for step in range(1, round(until / 0.02) + 1):
        watched.progress(step * 0.02)
    return watched


def test_streams_that_fall_silent_together_are_cut_off():
    watch = StallWatch()
    first = stream_with_events(watch, path_of("a", "x"), 1.0)
    second = stream_with_events(watch, path_of("b", "x"), 1.0)
    stream_with_events(watch, path_of("b", "c"), 1.2)
    found = {
        silence.watched: {part.endpoint for part in silence.silent_parts}
        for silence in watch.cut_off(1.2)
    }
    assert found == {first: {"a", "x"}, second: {"x"}}


def test_streams_are_not_cut_off_before_the_early_timeout():
    watch = StallWatch()
    stream_with_events(watch, path_of("a", "x"), 1.0)
    stream_with_events(watch, path_of("b", "x"), 1.0)
    stream_with_events(watch, path_of("c"), 1.2)
    assert watch.cut_off(1.0 + EARLY_SHARE * GAP - 0.01) == []


def test_a_single_silent_stream_is_not_cut_off():
    watch = StallWatch()
    stream_with_events(watch, path_of("a", "x"), 1.0)
    stream_with_events(watch, path_of("c"), 1.2)
    assert watch.cut_off(1.2) == []


def test_nothing_is_cut_off_while_all_streams_are_silent():
    watch = StallWatch()
    stream_with_events(watch, path_of("a", "x"), 1.0)
    stream_with_events(watch, path_of("b", "x"), 1.0)
    stream_with_events(watch, path_of("c"), 1.0)
    assert watch.cut_off(1.2) == []
