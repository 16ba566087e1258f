"""Tests that no error ends the background work of an entry."""

from __future__ import annotations

import asyncio
import inspect
from types import SimpleNamespace

import pytest
from loguru import logger

from lacewingcourse.core.pipelines.fleet import Endpoint, EntryEffect, Fleet
from lacewingcourse.core.pipelines.freshness import PropagationBudget
from lacewingcourse.core.pipelines.log_position import LogPosition
from lacewingcourse.relay.application import Application
from lacewingcourse.relay.background import (
    MAX_RETRY_DELAY,
    RETRY_DELAY,
    BackgroundTasks,
    start_task,
)
from lacewingcourse.relay.client_monitor import ClientMonitor
from lacewingcourse.relay.decisions import DecisionLog
from lacewingcourse.relay.duty_holder import DutyHolder
from lacewingcourse.relay.followers import ConfigurationFollower, DirectoryFollower
from lacewingcourse.relay.housekeeping import Housekeeping
from lacewingcourse.relay.limit_permits import PermitExchange
from lacewingcourse.relay.loop_watch import LoopWatch
from lacewingcourse.relay.metrics import Metrics
from lacewingcourse.relay.peers import PeerExchange
from lacewingcourse.relay.placement_duty import PlacementDuty
from lacewingcourse.relay.platform_ports import Platform
from lacewingcourse.relay.ports import DirectoryUpdate, EndpointEntry
from lacewingcourse.relay.refusal_keeper import RefusalKeeper
from lacewingcourse.relay.retry_loans import RetryLoans
from lacewingcourse.relay.routing_state import RoutingState
from lacewingcourse.relay.settings import Bounds, RelaySettings
from lacewingcourse.relay.settings_watch import SettingsWatch
from lacewingcourse.relay.stall_watcher import StallWatcher
from lacewingcourse.testing.virtual_time import run_virtual

SETTINGS = RelaySettings(
    name="entry-0",
    zone="east",
    front="127.0.0.1:1",
    ready="127.0.0.1:2",
    ready_path="/ready",
    peers="127.0.0.1:3",
    metrics="",
    seeds=(),
    bounds=Bounds(10.0, 0.1, 10.0, 5.0, True, 2.0, 4.0),
    first_start=True,
)
#: A step of each loop, by the loop's name.
STEPS = {
    "gossip": (PeerExchange, "_try_seeds"),
    "registry": (PeerExchange, "_query_registry"),
    "retry loans": (RetryLoans, "_borrow"),
    "permits": (PermitExchange, "_request_if_lacking"),
    "refusals": (RefusalKeeper, "load"),
    "configuration": (ConfigurationFollower, "read"),
    "directory": (DirectoryFollower, "poll"),
    "placement": (DutyHolder, "acquire"),
    "housekeeping": (Housekeeping, "expire"),
    "stalls": (StallWatcher, "check"),
    "loop watch": (LoopWatch, "record"),
    "settings": (SettingsWatch, "reload"),
    "clients": (ClientMonitor, "report_ends"),
}


@pytest.fixture
def defects():
    """Return the fields of the lines about defects."""
    lines = []

    def write(message) -> None:
        if message.record["message"] == "defect":
            lines.append(message.record["extra"])

    sink = logger.add(write)
    yield lines
    logger.remove(sink)


class Registry:
    """A registry of entries that takes everything."""

    async def announce(self, name: str, address: str) -> None:
        """Take an address."""


def make_application() -> Application:
    """Return an entry whose platform does nothing."""
    ports = dict.fromkeys(
        ("configuration", "directory", "orders", "reports", "leases", "refusals")
    )
    platform = Platform(**ports, registry=Registry(), codec=None, metrics=Metrics())
    return Application(SETTINGS, platform, lambda: None)


def failing_once(calls: list[float], original, error: Exception):
    """Return a replacement of a method that raises at its first call only."""

    def call(*args) -> int:
        calls.append(asyncio.get_running_loop().time())
        if len(calls) == 1:
            raise error
        return 1

    async def call_slowly(*args) -> int:
        await asyncio.sleep(0.01)
        return call()

    return call_slowly if inspect.iscoroutinefunction(original) else call


async def demand(application: Application) -> None:
    """Need retries and permits again and again, as requests do."""
    for number in range(100):
        application.budget.wanted["rooms"] = {f"request-{number}": None}
        application.loans.wake.set()
        application.permits.wake.set()
        await asyncio.sleep(0.05)


def test_every_loop_of_an_entry_has_a_step_to_break():
    async def names():
        return set(make_application().loops())

    assert run_virtual(names()) == set(STEPS)


@pytest.mark.parametrize("error", [ValueError("odd"), RecursionError("deep")])
@pytest.mark.parametrize("name", STEPS)
def test_a_loop_goes_on_after_an_error(name, error, monkeypatch, defects):
    """Any error in a loop ended it, and the entry served on with what it knew."""
    owner, method = STEPS[name]
    calls: list[float] = []
    replacement = failing_once(calls, getattr(owner, method), error)
    monkeypatch.setattr(owner, method, replacement)

    async def run():
        application = make_application()
        application.routing_state.limits.members["a"] = None
        application.background.supervise(name, application.loops()[name])
        await demand(application)

    run_virtual(run())
    assert len(calls) >= 2
    assert calls[1] - calls[0] <= RETRY_DELAY + 2.0
    assert [line["task"] for line in defects] == [name]


def test_a_loop_that_fails_again_and_again_is_retried_ever_more_slowly(defects):
    began: list[float] = []

    async def fail():
        began.append(asyncio.get_running_loop().time())
        raise ValueError("odd")

    async def run():
        clock = asyncio.get_running_loop().time
        log = DecisionLog(clock, Metrics(), lambda: 0)
        BackgroundTasks(log, clock).supervise("work", fail)
        await asyncio.sleep(60.0)

    run_virtual(run())
    pauses = [later - earlier for earlier, later in zip(began, began[1:])]
    expected = [min(RETRY_DELAY * 2**n, MAX_RETRY_DELAY) for n in range(len(pauses))]
    assert pauses == pytest.approx(expected)
    assert len(defects) == len(began)


def test_an_error_of_a_task_that_nothing_awaits_is_logged(defects):
    async def fail():
        raise ValueError("odd")

    async def run():
        start_task("work", fail(), DecisionLog(lambda: 0.0, Metrics(), lambda: 0))
        await asyncio.sleep(0.01)

    run_virtual(run())
    assert [line["task"] for line in defects] == ["work"]


def test_an_error_in_a_callback_of_the_loop_is_logged(defects):
    async def run():
        make_application()
        asyncio.get_running_loop().call_soon(lambda: 1 / 0)
        await asyncio.sleep(0.01)

    run_virtual(run())
    assert len(defects) == 1


def test_an_exchange_that_fails_is_not_taken_for_one_in_progress():
    """Its address was left out of all later rounds."""

    def message_for(name, zone):
        raise ValueError("odd")

    errors = []
    log = SimpleNamespace(failed=lambda error, task: errors.append(task))
    gossip = SimpleNamespace(message_for=message_for, log=log)
    exchange = PeerExchange(gossip, (), None, lambda: 0.0, lambda: None)

    async def run():
        for _ in range(2):
            exchange._start_exchange("10.0.0.1:1")
            await asyncio.sleep(0.01)

    run_virtual(run())
    assert errors == ["exchange", "exchange"]
    assert exchange.active_exchanges == set()


def test_an_entry_that_cannot_be_applied_does_not_keep_the_directory_from_others(
    monkeypatch, defects
):
    put = Fleet.put

    def put_but_one(fleet, endpoint, recognised=True) -> EntryEffect:
        if endpoint.id == "odd":
            raise ValueError("odd")
        return put(fleet, endpoint, recognised)

    monkeypatch.setattr(Fleet, "put", put_but_one)
    log = DecisionLog(lambda: 0.0, Metrics(), lambda: 0)
    follower = DirectoryFollower(
        None,
        RoutingState(),
        log,
        lambda: 0.0,
        lambda: 0,
        lambda: None,
        lambda name: None,
        lambda: None,
        PropagationBudget(2.0),
    )
    entries = tuple(
        EndpointEntry(name, Endpoint(name, "rooms", f"10.0.0.{n}:1", "east", 1))
        for n, name in enumerate(("a", "odd", "b"))
    )
    follower.apply(DirectoryUpdate(True, entries, LogPosition(0, 3)), 0.0)
    assert set(follower.routing_state.fleet.endpoints) == {"a", "b"}
    assert follower.position == LogPosition(0, 3)
    assert [line["task"] for line in defects] == ["directory entry odd"]


def test_a_service_that_cannot_be_placed_does_not_keep_others_from_it(monkeypatch):
    placed, errors = [], []

    async def place(duty, service, shape, now):
        if service == "odd":
            raise ValueError("odd")
        placed.append(service)

    monkeypatch.setattr(PlacementDuty, "_place_service", place)
    services = {
        name: SimpleNamespace(name=name, shape=object()) for name in ("odd", "sound")
    }
    state = RoutingState(table=SimpleNamespace(services=services))
    log = SimpleNamespace(failed=lambda error, task: errors.append(task))
    duty = PlacementDuty(SimpleNamespace(), None, None, state, log, lambda: 0.0, True)
    asyncio.run(duty.place())
    assert (placed, errors) == (["sound"], ["placement of odd"])
