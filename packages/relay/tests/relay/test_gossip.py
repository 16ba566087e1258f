"""Tests of the gossip between entries, in small and large deployments."""

from __future__ import annotations

from types import SimpleNamespace

import attrs
import orjson
import pytest

from lacewingcourse.core.pipelines.crashes import AnswerProgress
from lacewingcourse.core.pipelines.peers import MEMBER_RANK, PEER_SILENCE_TIMEOUT, Role
from lacewingcourse.core.pipelines.request_limits import NO_LIMIT
from lacewingcourse.core.pipelines.retry_budget import PEER_DISCOVERY_TIME
from lacewingcourse.core.pipelines.suspects import Grade
from lacewingcourse.relay.peer_messages import GossipMessage, decode, encode
from lacewingcourse.relay.peers import GOSSIP_PERIOD, REGISTRY_PERIOD

from .network import Network


@pytest.fixture
def large():
    """A deployment of 28 entries in three zones after its discovery of all entries."""
    network = Network({"a": 10, "b": 9, "c": 9})
    network.run_rounds(15)
    return network


@pytest.fixture
def pair():
    """Two entries of a zone."""
    network = Network({"a": 2})
    return network.entries["a-00"], network.entries["a-01"]


def give_loads(network: Network) -> None:
    """Start one request of each entry on one endpoint."""
    for entry in network.entries.values():
        entry.routing_state.loads.begin_call("x")


def test_a_few_entries_all_know_one_another():
    network = Network({"a": 2, "b": 2, "c": 1})
    network.run_rounds(3)
    assert set(network.roles().values()) == {Role.EQUAL}
    assert all(
        len(e.book.alive(network.clock())) == 5 for e in network.entries.values()
    )


@pytest.mark.parametrize("zones", [{"a": 2, "b": 1}, dict.fromkeys("abcde", 14)])
def test_entries_are_counted_before_they_use_their_shares_of_the_retries(zones):
    network = Network(zones)
    network.run_rounds(int((PEER_DISCOVERY_TIME - REGISTRY_PERIOD) / GOSSIP_PERIOD))
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
    network.run_rounds(15)
    give_loads(network)
    network.run_rounds(6)
    loads = [e.routing_state.loads.get("x").requests for e in network.entries.values()]
    assert loads == [len(network.entries)] * len(network.entries)


def test_every_entry_knows_how_many_there_are(large):
    counts = {e.book.count(large.clock()) for e in large.entries.values()}
    assert counts == {28}


def test_hubs_have_distinct_ranks_before_members(large):
    ranks = sorted(e.book.rank(large.clock()) for e in large.entries.values())
    assert ranks[:7] == [0, 1, 2, 3, 4, 5, 10]


@pytest.mark.parametrize(
    "zones", [{"a": 2, "b": 2, "c": 1}, {"a": 10, "b": 9, "c": 9}], ids=["few", "many"]
)
def test_an_entry_without_the_platform_is_the_last_reader(zones):
    network = Network(zones)
    network.run_rounds(15)
    first, second = "a-00", "a-01" if zones["a"] == 2 else "b-00"
    disconnected = network.entries[first]
    disconnected.configuration = unreachable_follower(disconnected.configuration)
    network.run_rounds(3)
    now = network.clock()
    ranks = {
        n: e.book.reader_rank(now, e.platform_reachable)
        for n, e in network.entries.items()
    }
    assert ranks[second] == 0
    assert ranks[first] == max(r for r in ranks.values() if r < MEMBER_RANK)


def unreachable_follower(follower: SimpleNamespace) -> SimpleNamespace:
    """Return a follower of a platform that does not answer."""
    return SimpleNamespace(**vars(follower) | {"reachable": False})


def test_a_suspicion_reaches_all_entries_and_expires(large):
    large.entries["c-05"].routing_state.suspects.suspect("x", "reset", large.clock())
    large.run_rounds(4)
    left_out = [
        name
        for name, entry in large.entries.items()
        if "x" in entry.routing_state.suspects.excluded(large.clock())
    ]
    assert len(left_out) == 28
    large.run_rounds(20)
    for entry in large.entries.values():
        assert entry.routing_state.suspects.excluded(large.clock()) == set()


@pytest.mark.parametrize("grade", list(Grade))
def test_the_grade_of_a_suspicion_reaches_all_entries(large, grade):
    suspects = large.entries["c-05"].routing_state.suspects
    suspects.suspect("x", "late report", large.clock(), silent=True, grade=grade)
    large.run_rounds(4)
    for entry in large.entries.values():
        assert entry.routing_state.suspects.grades(large.clock()) == {"x": grade}


def without_grades(message: GossipMessage) -> GossipMessage:
    """Return a message as an older build sends it."""
    document = orjson.loads(encode(message))
    del document["grades"]
    return decode(orjson.dumps(document), GossipMessage)


def test_a_suspicion_of_an_older_build_has_the_assumed_grade(pair):
    sender, receiver = pair
    suspects = sender.routing_state.suspects
    suspects.suspect("x", "late report", 0.0, silent=True, grade=Grade.SLOW)
    receiver.receive(without_grades(sender.message_for(receiver.name, "a")))
    assert receiver.routing_state.suspects.grades(0.0) == {"x": Grade.DOUBTFUL}


def test_a_message_with_grades_keeps_its_meaning_for_older_builds(pair):
    """Older builds read the fields that they know and ignore the others."""
    sender, receiver = pair
    suspects = sender.routing_state.suspects
    suspects.suspect("x", "late report", 0.0, silent=True, grade=Grade.SLOW)
    document = orjson.loads(encode(sender.message_for(receiver.name, "a")))
    assert document["suspects"].keys() == {"x"}
    assert document["silent"] == ["x"]
    unknown = orjson.dumps(document | {"field_of_a_later_build": 1})
    assert decode(unknown, GossipMessage).grades == {"x": Grade.SLOW}


@pytest.mark.parametrize("value", [-1, 7, 10**30])
def test_an_unknown_grade_changes_nothing_and_is_logged_once(pair, value):
    sender, receiver = pair
    logged = []
    receiver.log = SimpleNamespace(log_event=lambda event, **f: logged.append(event))
    sender.routing_state.suspects.suspect("x", "reset", 0.0)
    message = sender.message_for(receiver.name, "a")
    for _ in range(3):
        receiver.receive(attrs.evolve(message, grades={"x": value, "y": value}))
    assert receiver.routing_state.suspects.grades(0.0) == {"x": Grade.LOST}
    assert logged.count("grade_unknown") == 1


def test_a_limit_and_its_end_reach_all(large):
    for named in (2.5, NO_LIMIT):
        for entry in (large.entries["c-05"], large.entries["a-07"]):
            now = large.clock()
            entry.routing_state.limits.observe("x", named, now - 0.01, now)
        large.run_rounds(4)
        named_limits = {
            entry.routing_state.limits.named("x") for entry in large.entries.values()
        }
        assert named_limits == {named}


@pytest.mark.parametrize(
    "zones", [{"a": 2, "b": 1}, {"a": 10, "b": 9, "c": 9}], ids=["few", "many"]
)
def test_all_entries_know_those_that_may_give_out_permits(zones):
    network = Network(zones)
    network.run_rounds(15)
    now = network.clock()
    known = {frozenset(e.book.coordinators(now)) for e in network.entries.values()}
    assert len(known) == 1
    (names,) = known
    assert names <= set(network.entries)


def test_crashes_under_a_request_reach_all_entries(large):
    for number, name in enumerate(["a-05", "b-05", "c-05"]):
        crashes = large.entries[name].routing_state.crashes
        crashes.record_loss("r", f"x{number}", large.clock())
    large.run_rounds(5)
    now = large.clock()
    assert all(
        e.routing_state.crashes.is_refused("r", now) for e in large.entries.values()
    )


def test_a_refused_part_is_known_to_all_entries_and_to_one_that_starts(large):
    for number, name in enumerate(["a-05", "b-05", "c-05"]):
        parts = large.entries[name].routing_state.parts
        parts.record_loss(("p",), f"x{number}", AnswerProgress.BEGUN, large.clock())
    large.run_rounds(5)
    large.entries["a-07"].routing_state.parts.judge(("p",), large.clock())
    large.run_rounds(5)
    del large.entries["a-05"], large.entries["a-07"]
    large.add("a-20", "a").book.set_address("a-00", "a-00", large.clock())
    large.run_rounds(5)
    now = large.clock()
    refused = [
        e.routing_state.parts.refused_part(("p",), now) for e in large.entries.values()
    ]
    assert set(refused) == {"p"}


def test_an_answer_at_one_entry_clears_a_part_at_all(large):
    lost = large.entries["a-05"].routing_state.parts
    lost.record_loss(("p",), "x", AnswerProgress.BEGUN, large.clock())
    large.run_rounds(5)
    large.entries["c-05"].routing_state.parts.record_sound(("p",), large.clock())
    large.run_rounds(5)
    assert all(not e.routing_state.parts.losses for e in large.entries.values())


def test_entries_find_new_hubs_after_those_of_a_zone_are_gone(large):
    for name in ("b-00", "b-01"):
        del large.entries[name]
    large.run_rounds(int(3 * PEER_SILENCE_TIMEOUT / GOSSIP_PERIOD))
    hubs = {name for name, role in large.roles().items() if role is Role.HUB}
    assert {"b-02", "b-03"} <= hubs
    give_loads(large)
    large.run_rounds(6)
    loads = {e.routing_state.loads.get("x").requests for e in large.entries.values()}
    assert loads == {26}


def test_a_deployment_that_shrinks_returns_to_a_full_mesh(large):
    for name in list(large.entries)[:20]:
        del large.entries[name]
    large.run_rounds(150)
    assert set(large.roles().values()) == {Role.EQUAL}
    give_loads(large)
    large.run_rounds(6)
    loads = {e.routing_state.loads.get("x").requests for e in large.entries.values()}
    assert loads == {8}


def test_only_hubs_exchange_messages_across_zones(large):
    """A round has one exchange of each member, and those between hubs."""
    large.run_rounds(10)
    before = large.exchanges
    large.run_rounds(10)
    members, near, far = 22, 6, 12
    assert large.exchanges - before == 10 * (members + near + far)


def test_exchanges_of_an_entry_do_not_grow_with_the_deployment():
    """With 24 zones a round has fewer than five exchanges for each entry."""
    network = Network({f"z{number:02}": 5 for number in range(24)})
    network.run_rounds(25)
    before = network.exchanges
    network.run_rounds(2)
    assert (network.exchanges - before) / 2 < 5 * len(network.entries)
