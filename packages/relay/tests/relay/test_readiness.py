"""Tests of readiness and of the last requests of an entry that ends."""

from __future__ import annotations

import pytest

from lacewingcourse.core.pipelines.routing import Limits, RetrySafety, RoutingTable
from lacewingcourse.core.pipelines.shutdown import (
    REDIRECT_TIME,
    UNKNOWN_SHARE,
    take_expected,
    take_limited,
    take_until_redirected,
)
from lacewingcourse.relay.beliefs import Beliefs
from lacewingcourse.relay.readiness import END_MARGIN, Readiness

from .routes import route_of

#: Seconds in which a process must have ended.
GRACE = 8.0
ROOMS = route_of("rooms", RetrySafety.RESUMABLE_STREAM)
CALLS = route_of("calls", RetrySafety.IDEMPOTENT)
#: A time until which callers wait that is never reached.
FAR = 500.0


@pytest.fixture
def leaving() -> Readiness:
    """An entry that was asked to end at 10, and once more at 12."""
    readiness = Readiness(Beliefs(), GRACE, take_expected)
    readiness.leave(now=10.0)
    readiness.leave(now=12.0)
    return readiness


def takes(readiness, route, now, until=FAR) -> bool:
    """Tell whether an entry takes a request of a route."""
    return readiness.takes(route.name, now, until)


def test_an_entry_without_configuration_is_not_ready():
    assert not Readiness(Beliefs(), GRACE).is_ready()


def test_an_entry_with_configuration_is_ready_until_it_leaves():
    readiness = Readiness(Beliefs(table=RoutingTable(1, {}, {}, Limits())), GRACE)
    assert readiness.is_ready()
    assert takes(readiness, ROOMS, 5.0)
    readiness.leave(now=10.0)
    assert not readiness.is_ready()


def test_an_entry_that_leaves_takes_unknown_requests_for_a_while_only(leaving):
    last = 10.0 + GRACE - END_MARGIN - UNKNOWN_SHARE * GRACE
    assert takes(leaving, ROOMS, last - 0.01)
    assert not takes(leaving, ROOMS, last + 0.01)


@pytest.mark.parametrize("grace", [3.0, 8.0, 30.0])
@pytest.mark.parametrize("length", [0.1, 1.5, 2.6])
def test_an_entry_that_leaves_takes_what_will_end_in_time(grace, length):
    """With 2.8 seconds whatever the grace, 47 requests were refused in vain."""
    readiness = Readiness(Beliefs(), grace, take_expected)
    for number in range(100):
        readiness.beliefs.durations.record_answer(
            "rooms", length * (0.5 + number / 200)
        )
    readiness.leave(now=10.0)
    latest = 10.0 + grace - END_MARGIN - length
    assert takes(readiness, ROOMS, latest - 0.01)
    assert not takes(readiness, ROOMS, latest + 0.1 * length)


def test_answers_of_one_route_say_nothing_of_another(leaving):
    for _ in range(20):
        leaving.beliefs.durations.record_answer("calls", 0.05)
    assert takes(leaving, CALLS, 17.0)
    assert not takes(leaving, ROOMS, 17.0)


@pytest.mark.parametrize("choice", [take_expected, take_limited, take_until_redirected])
def test_what_is_over_before_the_end_is_taken_to_the_last(leaving, choice):
    leaving.takes_last = choice
    end = 10.0 + GRACE - END_MARGIN
    assert takes(leaving, ROOMS, end - 0.6, until=end)
    assert not takes(leaving, ROOMS, end - 0.5, until=end + 0.1)


@pytest.mark.parametrize("usual", [0.01, 0.5, 2.0])
def test_what_answers_took_before_bounds_no_later_one(leaving, usual):
    for _ in range(64):
        leaving.beliefs.durations.record_answer("rooms", usual)
        leaving.beliefs.durations.record_stream("rooms", 0.1 * usual, 0.01 * usual)
    leaving.takes_last = take_until_redirected
    redirected = 10.0 + REDIRECT_TIME
    assert takes(leaving, ROOMS, redirected - 0.01)
    assert not takes(leaving, ROOMS, redirected + 0.01)
    assert takes(leaving, ROOMS, redirected + 0.01, until=17.0)


def test_a_stream_is_taken_by_its_limit_alone_if_an_operator_wants_it(leaving):
    leaving.takes_last = take_limited
    assert not takes(leaving, ROOMS, 11.0)
    assert takes(leaving, ROOMS, 11.0, until=17.0)
