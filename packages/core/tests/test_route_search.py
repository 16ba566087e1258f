"""Tests of how a stream goes from a lost attempt to its next route."""

from __future__ import annotations

from lacewingcourse.core.route_search import MAX_FRUITLESS, RouteSearch


def lost(attempts, interval):
    """Return a search after attempts that were lost at even intervals."""
    search = RouteSearch(patience=10.0)
    for number in range(attempts):
        search.lose(("e1",), number * interval)
    return search


def test_request_without_a_token_is_given_up_after_some_attempts():
    assert not lost(MAX_FRUITLESS - 1, 0.1).exhausted(False, 1.0)
    assert lost(MAX_FRUITLESS, 0.1).exhausted(False, 1.0)


def test_broken_answer_is_tried_for_its_patience():
    search = lost(MAX_FRUITLESS * 2, 0.1)
    assert not search.exhausted(True, 9.9)
    assert search.exhausted(True, 10.0)


def test_patience_starts_anew_after_progress():
    search = lost(MAX_FRUITLESS, 0.1)
    search.fruitless = 0
    search.lose(("e2",), 20.0)
    assert search.lost_since == 20.0
