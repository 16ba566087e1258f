"""Tests of route policies, the fleet's index and the load that it predicts."""

from __future__ import annotations

import random
from collections import Counter

import attrs
import pytest
from hypothesis import given, settings, strategies as st

from lacewingcourse.core.endpoints import EndpointState
from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.estimates import LoadReport
from lacewingcourse.core.layers import LayerRange
from lacewingcourse.core.routes import POLICIES, Fleet, RouteRequest

LAYERS = 6
RANGES = st.tuples(st.integers(0, LAYERS - 1), st.integers(1, LAYERS)).filter(
    lambda pair: pair[0] < pair[1]
)
REQUEST = RouteRequest("m", LAYERS, prompt_length=8, max_tokens=16)


def endpoint(name: str, first: int = 0, end: int = LAYERS, **fields) -> EndpointState:
    return EndpointState(
        id=name,
        incarnation="1",
        availability_zone="kgn-hall-a",
        agent_url="http://127.0.0.1:1",
        model="m",
        layers=LayerRange(first, end),
        **fields,
    )


def fleet_of(*endpoints: EndpointState) -> Fleet:
    fleet = Fleet()
    for each in endpoints:
        fleet[each.id] = each
    return fleet


def speed(base: float, **fields) -> LoadReport:
    return LoadReport(steps=50, step_base=base, step_position=0.0001, **fields)


@pytest.mark.parametrize("policy", POLICIES.names())
@given(st.lists(RANGES, max_size=10), st.sets(st.integers(0, 9)), st.randoms())
@settings(derandomize=True, max_examples=60, deadline=None)
def test_every_policy_covers_each_layer_once_or_refuses(policy, ranges, out, rng):
    endpoints = [endpoint(f"e{i}", *pair) for i, pair in enumerate(ranges)]
    excluded = frozenset(f"e{i}" for i in out)
    fleet = fleet_of(*endpoints)
    request = attrs.evolve(REQUEST, excluded=excluded)
    route = POLICIES.get(policy)().choose(fleet, request, rng, 0.0)
    held = set()
    for each in endpoints:
        if each.id not in excluded:
            held.update(range(each.layers.first, each.layers.end))
    if len(held) < LAYERS:
        assert isinstance(route, Refusal) and route.kind is ErrorKind.NO_ROUTE
        return
    layer = 0
    for stage in route.stages:
        assert stage.layers.first == layer
        assert fleet[stage.endpoint].layers.contains(stage.layers)
        assert stage.endpoint not in excluded
        layer = stage.layers.end
    assert layer == LAYERS


@given(
    st.lists(
        st.tuples(
            st.integers(0, 5),
            st.sampled_from(["ready", "lost", "gone", "out", "in"]),
            RANGES,
        ),
        max_size=40,
    )
)
@settings(derandomize=True, max_examples=100, deadline=None)
def test_index_agrees_with_a_scan(changes):
    fleet = Fleet()
    ejected = set()
    for number, change, pair in changes:
        name = f"e{number}"
        if change == "gone":
            fleet.pop(name, None)
            ejected.discard(name)
        elif change in ("out", "in"):
            fleet.eject(name, change == "out")
            if name in fleet:
                (ejected.add if change == "out" else ejected.discard)(name)
        else:
            fleet[name] = endpoint(name, *pair, ready=change == "ready")
    for group in fleet.index("m").ordered:
        assert [each.slot for each in group.members] == list(range(len(group.members)))
    usable = {each.id for each in fleet.values() if each.takes_new_work()}
    groups = fleet.index("m").ordered
    members = [each.state.id for group in groups for each in group.members]
    outliers = [each.state.id for group in groups for each in group.ejected]
    assert sorted(members) == sorted(usable - ejected)
    assert sorted(outliers) == sorted(usable & ejected)


def test_entries_with_equal_reports_spread_their_choices():
    chosen = Counter()
    for seed in range(40):
        fleet = fleet_of(*(endpoint(f"e{i}", running=i) for i in range(10)))
        policy = POLICIES.get("shortest")()
        route = policy.choose(fleet, REQUEST, random.Random(seed), 0.0)
        chosen.update(route.endpoints())
    assert len(chosen) >= 5
    assert max(chosen.values()) <= 20


def test_own_dispatches_count_until_the_next_report():
    fleet = fleet_of(endpoint("a", reported_at=1.0), endpoint("b", reported_at=1.0))
    policy = POLICIES.get("shortest")()
    rng = random.Random(1)
    chosen = Counter()
    for _ in range(20):
        route = policy.choose(fleet, REQUEST, rng, 1.0)
        fleet.dispatch(route, REQUEST.prompt_length)
        chosen.update(route.endpoints())
    assert chosen["a"] == chosen["b"] == 10
    fleet["a"] = endpoint("a", reported_at=2.0, running=2)
    assert fleet.records["a"].delta == 0
    assert fleet.records["a"].running() == 10


def test_slow_endpoint_gets_less_and_degraded_link_none():
    near, far = endpoint("near", 0, 3), endpoint("far", 3, 6, load=speed(0.01))
    other = endpoint("other", 3, 6, load=speed(0.01))
    fleet = fleet_of(near, far, other, endpoint("slow", 3, 6, load=speed(0.08)))
    for _ in range(5):
        fleet.links.note(("near", "other"), ("z", "z"), 0.001, 0.0)
    fleet.links.note(("near", "far"), ("z", "z"), 0.5, 0.0)
    policy = POLICIES.get("shortest_of_all")()
    route = policy.choose(fleet, REQUEST, random.Random(1), 0.0)
    assert route.endpoints() == ["near", "other"]


def test_interleaving_follows_the_flow():
    fast, slow = speed(0.01, step_limit=8), speed(0.08, step_limit=8)
    fleet = fleet_of(endpoint("fast", load=fast), endpoint("slow", load=slow))
    policy = POLICIES.get("interleaved")()
    chosen = Counter()
    for _ in range(90):
        route = policy.choose(fleet, REQUEST, random.Random(1), 0.0)
        chosen.update(route.endpoints())
    assert 6.0 < chosen["fast"] / chosen["slow"] < 9.0


def test_joiner_and_outlier_get_only_their_share():
    fleet = fleet_of(
        endpoint("old"), endpoint("new", admitted_share=0.1), endpoint("bad")
    )
    fleet.eject("bad", True)
    policy = POLICIES.get("shortest")()
    rng = random.Random(3)
    chosen = Counter()
    for _ in range(200):
        route = policy.choose(fleet, REQUEST, rng, 0.0)
        fleet.dispatch(route, REQUEST.prompt_length)
        chosen.update(route.endpoints())
    assert chosen["bad"] == 0
    assert 0 < chosen["new"] < 40
