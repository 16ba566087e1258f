"""Tests of which paths a request may be sent on."""

from __future__ import annotations

from types import SimpleNamespace

import attrs
import pytest

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.pipelines.choice import (
    NEVER_IN_TIME,
    NONE_IN_TIME,
    Demand,
)
from lacewingcourse.core.pipelines.load import Load
from lacewingcourse.core.pipelines.routing import RetrySafety

from .routes import route_of

DEMAND = Demand(1_000, 200)


class HashableNamespace(SimpleNamespace):
    """A request, hashable by identity."""

    __hash__ = object.__hash__


def job_of(avoid=(), allowed=None):
    """Return what the path finder needs of a request."""
    caller = SimpleNamespace(response_started=False)
    request = SimpleNamespace(
        prompt=1_000,
        answer_hint=None,
        max_answer_tokens=0,
        received_at=0.0,
        resume_after="",
    )
    return HashableNamespace(
        service="rooms",
        caller=caller,
        route=route_of("rooms", RetrySafety.STREAM),
        sends=0,
        avoid=set(avoid),
        request=request,
        allowed_endpoints=allowed,
        limited=set(),
    )


def fill(finder, *names):
    """Fill the memory of some endpoints."""
    for name in names:
        finder.routing_state.loads.from_peer(name, {name: Load(1, 0, 50_000.0)}, 0.0)


def test_request_without_attempts_left_uses_only_endpoints_it_was_sent_to(
    finder, shape
):
    for allowed in ({"a"}, {"b"}):
        path = finder.find(job_of(allowed=allowed), shape, DEMAND)
        assert path.first.endpoint in allowed
    fill(finder, "b")
    assert isinstance(finder.find(job_of(allowed={"b"}), shape, DEMAND), Refusal)


@pytest.mark.parametrize(("started", "has_path"), [(True, True), (False, False)])
def test_started_answer_may_use_avoided_endpoints_when_no_others_hold_the_layers(
    finder, shape, started, has_path
):
    job = job_of(avoid="cd")
    job.caller.response_started = started
    found = finder.find(job, shape, DEMAND)
    assert isinstance(found, Refusal) is not has_path
    assert isinstance(finder.find(job, shape, DEMAND, besides="cd"), Refusal)


def test_avoided_endpoints_are_not_used_while_others_hold_their_layers(finder, shape):
    job = job_of(avoid="c")
    job.caller.response_started = True
    for _ in range(20):
        assert not finder.find(job, shape, DEMAND).uses("c")


def slow_down(finder, *names):
    """Let endpoints report that they run fifty times slower than published."""
    for name in names:
        finder.routing_state.speeds.update(name, 50.0, 0.0)


def make_busy(finder, *names):
    """Put requests on endpoints that take time and no memory."""
    for name in names:
        finder.routing_state.loads.from_peer(name, {name: Load(30_000, 1, 0.0)}, 0.0)


def test_a_request_that_no_path_serves_in_time_is_refused_by_what_could_help(
    finder, shape
):
    make_busy(finder, *"abcd")
    found = finder.find(job_of(), shape, DEMAND)
    assert (found.kind, found.reason) == (ErrorKind.OVERLOADED, NONE_IN_TIME)
    slow_down(finder, *"abcd")
    finder.routing_state.table.services["rooms"].shape = shape
    found = finder.find(job_of(), shape, attrs.evolve(DEMAND, prompt_tokens=40_000))
    assert (found.kind, found.reason) == (
        ErrorKind.DEADLINE_UNREACHABLE,
        NEVER_IN_TIME,
    )


@pytest.mark.parametrize("change", ["sent", "resumed", "reading", "no limit", "late"])
def test_a_request_that_may_be_late_is_not_refused_for_time(finder, shape, change):
    make_busy(finder, *"abcd")
    job = job_of()
    job.sends = int(change == "sent")
    job.request.resume_after = "7" if change == "resumed" else ""
    job.caller.response_started = change == "reading"
    if change == "no limit":
        job.route = attrs.evolve(job.route, objective=0.0, max_event_gap=0.0)
    finder.refuses_late = change != "late"
    assert not isinstance(finder.find(job, shape, DEMAND), Refusal)


def test_a_path_is_taken_on_which_no_part_is_busy(finder, shape):
    make_busy(finder, "a", "c")
    for _ in range(20):
        assert not finder.find(job_of(), shape, DEMAND).uses("ac")


def test_an_idle_path_gives_the_latest_start(finder, shape):
    found = finder.idle_first_event(job_of(), shape, DEMAND)
    assert 0.0 < found < 0.1
    assert finder.idle_first_event(job_of(), shape, Demand(50_000, 1)) > found
    for name in "abcd":
        finder.routing_state.fleet.remove(name, 0.0)
    assert finder.idle_first_event(job_of(), shape, DEMAND) is None


def name_limits(finder, *names):
    """Let endpoints name limits, without granting permits."""
    for name in names:
        finder.routing_state.limits.observe(name, 2.0, 0.0, 0.0)


def test_request_skips_an_endpoint_at_its_limit(finder, shape):
    name_limits(finder, "a")
    for _ in range(20):
        job = job_of()
        assert finder.find(job, shape, DEMAND).first.endpoint == "b"
    assert finder.routing_state.send_limits.sharing.wanted["a"]


def test_request_is_overloaded_when_every_first_endpoint_is_at_its_limit(finder, shape):
    name_limits(finder, "a", "b")
    job = job_of()
    found = finder.find(job, shape, DEMAND)
    assert found.kind is ErrorKind.OVERLOADED
    assert found.retry_after == 0.0
    assert job.limited


def test_endpoint_at_its_limit_may_be_a_later_part_of_a_path(finder, shape):
    name_limits(finder, "c", "d")
    assert finder.find(job_of(), shape, DEMAND).uses("cd")


@pytest.mark.parametrize(
    ("prompt", "is_oversized"), [(49_800, False), (49_801, True), (10**12, True)]
)
def test_only_a_request_that_no_idle_path_holds_is_oversized(
    finder, shape, prompt, is_oversized
):
    fill(finder, *"abcd")
    found = finder.oversized(job_of(), shape, Demand(prompt, 200))
    assert (found is not None) is is_oversized


def test_no_request_is_oversized_while_no_path_is_known(finder, shape):
    finder.routing_state.fleet.endpoints.clear()
    assert finder.oversized(job_of(), shape, Demand(10**12, 200)) is None
