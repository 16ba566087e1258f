"""Tests of the orders that the holder of the placement duty sends."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import attrs
import pytest

from lacewingcourse.core.pipelines.shape import Layers
from lacewingcourse.core.pipelines.suspects import Suspicion
from lacewingcourse.relay.duty_holder import DutyHolder
from lacewingcourse.relay.placement_duty import (
    MAX_DIRECTORY_AGE,
    PERIOD,
    QUIET_TIME,
    PlacementDuty,
)
from lacewingcourse.relay.ports import (
    EngineReport,
    Lease,
    OrderOutcome,
    Unavailable,
)
from lacewingcourse.relay.routing_state import RoutingState

from .leases import Leases


class Reports:
    """Reports of endpoints that do not answer."""

    async def report(self, address, timeout):
        return Unavailable("refused")


@pytest.fixture
def make_duty():
    """Return a function that makes the placement duty of an entry named `me`."""

    def make(store, orders=None, clock=lambda: 0.0, reports=None):
        log = SimpleNamespace(log_event=lambda event, **fields: None)
        holder = DutyHolder("me", store, log, clock, lambda: 0, lambda: False)
        return PlacementDuty(
            holder, orders, reports or Reports(), RoutingState(), log, clock, False
        )

    return make


def test_without_fencing_the_store_is_asked_before_orders(make_duty):
    store = Leases(Lease("me", 3))
    duty = make_duty(store)
    duty.holder.lease = Lease("me", 3)
    assert asyncio.run(duty._confirm_duty())
    store.lease = Lease("other", 4)
    assert not asyncio.run(duty._confirm_duty())
    assert duty.holder.lease == Lease("other", 4)


def test_without_fencing_nothing_is_ordered_while_the_store_is_unavailable(make_duty):
    duty = make_duty(Leases(Unavailable("refused")))
    duty.holder.lease = Lease("me", 3)
    assert not asyncio.run(duty._confirm_duty())
    assert duty.holder.held


@pytest.mark.parametrize(
    ("age", "may"), [(0.5, True), (MAX_DIRECTORY_AGE + 0.1, False)]
)
def test_a_holder_without_the_store_orders_while_its_directory_is_recent(
    make_duty, age, may
):
    """Guards against a wait for the store that left five lost endpoints for 11 s."""
    duty = make_duty(Leases(Unavailable("refused")), clock=lambda: 10.0)
    duty.holder.lease = Lease("me", 3)
    duty.routing_state.fleet.confirm(10.0 - age)
    assert asyncio.run(duty._confirm_duty()) is may
    duty.holder.from_peer("other", 4)
    assert not asyncio.run(duty._confirm_duty())


class Orders:
    """Orders that endpoints accept, recorded by endpoint."""

    def __init__(self) -> None:
        self.placed: dict[str, Layers] = {}

    async def place(self, endpoint, layers, fencing, accepted):
        self.placed[endpoint.id] = layers
        return OrderOutcome.BEGUN


@pytest.fixture
def uneven_layers(make_duty, shape, small):
    """A held duty over four endpoints, three of which hold the first layer."""
    now = [0.0]
    duty = make_duty(Leases(None), orders=Orders(), clock=lambda: now[0])
    duty.holder.lease = duty.holder.store.lease = Lease("me", 1)
    service = SimpleNamespace(name="rooms", shape=shape)
    duty.routing_state.table = SimpleNamespace(services={"rooms": service})
    for name, layer in zip("abcd", (0, 0, 0, 1), strict=True):
        duty.routing_state.fleet.put(small(name, layer))
    return duty, now


def place_until(uneven_layers, seconds):
    """Run the periodic checks of a duty until a time; return the duty."""
    duty, now = uneven_layers

    async def run():
        while now[0] < seconds:
            now[0] += PERIOD
            await duty.place()

    asyncio.run(run())
    return duty


def test_a_surplus_copy_moves_once_the_fleet_has_not_changed_for_a_while(uneven_layers):
    assert place_until(uneven_layers, QUIET_TIME - PERIOD).orders.placed == {}
    placed = place_until(uneven_layers, 40 * QUIET_TIME).orders.placed
    assert list(placed.values()) == [Layers(1, 2)]


def test_an_endpoint_that_moves_gets_no_new_work(uneven_layers):
    duty = place_until(uneven_layers, 40 * QUIET_TIME)
    (moved,) = duty.orders.placed
    assert duty.routing_state.suspects.members[moved].reason == "ordered to move"


def test_nothing_moves_while_an_endpoint_is_suspected(uneven_layers):
    duty, _ = uneven_layers
    duty.routing_state.suspects.members["d"] = Suspicion(1e9, 1, 0.0, "reset")
    assert place_until(uneven_layers, 40 * QUIET_TIME).orders.placed == {}


def test_a_new_fleet_has_its_orders_after_two_seconds(make_duty, shape, small):
    """Most endpoints register within 1.5 seconds, the last one after the plan."""
    now = [0.0]
    duty = make_duty(Leases(None), orders=Orders(), clock=lambda: now[0])
    duty.holder.lease = duty.holder.store.lease = Lease("me", 1)
    service = SimpleNamespace(name="rooms", shape=shape)
    duty.routing_state.table = SimpleNamespace(services={"rooms": service})
    arrivals = {0.5: 60, 1.0: 110, 1.5: 113, 2.5: 114}

    async def run():
        while now[0] < 3.0:
            now[0] += PERIOD
            for number in range(arrivals.get(now[0], 0)):
                empty = attrs.evolve(small(f"e{number}", 0), layers=None)
                duty.routing_state.fleet.put(empty)
            await duty.place()
            if now[0] == 1.0:
                assert duty.orders.placed == {}
            if now[0] == 2.0:
                assert len(duty.orders.placed) == 113

    asyncio.run(run())
    assert len(duty.orders.placed) == 114


def test_a_defect_in_an_order_is_logged_and_blocks_nothing(uneven_layers):
    duty, _ = uneven_layers
    logged = []

    async def fail(endpoint, layers, fencing, accepted):
        raise ValueError("a defect")

    duty.orders.place = fail
    duty.log.failed = lambda error, task: logged.append(error)
    place_until(uneven_layers, 40 * QUIET_TIME)
    assert logged
    assert all(str(error) == "a defect" for error in logged)


class LateEndpoint:
    """An endpoint whose first order arrives seconds late and gets no answer.

    Attributes:
        now: The present time.
        late_order: Arrival time, layers and required accepted count of the late order.
        loads: Layers of the accepted orders.
        listed_at: When its directory entry shows its layers.
    """

    def __init__(self, now) -> None:
        self.now = now
        self.late_order = None
        self.loads: list[Layers] = []
        self.listed_at = float("inf")

    async def place(self, endpoint, layers, fencing, accepted=None):
        if self.late_order is None:
            self.late_order = (self.now[0] + 4.5, layers, accepted)
            return OrderOutcome.UNKNOWN
        return self._accept(layers, accepted)

    async def report(self, address, timeout):
        return EngineReport(accepted=len(self.loads), busy=bool(self.loads))

    def deliver(self):
        """Carry out the late order once its arrival time has come."""
        if self.late_order is not None and self.late_order[0] <= self.now[0]:
            self._accept(*self.late_order[1:])
            self.late_order = (float("inf"), None, None)

    def _accept(self, layers, accepted):
        if accepted is not None and accepted != len(self.loads):
            return OrderOutcome.MISFIT
        self.loads.append(layers)
        self.listed_at = self.now[0] + 1.5
        return OrderOutcome.BEGUN


@pytest.mark.parametrize("lost", [None, "b"])
def test_a_late_order_is_not_carried_out_besides_a_second_one(
    make_duty, shape, small, lost
):
    """Guards against an endpoint that got three orders in turn and loaded each."""
    now = [0.0]
    late_endpoint = LateEndpoint(now)
    duty = make_duty(Leases(None), late_endpoint, lambda: now[0], reports=late_endpoint)
    duty.holder.lease = duty.holder.store.lease = Lease("me", 1)
    service = SimpleNamespace(name="rooms", shape=shape)
    duty.routing_state.table = SimpleNamespace(services={"rooms": service})
    for name, layer in zip("abc", (0, 1, 1), strict=True):
        duty.routing_state.fleet.put(small(name, layer))
    duty.routing_state.fleet.put(attrs.evolve(small("d", 0), layers=None))

    async def run():
        while now[0] < 12.0:
            now[0] += PERIOD
            late_endpoint.deliver()
            if late_endpoint.listed_at <= now[0]:
                duty.routing_state.fleet.put(
                    attrs.evolve(small("d", 0), layers=late_endpoint.loads[0])
                )
            if lost and now[0] == 3.0:
                duty.routing_state.fleet.remove(lost, now[0])
            await duty.place()

    asyncio.run(run())
    assert len(late_endpoint.loads) == 1
