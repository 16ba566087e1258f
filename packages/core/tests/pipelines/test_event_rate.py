"""Tests of the rate of events."""

from __future__ import annotations

import pytest

from lacewingcourse.core.pipelines.event_rate import WINDOW, EventRate


@pytest.fixture
def rate() -> EventRate:
    """Ten events a second, from 0 s to two windows later."""
    rate = EventRate()
    for number in range(round(20 * WINDOW)):
        rate.record(number / 10)
    return rate


def test_a_steady_rate_is_found(rate):
    assert rate.rate(2 * WINDOW) == pytest.approx(10, rel=0.1)


def test_the_rate_of_the_first_events_is_found():
    rate = EventRate()
    for number in range(20):
        rate.record(100 + number / 10)
    assert rate.rate(102) == pytest.approx(10, rel=0.1)


def test_old_events_no_longer_count(rate):
    assert rate.rate(3 * WINDOW + 0.1) == 0


def test_a_clock_that_was_set_back_starts_the_count_again(rate):
    assert rate.rate(1.0) == 0
    rate.record(1.0)
    assert rate.count(1.5) == 1
