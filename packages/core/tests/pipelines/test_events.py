"""Tests of splitting a stream at the ends of its events."""

from __future__ import annotations

from hypothesis import given, settings, strategies as st

from lacewingcourse.core.pipelines.events import EventSplitter


def event(number: int, end: bytes = b"\n\n") -> bytes:
    """Return an event."""
    return b"id: %d\ndata: rooms" % number + end


def test_an_incomplete_event_is_held_back():
    splitter = EventSplitter()
    assert splitter.split(event(1) + b"id: 2\nda") == [event(1)]
    assert splitter.split(b"ta: rooms\n\n") == [event(2)]
    assert splitter.pending == b""


def test_an_incomplete_event_is_not_joined_with_the_next_run():
    splitter = EventSplitter()
    splitter.split(event(1) + b"id: 2\ndata: ro")
    splitter.discard()
    assert splitter.split(event(2)) == [event(2)]


def test_events_may_end_with_carriage_returns():
    text = b"id: 1\r\ndata: x\r\n\r\n"
    assert EventSplitter().split(text) == [text]


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(st.integers(1, 40), min_size=1), st.integers(1, 12))
def test_any_split_of_the_bytes_yields_each_event_once(sizes, last):
    events = [event(n) for n in range(1, last + 1)]
    whole = b"".join(events)
    splitter = EventSplitter()
    found, at = [], 0
    for size in sizes:
        found += splitter.split(whole[at : at + size])
        at += size
    found += splitter.split(whole[at:])
    assert found == events
