"""Tests of the order in which requests get room."""

from __future__ import annotations

import pytest

from lacewingcourse.core.pipelines.admission_queue import (
    DEFAULT_ANSWER_TIME,
    IN_TIME_SHARE,
    RETRY_AFTER_ANSWERS,
    WAIT_POLICIES,
    AdmissionQueue,
    QueuedRequest,
    retry_after,
)


def queued(since: float, urgency: int = 1) -> QueuedRequest:
    """Return a request that waits for 0.25 seconds."""
    return QueuedRequest(urgency, 1000, since, since + 0.25)


def test_newcomers_pass_a_request_that_has_just_come():
    queue = AdmissionQueue()
    queue.push(queued(0.0))
    assert queue.may_bypass(1, now=0.1)


def test_newcomers_do_not_pass_one_that_is_about_to_be_late():
    queue = AdmissionQueue()
    queue.push(queued(0.0))
    assert not queue.may_bypass(1, now=0.2)
    assert queue.may_bypass(0, now=0.2)


def test_one_whose_time_is_over_keeps_nobody_waiting():
    queue = AdmissionQueue()
    queue.push(queued(0.0))
    assert queue.may_bypass(1, now=0.3)


def test_a_request_waits_only_as_long_as_it_can_be_in_time():
    """An objective that passes on the way leaves nothing for the first event."""
    assert WAIT_POLICIES.get("in_time")(10.0, 0.6) == 10.0 + IN_TIME_SHARE * 0.6
    assert (
        WAIT_POLICIES.get("in_time")(10.0, 0.6)
        < 10.0 + 0.6
        < WAIT_POLICIES.get("late")(10.0, 0.6)
    )


@pytest.mark.parametrize(("answer", "usual"), [(None, DEFAULT_ANSWER_TIME), (3.0, 3.0)])
def test_refused_callers_come_back_spread_when_answers_have_passed(answer, usual):
    least, most = (share * usual for share in RETRY_AFTER_ANSWERS)
    assert retry_after(answer, 0.0) == least
    assert retry_after(answer, 1.0) == most
    assert least < retry_after(answer, 0.5) < most


def test_the_more_urgent_come_first():
    queue = AdmissionQueue()
    queue.push(queued(0.0, urgency=2))
    queue.push(queued(0.1, urgency=0))
    assert [w.urgency for w in queue.requests] == [0, 2]
