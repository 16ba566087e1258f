"""Tests of who has the duty of placing layers."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from lacewingcourse.relay.duty_holder import HOLDER_SILENT, TAKEOVER_STEP, DutyHolder
from lacewingcourse.relay.placement_duty import PERIOD
from lacewingcourse.relay.ports import Lease, Unavailable

from .leases import Leases


@pytest.fixture
def make_holder():
    """Return a function that makes what an entry named `me` knows of the holder."""

    def make(store, clock=lambda: 0.0, rank=0, leaving=False):
        log = SimpleNamespace(log_event=lambda event, **fields: None)
        return DutyHolder("me", store, log, clock, lambda: rank, lambda: leaving)

    return make


def test_a_duty_that_nobody_has_is_taken(make_holder):
    holder = make_holder(Leases(None))
    asyncio.run(holder.take())
    assert holder.held


def test_a_holder_that_is_heard_keeps_the_duty(make_holder):
    holder = make_holder(Leases(Lease("other", 3)))
    asyncio.run(holder.take())
    assert holder.lease == Lease("other", 3)
    assert holder.store.taken == []


def test_a_holder_told_by_a_peer_meanwhile_keeps_the_duty(make_holder):
    """The peer's word comes while the store is being read."""
    store = Leases(Lease("other", 3))
    holder = make_holder(store)
    store.during = lambda: holder.hear("other", 3)
    asyncio.run(holder.take())
    assert store.taken == []


def looks(holder, now, seconds):
    """Let an entry look whether it should take the duty until a time."""
    while now[0] < seconds:
        now[0] += PERIOD
        if holder.is_vacant():
            asyncio.run(holder.take())


@pytest.mark.parametrize("rank", [0, 3])
def test_a_silent_holder_is_replaced_in_order_of_ranks(make_holder, rank):
    """Told once, a holder has the whole time; then each waits for those before it."""
    now = [0.0]
    holder = make_holder(Leases(Lease("other", 3)), clock=lambda: now[0], rank=rank)
    holder.hear("other", 3)
    waits = HOLDER_SILENT + rank * TAKEOVER_STEP
    looks(holder, now, waits - PERIOD)
    assert holder.lease == Lease("other", 3)
    looks(holder, now, waits + 2 * PERIOD)
    assert holder.lease == Lease("me", 4)


def test_a_holder_that_others_hear_keeps_the_duty(make_holder):
    now = [0.0]
    holder = make_holder(Leases(Lease("other", 3)), clock=lambda: now[0])
    while now[0] < 5 * HOLDER_SILENT:
        holder.hear("other", 3, age=0.6)
        looks(holder, now, now[0] + 0.5)
    assert holder.store.taken == []


def test_a_holder_that_is_leaving_is_replaced_at_once(make_holder):
    now = [0.0]
    holder = make_holder(Leases(Lease("other", 3)), clock=lambda: now[0])
    holder.hear("other", 3, age=0.0, released=3)
    looks(holder, now, 2 * PERIOD)
    assert holder.lease == Lease("me", 4)


def test_an_entry_that_is_leaving_takes_no_duty(make_holder):
    now = [0.0]
    holder = make_holder(Leases(None), clock=lambda: now[0], leaving=True)
    looks(holder, now, 3 * HOLDER_SILENT)
    assert holder.store.taken == []


def test_an_earlier_incarnation_of_this_entry_is_replaced(make_holder):
    holder = make_holder(Leases(Lease("me", 3)))
    asyncio.run(holder.take())
    assert holder.lease == Lease("me", 4)


def test_nothing_is_taken_while_the_store_is_away(make_holder):
    holder = make_holder(Leases(Unavailable("refused")))
    asyncio.run(holder.take())
    assert holder.lease is None


def test_an_older_word_of_a_peer_changes_nothing(make_holder):
    holder = make_holder(Leases(None))
    holder.hear("other", 5)
    holder.hear("older", 4)
    assert holder.lease == Lease("other", 5)


def test_a_holder_that_gave_the_duty_back_has_it_until_another_takes_it(make_holder):
    holder = make_holder(Leases(None))
    asyncio.run(holder.take())
    holder.give_back()
    assert holder.held
    assert holder.released == holder.fencing
    holder.hear("other", holder.fencing + 1)
    assert not holder.held
