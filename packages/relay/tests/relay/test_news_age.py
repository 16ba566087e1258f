"""Tests of how old an entry takes to be what another one tells."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from lacewingcourse.core.pipelines.freshness import Freshness
from lacewingcourse.core.pipelines.peers import PEER_SILENCE_TIMEOUT
from lacewingcourse.relay.peer_messages import PeerNews, decode, encode
from lacewingcourse.relay.peers import PERIOD, PeerExchange

from .network import Network

#: Name of the entry that tells, and of the one that is told.
TELLER, TOLD = "a-00", "a-01"
VERSION = SimpleNamespace(version=7)


@pytest.fixture
def network():
    """Return two entries that have the same version and have not spoken."""
    network = Network({"a": 2})
    for entry in network.entries.values():
        entry.beliefs.table = VERSION
        # A follower of its own for each: all of a network share one.
        entry.configuration = entry.directory = SimpleNamespace(
            freshness=Freshness(1.0, 0.1), position=None, reachable=True
        )
    return network


def deliver(network: Network, news: PeerNews) -> None:
    """Let the second entry get news of the first one."""
    told = network.entries[TOLD]
    exchange = PeerExchange(told, (), None, network.clock, lambda: None)
    exchange.take(decode(encode(news), PeerNews))


def age(network: Network) -> float:
    """Return how old the second entry takes its version to be."""
    return network.entries[TOLD].configuration.freshness.age(network.clock())


@pytest.mark.parametrize("delay", [0.0, 1.5])
def test_news_that_were_long_on_their_way_tell_what_was_the_newest_before(
    network, delay
):
    network.rounds(2)
    teller = network.entries[TELLER]
    network.clock.now += PERIOD
    teller.configuration.freshness.confirm(network.clock())
    news = teller.news_for(TOLD, "a")
    network.clock.now += delay
    deliver(network, news)
    assert age(network) == pytest.approx(delay)


def test_news_whose_way_is_unknown_confirm_nothing(network):
    teller = network.entries[TELLER]
    teller.configuration.freshness.confirm(network.clock())
    before = age(network)
    deliver(network, teller.news_for(TOLD, "a"))
    assert age(network) == before


def test_a_limit_that_was_long_on_its_way_does_not_replace_a_newer_one(network):
    network.rounds(2)
    teller, told = network.entries[TELLER], network.entries[TOLD]
    now = network.clock()
    teller.beliefs.limits.observe("x", 9.0, now - 0.01, now)
    news = teller.news_for(TOLD, "a")
    network.clock.now += 1.0
    now = network.clock()
    told.beliefs.limits.observe("x", 2.0, now - 0.01, now)
    network.clock.now += 0.5
    deliver(network, news)
    assert told.beliefs.limits.named("x") == 2.0


def test_an_entry_that_fell_silent_is_not_taken_for_alive_by_late_news(network):
    network.rounds(2)
    teller = network.entries[TELLER]
    now = network.clock()
    teller.book.record_message("a-02", "a-02", False, now, "a")
    news = teller.news_for(TOLD, "a")
    network.clock.now += PEER_SILENCE_TIMEOUT + PERIOD
    deliver(network, news)
    assert "a-02" not in network.entries[TOLD].book.alive(network.clock())
