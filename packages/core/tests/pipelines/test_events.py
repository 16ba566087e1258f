"""Tests of cutting a stream into whole events."""

from __future__ import annotations

from hypothesis import given, settings, strategies as st

from lacewingcourse.core.pipelines.events import EventCutter, event_id


def event(number: int, end: bytes = b"\n\n") -> bytes:
    """Return an event."""
    return b"id: %d\ndata: rooms" % number + end


def test_half_an_event_is_held_back():
    cutter = EventCutter()
    assert cutter.feed(event(1) + b"id: 2\nda") == event(1)
    assert cutter.feed(b"ta: rooms\n\n") == event(2)
    assert cutter.last_id == "2"


def test_events_before_the_place_of_resumption_are_dropped():
    cutter = EventCutter(last_id="4")
    assert cutter.feed(event(3) + event(4) + event(5)) == event(5)


def test_an_event_that_was_cut_is_not_joined_with_the_next_run():
    cutter = EventCutter()
    cutter.feed(event(1) + b"id: 2\ndata: ro")
    cutter.restart()
    assert cutter.feed(event(2)) == event(2)


def test_identifiers_are_compared_as_numbers():
    cutter = EventCutter(last_id="9")
    assert cutter.feed(event(10)) == event(10)


def test_events_may_end_with_carriage_returns():
    cutter = EventCutter()
    text = b"id: 1\r\ndata: x\r\n\r\n"
    assert cutter.feed(text) == text


def test_an_event_without_identifier_is_passed_on():
    assert EventCutter().feed(b"data: x\n\n") == b"data: x\n\n"
    assert event_id(b"data: x\n\n") is None


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(st.integers(1, 40), min_size=1), st.integers(1, 12))
def test_any_cut_of_the_bytes_gives_each_event_once(cuts, last):
    whole = b"".join(event(n) for n in range(1, last + 1))
    cutter = EventCutter()
    out, at = b"", 0
    for cut in cuts:
        out += cutter.feed(whole[at : at + cut])
        at += cut
    out += cutter.feed(whole[at:])
    assert out == whole
    assert cutter.passed == last
