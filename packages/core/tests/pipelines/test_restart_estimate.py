"""Tests of when instances that are ending are expected to be back."""

from __future__ import annotations

import pytest

from lacewingcourse.core.pipelines.peers import PEER_SILENCE_TIMEOUT, PeerTable
from lacewingcourse.core.pipelines.restart_estimate import (
    GOSSIP_PERIOD,
    MIN_WAIT,
    OVERDUE_TIME,
    READY_AFTER,
    ROTATION_TIME,
    expected_end,
)

#: Seconds in which an entry must have ended.
GRACE = 8.0


def table_of_leaving(**ends_in: float | None) -> PeerTable:
    """Return the book of entry a, which heard others at 4 that end in some time."""
    book = PeerTable("a")
    for name, seconds in ends_in.items():
        book.record_message(name, f"{name}:1", True, 4.0, ends_in=seconds)
    return book


@pytest.mark.parametrize(
    ("remaining", "end"),
    [([], 13.2), ([1.0], 13.2), ([1.0, 3.0, 2.0], 14.0), ([float("inf")], 17.6)],
)
def test_an_instance_ends_with_its_longest_answer(remaining, end):
    assert expected_end(13.2, 17.6, remaining, now=11.0) == end


def test_one_without_open_answers_that_may_end_ends_now():
    assert expected_end(13.2, 17.6, [], now=14.0) == 14.0


def test_the_first_of_several_that_end_is_waited_for():
    """Callers waited for the grace time of entries that ended seconds before."""
    book = table_of_leaving(b=3.0, c=0.5, d=2.0)
    assert book.ready_in(GRACE, 4.0, own_end=8.0) == pytest.approx(0.5 + READY_AFTER)


def test_this_entry_may_be_the_first_that_is_back():
    book = table_of_leaving(b=3.0, c=2.5)
    assert book.ready_in(GRACE, 4.0, own_end=5.0) == pytest.approx(1.0 + READY_AFTER)


def test_an_entry_that_does_not_tell_its_end_uses_its_grace_time():
    book = table_of_leaving(b=None)
    assert book.ready_in(GRACE, 4.0) == pytest.approx(GRACE + READY_AFTER)


def test_an_entry_tells_its_end_anew():
    book = table_of_leaving(b=3.0, c=3.5)
    book.record_message("b", "b:1", True, 4.2, ends_in=0.4)
    assert book.ready_in(GRACE, 4.2) == pytest.approx(0.4 + READY_AFTER)


def test_an_entry_that_fell_silent_while_ending_has_ended():
    now = 4.0 + PEER_SILENCE_TIMEOUT + 0.1
    left = 4.0 + GOSSIP_PERIOD + READY_AFTER - now
    assert table_of_leaving(b=3.0).ready_in(GRACE, now) == pytest.approx(left)


def test_an_entry_that_fell_silent_ended_when_it_told_to():
    book = table_of_leaving(b=0.05)
    now = 4.0 + PEER_SILENCE_TIMEOUT + 0.1
    assert book.first_ready(GRACE, now).ends_at == pytest.approx(4.05)


def test_callers_are_not_sent_at_once_to_an_entry_that_is_not_heard_back():
    """They came back within some milliseconds, to entries that were still ending."""
    book = table_of_leaving(b=0.0)
    now = 4.0 + READY_AFTER + 0.1
    assert book.ready_in(GRACE, now, own_end=now + 1.0) == MIN_WAIT


def test_an_entry_that_does_not_come_back_is_waited_for_no_more():
    book = table_of_leaving(b=0.0)
    now = 4.0 + READY_AFTER + OVERDUE_TIME + 0.1
    wait = book.ready_in(GRACE, now, own_end=now + 1.0)
    assert wait == pytest.approx(1.0 + READY_AFTER)


def test_an_entry_that_is_back_is_waited_for_until_callers_are_sent_to_it():
    """Callers came at once, were sent to entries still ending, and refused for good."""
    book = table_of_leaving(b=0.0, c=3.0)
    book.record_message("b", "b:1", False, 5.2)
    book.record_message("b", "b:1", False, 5.4)
    wait = book.ready_in(GRACE, 5.5, own_end=9.0)
    assert wait == pytest.approx(5.2 + ROTATION_TIME - 5.5)


def test_of_two_entries_that_are_back_the_first_is_waited_for():
    book = table_of_leaving(b=0.0, c=0.0)
    book.record_message("c", "c:1", False, 5.1)
    book.record_message("b", "b:1", False, 5.2)
    wait = book.ready_in(GRACE, 5.3, own_end=9.0)
    assert wait == pytest.approx(5.1 + ROTATION_TIME - 5.3)


def test_an_entry_of_which_others_tell_that_it_is_back_is_waited_for():
    book = table_of_leaving(b=0.0)
    book.record_report("b", "b:1", "", age=0.2, now=5.4)
    wait = book.ready_in(GRACE, 5.5, own_end=9.0)
    assert wait == pytest.approx(5.2 + ROTATION_TIME - 5.5)


def test_slow_news_of_another_entry_brings_no_ending_one_back():
    """Others had heard it before its request to end, and their word came late."""
    book = table_of_leaving(b=3.0)
    book.record_report("b", "b:1", "", age=0.15, now=4.2)
    assert book.alive(4.2) == ["a"]
    assert book.first_ready(GRACE, 4.2).describe(4.2) == "b ends in 2.8 s"


def test_an_entry_that_has_been_back_for_some_time_is_not_waited_for():
    book = table_of_leaving(b=0.0, c=3.0)
    book.record_message("b", "b:1", False, 5.2)
    book.record_message("b", "b:1", False, 5.2 + ROTATION_TIME)
    now = 5.3 + ROTATION_TIME
    assert book.first_ready(GRACE, now, own_end=9.0) is None
    assert book.ready_in(GRACE, now, own_end=9.0) == 0.0


def test_an_entry_that_did_not_end_is_not_waited_for():
    book = table_of_leaving(b=0.0)
    book.record_message("c", "c:1", False, 4.9)
    assert book.ready_in(GRACE, 5.0, own_end=9.0) == 0.0


def test_what_is_waited_for_is_told():
    first = table_of_leaving(b=1.0).first_ready(GRACE, 4.0)
    assert first.describe(4.0) == "b ends in 1.0 s"
    assert first.describe(5.5) == "b ended 0.5 s ago"
    book = table_of_leaving(b=1.0)
    book.record_message("b", "b:1", False, 7.0)
    assert book.first_ready(GRACE, 7.4).describe(7.4) == "b has been back for 0.4 s"
