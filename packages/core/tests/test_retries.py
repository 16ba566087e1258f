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
def test_retries_stay_within_a_share_of_traffic_and_one_resume_each(steps):
    budget = RetryBudget()
    in_flight = 7
    for step in steps:
        if step == "request":
            budget.on_request()
        else:
            delivered = 3 if step == "resume" else 0
            budget.refusal_of(LostAttempt(None, 0.0, delivered), in_flight, 0.0)
        allowed = RETRY_RESERVE + RETRY_SHARE * budget.requests + in_flight + 1
        assert budget.retries <= allowed


def test_an_answer_under_way_is_resumed_when_others_are_not_retried():
    budget = RetryBudget(balance=0.0)
    denied = budget.refusal_of(LostAttempt(None, 0.0, 0), 5, 0.0)
    assert denied.kind is ErrorKind.STAGE_LOST
    assert budget.refusal_of(LostAttempt(None, 0.0, 4), 5, 0.0) is None


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
