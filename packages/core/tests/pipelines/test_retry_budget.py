"""Tests of the budget for second sends."""

from __future__ import annotations

from lacewingcourse.core.pipelines.retry_budget import (
    LOAN_TIME,
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


def test_services_have_budgets_of_their_own():
    budget = RetryBudget(ratio=0.0, window=10.0, slack=1.0 / SAFETY_SHARE)
    assert budget.take("a", now=0.0)
    assert budget.take("b", now=0.0)


def test_what_was_lent_counts_until_after_it_may_be_used():
    budget = RetryBudget(ratio=0.0, window=10.0, slack=4.0 / SAFETY_SHARE)
    assert budget.lend("s", 4, now=0.0) == 2
    assert sum(budget.take("s", now=0.0) for _ in range(4)) == 2
    assert sum(budget.take("s", now=10.5) for _ in range(4)) == 2
    assert sum(budget.take("s", now=11.5) for _ in range(4)) == 2


def test_a_loan_may_be_used_for_a_while_from_when_it_was_asked_for():
    budget = RetryBudget(ratio=0.0, window=10.0, slack=0.0)
    budget.borrow("s", 2, asked_at=0.0)
    assert budget.take("s", now=LOAN_TIME - 0.1)
    assert not budget.allows("s", now=LOAN_TIME)


def test_a_loan_that_comes_late_is_not_used():
    budget = RetryBudget(ratio=0.0, window=10.0, slack=0.0)
    budget.borrow("s", 2, asked_at=0.0)
    assert not budget.take("s", now=5.0)


def test_nothing_borrowed_is_lent_on():
    budget = RetryBudget(ratio=0.0, window=10.0, slack=0.0)
    budget.borrow("s", 5, asked_at=0.0)
    assert budget.lend("s", 5, now=0.1) == 0


def test_the_last_retries_are_kept_for_answers_that_are_read():
    """A request without an answer yet can be refused, and its caller come back."""
    budget = RetryBudget(ratio=0.0, window=10.0, slack=8.0 / SAFETY_SHARE)
    while budget.allows("s", now=0.0, reserved=False):
        budget.take("s", now=0.0)
    assert sum(budget.take("s", now=0.0) for _ in range(8)) == 8 * RESERVED_SHARE
