"""Tests of how requests to a limited endpoint are counted."""

from __future__ import annotations

from lacewingcourse.testing.limit_check import LimitCheck


def check_of(count, told=0.5):
    """Return a check of an endpoint that gets as many requests in the fourth second."""
    check = LimitCheck(limit=1.0, named_at=0.0)
    check.pass_on("e", told)
    check.arrivals = [(3.0 + n / 100, "e") for n in range(count)]
    return check


def test_half_as_much_again_as_the_limit_and_some_more_are_allowed():
    assert check_of(11).breaches() == []
    assert [breach.got for breach in check_of(12).breaches()] == [12]


def test_entries_that_did_not_pass_the_limit_on_do_not_count():
    check = check_of(12)
    check.told.clear()
    assert check.breaches() == []
    assert check_of(12, told=3.0).breaches() == []


def test_requests_from_before_the_limit_count():
    check = check_of(6)
    check.arrivals += [(-0.5, "e")] * 6
    assert [breach.got for breach in check.breaches()] == [12]


def test_an_entry_that_was_restarted_counts_again_once_it_has_settled():
    check = check_of(12)
    check.excuse("e", 0.5, 1.0)
    assert check.breaches() == []
    check.arrivals += [(4.5 + n / 100, "e") for n in range(12)]
    assert check.breaches()[-1].got == 12
