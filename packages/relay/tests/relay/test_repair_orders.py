"""Tests of the orders that repair layers without a holder."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import attrs
import pytest

from lacewingcourse.core.pipelines.fleet import Endpoint
from lacewingcourse.core.pipelines.shape import Layers
from lacewingcourse.core.pipelines.suspects import Grade
from lacewingcourse.relay.duty_holder import DutyHolder
from lacewingcourse.relay.placement_duty import PERIOD, PlacementDuty
from lacewingcourse.relay.ports import (
    EngineReport,
    Lease,
    OrderOutcome,
    Unavailable,
)
from lacewingcourse.relay.routing_state import RoutingState

from .leases import Leases
from .network import Clock


class Engines:
    """Engines that check how many orders they have accepted.

    Attributes:
        accepted: Orders that each has accepted, by name.
        busy: Names of those that are carrying out an order.
        unreadable: Names of those whose reports fail.
        orders: Accepted and rejected orders: name, layers and required count.
    """

    def __init__(self) -> None:
        self.accepted: dict[str, int] = {}
        self.busy: set[str] = set()
        self.unreadable: set[str] = set()
        self.orders: list[tuple[str, Layers, int | None]] = []
        self.reports = 0

    async def place(self, endpoint, layers, fencing, accepted):
        name = endpoint.name
        self.orders.append((name, layers, accepted))
        if accepted not in (None, self.accepted.get(name, 0)) or name in self.busy:
            return OrderOutcome.MISFIT
        self.accepted[name] = self.accepted.get(name, 0) + 1
        self.busy.add(name)
        return OrderOutcome.BEGUN

    async def report(self, address, timeout):
        self.reports += 1
        name = address.partition(":")[0]
        if name in self.unreadable:
            return Unavailable("timed out")
        return EngineReport(accepted=self.accepted.get(name, 0), busy=name in self.busy)


@attrs.define
class Deployment:
    """A held duty over engines that hold one of two layers each."""

    duty: PlacementDuty
    engines: Engines
    clock: Clock

    def list_endpoint(self, endpoint: Endpoint) -> None:
        """Apply the directory entry of an endpoint."""
        self.duty.routing_state.fleet.put(endpoint)

    def place_for(self, seconds: float) -> list[tuple[str, Layers]]:
        """Run periodic checks for some seconds; return all orders so far."""

        async def run():
            until = self.clock.now + seconds
            while self.clock.now < until:
                self.clock.now += PERIOD
                await self.duty.place()
                await asyncio.sleep(0)

        asyncio.run(run())
        return [(name, layers) for name, layers, _ in self.engines.orders]


@pytest.fixture
def deployment(shape, small):
    """Endpoint `a` holds the first of two layers; nobody holds the second one."""
    clock, engines = Clock(), Engines()
    log = SimpleNamespace(log_event=lambda event, **fields: None)
    store = Leases(Lease("me", 1))
    holder = DutyHolder("me", store, log, clock, lambda: 0, lambda: False)
    holder.lease = Lease("me", 1)
    duty = PlacementDuty(holder, engines, engines, RoutingState(), log, clock, False)
    service = SimpleNamespace(name="rooms", shape=shape)
    duty.routing_state.table = SimpleNamespace(services={"rooms": service})
    made = Deployment(duty, engines, clock)
    made.list_endpoint(small("a", 0))
    return made


def empty(endpoint: Endpoint) -> Endpoint:
    """Return an endpoint without layers."""
    return attrs.evolve(endpoint, layers=None)


def test_a_rejected_order_is_planned_anew_with_the_true_count(deployment, small):
    deployment.list_endpoint(empty(small("b", 0)))
    deployment.engines.accepted["b"] = 3
    deployment.place_for(2 * PERIOD)
    assert [accepted for _, _, accepted in deployment.engines.orders] == [0, 3]
    assert deployment.engines.reports == 1


def test_layers_are_ordered_elsewhere_if_an_endpoint_carries_out_another_order(
    deployment, small
):
    """Guards against a gap that waits for an endpoint that rejected its order.

    It was carrying out an order of the earlier holder of the duty for other layers.
    """
    deployment.list_endpoint(empty(small("b", 0)))
    deployment.engines.busy.add("b")
    deployment.place_for(PERIOD)
    deployment.list_endpoint(empty(small("c", 0)))
    orders = deployment.place_for(2 * PERIOD)
    assert orders == [("b", Layers(1, 2)), ("c", Layers(1, 2))]


def test_an_endpoint_whose_report_fails_after_a_rejection_is_ordered_soon(
    deployment, small
):
    deployment.list_endpoint(empty(small("b", 0)))
    deployment.engines.accepted["b"] = 1
    deployment.engines.unreadable.add("b")
    deployment.place_for(PERIOD)
    deployment.engines.unreadable.clear()
    orders = deployment.place_for(2.0)
    assert [accepted for _, _, accepted in deployment.engines.orders] == [0, 1]
    assert orders == [("b", Layers(1, 2))] * 2


def test_a_report_older_than_the_rejection_is_read_again(deployment, small):
    """Guards against a rejected order that counts as pending for seconds."""
    deployment.list_endpoint(empty(small("b", 0)))
    engines, report = deployment.engines, deployment.engines.report
    engines.accepted["b"] = 1

    async def old_report(address, timeout):
        engines.report = report
        return EngineReport(accepted=0)

    engines.report = old_report
    deployment.place_for(2.0)
    assert [accepted for _, _, accepted in engines.orders] == [0, 1]


def test_an_order_that_takes_long_is_not_sent_again(deployment, small):
    """Guards against a slow endpoint that was ordered to the same layers twice."""
    deployment.list_endpoint(empty(small("b", 0)))
    orders = deployment.place_for(20.0)
    assert orders == [("b", Layers(1, 2))]
    assert deployment.engines.reports <= 10


def test_an_endpoint_that_restarted_begins_at_zero(deployment, small):
    first = attrs.evolve(empty(small("b", 0)), id="b-1", name="b", born=1_000)
    deployment.list_endpoint(first)
    deployment.place_for(PERIOD)
    deployment.engines.accepted.clear()
    deployment.engines.busy.clear()
    deployment.list_endpoint(attrs.evolve(first, id="b-2", born=2_000))
    deployment.place_for(2 * PERIOD)
    assert [accepted for _, _, accepted in deployment.engines.orders] == [0, 0]


@pytest.mark.parametrize("grade", list(Grade))
def test_only_a_holder_that_refuses_connections_is_replaced_before_it_is_unlisted(
    deployment, small, grade
):
    """Guards against layers without a holder until a directory entry lapses."""
    deployment.list_endpoint(small("b", 1))
    deployment.duty.routing_state.suspects.suspect(
        "b", "no report", deployment.clock.now, silent=True, grade=grade
    )
    deployment.list_endpoint(empty(small("c", 0)))
    ((ordered, layers),) = deployment.place_for(PERIOD)
    assert ordered == "c"
    assert (layers == Layers(1, 2)) is (grade is Grade.GONE)


def test_no_endpoint_moves_for_one_that_may_restart_while_others_hold_its_layers(
    deployment, small
):
    """Only layers without any holder are repaired before a directory entry lapses."""
    for name, layer in (("b", 0), ("c", 1), ("d", 1)):
        deployment.list_endpoint(small(name, layer))
    for name in "bc":
        deployment.duty.routing_state.suspects.suspect(
            name, "refused", deployment.clock.now, silent=True, grade=Grade.GONE
        )
    assert deployment.place_for(4 * PERIOD) == []


def test_a_gap_is_ordered_once_while_orders_are_on_their_way(deployment, small):
    """Guards against duplicate plans that order two endpoints to the same range."""
    for name in "bc":
        deployment.list_endpoint(empty(small(name, 0)))

    async def place_slowly(endpoint, layers, fencing, accepted):
        deployment.engines.orders.append((endpoint.name, layers, accepted))
        await asyncio.sleep(10 * PERIOD)
        return OrderOutcome.BEGUN

    deployment.duty.orders = SimpleNamespace(place=place_slowly)
    orders = deployment.place_for(4 * PERIOD)
    assert len(orders) == len({name for name, _ in orders}) == 2
    assert sorted(layers.start for _, layers in orders) == [0, 1]
