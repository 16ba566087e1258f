"""Tests of the age that an entry derives for the content of a received message."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from lacewingcourse.core.pipelines.freshness import Freshness
from lacewingcourse.core.pipelines.peers import PEER_SILENCE_TIMEOUT
from lacewingcourse.relay.peer_messages import GossipMessage, decode, encode
from lacewingcourse.relay.peers import GOSSIP_PERIOD, PeerExchange

from .network import Network

#: Names of the entry that sends and of the one that receives.
SENDER, RECEIVER = "a-00", "a-01"
VERSION = SimpleNamespace(version=7)


@pytest.fixture
def network():
    """Return two entries that have the same version and have exchanged no message."""
    network = Network({"a": 2})
    for entry in network.entries.values():
        entry.routing_state.table = VERSION
        # Each entry needs a follower of its own.
        entry.configuration = entry.directory = SimpleNamespace(
            freshness=Freshness(1.0, 0.1), position=None, reachable=True
        )
    return network


def deliver(network: Network, message: GossipMessage) -> None:
    """Deliver a message of the first entry to the second one."""
    receiver = network.entries[RECEIVER]
    exchange = PeerExchange(receiver, (), None, network.clock, lambda: None)
    exchange.receive(decode(encode(message), GossipMessage))


def age(network: Network) -> float:
    """Return the age of the second entry's version, in seconds."""
    return network.entries[RECEIVER].configuration.freshness.age(network.clock())


@pytest.mark.parametrize("delay", [0.0, 1.5])
def test_a_delayed_message_confirms_the_version_as_of_its_composition(network, delay):
    network.run_rounds(2)
    sender = network.entries[SENDER]
    network.clock.now += GOSSIP_PERIOD
    sender.configuration.freshness.confirm(network.clock())
    message = sender.message_for(RECEIVER, "a")
    network.clock.now += delay
    deliver(network, message)
    assert age(network) == pytest.approx(delay)


def test_a_message_of_unknown_transit_time_confirms_nothing(network):
    sender = network.entries[SENDER]
    sender.configuration.freshness.confirm(network.clock())
    before = age(network)
    deliver(network, sender.message_for(RECEIVER, "a"))
    assert age(network) == before


def test_a_delayed_limit_does_not_replace_a_newer_one(network):
    network.run_rounds(2)
    sender, receiver = network.entries[SENDER], network.entries[RECEIVER]
    now = network.clock()
    sender.routing_state.limits.observe("x", 9.0, now - 0.01, now)
    message = sender.message_for(RECEIVER, "a")
    network.clock.now += 1.0
    now = network.clock()
    receiver.routing_state.limits.observe("x", 2.0, now - 0.01, now)
    network.clock.now += 0.5
    deliver(network, message)
    assert receiver.routing_state.limits.named("x") == 2.0


def test_a_delayed_message_does_not_mark_a_silent_entry_alive(network):
    network.run_rounds(2)
    sender = network.entries[SENDER]
    now = network.clock()
    sender.book.record_message("a-02", "a-02", False, now, "a")
    message = sender.message_for(RECEIVER, "a")
    network.clock.now += PEER_SILENCE_TIMEOUT + GOSSIP_PERIOD
    deliver(network, message)
    assert "a-02" not in network.entries[RECEIVER].book.alive(network.clock())
