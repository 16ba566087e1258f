"""Tests of the check of the delays that endpoints ask for."""

from __future__ import annotations

import pytest

from lacewingcourse.testing.backoff_check import BackoffCheck, Breach


@pytest.fixture
def check():
    """Return a check of an endpoint that asked entry `a` for three seconds at 10 s."""
    return BackoffCheck(3.0, [(10.0, "a")])


@pytest.mark.parametrize("times", [(10.6, 12.9), (10.1, 10.2, 10.4), (13.1, 13.2, 14)])
def test_requests_outside_the_delay_or_few_within_it_are_allowed(check, times):
    check.arrivals = [(at, "a") for at in times]
    assert check.breaches() == []


def test_third_request_within_the_delay_is_a_breach(check):
    check.arrivals = [(at, "a") for at in (10.6, 11.0, 12.9)]
    assert check.breaches() == [Breach("a", 10.0, 3)]


def test_requests_of_another_entry_do_not_count(check):
    check.arrivals = [(at, "b") for at in (10.6, 11.0, 12.9)]
    assert check.breaches() == []
