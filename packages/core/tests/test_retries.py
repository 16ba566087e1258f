"""Tests of the retry budget."""

from __future__ import annotations

from hypothesis import given, settings, strategies as st

from lacewingcourse.core.configuration import WorkClass
from lacewingcourse.core.errors import ErrorKind
from lacewingcourse.core.retries import (
    RETRY_RESERVE,
    RETRY_SHARE,
    LostAttempt,
    RetryBudget,
)

NOTES = WorkClass("notes", first_token=1.0, answer=10.0)


@given(st.lists(st.sampled_from(["request", "retry", "resume"]), max_size=300))
@settings(derandomize=True, max_examples=100, deadline=None)
def test_retries_stay_within_a_share_of_traffic_and_answers_are_always_continued(steps):
    budget = RetryBudget()
    retried = 0
    for step in steps:
        if step == "request":
            budget.on_request()
        elif step == "resume":
            assert budget.refusal_of(LostAttempt(None, 0.0, 3), 7, 0.0) is None
        else:
            refusal = budget.refusal_of(LostAttempt(None, 0.0, 0), 7, 0.0)
            retried += refusal is None
        assert retried <= RETRY_RESERVE + RETRY_SHARE * budget.requests
        assert budget.balance >= -7.0


def test_debt_of_continued_answers_is_paid_off_before_others_are_retried():
    budget = RetryBudget(balance=0.0)
    denied = budget.refusal_of(LostAttempt(None, 0.0, 0), 5, 0.0)
    assert denied.kind is ErrorKind.STAGE_LOST
    for _ in range(50):
        assert budget.refusal_of(LostAttempt(None, 0.0, 4), 5, 0.0) is None
    assert budget.balance == -5.0
    assert budget.refusal_of(LostAttempt(None, 0.0, 0), 5, 1.0) is not None
    assert budget.refusal_of(LostAttempt(None, 0.0, 0), 5, 60.0) is None


def test_never_after_the_deadline_nor_for_what_may_not_be_repeated():
    budget = RetryBudget()
    late = budget.refusal_of(LostAttempt(NOTES, 0.0, 0), 5, 1.5)
    assert late.kind is ErrorKind.DEADLINE_EXCEEDED
    assert budget.refusal_of(LostAttempt(NOTES, 0.0, 2), 5, 1.5) is None
    late = budget.refusal_of(LostAttempt(NOTES, 0.0, 2), 5, 10.0)
    assert late.kind is ErrorKind.DEADLINE_EXCEEDED
    once = LostAttempt(None, 0.0, 0, repeatable=False)
    assert budget.refusal_of(once, 5, 0.0) is not None
    assert budget.retries == 1
