"""Tests of the scheduler under loads at and above the room, as an entry drives it."""

from __future__ import annotations

import pytest

from .scheduled_load import (
    LARGE_FACTOR,
    ORDINARY,
    ORGANISATIONS,
    SECONDS as LAST,
    WARM_UP,
    play,
    requests_at,
)

#: Loads in multiples of the room.
LOADS = (1.0, 1.5, 3.0)


@pytest.fixture(scope="module")
def played():
    """What became of the requests at each load."""
    return {load: play(requests_at(load, seed=1)) for load in (*LOADS, 2.0)}


def large_ratio(played, rank: int) -> float:
    """Return how often large requests start, relative to the others of a rank."""
    large = played.served(rank=rank, tokens=LARGE_FACTOR * ORDINARY)
    return large / played.served(rank=rank, tokens=ORDINARY)


@pytest.mark.parametrize(("load", "least"), [(1.0, 0.95), (1.5, 0.95), (3.0, 0.75)])
def test_most_urgent_rank_is_served_while_less_urgent_ones_pay(played, load, least):
    shares = [played[load].served(rank=rank) for rank in (0, 1, 2)]
    assert shares[0] >= least
    assert shares == sorted(shares, reverse=True)


def test_least_urgent_rank_does_not_starve_at_three_times_the_room(played):
    starts = [r.arrived_at for r in played[3.0].started if r.rank == 2]
    for second in range(int(WARM_UP), int(LAST), 10):
        assert any(second <= at < second + 10 for at in starts)


def test_rank_does_not_starve_while_a_more_urgent_one_asks_for_all_room():
    arrivals = requests_at(3.0, seed=1, ranks=(0, 0, 0, 0, 0, 0, 0, 0, 0, 1))
    starts = [r.arrived_at for r in play(arrivals).started if r.rank == 1]
    for second in range(int(WARM_UP), int(LAST), 10):
        assert any(second <= at < second + 10 for at in starts)


def test_small_organisations_get_what_is_less_than_their_equal_share(played):
    """At three times the room, it runs short for rank 0."""
    for number in range(1, ORGANISATIONS):
        name = f"small {number}"
        assert played[3.0].served(rank=0, organisation=name) >= 0.9


@pytest.mark.parametrize("load", [1.5, 3.0])
def test_no_room_is_idle_while_the_largest_organisation_waits(played, load):
    """A twentieth is less than one large request."""
    assert played[load].mean_idle_share() < 0.05


@pytest.mark.parametrize("load", LOADS)
@pytest.mark.parametrize("rank", [0, 1, 2])
def test_large_requests_start_half_as_often_as_others_of_their_rank(played, load, rank):
    assert large_ratio(played[load], rank) >= 0.5


def test_starts_a_second_stay_near_their_highest_at_three_times_the_room(played):
    highest = max(each.starts_a_second() for each in played.values())
    assert played[3.0].starts_a_second() >= 0.9 * highest


@pytest.mark.parametrize("load", [1.5, 3.0])
def test_refused_requests_learn_it_within_20_ms(played, load):
    assert played[load].median_refusal() <= 0.02


def test_requests_that_start_do_so_by_their_latest_start(played):
    for each in played.values():
        assert all(at <= request.latest_start for request, at in each.started.items())


@pytest.mark.parametrize("load", LOADS)
def test_every_request_is_decided_once(played, load):
    each = played[load]
    assert not set(each.started) & set(each.refused)
    undecided = set(each.requests) - set(each.started) - set(each.refused)
    assert all(request.latest_start > LAST - 1.0 for request in undecided)
