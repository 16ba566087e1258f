"""Tests of readiness and of the last requests of an entry that ends."""

from __future__ import annotations

from types import SimpleNamespace

import attrs
import pytest

from lacewingcourse.core.pipelines.routing import Limits, RetrySafety, RoutingTable
from lacewingcourse.core.pipelines.shutdown import (
    UNKNOWN_SHARE,
    take_bounded,
    take_expected,
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


def takes(readiness, route, now, until=FAR, max_answer=0) -> bool:
    """Tell whether an entry takes a request of a route."""
    return readiness.takes(route, route.name, max_answer, now, until)


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
        readiness.beliefs.durations.note("rooms", length * (0.5 + number / 200))
    readiness.leave(now=10.0)
    latest = 10.0 + grace - END_MARGIN - length
    assert takes(readiness, ROOMS, latest - 0.01)
    assert not takes(readiness, ROOMS, latest + 0.1 * length)


def test_answers_of_one_route_say_nothing_of_another(leaving):
    for _ in range(20):
        leaving.beliefs.durations.note("calls", 0.05)
    assert takes(leaving, CALLS, 17.0)
    assert not takes(leaving, ROOMS, 17.0)


@pytest.mark.parametrize("choice", [take_expected, take_bounded, take_until_redirected])
def test_what_is_over_before_the_end_is_taken_to_the_last(leaving, choice):
    leaving.takes_last = choice
    end = 10.0 + GRACE - END_MARGIN
    assert takes(leaving, ROOMS, end - 0.6, until=end)
    assert not takes(leaving, ROOMS, end - 0.5, until=end + 0.1)


def leaving_with_streams(shape, interval: float) -> Readiness:
    """Return an entry asked to end at 10 that has seen streams with some interval."""
    beliefs = Beliefs()
    figures = attrs.evolve(shape, event_tokens=2)
    service = SimpleNamespace(shape=figures)
    beliefs.table = SimpleNamespace(services={"rooms": service})
    for number in range(64):
        beliefs.durations.note("rooms", 0.5)
        beliefs.durations.note_stream("rooms", 0.1, interval * (0.9 + number / 640))
    readiness = Readiness(beliefs, GRACE, take_bounded)
    readiness.leave(now=10.0)
    return readiness


@pytest.mark.parametrize("interval", [0.01, 0.03, 0.05])
def test_the_longest_answer_that_is_allowed_ends_in_time(shape, interval):
    """Whatever usual answers take: these were over in half a second."""
    readiness = leaving_with_streams(shape, interval)
    longest = 0.1 + 100 * interval
    latest = 10.0 + GRACE - END_MARGIN - longest
    assert not takes(readiness, ROOMS, latest + 0.01, max_answer=200)
    assert takes(readiness, ROOMS, latest - 0.3 * longest, max_answer=200)


def test_a_short_answer_is_taken_later_than_a_long_one(shape):
    readiness = leaving_with_streams(shape, 0.03)
    assert takes(readiness, ROOMS, 15.0, max_answer=40)
    assert not takes(readiness, ROOMS, 15.0, max_answer=200)


def test_a_stream_of_unknown_length_is_taken_only_by_its_limit(shape):
    readiness = leaving_with_streams(shape, 0.03)
    assert not takes(readiness, ROOMS, 11.0)
    assert takes(readiness, ROOMS, 11.0, until=17.0)
