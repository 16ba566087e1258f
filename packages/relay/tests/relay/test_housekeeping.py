"""Tests of the housekeeping of an entry."""

from __future__ import annotations

import asyncio

import pytest

from lacewingcourse.core.pipelines.peers import PeerTable
from lacewingcourse.core.pipelines.permits import PermitIssuer
from lacewingcourse.core.pipelines.retry_budget import RetryBudget
from lacewingcourse.core.pipelines.speed import ESTIMATE_TTL
from lacewingcourse.relay import housekeeping
from lacewingcourse.relay.connections import ConnectionPool
from lacewingcourse.relay.housekeeping import FREEZE_THRESHOLD, Housekeeping
from lacewingcourse.relay.routing_state import RoutingState


@pytest.fixture
def make_housekeeper():
    """Return a function that makes the housekeeping of an entry."""

    def make(on_thaw=lambda frozen_for: None):
        budget = RetryBudget(0.2, 10.0, 200.0)
        book = PeerTable("a")
        pool = ConnectionPool()
        issuer = PermitIssuer("a")
        return Housekeeping(
            RoutingState(), pool, book, budget, issuer, lambda: 0.0, on_thaw
        )

    return make


def test_expired_state_is_removed(make_housekeeper):
    housekeeper = make_housekeeper()
    housekeeper.routing_state.speeds.update("e", 5.0, now=0.0)
    housekeeper.routing_state.links.from_peer("b", {("east", "west"): 0.3})
    housekeeper.routing_state.loads.from_peer("b", {}, now=0.0)
    housekeeper.expire(ESTIMATE_TTL + 1.0)
    assert housekeeper.routing_state.speeds.estimates == {}
    assert housekeeper.routing_state.loads.peers == {}
    assert housekeeper.routing_state.links.peers == {}


def test_the_budget_is_shared_by_the_most_entries_that_were_alive(make_housekeeper):
    housekeeper = make_housekeeper()
    for name in "bc":
        housekeeper.book.record_message(name, f"{name}:1", False, 0.0)
    housekeeper.expire(0.1)
    housekeeper.expire(100.0)
    assert housekeeper.budget.entries == 3


def test_entries_that_end_or_are_not_heard_yet_keep_their_shares_of_the_budget(
    make_housekeeper,
):
    housekeeper = make_housekeeper()
    housekeeper.book.record_message("b", "b:1", True, 0.0)
    housekeeper.book.set_address("c", "c:1", 0.0)
    housekeeper.expire(0.1)
    assert (housekeeper.budget.known_entries, housekeeper.budget.entries) == (3, 1)
    housekeeper.book.expire(100.0)
    housekeeper.expire(100.0)
    assert housekeeper.budget.known_entries == 1


@pytest.mark.parametrize(
    ("frozen_for", "reports"), [(FREEZE_THRESHOLD / 2, 0), (FREEZE_THRESHOLD + 1.0, 1)]
)
def test_a_freeze_is_reported(make_housekeeper, monkeypatch, frozen_for, reports):
    freezes = []
    times = iter([5.0, 5.0 + frozen_for, 5.0 + frozen_for])
    monkeypatch.setattr(housekeeping, "suspend_time", lambda now: next(times))

    async def run():
        task = asyncio.ensure_future(make_housekeeper(freezes.append).run())
        await asyncio.sleep(0)
        task.cancel()

    asyncio.run(run())
    assert len(freezes) == reports
