"""Tests of the limits that endpoints name."""

from __future__ import annotations

from lacewingcourse.core.pipelines.request_limits import NO_LIMIT, LimitTable


def test_a_limit_holds_until_an_answer_names_none():
    limits = LimitTable()
    assert limits.named("a") == NO_LIMIT
    assert limits.hear("a", 2.5, sent_at=1.0, now=1.1)
    assert not limits.hear("a", 2.5, sent_at=1.2, now=1.3)
    assert limits.limited() == ["a"]
    assert limits.hear("a", NO_LIMIT, sent_at=1.4, now=1.5)
    assert limits.named("a") == NO_LIMIT
    assert limits.limited() == []


def test_an_answer_that_was_overtaken_ends_no_limit():
    limits = LimitTable()
    limits.hear("a", 2.5, sent_at=1.0, now=1.1)
    assert not limits.hear("a", NO_LIMIT, sent_at=1.05, now=1.2)
    assert limits.named("a") == 2.5


def test_an_endpoint_that_never_named_a_limit_is_not_kept():
    limits = LimitTable()
    assert not limits.hear("a", NO_LIMIT, sent_at=1.0, now=1.1)
    assert limits.members == {}
