"""Tests of when an entry reads the platform itself.

The store reset every connection for eight seconds. Thirty-one entries asked on four
times a second for the configuration and for the endpoints: two thousand calls, none of
which could tell anything.
"""

from __future__ import annotations

from random import Random

import pytest

from lacewingcourse.core.pipelines.freshness import (
    MAX_RETRY_DELAY,
    MIN_RETRY_DELAY,
    Freshness,
    backoff_delay,
    fixed_delay,
)

#: Seconds for which the store is away.
OUTAGE = 8.0
ENTRIES = 31


def ask_through_outage(delay) -> tuple[int, list[float]]:
    """Return the calls during an outage, and when each entry asks after it."""
    rng = Random(1)
    calls, back = 0, []
    for _ in range(ENTRIES):
        freshness = Freshness(0.9, 0.1, retry_delay=delay)
        now = 0.0
        while now < OUTAGE:
            calls += 1
            freshness.failed(now, rng.random())
            now = freshness.next_try
        back.append(now - OUTAGE)
    return calls, back


def test_a_store_that_is_away_is_asked_less_and_less():
    calls, _ = ask_through_outage(backoff_delay)
    plain, _ = ask_through_outage(fixed_delay)
    assert calls <= plain / 2


def test_a_store_that_is_back_is_noticed_at_once_by_some_and_soon_by_all():
    """All have its news two seconds after its return; what one reads takes half."""
    _, back = ask_through_outage(backoff_delay)
    assert min(back) <= MIN_RETRY_DELAY
    assert max(back) <= MAX_RETRY_DELAY


def test_entries_that_failed_together_do_not_ask_together():
    _, back = ask_through_outage(backoff_delay)
    assert len({round(at, 2) for at in back}) > ENTRIES / 2


@pytest.mark.parametrize("failures", [0, 1, 5])
def test_a_read_ends_the_delays(failures):
    freshness = Freshness(0.9, 0.1)
    for _ in range(failures):
        freshness.failed(10.0, 0.0)
    freshness.succeeded(10.0, 10.0)
    freshness.failed(20.0, 0.0)
    assert freshness.next_try == 20.0 + MIN_RETRY_DELAY
