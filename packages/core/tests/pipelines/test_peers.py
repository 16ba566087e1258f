"""Tests of which entries are alive, their ranks, and when they read."""

from __future__ import annotations

from lacewingcourse.core.pipelines.freshness import MIN_RETRY_DELAY, Freshness
from lacewingcourse.core.pipelines.peers import (
    PEER_RETENTION,
    PEER_SILENCE_TIMEOUT,
    PeerTable,
)
from lacewingcourse.core.pipelines.restart_estimate import READY_AFTER, ROTATION_TIME


def table_of(name: str, others: str, last_message_at: float) -> PeerTable:
    """Return the table of an entry that received messages of others."""
    table = PeerTable(name)
    for other in others:
        table.record_message(other, f"{other}:1", False, last_message_at)
    return table


def test_entries_are_ranked_by_name():
    assert table_of("a", "bc", 0.0).rank(0.0) == 0
    assert table_of("c", "ab", 0.0).rank(0.0) == 2


def test_a_silent_entry_has_no_rank():
    table = table_of("c", "ab", 0.0)
    table.record_message("b", "b:1", False, PEER_SILENCE_TIMEOUT)
    assert table.rank(PEER_SILENCE_TIMEOUT + 0.1) == 1


def test_a_leaving_entry_has_no_rank():
    table = table_of("b", "a", 0.0)
    table.record_message("a", "a:1", True, 0.1)
    assert table.rank(0.1) == 0


def test_only_one_of_two_entries_contacts_the_other():
    assert [p.name for p in table_of("b", "ac", 0.0).gossip_targets(0.1)] == ["c"]


def test_a_silent_entry_is_contacted():
    table = table_of("b", "ac", 0.0)
    assert [p.name for p in table.gossip_targets(PEER_SILENCE_TIMEOUT)] == ["c", "a"]


def test_silent_entries_are_removed():
    table = table_of("b", "a", 0.0)
    table.expire(PEER_RETENTION + 1)
    assert table.peers == {}


def test_entries_after_the_first_read_once_their_knowledge_is_old():
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


def test_an_earlier_confirmation_does_not_replace_a_later_one():
    freshness = Freshness(takeover_age=1.0, takeover_step=0.1)
    freshness.confirm(10.0)
    freshness.confirm(9.0)
    assert freshness.age(10.0) == 0.0


def test_a_read_is_due_after_expiry():
    freshness = Freshness(takeover_age=1.0, takeover_step=0.1)
    freshness.confirm(10.0)
    for _ in range(4):
        freshness.failed(now=10.0, draw=0.0)
    freshness.expire()
    assert freshness.due(3, now=10.1)


def test_callers_do_not_wait_while_one_entry_is_not_leaving():
    table = table_of("a", "bc", 0.0)
    table.record_message("b", "b:1", True, 0.1)
    assert table.ready_in(8.0, now=0.2) == 0.0


def test_callers_wait_for_the_entry_that_began_to_leave_first():
    """Callers sent back at once would reach entries that refuse them again."""
    table = table_of("a", "bc", 0.0)
    table.record_message("b", "b:1", True, 2.0)
    table.record_message("c", "c:1", True, 4.0)
    table.record_message("b", "b:1", True, 5.0)
    assert table.ready_in(8.0, now=5.0) == 2.0 + 8.0 + READY_AFTER - 5.0


def test_a_restarted_entry_is_not_leaving():
    table = table_of("a", "b", 0.0)
    table.record_message("b", "b:1", True, 2.0)
    table.record_message("b", "b:1", False, 10.5)
    assert table.ready_in(8.0, now=10.6) == 10.5 + ROTATION_TIME - 10.6
    table.record_message("b", "b:1", False, 10.5 + ROTATION_TIME)
    assert table.ready_in(8.0, now=10.5 + ROTATION_TIME) == 0.0
    assert table.peers["b"].leaving_since is None
