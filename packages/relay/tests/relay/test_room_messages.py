"""Tests of the demand for room in gossip messages, and of its log lines."""

from __future__ import annotations

from math import exp
from types import SimpleNamespace

import attrs
import orjson
import pytest

from lacewingcourse.core.pipelines.load import PEER_LOADS_TTL
from lacewingcourse.core.pipelines.room_demand import MAX_NAMED
from lacewingcourse.core.pipelines.room_shares import RoomShares
from lacewingcourse.core.pipelines.room_sharing import ONSET_TIME
from lacewingcourse.core.pipelines.scheduling import QueuedRequest
from lacewingcourse.relay import peer_messages
from lacewingcourse.relay.causes import cause_of, histories_of
from lacewingcourse.relay.decoding import Undecodable
from lacewingcourse.relay.metrics import Metrics
from lacewingcourse.relay.peer_messages import (
    DECODER,
    GossipMessage,
    Scope,
    decode,
    encode,
)
from lacewingcourse.relay.peers import GOSSIP_PERIOD
from lacewingcourse.relay.room_monitor import LINE_PERIOD, RoomMonitor

from .network import Network

SERVICE = "texts"
#: Most bytes that the demand of one service adds to a message, with ten ranks and
#: plain names of 80 characters, and what is common: three ranks, names of 20.
MAX_BYTES, COMMON_BYTES = 20_000, 2_500


def make_request(name, rank=0, organisation="ours", at=0.0):
    return QueuedRequest(name, rank, organisation, 100, at, at + 2.0)


def give_demand(share, now, rank=0, organisation="ours", short=False):
    """Count the arrival and start of a request, or that it found no room."""
    request = make_request(f"{now}", rank, organisation, now)
    share.record_arrival(request, now)
    record = share.record_shortage if short else share.record_start
    record(request, now)


@pytest.fixture(params=[{"a": 5}, {"a": 10, "b": 9, "c": 9}], ids=["few", "many"])
def network(request):
    """Return entries that know one another and have demand, one of them short."""
    network = Network(request.param)
    network.run_rounds(15)
    first = min(network.entries)
    for name, entry in network.entries.items():
        give_demand(entry.routing_state.room.of(SERVICE), network.clock.now)
        if name == first:
            share = entry.routing_state.room.of(SERVICE)
            give_demand(share, network.clock.now, 1, "theirs", short=True)
    return network


def test_every_entry_learns_the_demand_of_all_once(network):
    network.run_rounds(5)
    for entry in network.entries.values():
        demand = entry.routing_state.room.of(SERVICE).plan(network.clock.now).demand
        newest, oldest = 100 * len(network.entries), exp(-5 * GOSSIP_PERIOD)
        assert newest * oldest * 0.99 <= demand.ranks[0].arrived <= newest * 1.01
        assert demand.ranks[1].arrived <= 101


def test_every_entry_learns_of_a_shortage_and_of_its_end(network):
    network.run_rounds(3)
    shares = [
        entry.routing_state.room.of(SERVICE) for entry in network.entries.values()
    ]
    assert all(share.plan(network.clock.now).is_short for share in shares)
    now = network.clock.now
    request = make_request("x", 2, at=now)
    waiting = [share for share in shares if not share.has_precedence(request, now)]
    assert len(waiting) == len(shares) - 1
    network.run_rounds(15)
    assert not any(share.plan(network.clock.now).is_short for share in shares)


def test_demand_of_an_entry_that_is_gone_lapses(network):
    network.run_rounds(3)
    gone = min(network.entries)
    del network.entries[gone]
    network.run_rounds(round(2 * PEER_LOADS_TTL / 0.2) + 1)
    for entry in network.entries.values():
        entry.routing_state.room.expire(network.clock.now)
        share = entry.routing_state.room.of(SERVICE)
        assert gone not in share.peers
        assert share.has_precedence(
            make_request("x", 9, at=network.clock.now), network.clock.now
        )


def make_message(network, **changes):
    sender = network.entries["a-01"]
    return attrs.evolve(sender.message_for("a-00", "a"), **changes)


@pytest.fixture
def pair():
    network = Network({"a": 2})
    network.run_rounds(2)
    share = network.entries["a-01"].routing_state.room.of(SERVICE)
    give_demand(share, network.clock.now, short=True)
    return network


def test_message_of_an_older_build_is_understood(pair):
    document = orjson.loads(encode(make_message(pair)))
    del document["room"]
    message = decode(orjson.dumps(document), GossipMessage)
    pair.entries["a-00"].receive(message)
    assert message.room == {}
    assert pair.entries["a-00"].routing_state.room.services == {}


def test_older_build_understands_a_message_with_demand(pair):
    fields = {
        field.name: attrs.field(default=field.default, type=field.type, kw_only=True)
        for field in attrs.fields(GossipMessage)
        if field.name != "room"
    }
    older = attrs.make_class("OlderMessage", fields)
    attrs.resolve_types(older, vars(peer_messages))
    found = DECODER.decode(encode(make_message(pair)), older)
    assert not isinstance(found, Undecodable)
    assert found.scope is Scope.OWN


@pytest.mark.parametrize(
    "room",
    [
        None,
        5,
        [1, 2],
        {SERVICE: None},
        {SERVICE: {"ranks": "many"}},
        {SERVICE: {"ranks": [[0, None, 0, 0, 0, 0, 0]]}},
        {SERVICE: {"ranks": [[0, 1e300, 0, 0, 0, 0, 0]]}},
        {SERVICE: {"ranks": [[0, -1, 0, 0, 0, 0, 0]]}},
        {SERVICE: {"ranks": [[True, 1, 0, 0, 0, 0, 0]]}},
        {SERVICE: {"ranks": [[0, 1]]}},
        {SERVICE: {"organisations": [[0, 7, 1.0]]}},
    ],
)
def test_absurd_demand_changes_nothing_and_is_logged_once(pair, room):
    receiver, lines = pair.entries["a-00"], []
    receiver.log = SimpleNamespace(
        log_event=lambda event, **fields: lines.append((event, fields)),
        limit=lambda *fields: None,
    )
    pair.entries["a-01"].routing_state.loads.begin_call("x")
    body = orjson.loads(encode(make_message(pair)))
    body["room"] = room
    for _ in range(3):
        receiver.receive(decode(orjson.dumps(body), GossipMessage))
    assert [event for event, _ in lines] == ["room_report_unusable"]
    assert receiver.routing_state.loads.get("x").requests == 1
    demand = receiver.routing_state.room.of(SERVICE).plan(pair.clock.now).demand
    assert demand.ranks == {}


def test_readable_service_counts_beside_one_that_is_not(pair):
    body = orjson.loads(encode(make_message(pair)))
    body["room"]["other"] = 5
    receiver = pair.entries["a-00"]
    receiver.receive(decode(orjson.dumps(body), GossipMessage))
    assert receiver.routing_state.room.of(SERVICE).peers


@pytest.mark.parametrize(
    ("ranks", "length", "limit"), [(10, 80, MAX_BYTES), (3, 20, COMMON_BYTES)]
)
def test_message_is_bounded_with_990_organisations(pair, ranks, length, limit):
    sender = pair.entries["a-01"]
    before = len(encode(attrs.evolve(make_message(pair), room={})))
    share = sender.routing_state.room.of(SERVICE)
    for number in range(990):
        name = f"organisation-{number}".ljust(length, "x")
        for rank in range(ranks):
            give_demand(share, pair.clock.now, rank, name, short=number % 2 == 0)
    message = make_message(pair)
    assert len(message.room[SERVICE]["organisations"]) == ranks * MAX_NAMED
    assert len(encode(message)) - before <= limit


def test_no_organisation_is_named_without_a_shortage(pair):
    share = RoomShares().of(SERVICE)
    give_demand(share, 0.0)
    assert share.report(lambda peer: False, 0.0).organisations == []


@pytest.fixture
def monitored():
    """Return room shares, their monitor and its lines."""
    lines = []
    log = SimpleNamespace(log_event=lambda e, **fields: lines.append((e, fields)))
    room = RoomShares()
    return room, RoomMonitor(room, log, Metrics()), lines


def test_shortage_is_logged_with_its_inputs_until_its_end(monitored):
    room, monitor, lines = monitored
    for step in range(30):
        now = step * 0.1
        give_demand(room.of(SERVICE), now, step % 2, short=step % 2 == 1)
        monitor.check(now)
    monitor.check(6.0)
    assert [event for event, _ in lines] == [
        "room_short",
        "room_divided",
        "room_divided",
        "room_enough",
    ]
    assert set(lines[1][1]["arrived"]) == {"0", "1"}
    assert lines[1][1]["fractions"]["1"] < 1.0
    assert lines[-1][1]["lasted_ms"] >= 1000 * LINE_PERIOD


def test_metrics_show_demand_and_refusals(monitored):
    room, monitor, _ = monitored
    share = room.of(SERVICE)
    for step in range(100):
        now = step * 0.01
        give_demand(share, now, 3, short=True)
        if now > ONSET_TIME:
            share.may_take(make_request(f"n{step}", 3, at=now), now)
        monitor.check(now)
    page = monitor.metrics.respond(None).body.decode()
    assert 'lacewingcourse_relay_room_short{service="texts"} 1.0' in page
    assert 'lacewingcourse_relay_room_demand{rank="3",service="texts",state="' in page
    assert 'lacewingcourse_relay_room_refusals_total{rank="3",service="texts"}' in page


def test_explain_names_the_part_of_the_room_as_the_cause():
    share = RoomShares().of(SERVICE)
    reason = share.reason(make_request("x"), 0.0)
    line = {"event": "refused", "request": "x", "kind": "overloaded", "time": 1.0}
    history = histories_of([line | {"reason": reason}], 500.0, 200.0)[0]
    assert cause_of(history) == "refused by its part of the room"
