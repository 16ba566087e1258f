"""Tests of the placement duty among 68 entries in five availability zones."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from lacewingcourse.relay.duty_holder import HOLDER_TIMEOUT, DutyHolder
from lacewingcourse.relay.peers import GOSSIP_PERIOD as EXCHANGE_PERIOD
from lacewingcourse.relay.placement_duty import PERIOD
from lacewingcourse.relay.ports import Lease

from .network import Network

#: Number of entries in each availability zone.
ZONES = {"a": 14, "b": 14, "c": 14, "d": 13, "e": 13}


class SharedLeases:
    """A lease store that all entries read before the first one writes.

    Attributes:
        lease: The present lease.
        taken: Names of the holders in the order in which they acquired the duty.
    """

    def __init__(self) -> None:
        self.lease: Lease | None = None
        self.taken: list[str] = []

    async def current(self):
        found = self.lease
        await asyncio.sleep(0)
        return found

    async def acquire(self, holder, after):
        if after != self.lease:
            return None
        self.taken.append(holder)
        self.lease = Lease(holder, (after.fencing if after else 0) + 1)
        return self.lease


@pytest.fixture
def large_deployment():
    """68 entries that have just started, and their shared lease store."""
    store = SharedLeases()
    log = SimpleNamespace(log_event=lambda event, **fields: None)

    def make_holder(name, book, clock):
        return DutyHolder(
            name, store, log, clock, lambda: book.rank(clock()), lambda: False
        )

    return Network(ZONES, make_holder), store


def exchange_for(network, seconds):
    """Run gossip rounds and periodic checks of the duty for some seconds."""

    async def acquire_if_vacant():
        candidates = [
            e.holder for e in network.entries.values() if e.holder.should_acquire()
        ]
        await asyncio.gather(*(holder.acquire() for holder in candidates))

    since = looked_at = network.clock.now
    while network.clock.now < since + seconds:
        network.run_rounds(1)
        if network.clock.now - looked_at >= PERIOD:
            looked_at = network.clock.now
            asyncio.run(acquire_if_vacant())


def test_one_entry_takes_the_duty_and_keeps_it(large_deployment):
    """Guards against the duty passing among 16 entries before the first order."""
    network, store = large_deployment
    exchange_for(network, 15.0)
    assert len(store.taken) == 1


def test_one_entry_takes_over_from_a_lost_holder(large_deployment):
    network, store = large_deployment
    exchange_for(network, 5.0)
    del network.entries[store.lease.holder]
    exchange_for(network, HOLDER_TIMEOUT + 5 * EXCHANGE_PERIOD)
    assert len(store.taken) == 2
    exchange_for(network, 10.0)
    assert len(store.taken) == 2


def test_the_age_of_a_holder_that_is_no_hub_reaches_every_zone(large_deployment):
    network, store = large_deployment
    member = "e-12"
    store.lease = Lease(member, 1)
    network.entries[member].holder.lease = store.lease
    exchange_for(network, 12.0)
    assert store.taken == []
    ages = [entry.holder.holder_age() for entry in network.entries.values()]
    assert max(ages) < HOLDER_TIMEOUT / 2
