"""The placement duty: its holder orders endpoints to load layers."""

from __future__ import annotations

import asyncio
from math import log2
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.copies import Assignment
from lacewingcourse.core.pipelines.layout import (
    apply_plan,
    placement_groups,
    search_group_layout,
)
from lacewingcourse.core.pipelines.rebalancing import search_rebalancing
from lacewingcourse.core.pipelines.repair import search_repairs
from lacewingcourse.core.pipelines.suspects import Grade
from lacewingcourse.relay.background import start_task
from lacewingcourse.relay.pending_order import PendingOrder
from lacewingcourse.relay.ports import EngineReport, Lease, OrderOutcome, Unavailable

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.layout import LayoutSearch
    from lacewingcourse.core.pipelines.shape import EngineShape
    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.duty_holder import DutyHolder
    from lacewingcourse.relay.ports import EngineReports, Orders
    from lacewingcourse.relay.routing_state import RoutingState

#: Seconds between two checks of the placement.
PERIOD = 0.25
#: Seconds without notable growth after which a fleet that holds no layers is planned: a
#: plan for half of the fleet would divide the layers badly. The directory is read twice
#: a second, so at least one more read has found nothing new.
SETTLE_TIME = 0.8
#: Share of the endpoints that may be new without delaying the plan. Endpoints that come
#: after it get the layers that need them most.
MAX_NEW_SHARE = 0.05
#: Seconds beyond the load time after which an order is sent again. Endpoints write
#: their directory entries at each heartbeat of about a second, and answers may be lost.
ORDER_MARGIN = 3.0
#: Seconds without a change of the fleet after which a better layout is searched: an
#: endpoint that crashed restarts within some seconds, and may need its layers again.
QUIET_TIME = 2.0
#: Timeout in seconds of a request for an endpoint's report.
REPORT_TIMEOUT = 0.5
#: Seconds for which a search may block the event loop before it yields. The loop also
#: forwards streams, whose callers accept pauses of some hundred milliseconds.
SEARCH_SLICE = 0.005
#: Seconds after which the report of an endpoint that rejected an order is requested
#: again, unless it explains the rejection.
REPORT_RETRY_DELAY = 1.0
#: Age in seconds of the known directory up to which a holder keeps ordering while the
#: store is unavailable. The directory is read twice a second, so two reads may fail.
MAX_DIRECTORY_AGE = 1.5


@attrs.define
class PlacementDuty:
    """Places layers on endpoints while this entry holds the duty.

    Attributes:
        holder: The lease of the duty as this entry knows it.
        orders: Sends orders to endpoints.
        reports: Requests the reports of engines.
        routing_state: State that holds the configuration and the known endpoints.
        log: Decision log.
        clock: Returns the present time in seconds.
        fencing_checked: Whether endpoints refuse orders of earlier holders.
        pending: Orders whose effect the directory does not show yet, by endpoint id.
        accepted: Number of orders accepted by each endpoint, by id, where known.
        known: Ids of the endpoints that were listed at the last check.
        grown_at: When new endpoints last exceeded the share `MAX_NEW_SHARE`, seconds.
        revision: Revision of the fleet at the last check.
        changed_at: When the revision last changed, seconds.
        turns: Number of searches for a better layout since then, by service.
    """

    holder: DutyHolder
    orders: Orders
    reports: EngineReports
    routing_state: RoutingState
    log: DecisionLog
    clock: Callable[[], float]
    fencing_checked: bool
    pending: dict[str, PendingOrder] = attrs.field(factory=dict)
    accepted: dict[str, int] = attrs.field(factory=dict)
    known: set[str] = attrs.field(factory=set)
    grown_at: float = 0.0
    revision: int = -1
    changed_at: float = 0.0
    turns: dict[str, int] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.holder.on_change = self._forget_orders

    async def run(self) -> None:
        """Acquire the duty when it is due, and place layers while holding it."""
        while True:
            if self.holder.held:
                if self.holder.is_leaving():
                    self.holder.release()
                await self.place()
            elif self.holder.should_acquire():
                await self.holder.acquire()
            await asyncio.sleep(PERIOD)

    def _forget_orders(self) -> None:
        """Forget all orders, as another holder may have sent others since."""
        self.pending.clear()
        self.accepted.clear()

    async def place(self) -> None:
        """Send the orders that the layout of each service needs."""
        now = self.clock()
        self._note_changes(now)
        if self.routing_state.table is None:
            return
        for service in self.routing_state.table.services.values():
            if service.shape is None:
                continue
            try:
                await self._place_service(service.name, service.shape, now)
            except Exception as error:
                # The other services are placed all the same.
                self.log.failed(error, f"placement of {service.name}")

    def _note_changes(self, now: float) -> None:
        """Record changes of the fleet, and drop orders that have taken effect."""
        present = self.routing_state.fleet.endpoints
        new = set(present) - self.known
        if len(new) > MAX_NEW_SHARE * len(present):
            self.grown_at = now
        self.known = set(present)
        for endpoint_id in set(self.accepted) - self.known:
            del self.accepted[endpoint_id]
        if self.routing_state.fleet.revision != self.revision:
            self.revision = self.routing_state.fleet.revision
            self.changed_at = now
            self.turns.clear()
        for endpoint_id, order in list(self.pending.items()):
            endpoint = present.get(endpoint_id)
            if endpoint is None or order.is_in_effect(endpoint):
                del self.pending[endpoint_id]
            elif order.until < now:
                # A second order would load the same layers again after the first one.
                extended = attrs.evolve(order, until=now + ORDER_MARGIN)
                self.pending[endpoint_id] = extended
                self._start("order check", self._drop_unless_busy(endpoint, extended))

    async def _place_service(
        self, service: str, shape: EngineShape, now: float
    ) -> None:
        endpoints = self._planned_endpoints(service)
        holds_nothing = all(e.layers is None for e in endpoints)
        if holds_nothing and now - self.grown_at < SETTLE_TIME:
            return
        # Without any holder nothing runs, so repairs do not wait until the entry of an
        # endpoint that refuses connections lapses. Other plans do: it may restart.
        refusing = self.routing_state.suspects.refusing(now) - set(self.pending)
        present = [e for e in endpoints if e.id not in refusing]
        repairs = await run_in_slices(search_repairs(present, shape))
        tasks = await self._send_orders(repairs, shape, now)
        endpoints = apply_plan(endpoints, repairs)
        for group in placement_groups(endpoints, shape):
            plan = await run_in_slices(search_group_layout(group, shape))
            tasks += await self._send_orders(plan, shape, now)
        if not tasks:
            plan = await self._improvement(service, endpoints, shape, now)
            tasks += await self._send_orders(plan, shape, now)
        if tasks:
            # The timeout keeps a lost answer from delaying other orders.
            await asyncio.wait(tasks, timeout=PERIOD)

    async def _send_orders(
        self, plan: list[Assignment], shape: EngineShape, now: float
    ) -> list[asyncio.Task]:
        """Start sending the orders of a plan if this entry still holds the duty."""
        if not plan or not self.holder.held or not await self._confirm_duty():
            return []
        moved_layers = self._count_moved_layers(plan)
        tasks = []
        for assignment in plan:
            duration = self._expected_duration(
                max(moved_layers, len(assignment.layers)), shape
            )
            tasks.append(self._start("order", self._order(assignment, duration, now)))
        return tasks

    def _start(self, name: str, work: Coroutine[None, None, None]) -> asyncio.Task:
        """Start a task whose errors are logged."""
        return start_task(name, work, self.log)

    def _count_moved_layers(self, plan: list[Assignment]) -> int:
        """Return the number of layers to be loaded by endpoints that hold others.

        Concurrent loads share the weight store, so all of them together take as long as
        one after the other. Loads of an empty fleet are much faster.
        """
        known = self.routing_state.fleet.endpoints
        moved = [a for a in plan if a.endpoint in known and known[a.endpoint].layers]
        return sum(len(assignment.layers) for assignment in moved)

    def _expected_duration(self, layers: int, shape: EngineShape) -> float:
        """Return the seconds within which the directory should show loaded layers."""
        return shape.load_seconds * layers / shape.layers + ORDER_MARGIN

    async def _improvement(
        self, service: str, endpoints: list[Endpoint], shape: EngineShape, now: float
    ) -> list[Assignment]:
        """Return moves to a better layout if the fleet has not changed for a while.

        Each group is searched again whenever the time without a change has doubled.
        """
        ids = {endpoint.id for endpoint in endpoints}
        suspected = ids & self.routing_state.suspects.excluded(now)
        quiet = now - self.changed_at
        if self.pending or suspected or quiet < QUIET_TIME:
            return []
        groups = len({endpoint.zone for endpoint in endpoints})
        passes = 1 + int(log2(quiet / QUIET_TIME))
        turn = self.turns.get(service, 0)
        if turn >= groups * passes:
            return []
        self.turns[service] = turn + 1
        found = await run_in_slices(search_rebalancing(endpoints, shape, quiet, turn))
        return found if self.routing_state.fleet.revision == self.revision else []

    async def _confirm_duty(self) -> bool:
        """Return whether this entry still holds the duty, asking the store if needed.

        Endpoints that check fencing numbers refuse the orders of an earlier holder
        themselves; otherwise the store is read before each plan. While the store is
        unavailable to it, a holder keeps ordering as long as other entries send it
        recent directory entries, since their messages would also name another holder.
        If it waited for the store, lost endpoints would stay without replacement.
        """
        if self.fencing_checked:
            return True
        found = await self.holder.store.current()
        if found == self.holder.lease:
            return True
        if isinstance(found, Unavailable):
            age = self.clock() - self.routing_state.fleet.known_at
            return self.holder.held and age < MAX_DIRECTORY_AGE
        if isinstance(found, Lease):
            self.holder.accept_lease(found, self.clock())
        return False

    def _planned_endpoints(self, service: str) -> list[Endpoint]:
        """Return a service's endpoints with the layers that they hold or will hold.

        Those that carry out an order of another holder are left out until its effect is
        known. Suspected ones count as holders.
        """
        planned = []
        for endpoint in self.routing_state.members(service):
            order = self.pending.get(endpoint.id)
            if order is None:
                planned.append(endpoint)
            elif order.assignment is not None:
                layers = order.assignment.layers
                planned.append(attrs.evolve(endpoint, layers=layers))
        return planned

    async def _order(self, assignment: Assignment, duration: float, now: float) -> None:
        endpoint = self.routing_state.fleet.endpoints.get(assignment.endpoint)
        lease = self.holder.lease
        if endpoint is None or lease is None:
            return
        self.pending[endpoint.id] = PendingOrder(
            assignment, now + duration, endpoint.layers
        )
        if endpoint.layers is not None and len(endpoint.layers):
            # It must get no new requests for the layers that it drops.
            self.routing_state.suspects.suspect(
                endpoint.id, "ordered to move", now, grade=Grade.GONE
            )
        accepted = await self._accepted_by(endpoint)
        outcome = await self.orders.place(
            endpoint, assignment.layers, lease.fencing, accepted
        )
        self.log.log_event(
            "order",
            endpoint=endpoint.id,
            layers=[assignment.layers.start, assignment.layers.end],
            fencing=lease.fencing,
            accepted=accepted,
            outcome=outcome.value,
        )
        await self._apply_outcome(endpoint, outcome, accepted)

    async def _accepted_by(self, endpoint: Endpoint) -> int | None:
        """Return how many orders an endpoint has accepted, None if unknown.

        An endpoint without layers is assumed to have accepted none. If it is carrying
        out an order of another holder, it rejects this one and continues.
        """
        if endpoint.id in self.accepted:
            return self.accepted[endpoint.id]
        if endpoint.layers is None:
            return 0
        report = await self._report(endpoint)
        return report.accepted if report is not None else None

    async def _report(self, endpoint: Endpoint) -> EngineReport | None:
        """Return the report of an endpoint, None if it sends no usable one."""
        found = await self.reports.report(endpoint.address, REPORT_TIMEOUT)
        return found if isinstance(found, EngineReport) else None

    async def _apply_outcome(
        self, endpoint: Endpoint, outcome: OrderOutcome, accepted: int | None
    ) -> None:
        """Apply the outcome of an order.

        An order without an answer may still be carried out seconds later. The next
        order carries the same number of accepted orders, so that the endpoint carries
        out only one of the two. Without this number an endpoint was ordered to three
        ranges of layers in turn, and loaded each of them.
        """
        if outcome is OrderOutcome.FENCED:
            self.holder.lease = None
            self._forget_orders()
        elif outcome in (OrderOutcome.WRONG_INCARNATION, OrderOutcome.REFUSED):
            self.pending.pop(endpoint.id, None)
        elif outcome is OrderOutcome.BEGUN and accepted is not None:
            self.accepted[endpoint.id] = accepted + 1
        elif outcome is OrderOutcome.UNKNOWN and accepted is not None:
            self.accepted[endpoint.id] = accepted
        elif outcome is OrderOutcome.MISFIT:
            await self._correct_accepted(endpoint, accepted)
        else:
            self.accepted.pop(endpoint.id, None)

    async def _correct_accepted(self, endpoint: Endpoint, accepted: int | None) -> None:
        """Read the number of accepted orders from an endpoint that rejected an order.

        It is planned again at once with the right number unless it is carrying out an
        order of another holder, whose layers the directory will show.
        """
        self.accepted.pop(endpoint.id, None)
        report = await self._report(endpoint)
        if report is not None and report.accepted not in (None, accepted):
            self.accepted[endpoint.id] = report.accepted
            if not report.busy:
                self.pending.pop(endpoint.id, None)
                return
        # Reports are some hundred milliseconds old, and may not show the order yet.
        self.pending[endpoint.id] = PendingOrder(
            None, self.clock() + REPORT_RETRY_DELAY, endpoint.layers
        )

    async def _drop_unless_busy(self, endpoint: Endpoint, order: PendingOrder) -> None:
        """Drop an order without effect unless the endpoint is carrying one out."""
        report = await self._report(endpoint)
        if report is not None and report.accepted is not None:
            self.accepted[endpoint.id] = report.accepted
        is_busy = report is not None and report.busy
        if not is_busy and self.pending.get(endpoint.id) is order:
            del self.pending[endpoint.id]


async def run_in_slices(search: LayoutSearch) -> list[Assignment]:
    """Run a search to its end, yielding to the event loop between its steps.

    Steps of a few tens of microseconds run together, since yielding costs as much.

    Returns:
        The assignments that the search found.
    """
    loop = asyncio.get_running_loop()
    began = loop.time()
    while True:
        try:
            next(search)
        except StopIteration as end:
            return end.value
        if loop.time() - began > SEARCH_SLICE:
            await asyncio.sleep(0)
            began = loop.time()
