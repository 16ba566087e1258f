"""Tests of what an entry forgets."""

from __future__ import annotations

import asyncio

import pytest

from lacewingcourse.core.pipelines.peers import PeerBook
from lacewingcourse.core.pipelines.permits import PermitIssuer
from lacewingcourse.core.pipelines.retry_budget import RetryBudget
from lacewingcourse.core.pipelines.speed import ESTIMATE_TTL
from lacewingcourse.relay import housekeeping
from lacewingcourse.relay.beliefs import Beliefs
from lacewingcourse.relay.connections import ConnectionPool
from lacewingcourse.relay.housekeeping import FREEZE, Housekeeping


@pytest.fixture
def make_house():
    """Return a function that makes the housekeeping of an entry."""

    def make(on_thaw=lambda slept: None):
        budget = RetryBudget(0.2, 10.0, 200.0)
        book = PeerBook("a")
        pool = ConnectionPool()
        issuer = PermitIssuer("a")
        return Housekeeping(Beliefs(), pool, book, budget, issuer, lambda: 0.0, on_thaw)

    return make


def test_what_is_over_is_forgotten(make_house):
    house = make_house()
    house.beliefs.speeds.update("e", 5.0, now=0.0)
    house.beliefs.links.from_peer("b", {("east", "west"): 0.3})
    house.beliefs.loads.from_peer("b", {}, now=0.0)
    house.forget(ESTIMATE_TTL + 1.0)
    assert house.beliefs.speeds.estimates == {}
    assert house.beliefs.loads.peers == {}
    assert house.beliefs.links.peers == {}


def test_the_budget_is_shared_by_the_most_entries_that_were_alive(make_house):
    house = make_house()
    for name in "bc":
        house.book.hear(name, f"{name}:1", False, 0.0)
    house.forget(0.1)
    house.forget(100.0)
    assert house.budget.entries == 3


def test_entries_that_end_or_are_not_heard_yet_keep_their_shares_of_the_budget(
    make_house,
):
    house = make_house()
    house.book.hear("b", "b:1", True, 0.0)
    house.book.learn("c", "c:1", 0.0)
    house.forget(0.1)
    assert (house.budget.known, house.budget.entries) == (3, 1)
    house.book.expire(100.0)
    house.forget(100.0)
    assert house.budget.known == 1


@pytest.mark.parametrize(("slept", "told"), [(FREEZE / 2, 0), (FREEZE + 1.0, 1)])
def test_a_freeze_is_told(make_house, monkeypatch, slept, told):
    freezes = []
    times = iter([5.0, 5.0 + slept, 5.0 + slept])
    monkeypatch.setattr(housekeeping, "seconds_asleep", lambda now: next(times))

    async def run():
        task = asyncio.ensure_future(make_house(freezes.append).run())
        await asyncio.sleep(0)
        task.cancel()

    asyncio.run(run())
    assert len(freezes) == told
