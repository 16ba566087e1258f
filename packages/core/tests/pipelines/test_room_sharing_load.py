"""Entries before one room: ranks 0 to 2 alike, one organisation of ten sends 7 in 10
requests, a tenth of the requests is six times as large.

The bounds are those of docs/design/room-sharing.md.
"""

from __future__ import annotations

from functools import cache

import pytest

from .room_fleet import (
    LARGE,
    SMALL,
    TOKENS,
    WAIT,
    RoomFleet,
)

FLEETS = [(5, 0.2), (5, 1.0), (68, 0.2), (68, 1.0)]
#: Share of rank 0 that is served by load and delay of gossip in seconds.
RANK_0 = {(1.5, 0.2): 0.95, (1.5, 1.0): 0.90, (3.0, 0.2): 0.75, (3.0, 1.0): 0.70}
#: Share of small organisations, in the rank that runs short, by delay.
SMALL_SHARE = {0.2: 0.9, 1.0: 0.85}


@cache
def played(entries, delay, load, policy="deployment"):
    return RoomFleet(entries, delay, policy=policy).run(load)


def size_ratio(fleet, rank, **options):
    """Return how often large requests are served, relative to the usual ones."""
    large = fleet.served(rank={rank}, tokens={TOKENS * LARGE}, **options)
    return large / fleet.served(rank={rank}, tokens={TOKENS}, **options)


def check_bounds(fleet, delay, load, **options):
    assert fleet.served(rank={0}, **options) >= RANK_0[load, delay]
    assert fleet.served(rank={2}, **options) > 0
    # The rank that runs short with a part of its demand served.
    short = 1 if load == 1.5 else 0
    small = fleet.served(rank={short}, organisation=SMALL, **options)
    assert small >= SMALL_SHARE[delay]
    assert all(size_ratio(fleet, rank, **options) >= 0.5 for rank in range(short + 1))
    alone = played(1, 0.2, load, "own").room_in_use()
    assert fleet.room_in_use() >= 0.9 * alone


@pytest.mark.parametrize("load", [1.5, 3.0])
@pytest.mark.parametrize(("entries", "delay"), FLEETS)
def test_room_goes_by_rank_and_organisation_under_load(entries, delay, load):
    check_bounds(played(entries, delay, load), delay, load)


@pytest.mark.parametrize(("entries", "delay"), FLEETS)
def test_hardly_anyone_is_refused_when_demand_just_fills_the_room(entries, delay):
    fleet = played(entries, delay, 1.0)
    own = played(entries, delay, 1.0, "own")
    for rank in range(3):
        assert fleet.served(rank={rank}) >= own.served(rank={rank}) - 0.05


@pytest.mark.parametrize(("entries", "delay"), FLEETS)
def test_nothing_changes_while_there_is_room(entries, delay):
    fleet, own = played(entries, delay, 0.7), played(entries, delay, 0.7, "own")
    assert [(o.request.id, o.started, o.at) for o in fleet.outcomes] == [
        (o.request.id, o.started, o.at) for o in own.outcomes
    ]


@pytest.mark.parametrize("delay", [0.2, 1.0])
def test_large_organisation_does_not_crowd_out_small_ones(delay):
    """At this load the equal share of the last rank covers its small organisations."""
    fleet = played(68, delay, 1.25)
    small = fleet.served(rank={2}, organisation=SMALL)
    assert small >= SMALL_SHARE[delay]
    assert fleet.served(rank={2}, organisation={"large"}) < small


@pytest.mark.parametrize("load", [1.5, 3.0])
@pytest.mark.parametrize("entries", [5, 68])
def test_frozen_entry_costs_others_nothing(entries, load):
    fleet = RoomFleet(entries)
    fleet.freeze(fleet.entries[1], 5.0, 3.0)
    fleet.run(load, 16.0)
    check_bounds(fleet, 0.2, load, skipped=[(8.0, 10.0)])


@pytest.mark.parametrize("load", [1.5, 3.0])
def test_lost_hub_costs_little(load):
    fleet = RoomFleet(68)
    fleet.freeze(fleet.zones[1][0], 6.0, 1.2)
    fleet.run(load, 16.0)
    check_bounds(fleet, 0.2, load, skipped=[(6.0, 9.2)])


def test_nobody_waits_for_an_entry_that_is_gone():
    fleet = RoomFleet(5)
    fleet.freeze(fleet.entries[0], 5.0, 100.0)
    fleet.run(3.0)
    others = [
        outcome
        for outcome in fleet.outcomes
        if outcome.request not in fleet.entries[0].queue
    ]
    assert max(o.at - o.request.arrived_at for o in others) <= WAIT + 0.05
    rest = [q for entry in fleet.entries[1:] for q in entry.queue]
    assert all(request.arrived_at > fleet.now - WAIT - 0.05 for request in rest)


def test_entries_without_messages_divide_what_they_measure_themselves():
    fleet = RoomFleet(5)
    fleet.hop = float("inf")
    fleet.run(3.0)
    assert not any(entry.share.of("rooms").peers for entry in fleet.entries)
    assert fleet.served(rank={0}) >= RANK_0[3.0, 1.0]
    assert fleet.served(rank={2}) > 0


def test_demand_that_ends_leaves_the_room_to_others():
    fleet = RoomFleet(5).run(3.0, 8.0)
    share = fleet.entries[0].share.of("rooms")
    assert share.plan(8.0).is_short
    assert not share.plan(11.0).is_short
