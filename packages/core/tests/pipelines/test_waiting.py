"""Tests of the order in which requests get room."""

from __future__ import annotations

import pytest

from lacewingcourse.core.pipelines.waiting import (
    IN_TIME_SHARE,
    RETURN_ANSWERS,
    USUAL_ANSWER,
    WAITS,
    Waiting,
    WaitingRoom,
    come_back_after,
)


def waiting(since: float, urgency: int = 1) -> Waiting:
    """Return a request that waits for 0.25 seconds."""
    return Waiting(urgency, 1000, since, since + 0.25)


def test_newcomers_pass_a_request_that_has_just_come():
    room = WaitingRoom()
    room.enter(waiting(0.0))
    assert room.may_pass(1, now=0.1)


def test_newcomers_do_not_pass_one_that_is_about_to_be_late():
    room = WaitingRoom()
    room.enter(waiting(0.0))
    assert not room.may_pass(1, now=0.2)
    assert room.may_pass(0, now=0.2)


def test_one_whose_time_is_over_keeps_nobody_waiting():
    room = WaitingRoom()
    room.enter(waiting(0.0))
    assert room.may_pass(1, now=0.3)


def test_a_request_waits_only_as_long_as_it_can_be_in_time():
    """An objective that passes on the way leaves nothing for the first event."""
    assert WAITS.get("in_time")(10.0, 0.6) == 10.0 + IN_TIME_SHARE * 0.6
    assert WAITS.get("in_time")(10.0, 0.6) < 10.0 + 0.6 < WAITS.get("late")(10.0, 0.6)


@pytest.mark.parametrize(("answer", "usual"), [(None, USUAL_ANSWER), (3.0, 3.0)])
def test_refused_callers_come_back_spread_when_answers_have_passed(answer, usual):
    least, most = (share * usual for share in RETURN_ANSWERS)
    assert come_back_after(answer, 0.0) == least
    assert come_back_after(answer, 1.0) == most
    assert least < come_back_after(answer, 0.5) < most


def test_the_more_urgent_come_first():
    room = WaitingRoom()
    room.enter(waiting(0.0, urgency=2))
    room.enter(waiting(0.1, urgency=0))
    assert [w.urgency for w in room.members] == [0, 2]
