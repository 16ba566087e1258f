"""Tests of when an entry repeats reads from the platform.

They guard against a retry storm: while the store reset every connection for eight
seconds, thirty-one entries each read configuration and directory four times a second,
two thousand calls without an answer.
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

#: Seconds for which the store is unavailable.
OUTAGE = 8.0
ENTRIES = 31


def simulate_outage(delay) -> tuple[int, list[float]]:
    """Return the calls during an outage, and the delay of each entry's next read."""
    rng = Random(1)
    calls, first_reads = 0, []
    for _ in range(ENTRIES):
        freshness = Freshness(0.9, 0.1, retry_delay=delay)
        now = 0.0
        while now < OUTAGE:
            calls += 1
            freshness.failed(now, rng.random())
            now = freshness.next_try
        first_reads.append(now - OUTAGE)
    return calls, first_reads


def test_backoff_halves_the_reads_during_an_outage():
    calls, _ = simulate_outage(backoff_delay)
    fixed, _ = simulate_outage(fixed_delay)
    assert calls <= fixed / 2


def test_all_entries_read_soon_after_an_outage():
    """All must know the result within two seconds; a read takes half of that."""
    _, first_reads = simulate_outage(backoff_delay)
    assert min(first_reads) <= MIN_RETRY_DELAY
    assert max(first_reads) <= MAX_RETRY_DELAY


def test_jitter_spreads_the_reads_of_entries():
    _, first_reads = simulate_outage(backoff_delay)
    assert len({round(at, 2) for at in first_reads}) > ENTRIES / 2


@pytest.mark.parametrize("failures", [0, 1, 5])
def test_a_successful_read_resets_the_delay(failures):
    freshness = Freshness(0.9, 0.1)
    for _ in range(failures):
        freshness.failed(10.0, 0.0)
    freshness.succeeded(10.0, 10.0)
    freshness.failed(20.0, 0.0)
    assert freshness.next_try == 20.0 + MIN_RETRY_DELAY
