"""Tests of the retry budget."""

from __future__ import annotations

from random import Random

import pytest

from lacewingcourse.core.pipelines.retry_budget import (
    LOAN_LIFETIME,
    PEER_DISCOVERY_TIME,
    RESERVED_SHARE,
    SAFETY_SHARE,
    RetryBudget,
)


def test_the_slack_is_shared_among_the_entries():
    budget = RetryBudget(ratio=0.2, window=10.0, slack=50.0, entries=5)
    taken = sum(budget.take("s", now=1.0) for _ in range(100))
    assert taken == int(SAFETY_SHARE * 10)


def test_requests_allow_further_retries():
    budget = RetryBudget(ratio=0.2, window=10.0, slack=0.0)
    for _ in range(100):
        budget.on_request("s", now=1.0)
    assert sum(budget.take("s", now=2.0) for _ in range(100)) == int(SAFETY_SHARE * 20)


def test_the_window_slides():
    budget = RetryBudget(ratio=0.0, window=10.0, slack=2.0 / SAFETY_SHARE)
    assert budget.take("s", now=0.0)
    assert budget.take("s", now=5.0)
    assert not budget.take("s", now=9.0)
    assert budget.take("s", now=10.5)
    assert not budget.take("s", now=11.0)


def test_each_service_has_its_own_budget():
    budget = RetryBudget(ratio=0.0, window=10.0, slack=1.0 / SAFETY_SHARE)
    assert budget.take("a", now=0.0)
    assert budget.take("b", now=0.0)


def test_a_lent_retry_counts_from_the_end_of_the_loan():
    budget = RetryBudget(ratio=0.0, window=10.0, slack=4.0 / SAFETY_SHARE)
    assert budget.lend("s", 4, now=0.0) == 2
    assert sum(budget.take("s", now=0.0) for _ in range(4)) == 2
    assert sum(budget.take("s", now=10.5) for _ in range(4)) == 2
    assert sum(budget.take("s", now=11.5) for _ in range(4)) == 2


def test_a_loan_expires_after_its_lifetime():
    budget = RetryBudget(ratio=0.0, window=10.0, slack=0.0)
    budget.borrow("s", 2, requested_at=0.0)
    assert budget.take("s", now=LOAN_LIFETIME - 0.1)
    assert not budget.allows("s", now=LOAN_LIFETIME)


def test_a_loan_that_arrives_late_has_expired():
    budget = RetryBudget(ratio=0.0, window=10.0, slack=0.0)
    budget.borrow("s", 2, requested_at=0.0)
    assert not budget.take("s", now=5.0)


def test_borrowed_retries_are_not_lent():
    budget = RetryBudget(ratio=0.0, window=10.0, slack=0.0)
    budget.borrow("s", 5, requested_at=0.0)
    assert budget.lend("s", 5, now=0.1) == 0


def test_the_last_retries_are_reserved_for_begun_answers():
    """A request without an answer yet can be refused, since its caller can retry."""
    budget = RetryBudget(ratio=0.0, window=10.0, slack=8.0 / SAFETY_SHARE)
    while budget.allows("s", now=0.0, reserved=False):
        budget.take("s", now=0.0)
    assert sum(budget.take("s", now=0.0) for _ in range(8)) == 8 * RESERVED_SHARE


def test_a_held_retry_is_unavailable_until_it_is_released():
    budget = RetryBudget(ratio=0.0, window=10.0, slack=2.0 / SAFETY_SHARE)
    assert budget.hold("s", "a", now=0.0)
    assert budget.hold("s", "a", now=0.0)
    assert budget.hold("s", "b", now=0.0)
    assert not budget.hold("s", "c", now=0.0)
    assert not budget.take("s", now=0.0)
    assert budget.lend("s", 2, now=0.0) == 0
    budget.release("s", "a")
    assert budget.hold("s", "c", now=0.0)


def test_a_held_retry_counts_from_when_it_is_sent():
    budget = RetryBudget(ratio=0.0, window=10.0, slack=1.0 / SAFETY_SHARE)
    assert budget.hold("s", "a", now=0.0)
    assert budget.take("s", now=5.0, request="a")
    assert not budget.allows("s", now=14.9)
    assert budget.allows("s", now=15.0)


def test_a_hold_does_not_guarantee_a_retry_at_the_send():
    budget = RetryBudget(ratio=0.0, window=10.0, slack=2.0 / SAFETY_SHARE)
    assert budget.hold("s", "a", now=0.0)
    assert budget.hold("s", "b", now=0.0)
    budget.entries = 2
    assert sum(budget.take("s", now=0.1, request=name) for name in "ab") == 1


def test_a_request_without_access_to_the_reserve_keeps_its_hold():
    budget = RetryBudget(ratio=0.0, window=10.0, slack=4.0 / SAFETY_SHARE)
    assert budget.hold("s", "a", now=0.0, reserved=False)
    assert all(budget.hold("s", name, now=0.0) for name in "bcd")
    assert budget.hold("s", "a", now=0.0, reserved=False)
    assert budget.take("s", now=0.0, request="a")


def test_a_hold_does_not_extend_a_loan():
    budget = RetryBudget(ratio=0.0, window=10.0, slack=0.0)
    budget.borrow("s", 1, requested_at=0.0)
    assert budget.hold("s", "a", now=0.1)
    assert not budget.hold("s", "b", now=0.1)
    budget.release("s", "a")
    assert budget.hold("s", "b", now=0.1)
    assert not budget.take("s", now=LOAN_LIFETIME, request="b")


def test_retries_held_on_loans_do_not_reduce_what_is_lent():
    budget = RetryBudget(ratio=0.0, window=10.0, slack=2.0 / SAFETY_SHARE)
    budget.borrow("s", 1, requested_at=0.0)
    assert budget.hold("s", "a", now=0.1)
    assert budget.lend("s", 1, now=0.1) == 1


#: Retries per request, window in seconds, and additional retries of a deployment.
RATIO, WINDOW, SLACK = 0.2, 10.0, 100.0


def max_excess(requests: list[float], retries: list[float]) -> float:
    """Return the most retries in a window beyond what its requests allow."""
    return max(
        sum(at - WINDOW < time <= at for time in retries)
        - RATIO * sum(at - WINDOW < time <= at for time in requests)
        for at in retries
    )


@pytest.mark.parametrize("known_at_start", [1, 8])
@pytest.mark.parametrize("seed", range(8))
def test_entries_that_restart_within_a_window_stay_within_the_slack(
    seed, known_at_start
):
    """Entries may restart more than once, whether or not they know the others."""
    rng = Random(seed)
    entries = [RetryBudget(RATIO, WINDOW, SLACK, entries=8) for _ in range(8)]
    requests, retries = [], []
    for tick in range(800):
        now = tick * 0.05
        for number, budget in enumerate(entries):
            if 8.0 <= now <= 16.0 and rng.random() < 0.01:
                new = RetryBudget(RATIO, WINDOW, SLACK, known_at_start, started_at=now)
                entries[number] = new
            if now - budget.started_at > PEER_DISCOVERY_TIME:
                budget.entries = 8
            if rng.random() < 0.1:
                budget.on_request("s", now)
                requests.append(now)
            while budget.take("s", now):
                retries.append(now)
    assert max_excess(requests, retries) <= SLACK
    assert any(time > 30.0 for time in retries)


def test_entries_that_are_added_stay_within_the_slack():
    """The others use more than their new share until they learn of the new ones."""
    entries = [RetryBudget(RATIO, WINDOW, SLACK, entries=4) for _ in range(4)]
    retries = []
    for tick in range(800):
        now = tick * 0.05
        if now == 10.0:
            for _ in range(4):
                new = RetryBudget(RATIO, WINDOW, SLACK, 8, started_at=now)
                entries.append(new)
        for budget in entries:
            if now >= 10.0 + PEER_DISCOVERY_TIME:
                budget.entries = 8
            while budget.take("s", now):
                retries.append(now)
    assert max_excess([], retries) <= SLACK


@pytest.mark.parametrize("known_at_start", [1, 5])
def test_an_entry_has_no_slack_during_peer_discovery(
    known_at_start,
):
    budget = RetryBudget(RATIO, WINDOW, SLACK, known_at_start, started_at=50.0)
    for _ in range(50):
        budget.on_request("s", now=51.0)
    assert sum(budget.take("s", now=52.9) for _ in range(50)) == 7
    assert budget.lend("s", 5, now=52.9) == 0


def test_a_restarted_entry_uses_loans():
    budget = RetryBudget(RATIO, WINDOW, SLACK, entries=5, started_at=50.0)
    budget.borrow("s", 2, requested_at=51.0)
    assert sum(budget.take("s", now=51.1) for _ in range(5)) == 2


def test_repeated_restarts_use_a_part_of_the_share_in_total():
    taken = 0
    for start in range(50, 60, 4):
        budget = RetryBudget(RATIO, WINDOW, SLACK, entries=1, started_at=float(start))
        taken += sum(budget.take("s", now=start + 3.9) for _ in range(100))
    assert 0 < taken <= (1.0 - SAFETY_SHARE) * SLACK


def test_the_full_share_is_available_after_one_window():
    budget = RetryBudget(RATIO, WINDOW, SLACK, entries=5, started_at=50.0)
    back_at = 50.0 + WINDOW + PEER_DISCOVERY_TIME
    taken = sum(budget.take("s", now=back_at - 0.1) for _ in range(50))
    assert taken == int((1.0 - SAFETY_SHARE) * SLACK / 5 - 0.1)
    taken += sum(budget.take("s", now=back_at) for _ in range(50))
    assert taken == int(SAFETY_SHARE * SLACK / 5)


def test_the_first_process_has_its_share_after_peer_discovery():
    budget = RetryBudget(
        RATIO, WINDOW, SLACK, entries=1, started_at=50.0, has_predecessor=False
    )
    assert not budget.allows("s", now=50.0 + PEER_DISCOVERY_TIME - 0.1)
    assert budget.allows("s", now=50.0 + PEER_DISCOVERY_TIME)


def test_known_entries_that_are_not_alive_count_in_the_shares():
    budget = RetryBudget(RATIO, WINDOW, SLACK, entries=5)
    budget.known_entries = 10
    assert sum(budget.take("s", now=1.0) for _ in range(50)) == 7
