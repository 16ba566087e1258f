"""Tests of refusals for what an old version of the configuration does not know."""

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
from lacewingcourse.relay.staleness import LOOK_PERIOD, LOOKS, StalenessGuard

from .virtual_time import run_virtual

#: Age from which the configuration is stale, and an age beyond it, seconds.
LIMIT = 1.2
STALE = 3.0


def table(version: int, *paths: str) -> RoutingTable:
    """Return a version with routes for some paths."""
    routes = {
        path: Route(
            path, "h", path, RetrySafety.ONCE, (("s", 1.0),), 9.0, 1.0, 1.0, 0, 1, False
        )
        for path in paths
    }
    return RoutingTable(version, {"h": routes}, {"s": Service("s")}, Limits())


class Configuration:
    """A version with an age that a test sets.

    Attributes:
        routing_state: Where it is in force.
        known_at: When it was last known to be the newest, seconds.
    """

    def __init__(self, age: float) -> None:
        self.routing_state = RoutingState(table=table(1, "/known/"))
        self.known_at = asyncio.get_running_loop().time() - age

    def age(self) -> float:
        return asyncio.get_running_loop().time() - self.known_at

    def confirm(self, newer: RoutingTable | None = None) -> None:
        """Hear that a version is the newest, this one if no other is given."""
        if newer is not None:
            self.routing_state.accept(newer)
        self.known_at = asyncio.get_running_loop().time()


def ask(path: str, age: float, confirmed=None) -> tuple[Job | Refusal, float]:
    """Return what is decided of a request, and after how many seconds.

    Args:
        path: Its path.
        age: Age of the configuration when it comes, seconds.
        confirmed: Called with the configuration a little later, None for nothing.
    """

    async def asked():
        loop = asyncio.get_running_loop()
        configuration = Configuration(age)
        gateway = Gateway(
            configuration.routing_state,
            codec=None,
            calls=None,
            streams=None,
            readiness=SimpleNamespace(leaving=False, takes=lambda *request: True),
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
        caller, began_at = SimpleNamespace(begun=False), loop.time()
        decided = await gateway._certain_job(caller, request)
        return decided, loop.time() - began_at

    return run_virtual(asked())


def test_what_the_newest_version_does_not_know_is_refused_at_once():
    refusal, took = ask("/new/", age=0.5)
    assert (refusal.kind, took) == (ErrorKind.UNKNOWN_RESOURCE, 0.0)


def test_a_request_that_an_old_version_knows_does_not_wait():
    job, took = ask("/known/", age=STALE)
    assert isinstance(job, Job)
    assert took == 0.0


def test_what_an_old_version_does_not_know_is_not_said_to_be_missing():
    refusal, took = ask("/new/", age=STALE)
    assert refusal.kind is ErrorKind.NOT_READY
    assert refusal.answer.status == 503
    assert refusal.retry_after > 0
    assert took == pytest.approx(LOOKS * LOOK_PERIOD)


def test_a_request_waits_for_the_version_that_knows_it():
    job, took = ask("/new/", STALE, lambda known: known.confirm(table(2, "/new/")))
    assert isinstance(job, Job)
    assert took < LOOKS * LOOK_PERIOD


def test_what_is_confirmed_to_be_missing_is_refused():
    refusal, took = ask("/new/", STALE, lambda known: known.confirm())
    assert refusal.kind is ErrorKind.UNKNOWN_RESOURCE
    assert took < LOOKS * LOOK_PERIOD
