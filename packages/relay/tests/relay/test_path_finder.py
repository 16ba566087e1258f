"""Tests of which paths a request may be sent on."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace

import pytest

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.pipelines.choice import Demand
from lacewingcourse.core.pipelines.load import Load
from lacewingcourse.relay.path_finder import PathFinder
from lacewingcourse.relay.routing_state import RoutingState

DEMAND = Demand(1_000, 200)


@pytest.fixture
def finder(shape, small):
    """What finds paths over two holders of each of two layers."""
    routing_state = RoutingState()
    for name, layer in zip("abcd", (0, 0, 1, 1), strict=True):
        routing_state.fleet.put(small(name, layer))
    routing_state.table = SimpleNamespace(
        services={"rooms": SimpleNamespace(shape=shape)}
    )
    return PathFinder(routing_state, Random(1), lambda: 0.0)


class Request(SimpleNamespace):
    """A request, told from others by its identity."""

    __hash__ = object.__hash__


def job_of(avoid=(), firsts=None):
    """Return what the finder needs of a request."""
    caller = SimpleNamespace(begun=False)
    request = SimpleNamespace(prompt=1_000, answer_hint=None, max_answer_tokens=0)
    return Request(
        service="rooms",
        caller=caller,
        avoid=set(avoid),
        request=request,
        only_firsts=firsts,
        limited=set(),
    )


def fill(finder, *names):
    """Take all memory of some endpoints."""
    for name in names:
        finder.routing_state.loads.from_peer(name, {name: Load(1, 0, 50_000.0)}, 0.0)


def test_a_request_with_no_more_attempts_stays_with_the_endpoints_that_had_it(
    finder, shape
):
    for firsts in ({"a"}, {"b"}):
        path = finder.find(job_of(firsts=firsts), shape, DEMAND)
        assert path.first.endpoint in firsts
    fill(finder, "b")
    assert isinstance(finder.find(job_of(firsts={"b"}), shape, DEMAND), Refusal)


@pytest.mark.parametrize(("begun", "goes_on"), [(True, True), (False, False)])
def test_a_begun_answer_is_not_lost_for_the_only_holder_that_it_had_left(
    finder, shape, begun, goes_on
):
    job = job_of(avoid="cd")
    job.caller.begun = begun
    found = finder.find(job, shape, DEMAND)
    assert isinstance(found, Refusal) is not goes_on
    assert isinstance(finder.find(job, shape, DEMAND, besides="cd"), Refusal)


def test_endpoints_that_were_left_are_avoided_while_others_hold_their_layers(
    finder, shape
):
    job = job_of(avoid="c")
    job.caller.begun = True
    for _ in range(20):
        assert not finder.find(job, shape, DEMAND).uses("c")


def limit(finder, *names):
    """Let endpoints name limits, without a permit at hand."""
    for name in names:
        finder.routing_state.limits.observe(name, 2.0, 0.0, 0.0)


def test_a_request_goes_past_an_endpoint_that_is_at_its_limit(finder, shape):
    limit(finder, "a")
    for _ in range(20):
        job = job_of()
        assert finder.find(job, shape, DEMAND).first.endpoint == "b"
    assert finder.routing_state.send_limits.sharing.wanted["a"]


def test_a_request_that_only_limited_endpoints_could_serve_is_told_so(finder, shape):
    limit(finder, "a", "b")
    job = job_of()
    found = finder.find(job, shape, DEMAND)
    assert found.kind is ErrorKind.OVERLOADED
    assert found.retry_after == 0.0
    assert job.limited


def test_a_limited_endpoint_may_be_a_later_part_of_a_path(finder, shape):
    limit(finder, "c", "d")
    assert finder.find(job_of(), shape, DEMAND).uses("cd")
