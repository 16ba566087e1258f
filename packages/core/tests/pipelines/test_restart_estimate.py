"""Tests of when instances that restart are expected to accept connections."""

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

#: Seconds in which an entry that is shutting down must have ended.
GRACE = 8.0


def table_of_leaving(**ends_in: float | None) -> PeerTable:
    """Return the table of entry a, to which others reported at 4 when they end."""
    table = PeerTable("a")
    for name, seconds in ends_in.items():
        table.record_message(name, f"{name}:1", True, 4.0, ends_in=seconds)
    return table


@pytest.mark.parametrize(
    ("remaining", "end"),
    [([], 13.2), ([1.0], 13.2), ([1.0, 3.0, 2.0], 14.0), ([float("inf")], 17.6)],
)
def test_an_instance_is_expected_to_end_with_its_longest_answer(remaining, end):
    assert expected_end(13.2, 17.6, remaining, now=11.0) == end


def test_an_instance_without_open_answers_ends_at_once():
    assert expected_end(13.2, 17.6, [], now=14.0) == 14.0


def test_callers_wait_for_the_first_entry_to_end():
    """Callers must not wait for the grace time of entries that end seconds earlier."""
    table = table_of_leaving(b=3.0, c=0.5, d=2.0)
    assert table.ready_in(GRACE, 4.0, own_end=8.0) == pytest.approx(0.5 + READY_AFTER)


def test_this_entry_may_be_the_first_to_return():
    table = table_of_leaving(b=3.0, c=2.5)
    assert table.ready_in(GRACE, 4.0, own_end=5.0) == pytest.approx(1.0 + READY_AFTER)


def test_an_entry_without_a_reported_end_uses_the_grace_time():
    table = table_of_leaving(b=None)
    assert table.ready_in(GRACE, 4.0) == pytest.approx(GRACE + READY_AFTER)


def test_a_later_report_updates_the_expected_end():
    table = table_of_leaving(b=3.0, c=3.5)
    table.record_message("b", "b:1", True, 4.2, ends_in=0.4)
    assert table.ready_in(GRACE, 4.2) == pytest.approx(0.4 + READY_AFTER)


def test_an_entry_that_falls_silent_during_shutdown_has_ended():
    now = 4.0 + PEER_SILENCE_TIMEOUT + 0.1
    left = 4.0 + GOSSIP_PERIOD + READY_AFTER - now
    assert table_of_leaving(b=3.0).ready_in(GRACE, now) == pytest.approx(left)


def test_a_silent_entry_ended_no_later_than_it_reported():
    table = table_of_leaving(b=0.05)
    now = 4.0 + PEER_SILENCE_TIMEOUT + 0.1
    assert table.first_ready(GRACE, now).ends_at == pytest.approx(4.05)


def test_callers_wait_at_least_for_the_minimum_until_an_entry_returns():
    """Callers that retry at once reach entries that still shut down."""
    table = table_of_leaving(b=0.0)
    now = 4.0 + READY_AFTER + 0.1
    assert table.ready_in(GRACE, now, own_end=now + 1.0) == MIN_WAIT


def test_an_overdue_entry_is_not_waited_for():
    table = table_of_leaving(b=0.0)
    now = 4.0 + READY_AFTER + OVERDUE_TIME + 0.1
    wait = table.ready_in(GRACE, now, own_end=now + 1.0)
    assert wait == pytest.approx(1.0 + READY_AFTER)


def test_callers_wait_until_a_returned_entry_is_in_rotation():
    """Callers that retry at once reach entries that still shut down."""
    table = table_of_leaving(b=0.0, c=3.0)
    table.record_message("b", "b:1", False, 5.2)
    table.record_message("b", "b:1", False, 5.4)
    wait = table.ready_in(GRACE, 5.5, own_end=9.0)
    assert wait == pytest.approx(5.2 + ROTATION_TIME - 5.5)


def test_callers_wait_for_the_first_of_two_returned_entries():
    table = table_of_leaving(b=0.0, c=0.0)
    table.record_message("c", "c:1", False, 5.1)
    table.record_message("b", "b:1", False, 5.2)
    wait = table.ready_in(GRACE, 5.3, own_end=9.0)
    assert wait == pytest.approx(5.1 + ROTATION_TIME - 5.3)


def test_a_return_reported_by_a_peer_counts():
    table = table_of_leaving(b=0.0)
    table.record_report("b", "b:1", "", age=0.2, now=5.4)
    wait = table.ready_in(GRACE, 5.5, own_end=9.0)
    assert wait == pytest.approx(5.2 + ROTATION_TIME - 5.5)


def test_a_late_report_does_not_mark_a_leaving_entry_as_returned():
    """A peer's report of a message from before the shutdown may arrive after it."""
    table = table_of_leaving(b=3.0)
    table.record_report("b", "b:1", "", age=0.15, now=4.2)
    assert table.alive(4.2) == ["a"]
    assert table.first_ready(GRACE, 4.2).describe(4.2) == "b ends in 2.8 s"


def test_callers_do_not_wait_for_an_entry_in_rotation():
    table = table_of_leaving(b=0.0, c=3.0)
    table.record_message("b", "b:1", False, 5.2)
    table.record_message("b", "b:1", False, 5.2 + ROTATION_TIME)
    now = 5.3 + ROTATION_TIME
    assert table.first_ready(GRACE, now, own_end=9.0) is None
    assert table.ready_in(GRACE, now, own_end=9.0) == 0.0


def test_callers_do_not_wait_while_another_entry_serves():
    table = table_of_leaving(b=0.0)
    table.record_message("c", "c:1", False, 4.9)
    assert table.ready_in(GRACE, 5.0, own_end=9.0) == 0.0


def test_a_restart_is_described_for_the_log():
    first = table_of_leaving(b=1.0).first_ready(GRACE, 4.0)
    assert first.describe(4.0) == "b ends in 1.0 s"
    assert first.describe(5.5) == "b ended 0.5 s ago"
    table = table_of_leaving(b=1.0)
    table.record_message("b", "b:1", False, 7.0)
    assert table.first_ready(GRACE, 7.4).describe(7.4) == "b has been back for 0.4 s"
