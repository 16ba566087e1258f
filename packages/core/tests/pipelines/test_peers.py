"""Tests of which entries are alive, and which of them reads."""

from __future__ import annotations

from lacewingcourse.core.pipelines.freshness import MIN_RETRY_DELAY, Freshness
from lacewingcourse.core.pipelines.peers import (
    PEER_RETENTION,
    PEER_SILENCE_TIMEOUT,
    PeerTable,
)
from lacewingcourse.core.pipelines.restart_estimate import READY_AFTER, ROTATION_TIME


def book_of(name: str, others: str, heard_at: float) -> PeerTable:
    """Return the book of an entry that heard others."""
    book = PeerTable(name)
    for other in others:
        book.record_message(other, f"{other}:1", False, heard_at)
    return book


def test_the_first_live_entry_by_name_has_rank_nought():
    assert book_of("a", "bc", 0.0).rank(0.0) == 0
    assert book_of("c", "ab", 0.0).rank(0.0) == 2


def test_a_silent_entry_gives_up_its_rank():
    book = book_of("c", "ab", 0.0)
    book.record_message("b", "b:1", False, PEER_SILENCE_TIMEOUT)
    assert book.rank(PEER_SILENCE_TIMEOUT + 0.1) == 1


def test_a_leaving_entry_gives_up_its_rank():
    book = book_of("b", "a", 0.0)
    book.record_message("a", "a:1", True, 0.1)
    assert book.rank(0.1) == 0


def test_of_two_entries_one_speaks():
    assert [p.name for p in book_of("b", "ac", 0.0).gossip_targets(0.1)] == ["c"]


def test_an_entry_that_went_silent_is_spoken_to():
    book = book_of("b", "ac", 0.0)
    assert [p.name for p in book.gossip_targets(PEER_SILENCE_TIMEOUT)] == ["c", "a"]


def test_entries_are_forgotten_in_the_end():
    book = book_of("b", "a", 0.0)
    book.expire(PEER_RETENTION + 1)
    assert book.peers == {}


def test_the_first_entry_reads_and_the_others_when_their_knowledge_ages():
    freshness = Freshness(takeover_age=1.0, takeover_step=0.1)
    freshness.confirm(10.0)
    assert freshness.due(0, now=10.0)
    assert not freshness.due(1, now=11.0)
    assert freshness.due(1, now=11.05)
    assert not freshness.due(2, now=11.05)
    assert freshness.due(2, now=11.15)


def test_a_failed_read_is_not_repeated_at_once():
    freshness = Freshness(takeover_age=1.0, takeover_step=0.1)
    freshness.failed(now=5.0, draw=0.0)
    assert not freshness.due(0, now=5.0 + MIN_RETRY_DELAY - 0.01)
    assert freshness.due(0, now=5.0 + MIN_RETRY_DELAY)


def test_confirmation_never_goes_back():
    freshness = Freshness(takeover_age=1.0, takeover_step=0.1)
    freshness.confirm(10.0)
    freshness.confirm(9.0)
    assert freshness.age(10.0) == 0.0


def test_knowledge_from_before_a_freeze_is_read_again():
    freshness = Freshness(takeover_age=1.0, takeover_step=0.1)
    freshness.confirm(10.0)
    for _ in range(4):
        freshness.failed(now=10.0, draw=0.0)
    freshness.expire()
    assert freshness.due(3, now=10.1)


def test_another_entry_takes_connections_at_once_while_one_is_not_ending():
    book = book_of("a", "bc", 0.0)
    book.record_message("b", "b:1", True, 0.1)
    assert book.ready_in(8.0, now=0.2) == 0.0


def test_while_all_are_ending_the_first_that_was_asked_to_is_waited_for():
    """Callers had been sent back at once, to entries that refused them again."""
    book = book_of("a", "bc", 0.0)
    book.record_message("b", "b:1", True, 2.0)
    book.record_message("c", "c:1", True, 4.0)
    book.record_message("b", "b:1", True, 5.0)
    assert book.ready_in(8.0, now=5.0) == 2.0 + 8.0 + READY_AFTER - 5.0


def test_an_entry_that_was_restarted_is_ending_no_more():
    book = book_of("a", "b", 0.0)
    book.record_message("b", "b:1", True, 2.0)
    book.record_message("b", "b:1", False, 10.5)
    assert book.ready_in(8.0, now=10.6) == 10.5 + ROTATION_TIME - 10.6
    book.record_message("b", "b:1", False, 10.5 + ROTATION_TIME)
    assert book.ready_in(8.0, now=10.5 + ROTATION_TIME) == 0.0
    assert book.peers["b"].leaving_since is None
