"""Tests of splitting a stream into complete events."""

from __future__ import annotations

from hypothesis import given, settings, strategies as st

from lacewingcourse.core.pipelines.event_numbering import event_position
from lacewingcourse.core.pipelines.events import EventSplitter


def event(number: int, end: bytes = b"\n\n") -> bytes:
    """Return an event."""
    return b"id: %d\ndata: rooms" % number + end


def test_an_incomplete_event_is_held_back():
    splitter = EventSplitter()
    assert splitter.feed(event(1) + b"id: 2\nda") == event(1)
    assert splitter.feed(b"ta: rooms\n\n") == event(2)
    assert splitter.last_id == "2"


def test_events_up_to_the_resume_position_are_dropped():
    splitter = EventSplitter(last_id="4")
    assert splitter.feed(event(3) + event(4) + event(5)) == event(5)


def test_an_incomplete_event_is_not_joined_with_the_next_run():
    splitter = EventSplitter()
    splitter.feed(event(1) + b"id: 2\ndata: ro")
    splitter.discard_pending()
    assert splitter.feed(event(2)) == event(2)


def test_identifiers_are_compared_as_numbers():
    splitter = EventSplitter(last_id="9")
    assert splitter.feed(event(10)) == event(10)


def test_events_may_end_with_carriage_returns():
    splitter = EventSplitter()
    text = b"id: 1\r\ndata: x\r\n\r\n"
    assert splitter.feed(text) == text


def test_an_event_without_identifier_is_forwarded():
    assert EventSplitter().feed(b"data: x\n\n") == b"data: x\n\n"
    assert event_position(b"data: x\n\n") is None


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(st.integers(1, 40), min_size=1), st.integers(1, 12))
def test_any_split_of_the_bytes_yields_each_event_once(sizes, last):
    whole = b"".join(event(n) for n in range(1, last + 1))
    splitter = EventSplitter()
    out, at = b"", 0
    for size in sizes:
        out += splitter.feed(whole[at : at + size])
        at += size
    out += splitter.feed(whole[at:])
    assert out == whole
    assert splitter.forwarded == last
