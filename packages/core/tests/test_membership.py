"""Tests of the membership as a fold."""

from __future__ import annotations

import attrs

from lacewingcourse.core.layers import LayerRange
from lacewingcourse.core.membership import (
    FORGET_AFTER,
    GONE_GRACE,
    LOST_AFTER,
    RAMP_START,
    RAMP_TIME,
    ListedEndpoint,
    Membership,
    MemberState,
)
from lacewingcourse.core.messages import Status

LISTED = ListedEndpoint("e1", "http://127.0.0.1:1")


def status(incarnation: str = "i1", sequence: int = 1, **fields) -> Status:
    return Status(
        "e1", incarnation, "z1", "m", LayerRange(0, 4), sequence=sequence, **fields
    )


def known() -> Membership:
    membership = Membership()
    membership.on_list([LISTED], 0.0)
    membership.on_status(status(), 0.0)
    return membership


def test_agents_word_goes_before_the_lagging_list():
    membership = known()
    membership.on_status(status(sequence=2, leaving=True), 1.0)
    membership.on_list([LISTED], 2.0)
    assert not membership.endpoint_state("e1", 2.0).takes_new_work()


def test_late_word_of_an_earlier_moment_is_dropped():
    membership = known()
    membership.on_status(status(sequence=3, leaving=True), 1.0)
    assert not membership.on_status(status(sequence=2), 2.0)
    assert membership.endpoint_state("e1", 2.0).leaving


def test_newer_incarnation_replaces_the_old_for_good_and_joins_gradually():
    membership = known()
    assert membership.on_status(status("i2"), 5.0)
    assert not membership.on_status(status("i1", 9), 6.0)
    state = membership.endpoint_state("e1", 5.0)
    assert state.incarnation == "i2"
    assert state.admitted_share == RAMP_START
    assert membership.endpoint_state("e1", 5.0 + RAMP_TIME).admitted_share == 1.0


def test_only_endpoints_that_join_later_start_with_a_small_share():
    membership = known()
    assert membership.endpoint_state("e1", 0.0).admitted_share == 1.0
    late = ListedEndpoint("e2", "http://127.0.0.1:2")
    membership.on_list([LISTED, late], 10.0)
    membership.on_status(Status("e2", "j1", "z1"), 10.0)
    assert membership.endpoint_state("e2", 10.0).admitted_share == RAMP_START


def test_failed_member_is_suspected_then_lost_and_comes_back():
    membership = known()
    assert membership.on_failure("e1", "i1", 1.0)
    assert not membership.endpoint_state("e1", 1.0).ready
    assert membership.questions(60.0, 1.0) == ["e1"]
    membership.questions(60.0, 1.0 + LOST_AFTER)
    assert membership.members["e1"].state is MemberState.LOST
    assert membership.on_status(status(sequence=2), 20.0)
    assert membership.endpoint_state("e1", 20.0).ready


def test_failure_of_an_old_incarnation_says_nothing_of_the_new():
    membership = known()
    membership.on_status(status("i2"), 1.0)
    assert not membership.on_failure("e1", "i1", 2.0)
    assert membership.endpoint_state("e1", 2.0).ready


def test_hop_seen_clears_the_suspicion_of_its_incarnation_only():
    membership = known()
    membership.on_failure("e1", "i1", 1.0)
    membership.on_seen("e1", "i0", 1.5)
    assert membership.members["e1"].state is MemberState.SUSPECT
    membership.on_seen("e1", "i1", 2.0)
    assert membership.members["e1"].state is MemberState.LIVE


def test_member_that_the_list_calls_gone_gets_no_work_and_is_dropped_later():
    membership = known()
    gone = attrs.evolve(LISTED, gone=True)
    assert membership.on_list([gone], 1.0) == []
    assert membership.endpoint_state("e1", 1.0).leaving
    assert membership.on_list([gone], GONE_GRACE + 1.0) == ["e1"]


def test_member_that_the_list_omits_is_kept_for_long():
    membership = known()
    assert membership.on_list([], 1.0) == []
    assert membership.endpoint_state("e1", 100.0).takes_new_work()
    membership.on_failure("e1", "i1", 101.0)
    assert membership.on_list([], 102.0) == []
    assert membership.on_list([], FORGET_AFTER) == ["e1"]


def test_only_silent_members_are_asked():
    membership = known()
    membership.on_status(status(sequence=2), 9.0)
    assert membership.questions(10.0, 12.0) == []
    assert membership.questions(10.0, 19.0) == ["e1"]
