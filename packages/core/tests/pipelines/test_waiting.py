"""Tests of the order in which requests get room."""

from __future__ import annotations

from lacewingcourse.core.pipelines.waiting import Waiting, WaitingRoom


def waiting(since: float, urgency: int = 1) -> Waiting:
    """Return a request that can be in time for 0.25 seconds."""
    return Waiting(urgency, 1000, since, since + 0.25, since + 1.0)


def test_newcomers_pass_a_request_that_has_just_come():
    room = WaitingRoom()
    room.enter(waiting(0.0))
    assert room.may_pass(1, now=0.1)


def test_newcomers_do_not_pass_one_that_is_about_to_be_late():
    room = WaitingRoom()
    room.enter(waiting(0.0))
    assert not room.may_pass(1, now=0.2)
    assert room.may_pass(0, now=0.2)


def test_one_that_is_late_leaves_room_to_those_in_time():
    room = WaitingRoom()
    late, fresh = waiting(0.0), waiting(0.3)
    room.enter(late)
    assert room.is_next(late, now=0.4)
    room.enter(fresh)
    assert not room.is_next(late, now=0.4)
    assert room.is_next(fresh, now=0.4)
    assert room.may_pass(1, now=0.4)


def test_the_more_urgent_come_first():
    room = WaitingRoom()
    room.enter(waiting(0.0, urgency=2))
    room.enter(waiting(0.1, urgency=0))
    assert [w.urgency for w in room.members] == [0, 2]
