"""Tests of who has the duty of placing layers."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from lacewingcourse.relay.beliefs import Beliefs
from lacewingcourse.relay.placement_duty import PlacementDuty
from lacewingcourse.relay.ports import Lease, Unavailable


class Leases:
    """A lease store that a test sets."""

    def __init__(self, current, during=lambda: None) -> None:
        self.holder = current
        self.during = during
        self.taken: list[str] = []

    async def current(self):
        self.during()
        return self.holder

    async def take(self, holder, after):
        self.taken.append(holder)
        self.holder = Lease(holder, (after.fencing if after else 0) + 1)
        return self.holder


@pytest.fixture
def make_duty():
    """Return a function that makes the duty of an entry named `me`."""

    def make(store, silent=()):
        log = SimpleNamespace(belief=lambda event, **fields: None)
        return PlacementDuty(
            "me",
            store,
            None,
            Beliefs(),
            log,
            lambda: 0.0,
            False,
            lambda holder, seconds: holder in silent,
        )

    return make


def test_a_duty_that_nobody_has_is_taken(make_duty):
    duty = make_duty(Leases(None))
    asyncio.run(duty._take())
    assert duty.held


def test_a_holder_that_is_heard_keeps_the_duty(make_duty):
    duty = make_duty(Leases(Lease("other", 3)))
    asyncio.run(duty._take())
    assert duty.lease == Lease("other", 3)
    assert duty.store.taken == []


def test_a_holder_told_by_a_peer_meanwhile_keeps_the_duty(make_duty):
    """The peer's word comes while the store is being read."""
    store = Leases(Lease("other", 3))
    duty = make_duty(store)
    store.during = lambda: duty.hear("other", 3)
    asyncio.run(duty._take())
    assert store.taken == []


def test_a_silent_holder_is_replaced(make_duty):
    duty = make_duty(Leases(Lease("other", 3)), silent={"other"})
    asyncio.run(duty._take())
    assert duty.lease == Lease("me", 4)


def test_an_earlier_incarnation_of_this_entry_is_replaced(make_duty):
    duty = make_duty(Leases(Lease("me", 3)))
    asyncio.run(duty._take())
    assert duty.lease == Lease("me", 4)


def test_nothing_is_taken_while_the_store_is_away(make_duty):
    duty = make_duty(Leases(Unavailable("refused")))
    asyncio.run(duty._take())
    assert duty.lease is None


def test_an_older_word_of_a_peer_changes_nothing(make_duty):
    duty = make_duty(Leases(None))
    duty.hear("other", 5)
    duty.hear("older", 4)
    assert duty.lease == Lease("other", 5)


def test_without_fencing_the_store_is_asked_before_orders(make_duty):
    store = Leases(Lease("me", 3))
    duty = make_duty(store)
    duty.lease = Lease("me", 3)
    assert asyncio.run(duty._may_order())
    store.holder = Lease("other", 4)
    assert not asyncio.run(duty._may_order())
    assert duty.lease == Lease("other", 4)


def test_without_fencing_nothing_is_ordered_while_the_store_is_away(make_duty):
    duty = make_duty(Leases(Unavailable("refused")))
    duty.lease = Lease("me", 3)
    assert not asyncio.run(duty._may_order())
    assert duty.held
