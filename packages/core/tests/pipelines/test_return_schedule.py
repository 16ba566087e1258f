"""Tests of the places that refused callers are given."""

from __future__ import annotations

import pytest

from lacewingcourse.core.pipelines.bookings import LATE_TOLERANCE, MAX_BOOKINGS, Booking
from lacewingcourse.core.pipelines.return_schedule import (
    MIN_RETURN,
    RETURN_SHARE,
    NoPlace,
    Place,
    ReturnSchedule,
)
from lacewingcourse.core.pipelines.scheduling import QueuedRequest
from lacewingcourse.core.pipelines.suspects import ObservationScope

RATE = 20.0  # answers a second


def request_of(rank: int = 1) -> QueuedRequest:
    """Return a request of a rank."""
    return QueuedRequest("r", rank, "o", 1, 0.0, 0.25)


@pytest.fixture
def schedule() -> ReturnSchedule:
    """A schedule of the only entry, which knows the rate of the deployment."""
    return ReturnSchedule(deployment_rate=lambda service, now: RATE)


def book(schedule, name, rank=1, time_left=20.0, now=0.0, waiting=0, draw=0.5):
    """Book a place; return it."""
    return schedule.book(
        request_of(rank), f"{name:>08}", time_left, now, draw, "s", waiting
    )


def test_places_follow_one_another_at_the_booked_share_of_the_rate(schedule):
    places = [book(schedule, n) for n in range(30)]
    interval = 1 / (RETURN_SHARE * RATE)
    for number, place in enumerate(places):
        assert place.position == number
        assert place.seconds >= max(MIN_RETURN, number * interval)
        assert place.seconds <= max(1.2 * MIN_RETURN, (number + 1) * interval)


def test_callers_refused_together_are_spread(schedule):
    early = {book(schedule, n, draw=n / 4).seconds for n in range(4)}
    assert len(early) == 4


def test_at_one_of_many_entries_some_have_a_place():
    """Each has less than one place in the time that a caller waits."""
    found = []
    for number in range(20):
        schedule = ReturnSchedule(68, lambda service, now: RATE)
        found.append(book(schedule, number, draw=number / 20))
    booked = [place for place in found if isinstance(place, Place)]
    expected = 20 * 20 / 3 * RETURN_SHARE * RATE / 68
    assert len(booked) == pytest.approx(expected, abs=1)


def test_no_place_lies_beyond_a_third_of_the_time_left(schedule):
    places = [book(schedule, n) for n in range(200)]
    booked = [p for p in places if isinstance(p, Place)]
    late = [p for p in places if isinstance(p, NoPlace)]
    assert len(booked) == pytest.approx(20 / 3 * RETURN_SHARE * RATE, abs=2)
    assert max(p.seconds for p in booked) <= 20 / 3
    assert min(p.seconds for p in late) > 20 / 3
    assert len(list(schedule.table.own("s", 0.0))) == len(booked)


@pytest.mark.parametrize("time_left", [0.0, 0.01, 0.3, 1.2, 3.0])
def test_callers_with_little_time_return_within_a_third_of_it(schedule, time_left):
    place = book(schedule, 1, time_left=time_left)
    assert isinstance(place, Place) == (place.seconds <= time_left / 3)


def test_a_call_with_a_short_time_limit_gets_a_place(schedule):
    place = book(schedule, 1, time_left=1.2)
    assert 0.15 <= place.seconds <= 0.4


def test_the_most_urgent_come_first(schedule):
    for number in range(20):
        book(schedule, number, rank=2)
    assert book(schedule, 21, rank=0).position == 0
    assert book(schedule, 22, rank=1).position == 1
    assert book(schedule, 23, rank=2).position == 22


def test_a_lesser_rank_has_the_places_that_more_urgent_ones_leave(schedule):
    schedule.urgent_demand = lambda service, rank, now: RATE / 2 if rank else 0.0
    assert book(schedule, 40, rank=0).rate == RETURN_SHARE * RATE
    assert 0 < book(schedule, 41, rank=1).rate < RETURN_SHARE * RATE / 2


def test_beside_more_urgent_callers_for_all_room_there_is_no_place(schedule):
    schedule.urgent_demand = lambda service, rank, now: RATE if rank else 0.0
    assert isinstance(book(schedule, 40, rank=0), Place)
    assert isinstance(book(schedule, 41, rank=1), NoPlace)


def test_the_demand_at_this_entry_counts_while_no_other_is_known(schedule):
    for number in range(100):
        schedule.record_arrival("s", 0, f"{number:>08}", number / RATE)
    assert isinstance(book(schedule, 101, rank=0, now=5.0), Place)
    assert isinstance(book(schedule, 102, rank=1, now=5.0), NoPlace)


def test_early_returns_are_no_further_demand(schedule):
    book(schedule, 1)
    for _ in range(5):
        schedule.record_arrival("s", 1, f"{1:>08}", 0.1)
    assert schedule.arrivals["s"][1].count(0.1) == 0


def test_one_without_a_place_gains_nothing_by_an_early_return(schedule):
    schedule.deployment_rate = lambda service, now: 0.01
    assert isinstance(book(schedule, 1), NoPlace)
    schedule.deployment_rate = lambda service, now: RATE
    assert schedule.is_early(f"{1:>08}", 1.0)
    again = book(schedule, 1, time_left=19.0, now=1.0)
    assert isinstance(again, NoPlace)
    assert again.seconds > 19.0 / 3
    later = 20.0 / 3
    assert not schedule.is_early(f"{1:>08}", later)
    assert not schedule.is_due(f"{1:>08}", later)
    assert isinstance(book(schedule, 1, time_left=13.0, now=later), Place)


def test_places_lie_behind_those_that_wait(schedule):
    near, far = book(schedule, 1), book(schedule, 2, waiting=60)
    assert far.position == 61
    assert far.seconds >= near.seconds + 60 / RATE - MIN_RETURN


def test_an_early_return_has_the_same_place(schedule):
    for number in range(20):
        book(schedule, number)
    place = book(schedule, 30)
    for now in (0.05, 0.1, 0.5):
        assert schedule.is_early(f"{30:>08}", now)
        again = book(schedule, 30, time_left=20 - now, now=now)
        assert again.seconds == pytest.approx(place.seconds - now)
    assert len(schedule.table.bookings) == 21


def test_a_booking_is_used_up_by_the_return_at_its_time(schedule):
    place = book(schedule, 1)
    at = place.seconds + 0.01
    name = f"{1:>08}"
    assert schedule.is_due(name, at)
    schedule.record_arrival("s", 1, name, at)
    assert not schedule.is_due(name, at)
    assert not schedule.is_early(name, at)


def test_one_that_is_refused_at_its_time_gets_a_new_place(schedule):
    place = book(schedule, 1)
    later = book(schedule, 1, time_left=18.0, now=place.seconds)
    assert isinstance(later, Place)
    assert schedule.is_due(f"{1:>08}", place.seconds + later.seconds)


def test_each_entry_books_its_part_of_the_deployments_rate(schedule):
    schedule.entries = 5
    assert schedule.rate("s", 0.0) == RATE / 5


def test_without_a_known_rate_no_place_is_booked():
    schedule = ReturnSchedule()
    assert book(schedule, 1) is None
    for number in range(20):
        schedule.record_end("s", "x", number / 10)
    assert isinstance(book(schedule, 1, now=2.0), Place)
    assert book(schedule, 2, now=60.0) is None


def test_services_have_places_of_their_own(schedule):
    for number in range(20):
        book(schedule, number)
    place = schedule.book(request_of(), "other", 20.0, 0.0, 0.5, "calls")
    assert place.position == 0


@pytest.mark.parametrize("jump", [-100.0, -3.0, 100.0])
def test_no_caller_waits_for_good_after_a_jump_of_the_clock(schedule, jump):
    """Bookings of the time before hold or fall back to a new place."""
    for number in range(60):
        book(schedule, number, now=number / 20)
    now = 3.0 + jump
    for number in range(60):
        place = book(schedule, number, time_left=17.0, now=now)
        assert place.seconds <= 17.0 + LATE_TOLERANCE
        if isinstance(place, Place):
            assert place.seconds <= 17.0 / 3
    assert isinstance(book(schedule, 1, now=now + 20.0), Place)


def test_a_full_table_gives_no_place(schedule):
    schedule.deployment_rate = lambda service, now: 1e6
    heard = Booking(30.0, 0.0, ObservationScope.ALL)
    for number in range(MAX_BOOKINGS):
        schedule.table.add(f"{number:>08}", heard)
    assert isinstance(book(schedule, MAX_BOOKINGS), NoPlace)
