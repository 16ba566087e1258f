"""Tests of readiness and of the requests that a draining entry accepts."""

from __future__ import annotations

import pytest

from lacewingcourse.core.pipelines.routing import Limits, RetrySafety, RoutingTable
from lacewingcourse.core.pipelines.shutdown import (
    REDIRECT_TIME,
    UNKNOWN_SHARE,
    admit_expected,
    admit_limited,
    admit_until_redirected,
)
from lacewingcourse.relay.readiness import SHUTDOWN_MARGIN, Readiness
from lacewingcourse.relay.routing_state import RoutingState

from .routes import route_of

#: Seconds from the shutdown request within which a process must have ended.
GRACE = 8.0
ROOMS = route_of("rooms", RetrySafety.RESUMABLE_STREAM)
CALLS = route_of("calls", RetrySafety.IDEMPOTENT)
#: A deadline that is never reached.
FAR = 500.0


@pytest.fixture
def draining() -> Readiness:
    """An entry that was asked to shut down at 10, and again at 12."""
    readiness = Readiness(RoutingState(), GRACE, admit_expected)
    readiness.start_drain(now=10.0)
    readiness.start_drain(now=12.0)
    return readiness


def accepts(readiness, route, now, deadline=FAR) -> bool:
    """Return whether an entry accepts a request of a route."""
    return readiness.accepts(route.name, now, deadline)


def test_an_entry_without_configuration_is_not_ready():
    assert not Readiness(RoutingState(), GRACE).is_ready()


def test_entry_with_configuration_is_ready_until_it_drains():
    readiness = Readiness(RoutingState(table=RoutingTable(1, {}, {}, Limits())), GRACE)
    assert readiness.is_ready()
    assert accepts(readiness, ROOMS, 5.0)
    readiness.start_drain(now=10.0)
    assert not readiness.is_ready()


def test_draining_entry_accepts_routes_of_unknown_duration_for_a_limited_time(draining):
    last = 10.0 + GRACE - SHUTDOWN_MARGIN - UNKNOWN_SHARE * GRACE
    assert accepts(draining, ROOMS, last - 0.01)
    assert not accepts(draining, ROOMS, last + 0.01)


@pytest.mark.parametrize("grace", [3.0, 8.0, 30.0])
@pytest.mark.parametrize("length", [0.1, 1.5, 2.6])
def test_draining_entry_accepts_requests_expected_to_end_in_time(grace, length):
    """A cutoff of 2.8 seconds for any grace time refused 47 requests needlessly."""
    readiness = Readiness(RoutingState(), grace, admit_expected)
    for number in range(100):
        readiness.routing_state.durations.record_answer(
            "rooms", length * (0.5 + number / 200)
        )
    readiness.start_drain(now=10.0)
    latest = 10.0 + grace - SHUTDOWN_MARGIN - length
    assert accepts(readiness, ROOMS, latest - 0.01)
    assert not accepts(readiness, ROOMS, latest + 0.1 * length)


def test_durations_of_one_route_do_not_affect_another(draining):
    for _ in range(20):
        draining.routing_state.durations.record_answer("calls", 0.05)
    assert accepts(draining, CALLS, 17.0)
    assert not accepts(draining, ROOMS, 17.0)


@pytest.mark.parametrize(
    "policy", [admit_expected, admit_limited, admit_until_redirected]
)
def test_request_with_deadline_before_the_drain_deadline_is_always_accepted(
    draining, policy
):
    draining.accept_policy = policy
    end = 10.0 + GRACE - SHUTDOWN_MARGIN
    assert accepts(draining, ROOMS, end - 0.6, deadline=end)
    assert not accepts(draining, ROOMS, end - 0.5, deadline=end + 0.1)


@pytest.mark.parametrize("usual", [0.01, 0.5, 2.0])
def test_past_durations_do_not_bound_requests_after_the_redirect_time(draining, usual):
    for _ in range(64):
        draining.routing_state.durations.record_answer("rooms", usual)
        draining.routing_state.durations.record_stream(
            "rooms", 0.1 * usual, 0.01 * usual
        )
    draining.accept_policy = admit_until_redirected
    redirected = 10.0 + REDIRECT_TIME
    assert accepts(draining, ROOMS, redirected - 0.01)
    assert not accepts(draining, ROOMS, redirected + 0.01)
    assert accepts(draining, ROOMS, redirected + 0.01, deadline=17.0)


def test_limited_policy_accepts_streams_by_their_deadline_only(draining):
    draining.accept_policy = admit_limited
    assert not accepts(draining, ROOMS, 11.0)
    assert accepts(draining, ROOMS, 11.0, deadline=17.0)
