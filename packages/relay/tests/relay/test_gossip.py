"""Tests of what entries learn from one another, in small and large deployments."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from lacewingcourse.core.pipelines.peers import MEMBER_RANK, PEER_SILENT, Role
from lacewingcourse.core.pipelines.request_limits import NO_LIMIT
from lacewingcourse.core.pipelines.retry_budget import COUNTING_TIME
from lacewingcourse.relay.peers import PERIOD, REGISTRY_PERIOD

from .network import Network


@pytest.fixture
def large():
    """A deployment of 28 entries in three zones that has found itself."""
    network = Network({"a": 10, "b": 9, "c": 9})
    network.rounds(15)
    return network


def give_loads(network: Network) -> None:
    """Let each entry run one request on one endpoint."""
    for entry in network.entries.values():
        entry.beliefs.loads.begin_call("x")


def test_a_few_entries_all_know_one_another():
    network = Network({"a": 2, "b": 2, "c": 1})
    network.rounds(3)
    assert set(network.roles().values()) == {Role.EQUAL}
    assert all(
        len(e.book.alive(network.clock())) == 5 for e in network.entries.values()
    )


@pytest.mark.parametrize("zones", [{"a": 2, "b": 1}, dict.fromkeys("abcde", 14)])
def test_entries_are_counted_before_they_use_their_shares_of_the_retries(zones):
    network = Network(zones)
    network.rounds(int((COUNTING_TIME - REGISTRY_PERIOD) / PERIOD))
    counts = {e.book.count(network.clock()) for e in network.entries.values()}
    assert counts == {sum(zones.values())}


def test_many_entries_agree_on_two_hubs_a_zone(large):
    hubs = {name for name, role in large.roles().items() if role is Role.HUB}
    assert hubs == {"a-00", "a-01", "b-00", "b-01", "c-00", "c-01"}
    assert Role.EQUAL not in large.roles().values()


@pytest.mark.parametrize(
    "zones", [{"a": 2, "b": 2, "c": 1}, {"a": 10, "b": 9, "c": 9}], ids=["few", "many"]
)
def test_every_entry_learns_the_load_of_all_once(zones):
    network = Network(zones)
    network.rounds(15)
    give_loads(network)
    network.rounds(6)
    loads = [e.beliefs.loads.get("x").requests for e in network.entries.values()]
    assert loads == [len(network.entries)] * len(network.entries)


def test_every_entry_knows_how_many_there_are(large):
    counts = {e.book.count(large.clock()) for e in large.entries.values()}
    assert counts == {28}


def test_one_entry_reads_for_all(large):
    ranks = sorted(e.book.rank(large.clock()) for e in large.entries.values())
    assert ranks[:7] == [0, 1, 2, 3, 4, 5, 10]


@pytest.mark.parametrize(
    "zones", [{"a": 2, "b": 2, "c": 1}, {"a": 10, "b": 9, "c": 9}], ids=["few", "many"]
)
def test_an_entry_that_the_platform_does_not_answer_leaves_reading_to_the_next(zones):
    network = Network(zones)
    network.rounds(15)
    first, second = "a-00", "a-01" if zones["a"] == 2 else "b-00"
    cut = network.entries[first]
    cut.configuration = follower_of_a_cut_entry(cut.configuration)
    network.rounds(3)
    now = network.clock()
    ranks = {n: e.book.reader_rank(now, e.reads) for n, e in network.entries.items()}
    assert ranks[second] == 0
    assert ranks[first] == max(r for r in ranks.values() if r < MEMBER_RANK)


def follower_of_a_cut_entry(follower: SimpleNamespace) -> SimpleNamespace:
    """Return what follows a platform that does not answer."""
    return SimpleNamespace(**vars(follower) | {"reachable": False})


def test_a_suspicion_reaches_all_and_dies_out(large):
    large.entries["c-05"].beliefs.suspects.suspect("x", "reset", large.clock())
    large.rounds(4)
    left_out = [
        name
        for name, entry in large.entries.items()
        if "x" in entry.beliefs.suspects.excluded(large.clock())
    ]
    assert len(left_out) == 28
    large.rounds(20)
    for entry in large.entries.values():
        assert entry.beliefs.suspects.excluded(large.clock()) == set()


def test_a_limit_and_its_end_reach_all(large):
    for named in (2.5, NO_LIMIT):
        for entry in (large.entries["c-05"], large.entries["a-07"]):
            now = large.clock()
            entry.beliefs.limits.observe("x", named, now - 0.01, now)
        large.rounds(4)
        told = {entry.beliefs.limits.named("x") for entry in large.entries.values()}
        assert told == {named}


@pytest.mark.parametrize(
    "zones", [{"a": 2, "b": 1}, {"a": 10, "b": 9, "c": 9}], ids=["few", "many"]
)
def test_all_entries_know_those_that_may_give_out_permits(zones):
    network = Network(zones)
    network.rounds(15)
    now = network.clock()
    known = {frozenset(e.book.coordinators(now)) for e in network.entries.values()}
    assert len(known) == 1
    (names,) = known
    assert names <= set(network.entries)


def test_losses_under_a_request_reach_all(large):
    for number, name in enumerate(["a-05", "b-05", "c-05"]):
        crashes = large.entries[name].beliefs.crashes
        crashes.strike("r", f"x{number}", large.clock())
    large.rounds(5)
    now = large.clock()
    assert all(e.beliefs.crashes.is_refused("r", now) for e in large.entries.values())


def test_entries_find_new_hubs_after_those_of_a_zone_are_gone(large):
    for name in ("b-00", "b-01"):
        del large.entries[name]
    large.rounds(int(3 * PEER_SILENT / PERIOD))
    hubs = {name for name, role in large.roles().items() if role is Role.HUB}
    assert {"b-02", "b-03"} <= hubs
    give_loads(large)
    large.rounds(6)
    loads = {e.beliefs.loads.get("x").requests for e in large.entries.values()}
    assert loads == {26}


def test_a_deployment_that_shrinks_speaks_directly_again(large):
    for name in list(large.entries)[:20]:
        del large.entries[name]
    large.rounds(150)
    assert set(large.roles().values()) == {Role.EQUAL}
    give_loads(large)
    large.rounds(6)
    loads = {e.beliefs.loads.get("x").requests for e in large.entries.values()}
    assert loads == {8}


def test_entries_of_other_zones_are_left_to_the_hubs(large):
    """A round has one exchange of each member, and those between hubs."""
    large.rounds(10)
    before = large.exchanges
    large.rounds(10)
    members, near, far = 22, 6, 12
    assert large.exchanges - before == 10 * (members + near + far)


def test_exchanges_of_an_entry_do_not_grow_with_the_deployment():
    """With 24 zones a round has about as many exchanges as there are entries."""
    network = Network({f"z{number:02}": 5 for number in range(24)})
    network.rounds(25)
    before = network.exchanges
    network.rounds(2)
    assert (network.exchanges - before) / 2 < 5 * len(network.entries)
