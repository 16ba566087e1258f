"""Tests of endpoints that are left out for a while."""

from __future__ import annotations

import pytest

from lacewingcourse.core.pipelines.suspects import FIRST_EXCLUSION, Suspects, is_full


def test_an_endpoint_is_left_out_and_comes_back():
    suspects = Suspects()
    suspects.suspect("a", "reset", now=0.0)
    assert suspects.excluded(FIRST_EXCLUSION - 0.1) == {"a"}
    assert suspects.excluded(FIRST_EXCLUSION) == set()


def test_further_failures_leave_it_out_for_longer():
    suspects = Suspects()
    suspects.suspect("a", "reset", now=0.0)
    again = suspects.suspect("a", "reset", now=FIRST_EXCLUSION)
    assert again.until == FIRST_EXCLUSION + 2 * FIRST_EXCLUSION


def test_what_a_peer_told_is_not_passed_on():
    suspects = Suspects()
    suspects.from_peer("a", 1.5, now=0.0)
    assert suspects.excluded(1.0) == {"a"}
    assert suspects.remaining(1.0) == {}


@pytest.mark.parametrize(
    ("misdirected", "filled", "full"),
    [(False, 0.95, True), (False, 0.1, False), (True, 0.95, False)],
    ids=["full", "dead", "without the layers"],
)
def test_only_an_endpoint_without_memory_is_left_to_others(misdirected, filled, full):
    assert is_full(misdirected, filled) is full


def test_only_what_does_not_answer_is_silent():
    suspects = Suspects()
    suspects.suspect("a", "rejected with 503", now=0.0)
    suspects.suspect("b", "no report", now=0.0, silent=True)
    suspects.from_peer("c", 2.0, now=0.0)
    suspects.from_peer("d", 2.0, now=0.0, silent=True)
    assert suspects.excluded(0.1) == set("abcd")
    assert suspects.silent(0.1) == {"b", "d"}
    assert suspects.silent(10.0) == set()


def test_one_that_is_left_out_already_may_turn_out_to_be_silent():
    suspects = Suspects()
    suspects.suspect("a", "rejected with 503", now=0.0)
    suspects.suspect("a", "no report", now=0.1, silent=True)
    suspects.suspect("b", "rejected with 503", now=0.0)
    suspects.from_peer("b", 1.0, now=0.1, silent=True)
    suspects.from_peer("b", 1.0, now=0.2, silent=False)
    assert suspects.silent(0.3) == {"a", "b"}
