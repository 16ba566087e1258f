"""Tests of outlier detection and its floors."""

from __future__ import annotations

import random
from collections import Counter

from hypothesis import given, settings, strategies as st

from lacewingcourse.core.endpoints import EndpointState
from lacewingcourse.core.layers import LayerRange
from lacewingcourse.core.outliers import (
    FAILURES_IN_ROW,
    LONGEST_EXCLUSION,
    OutlierDetector,
    Peers,
)
from lacewingcourse.core.routes import POLICIES, Fleet, RouteRequest

ZONES = ("kgn-hall-a", "kgn-hall-b", "sptn-hall")
MANY = Peers(group=10, group_ejected=0, zone=10, zone_ejected=0)


def fleet_of(count: int) -> Fleet:
    fleet = Fleet()
    for index in range(count):
        fleet[f"e{index}"] = EndpointState(
            id=f"e{index}",
            incarnation="1",
            availability_zone=ZONES[index % len(ZONES)],
            agent_url="http://127.0.0.1:1",
            model="m",
            layers=LayerRange(0, 4),
        )
    return fleet


def fail(fleet: Fleet, detector: OutlierDetector, name: str, now: float) -> None:
    if detector.on_failure(name, fleet.peers(name), now):
        fleet.eject(name, True)


@given(st.lists(st.integers(0, 11), max_size=200), st.integers(1, 12))
@settings(derandomize=True, max_examples=60, deadline=None)
def test_a_brown_out_never_leaves_out_more_than_the_floors_allow(failures, count):
    fleet, detector = fleet_of(count), OutlierDetector()
    for index, number in enumerate(failures):
        fail(fleet, detector, f"e{number % count}", index * 0.01)
        (group,) = fleet.index("m").ordered
        assert group.members
        assert len(group.ejected) <= -(-count * 3 // 10)
        zones = Counter(each.state.availability_zone for each in group.ejected)
        for zone, ejected in zones.items():
            held = sum(each.availability_zone == zone for each in fleet.values())
            assert ejected <= -(-held // 2)


def test_a_fast_failing_endpoint_does_not_attract_work():
    fleet, detector = fleet_of(10), OutlierDetector()
    policy = POLICIES.get("shortest")()
    rng = random.Random(5)
    sent = Counter()
    for index in range(400):
        now = index * 0.01
        for name in detector.due(now):
            fleet.eject(name, False)
        route = policy.choose(fleet, RouteRequest("m", 4), rng, now)
        (name,) = route.endpoints()
        sent[name] += 1
        if name == "e0":
            fail(fleet, detector, name, now)
        else:
            fleet.dispatch(route, 8)
            detector.on_success(name, now)
    assert sent["e0"] <= FAILURES_IN_ROW + 2


def test_exclusions_end_and_grow_and_one_more_failure_excludes_again():
    detector = OutlierDetector()
    for _ in range(FAILURES_IN_ROW):
        ejected = detector.on_failure("a", MANY, 0.0)
    assert ejected
    assert detector.due(1.0) == []
    assert detector.due(2.5) == ["a"]
    assert detector.on_failure("a", MANY, 2.5)
    assert detector.due(5.0) == []
    assert detector.due(7.0) == ["a"]
    detector.due(8.0 + LONGEST_EXCLUSION)
    assert not detector.healths


def test_rare_failures_among_many_answers_are_no_outlier():
    detector = OutlierDetector()
    for index in range(200):
        now = index * 0.05
        if index % 10 == 0:
            assert not detector.on_failure("a", MANY, now)
        else:
            detector.on_success("a", now)
