"""Tests of the bookings that entries tell each other."""

from __future__ import annotations

import math

import pytest

from lacewingcourse.core.pipelines.bookings import (
    EARLY_TOLERANCE,
    KEY_LENGTH,
    LATE_TOLERANCE,
    MAX_BOOKINGS,
    MAX_LEAD,
    MAX_REPORTED,
    REPORT_TIME,
    Arrival,
    Booking,
    BookingTable,
)
from lacewingcourse.core.pipelines.suspects import ObservationScope

KEY = "0123abcd"


def own_booking(due: float, now: float = 0.0) -> Booking:
    """Return a booking of this entry."""
    return Booking(due, now, ObservationScope.OWN, "s", 0)


@pytest.fixture
def table() -> BookingTable:
    """A table with one booking of this entry, due after three seconds."""
    table = BookingTable()
    table.add(KEY + "ef", own_booking(3.0))
    return table


@pytest.mark.parametrize(
    ("now", "expected"),
    [
        (0.1, Arrival.EARLY),
        (3.0 - 2 * EARLY_TOLERANCE, Arrival.EARLY),
        (3.0 - EARLY_TOLERANCE / 2, Arrival.DUE),
        (3.0 + LATE_TOLERANCE / 2, Arrival.DUE),
        (3.0 + 2 * LATE_TOLERANCE, Arrival.NEW),
    ],
)
def test_a_request_is_due_around_its_time(table, now, expected):
    assert table.bookings[KEY].arrival(now) is expected


def test_a_clock_that_was_set_back_keeps_no_caller_waiting(table):
    assert table.find(KEY, -2 * LATE_TOLERANCE) is None


def test_a_clock_that_jumped_ahead_leaves_no_bookings(table):
    table.expire(1000.0)
    assert table.bookings == {}


def test_a_booking_reaches_another_entry(table):
    other = BookingTable()
    reports = table.reports(0.1, ObservationScope.OWN)
    assert other.from_peer(reports, 0.0, 0.1, same_zone=True) == ""
    assert other.find(KEY + "ef", 1.0).arrival(1.0) is Arrival.EARLY
    assert other.find(KEY + "ef", 3.0).arrival(3.0) is Arrival.DUE
    assert other.reports(0.1, ObservationScope.OWN) == {}
    assert other.reports(0.1, ObservationScope.ZONE) == reports


def test_the_way_of_a_message_does_not_postpone_a_booking(table):
    other = BookingTable()
    reports = table.reports(0.1, ObservationScope.OWN)
    other.from_peer(reports, 1.0, 1.1, same_zone=True)
    assert other.bookings[KEY].due == pytest.approx(3.0)


def test_a_booking_is_reported_for_some_rounds_only(table):
    assert table.reports(2 * REPORT_TIME, ObservationScope.OWN) == {}


def test_messages_hold_the_newest_bookings_and_no_more(table):
    for number in range(3 * MAX_REPORTED):
        now = number / 1000
        table.add(f"{number:08x}", own_booking(5.0, now))
    reports = table.reports(0.1, ObservationScope.OWN)
    assert len(reports) == MAX_REPORTED
    assert next(iter(reports)) == f"{3 * MAX_REPORTED - 1:08x}"


def test_times_that_are_no_places_are_reported_last(table):
    barred = Booking(3.0, 0.05, ObservationScope.OWN, promised=False)
    table.add("barred00", barred)
    reports = table.reports(0.1, ObservationScope.OWN)
    assert list(reports) == [KEY, "barred00"]
    other = BookingTable()
    other.from_peer(reports, 0.0, 0.1, same_zone=True)
    assert other.find("barred00", 1.0).arrival(1.0) is Arrival.EARLY
    assert other.find("barred00", 3.0) is None


def test_a_place_counts_more_than_a_time_without_one(table):
    table.from_peer({KEY: -5000}, 0.0, 0.1, same_zone=True)
    assert table.find(KEY, 3.0).arrival(3.0) is Arrival.DUE
    table.add("barred00", Booking(3.0, 0.05, ObservationScope.OWN, promised=False))
    table.from_peer({"barred00": 1500}, 0.0, 0.1, same_zone=True)
    assert table.find("barred00", 1.6).arrival(1.6) is Arrival.DUE


@pytest.mark.parametrize(
    "reports",
    [None, 7, "text", [[KEY, 100]], {KEY: "soon"}, {KEY: None}, {KEY: True}]
    + [{KEY: value} for value in (math.nan, math.inf, -1e308, 1e308, 2000 * MAX_LEAD)]
    + [{"": 100}, {"x" * 1000: 100}],
    ids=repr,
)
def test_a_wrong_or_absurd_report_changes_nothing_and_is_named(table, reports):
    before = dict(table.bookings)
    problem = table.from_peer(reports, 0.0, 0.1, same_zone=True)
    assert problem
    assert len(problem) < 100
    assert table.bookings == before


def test_sound_bookings_beside_an_absurd_one_are_learned(table):
    problem = table.from_peer({"?": 1, "f" * KEY_LENGTH: 500}, 0.0, 0.1, True)
    assert problem
    assert table.find("f" * KEY_LENGTH, 0.1) is not None


def test_more_reports_than_a_message_may_hold_are_ignored(table):
    reports = {f"{number:08x}": 500 for number in range(10 * MAX_REPORTED)}
    table.from_peer(reports, 0.0, 0.1, same_zone=True)
    assert len(table.bookings) == 1 + MAX_REPORTED


def test_a_caller_with_two_bookings_has_the_later_one(table):
    table.from_peer({KEY: 4000}, 0.0, 0.1, same_zone=True)
    assert table.bookings[KEY].due == pytest.approx(4.1)
    assert list(table.own("s", 0.1)) == []
    table.from_peer({KEY: 1000}, 0.0, 0.2, same_zone=True)
    assert table.bookings[KEY].due == pytest.approx(4.1)


def test_reports_do_not_circulate_between_entries():
    """Messages on slow links bring a later time at each turn."""
    tables = [BookingTable(), BookingTable()]
    tables[0].add(KEY, own_booking(3.0))
    now = 0.0
    for turn in range(20):
        now += 0.6
        sender, receiver = tables[turn % 2], tables[1 - turn % 2]
        reports = sender.reports(now - 0.6, ObservationScope.ALL)
        receiver.from_peer(reports, 0.0, now, same_zone=True)
    assert all(t.find(KEY, 3.0 + 3 * LATE_TOLERANCE) is None for t in tables)


def test_bookings_are_bounded_and_passed_ones_make_space(table):
    for number in range(2 * MAX_BOOKINGS):
        table.add(f"{number:08x}", own_booking(30.0))
    assert len(table.bookings) == MAX_BOOKINGS
    assert table.dropped == MAX_BOOKINGS + 1
    table.expire(40.0)
    assert table.add("f" * KEY_LENGTH, own_booking(60.0, now=40.0))
    assert list(table.bookings) == list(table.own_bookings) == ["f" * KEY_LENGTH]
