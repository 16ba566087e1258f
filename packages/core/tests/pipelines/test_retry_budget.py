"""Tests of the budget for second sends."""

from __future__ import annotations

from lacewingcourse.core.pipelines.retry_budget import SAFETY_SHARE, RetryBudget


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
