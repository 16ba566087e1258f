"""Tests of readiness and of the last requests of an entry that ends."""

from __future__ import annotations

import pytest

from lacewingcourse.core.pipelines.routing import Limits, RoutingTable
from lacewingcourse.relay.beliefs import Beliefs
from lacewingcourse.relay.readiness import END_MARGIN, UNKNOWN_SHARE, Readiness

#: Seconds in which a process must have ended.
GRACE = 8.0


@pytest.fixture
def leaving() -> Readiness:
    """An entry that was asked to end at 10, and once more at 12."""
    readiness = Readiness(Beliefs(), GRACE)
    readiness.leave(now=10.0)
    readiness.leave(now=12.0)
    return readiness


def test_an_entry_without_configuration_is_not_ready():
    assert not Readiness(Beliefs(), GRACE).is_ready()


def test_an_entry_with_configuration_is_ready_until_it_leaves():
    readiness = Readiness(Beliefs(table=RoutingTable(1, {}, {}, Limits())), GRACE)
    assert readiness.is_ready()
    assert readiness.takes("rooms", 5.0, 500.0)
    readiness.leave(now=10.0)
    assert not readiness.is_ready()


def test_an_entry_that_leaves_takes_unknown_requests_for_a_while_only(leaving):
    last = 10.0 + GRACE - END_MARGIN - UNKNOWN_SHARE * GRACE
    assert leaving.takes("rooms", last - 0.01, 100.0)
    assert not leaving.takes("rooms", last + 0.01, 100.0)


@pytest.mark.parametrize("grace", [3.0, 8.0, 30.0])
@pytest.mark.parametrize("length", [0.1, 1.5, 2.6])
def test_an_entry_that_leaves_takes_what_will_end_in_time(grace, length):
    """With 2.8 seconds whatever the grace, 47 requests were refused in vain."""
    readiness = Readiness(Beliefs(), grace)
    for number in range(100):
        readiness.beliefs.durations.note("rooms", length * (0.5 + number / 200))
    readiness.leave(now=10.0)
    latest = 10.0 + grace - END_MARGIN - length
    assert readiness.takes("rooms", latest - 0.01, 100.0)
    assert not readiness.takes("rooms", latest + 0.1 * length, 100.0)


def test_answers_of_one_route_say_nothing_of_another(leaving):
    for _ in range(20):
        leaving.beliefs.durations.note("calls", 0.05)
    assert leaving.takes("calls", 17.0, 100.0)
    assert not leaving.takes("rooms", 17.0, 100.0)


def test_what_is_over_before_the_end_is_taken_to_the_last(leaving):
    end = 10.0 + GRACE - END_MARGIN
    assert leaving.takes("rooms", end - 0.6, end)
    assert not leaving.takes("rooms", end - 0.5, end + 0.1)
