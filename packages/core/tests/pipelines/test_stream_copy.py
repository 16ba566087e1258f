"""Tests of which bytes of a stream's runs its caller gets."""

from __future__ import annotations

import pytest

from lacewingcourse.core.pipelines.event_form import EventDefect
from lacewingcourse.core.pipelines.stream_copy import (
    MAX_COMMENTS,
    MAX_EVENT_BYTES,
    StreamCopy,
)


def event(number: int, end: bytes = b"\n\n") -> bytes:
    """Return an event."""
    return b"id: %d\ndata: rooms" % number + end


def events(*numbers: int) -> bytes:
    """Return several events."""
    return b"".join(map(event, numbers))


@pytest.fixture
def copy() -> StreamCopy:
    """The copy of a caller that has four events of a run that broke off."""
    copy = StreamCopy()
    assert copy.feed(events(1, 2, 3, 4)) == events(1, 2, 3, 4)
    copy.begin_run()
    return copy


def test_events_are_forwarded_as_they_come():
    copy = StreamCopy()
    assert copy.feed(event(1) + b"id: 2\nda") == event(1)
    assert copy.feed(b"ta: rooms\n\n") == event(2)
    assert copy.last_id == "2"
    assert copy.may_end


def test_events_that_the_caller_has_are_dropped(copy):
    assert copy.feed(events(3, 4, 5)) == event(5)
    assert copy.dropped == 2


def test_ids_are_compared_as_numbers():
    copy = StreamCopy("9")
    assert copy.feed(event(10)) == event(10)


def test_an_incomplete_event_is_not_joined_with_the_next_run():
    copy = StreamCopy()
    copy.feed(event(1) + b"id: 2\ndata: ro")
    copy.begin_run()
    assert copy.feed(event(2)) == event(2)


@pytest.mark.parametrize("first", [0, 3])
def test_a_first_event_with_another_number_waits_for_the_second_one(first):
    copy = StreamCopy()
    assert copy.feed(event(first)) == b""
    assert copy.feed(event(first + 3)) == events(first, first + 3)
    assert copy.feed(event(first + 6)) == event(first + 6)


def test_an_only_event_with_another_number_is_forwarded_at_the_end():
    copy = StreamCopy()
    copy.feed(event(7))
    assert copy.may_end
    assert copy.finish() == event(7)


def test_an_event_that_is_shorter_than_a_step_is_forwarded_at_the_end():
    copy = StreamCopy()
    copy.feed(events(3, 6, 9, 12))
    assert copy.feed(event(14)) == b""
    assert copy.finish() == event(14)


def test_an_event_that_is_shorter_than_a_step_and_not_the_last_is_not_forwarded():
    copy = StreamCopy()
    copy.feed(events(3, 6, 9, 12))
    assert copy.feed(events(14, 18)) == b""
    assert copy.unsound.defect is EventDefect.GAP


@pytest.mark.parametrize(
    ("data", "defect"),
    [
        (event(2), EventDefect.NOT_RISING),
        (event(4), EventDefect.NOT_RISING),
        (event(6), EventDefect.GAP),
        (event(96), EventDefect.GAP),
        (b"data: rooms\n\n", EventDefect.NO_ID),
        (b"\xff\n\n", EventDefect.NOT_TEXT),
    ],
)
def test_nothing_is_forwarded_from_the_first_unsound_bytes_on(data, defect):
    copy = StreamCopy()
    copy.feed(events(1, 2, 3, 4))
    assert copy.feed(data + event(5)) == b""
    assert copy.feed(event(5)) == b""
    assert copy.unsound.defect is defect
    assert (copy.unsound.data, copy.unsound.after) == (data, "4")
    assert not copy.may_end
    contradicts = defect in (EventDefect.NOT_RISING, EventDefect.GAP)
    assert copy.is_continuable == (not contradicts)


def test_noise_after_a_seam_does_not_put_the_seam_in_doubt(copy):
    assert copy.feed(event(5) + b"noise\n\n") == event(5)
    assert copy.is_continuable


def test_a_wrong_number_after_a_seam_puts_the_seam_in_doubt(copy):
    assert copy.feed(events(5, 7)) == event(5)
    assert not copy.is_continuable


def test_a_run_that_repeats_from_its_beginning_after_the_callers_event_has_failed():
    copy = StreamCopy("12")
    assert copy.feed(events(1, 2)) == b""
    assert copy.unsound.defect is EventDefect.NOT_RISING
    assert copy.last_id == "12"


def test_comments_go_with_the_event_that_follows_them():
    copy = StreamCopy()
    assert copy.feed(b": ping\n\n\n\n") == b""
    assert copy.feed(event(1)) == b": ping\n\n\n\n" + event(1)
    assert copy.feed(b": ping\n\n") == b""
    assert copy.finish() == b": ping\n\n"


@pytest.mark.parametrize("data", [b"x", b": x\n\n", b"\n\n"])
def test_a_run_without_an_end_of_an_event_fails(data):
    copy = StreamCopy()
    assert copy.feed(data * (MAX_EVENT_BYTES + 1)) == b""
    assert copy.unsound.defect is EventDefect.OVERSIZED


@pytest.mark.parametrize("rest", [b": bye\n", b"\n", b"\r\n: bye\r\n"])
def test_a_run_may_end_with_a_comment_or_line_ends(rest):
    copy = StreamCopy()
    copy.feed(event(1) + rest)
    assert copy.may_end
    assert copy.finish() == rest


def test_a_run_that_ends_inside_a_comment_has_failed():
    copy = StreamCopy()
    copy.feed(event(1) + b": by")
    assert not copy.may_end


def test_a_run_that_ends_inside_an_event_has_failed():
    copy = StreamCopy()
    copy.feed(event(1) + b"id: 2")
    assert not copy.may_end
    copy.check_end()
    assert copy.unsound.defect is EventDefect.TRUNCATED
    assert copy.is_continuable


@pytest.mark.parametrize("comment", [b"\n\n", b"\n\r\n", b": wait\n\n"])
def test_comments_without_end_are_read_up_to_a_number(comment):
    """Guards against line ends without end, each of which was read as an event."""
    copy = StreamCopy()
    for _ in range(3):
        assert copy.feed(comment * MAX_COMMENTS) == b""
        number = copy.forwarded + 1
        event = b"id: %d\ndata: a\n\n" % number
        assert copy.feed(event) == comment * MAX_COMMENTS + event
    copy.feed(comment * (MAX_COMMENTS + 1))
    assert copy.unsound.defect is EventDefect.OVERSIZED
