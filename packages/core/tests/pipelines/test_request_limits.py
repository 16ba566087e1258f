"""Tests of the limits that endpoints advertise."""

from __future__ import annotations

import pytest

from lacewingcourse.core.pipelines.request_limits import NO_LIMIT, LimitTable


def test_a_limit_holds_until_an_answer_names_none():
    limits = LimitTable()
    assert limits.named("a") == NO_LIMIT
    assert limits.observe("a", 2.5, sent_at=1.0, now=1.1)
    assert not limits.observe("a", 2.5, sent_at=1.2, now=1.3)
    assert limits.limited() == ["a"]
    assert limits.observe("a", NO_LIMIT, sent_at=1.4, now=1.5)
    assert limits.named("a") == NO_LIMIT
    assert limits.limited() == []


def test_an_answer_to_an_earlier_request_withdraws_no_limit():
    limits = LimitTable()
    limits.observe("a", 2.5, sent_at=1.0, now=1.1)
    assert not limits.observe("a", NO_LIMIT, sent_at=1.05, now=1.2)
    assert limits.named("a") == 2.5


def test_an_endpoint_that_never_advertised_a_limit_is_not_recorded():
    limits = LimitTable()
    assert not limits.observe("a", NO_LIMIT, sent_at=1.0, now=1.1)
    assert limits.members == {}


@pytest.mark.parametrize(
    ("limits", "decreases"),
    [((2.0,), 1), ((2.0, 1.9, 2.1, 1.9, 2.0), 1), ((2.0, 1.0), 2)],
)
def test_small_changes_of_a_limit_are_no_decrease(limits, decreases):
    """A decrease is reported to all entries at once, which costs a message round."""
    table = LimitTable()
    seen = []
    table.on_decrease = seen.append
    for limit in limits:
        table.observe("a", limit, 1.0, 1.1)
    assert len(seen) == decreases


def test_the_newest_report_of_a_limit_counts():
    table = LimitTable()
    assert table.from_peer("a", 2.0, age=1.0, now=5.0)
    assert not table.from_peer("a", NO_LIMIT, age=2.0, now=5.0)
    assert table.named("a") == 2.0
    assert table.from_peer("a", NO_LIMIT, age=0.5, now=5.0)
    assert table.named("a") == NO_LIMIT


def test_an_old_report_does_not_restore_a_limit():
    table = LimitTable()
    table.observe("a", 2.0, sent_at=1.0, now=1.1)
    table.observe("a", NO_LIMIT, sent_at=1.2, now=1.3)
    assert not table.from_peer("a", 2.0, age=0.5, now=1.6)
    assert table.named("a") == NO_LIMIT
