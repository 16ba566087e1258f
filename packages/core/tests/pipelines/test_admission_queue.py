"""Tests of the admission queue and of retry delays."""

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


def queued_request(since: float, urgency: int = 1) -> QueuedRequest:
    """Return a request that waits for a quarter of a second."""
    return QueuedRequest(urgency, 1000, since, since + 0.25)


def test_new_requests_may_bypass_one_queued_recently():
    queue = AdmissionQueue()
    queue.push(queued_request(0.0))
    assert queue.may_bypass(1, now=0.1)


def test_new_requests_do_not_bypass_one_past_half_its_waiting_time():
    queue = AdmissionQueue()
    queue.push(queued_request(0.0))
    assert not queue.may_bypass(1, now=0.2)
    assert queue.may_bypass(0, now=0.2)


def test_an_expired_request_does_not_block_new_ones():
    queue = AdmissionQueue()
    queue.push(queued_request(0.0))
    assert queue.may_bypass(1, now=0.3)


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


def test_the_queue_is_ordered_by_urgency():
    queue = AdmissionQueue()
    queue.push(queued_request(0.0, urgency=2))
    queue.push(queued_request(0.1, urgency=0))
    assert [w.urgency for w in queue.requests] == [0, 2]
