"""Tests of the lease of the placement duty."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from lacewingcourse.relay.duty_holder import (
    HOLDER_TIMEOUT,
    TAKEOVER_DELAY_PER_RANK,
    DutyHolder,
)
from lacewingcourse.relay.placement_duty import PERIOD
from lacewingcourse.relay.ports import Lease, Unavailable

from .leases import Leases


@pytest.fixture
def make_holder():
    """Return a function that makes the holder state of an entry named `me`."""

    def make(store, clock=lambda: 0.0, rank=0, leaving=False):
        log = SimpleNamespace(log_event=lambda event, **fields: None)
        return DutyHolder("me", store, log, clock, lambda: rank, lambda: leaving)

    return make


def test_a_duty_that_nobody_has_is_taken(make_holder):
    holder = make_holder(Leases(None))
    asyncio.run(holder.acquire())
    assert holder.held


def test_a_lease_in_the_store_is_not_replaced(make_holder):
    holder = make_holder(Leases(Lease("other", 3)))
    asyncio.run(holder.acquire())
    assert holder.lease == Lease("other", 3)
    assert holder.store.taken == []


def test_a_holder_reported_by_a_peer_during_the_read_keeps_the_duty(make_holder):
    """The peer's message arrives while the store is being read."""
    store = Leases(Lease("other", 3))
    holder = make_holder(store)
    store.during_read = lambda: holder.from_peer("other", 3)
    asyncio.run(holder.acquire())
    assert store.taken == []


def poll_until(holder, now, seconds):
    """Check periodically until a time, and acquire the duty when it is due."""
    while now[0] < seconds:
        now[0] += PERIOD
        if holder.should_acquire():
            asyncio.run(holder.acquire())


@pytest.mark.parametrize("rank", [0, 3])
def test_a_silent_holder_is_replaced_in_order_of_rank(make_holder, rank):
    """The timeout runs in full after one message; then each entry waits by its rank."""
    now = [0.0]
    holder = make_holder(Leases(Lease("other", 3)), clock=lambda: now[0], rank=rank)
    holder.from_peer("other", 3)
    delay = HOLDER_TIMEOUT + rank * TAKEOVER_DELAY_PER_RANK
    poll_until(holder, now, delay - PERIOD)
    assert holder.lease == Lease("other", 3)
    poll_until(holder, now, delay + 2 * PERIOD)
    assert holder.lease == Lease("me", 4)


def test_a_holder_that_other_entries_hear_from_keeps_the_duty(make_holder):
    now = [0.0]
    holder = make_holder(Leases(Lease("other", 3)), clock=lambda: now[0])
    while now[0] < 5 * HOLDER_TIMEOUT:
        holder.from_peer("other", 3, age=0.6)
        poll_until(holder, now, now[0] + 0.5)
    assert holder.store.taken == []


def test_a_holder_that_is_leaving_is_replaced_at_once(make_holder):
    now = [0.0]
    holder = make_holder(Leases(Lease("other", 3)), clock=lambda: now[0])
    holder.from_peer("other", 3, age=0.0, released=3)
    poll_until(holder, now, 2 * PERIOD)
    assert holder.lease == Lease("me", 4)


def test_an_entry_that_is_leaving_takes_no_duty(make_holder):
    now = [0.0]
    holder = make_holder(Leases(None), clock=lambda: now[0], leaving=True)
    poll_until(holder, now, 3 * HOLDER_TIMEOUT)
    assert holder.store.taken == []


def test_an_earlier_incarnation_of_this_entry_is_replaced(make_holder):
    holder = make_holder(Leases(Lease("me", 3)))
    asyncio.run(holder.acquire())
    assert holder.lease == Lease("me", 4)


def test_the_duty_is_not_acquired_while_the_store_is_unavailable(make_holder):
    holder = make_holder(Leases(Unavailable("refused")))
    asyncio.run(holder.acquire())
    assert holder.lease is None


def test_an_older_lease_from_a_peer_is_ignored(make_holder):
    holder = make_holder(Leases(None))
    holder.from_peer("other", 5)
    holder.from_peer("older", 4)
    assert holder.lease == Lease("other", 5)


def test_a_holder_that_released_the_duty_keeps_it_until_it_is_acquired(make_holder):
    holder = make_holder(Leases(None))
    asyncio.run(holder.acquire())
    holder.release()
    assert holder.held
    assert holder.released == holder.fencing
    holder.from_peer("other", holder.fencing + 1)
    assert not holder.held
