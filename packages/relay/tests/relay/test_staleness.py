"""Tests of refusals for routes that a stale configuration does not contain."""

from __future__ import annotations

import asyncio
from random import Random
from types import SimpleNamespace

import pytest

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.pipelines.routing import (
    Limits,
    RetrySafety,
    Route,
    RoutingTable,
    Service,
)
from lacewingcourse.relay.gateway import Gateway
from lacewingcourse.relay.job import Job
from lacewingcourse.relay.routing_state import RoutingState
from lacewingcourse.relay.staleness import MAX_POLLS, POLL_INTERVAL, StalenessGuard
from lacewingcourse.testing.virtual_time import run_virtual

#: Age in seconds above which the configuration is stale, and an age above it.
LIMIT = 1.2
STALE = 3.0


def table(version: int, *paths: str) -> RoutingTable:
    """Return a configuration version with routes for some paths."""
    routes = {
        path: Route(
            path, "h", path, RetrySafety.ONCE, (("s", 1.0),), 9.0, 1.0, 1.0, 0, 1, False
        )
        for path in paths
    }
    return RoutingTable(version, {"h": routes}, {"s": Service("s")}, Limits())


class Configuration:
    """A configuration version whose age is set by a test.

    Attributes:
        routing_state: Local state in which the version is in force.
        known_at: When it was last known to be current, seconds.
    """

    def __init__(self, age: float) -> None:
        self.routing_state = RoutingState(table=table(1, "/known/"))
        self.known_at = asyncio.get_running_loop().time() - age

    def age(self) -> float:
        return asyncio.get_running_loop().time() - self.known_at

    def confirm(self, newer: RoutingTable | None = None) -> None:
        """Mark the given version as current, or the present one if none is given."""
        if newer is not None:
            self.routing_state.accept(newer)
        self.known_at = asyncio.get_running_loop().time()


def resolve(path: str, age: float, confirmed=None) -> tuple[Job | Refusal, float]:
    """Return how a request is routed, and after how many seconds.

    Args:
        path: Path of the request.
        age: Age of the configuration when the request arrives, seconds.
        confirmed: Called with the configuration 0.1 s later, None for no call.
    """

    async def resolved():
        loop = asyncio.get_running_loop()
        configuration = Configuration(age)
        gateway = Gateway(
            configuration.routing_state,
            codec=None,
            calls=None,
            streams=None,
            readiness=SimpleNamespace(draining=False, accepts=lambda *request: True),
            log=None,
            clock=loop.time,
            ready_in=lambda: 0.0,
            rng=Random(1),
            guard=StalenessGuard(configuration.age, LIMIT),
        )
        request = SimpleNamespace(
            id="r",
            host="h",
            path=path,
            key=None,
            timeout=None,
            received_at=loop.time(),
        )
        if confirmed is not None:
            loop.call_later(0.1, confirmed, configuration)
        caller, began_at = SimpleNamespace(response_started=False), loop.time()
        result = await gateway._resolve_job(caller, request)
        return result, loop.time() - began_at

    return run_virtual(resolved())


def test_unknown_route_is_refused_at_once_when_configuration_is_current():
    refusal, took = resolve("/new/", age=0.5)
    assert (refusal.kind, took) == (ErrorKind.UNKNOWN_RESOURCE, 0.0)


def test_known_route_does_not_wait_when_configuration_is_stale():
    job, took = resolve("/known/", age=STALE)
    assert isinstance(job, Job)
    assert took == 0.0


def test_unknown_route_is_not_ready_when_configuration_is_stale():
    refusal, took = resolve("/new/", age=STALE)
    assert refusal.kind is ErrorKind.NOT_READY
    assert refusal.answer.status == 503
    assert refusal.retry_after > 0
    assert took == pytest.approx(MAX_POLLS * POLL_INTERVAL)


def test_request_waits_for_the_version_with_its_route():
    job, took = resolve("/new/", STALE, lambda known: known.confirm(table(2, "/new/")))
    assert isinstance(job, Job)
    assert took < MAX_POLLS * POLL_INTERVAL


def test_unknown_route_is_refused_once_configuration_is_confirmed():
    refusal, took = resolve("/new/", STALE, lambda known: known.confirm())
    assert refusal.kind is ErrorKind.UNKNOWN_RESOURCE
    assert took < MAX_POLLS * POLL_INTERVAL
