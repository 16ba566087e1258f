"""Tests of how long requests wait, and of retry delays."""

from __future__ import annotations

import pytest

from lacewingcourse.core.pipelines.admission_queue import (
    DEFAULT_ANSWER_TIME,
    IN_TIME_SHARE,
    RETRY_AFTER_ANSWERS,
    WAIT_POLICIES,
    retry_after,
)


def test_the_in_time_policy_waits_for_a_share_of_the_objective():
    """A wait for the whole objective leaves no time for the first event."""
    assert WAIT_POLICIES.get("in_time")(10.0, 0.6) == 10.0 + IN_TIME_SHARE * 0.6
    assert (
        WAIT_POLICIES.get("in_time")(10.0, 0.6)
        < 10.0 + 0.6
        < WAIT_POLICIES.get("late")(10.0, 0.6)
    )


@pytest.mark.parametrize(
    ("answer", "expected"), [(None, DEFAULT_ANSWER_TIME), (3.0, 3.0)]
)
def test_retry_delays_are_spread_over_multiples_of_the_answer_time(answer, expected):
    least, most = (share * expected for share in RETRY_AFTER_ANSWERS)
    assert retry_after(answer, 0.0) == least
    assert retry_after(answer, 1.0) == most
    assert least < retry_after(answer, 0.5) < most
