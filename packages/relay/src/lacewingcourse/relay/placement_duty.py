"""The duty of placing layers: one entry has it at a time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.layout import Assignment, plan_layout
from lacewingcourse.relay.ports import Lease, OrderOutcome, Unavailable

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.shape import EngineShape
    from lacewingcourse.relay.beliefs import Beliefs
    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.ports import LeaseStore, Orders

#: Seconds between two looks at what is placed.
PERIOD = 0.25
#: Seconds without a new endpoint before a fleet that holds nothing is planned: a plan
#: of half a fleet would cut its copies badly.
SETTLE = 1.5
#: Seconds that an order may take beyond its load before it is given again. Entries
#: are written every heartbeat of about a second, and answers may be lost.
ORDER_MARGIN = 3.0
#: Seconds after which a holder that nobody hears is replaced.
HOLDER_SILENT = 2.0


@attrs.frozen
class PendingOrder:
    """An order whose effect has not been seen.

    Attributes:
        assignment: What was ordered.
        until: Time until which its effect is expected, seconds.
    """

    assignment: Assignment
    until: float


@attrs.define
class PlacementDuty:
    """Places layers while this entry has the duty.

    Attributes:
        name: Name of this entry.
        store: Where the holder is agreed on.
        orders: Orders to endpoints.
        beliefs: What is believed of the endpoints.
        log: Log of decisions.
        clock: Returns the present time in seconds.
        fencing_checked: Whether endpoints refuse orders of earlier holders.
        is_silent: Tells whether another entry has not been heard for some seconds.
        lease: Who has the duty, None if unknown.
        pending: Orders whose effect has not been seen, by endpoint.
        known: Endpoints seen, to tell when the last one came.
        newest_at: When an endpoint last came, seconds.
    """

    name: str
    store: LeaseStore
    orders: Orders
    beliefs: Beliefs
    log: DecisionLog
    clock: Callable[[], float]
    fencing_checked: bool
    is_silent: Callable[[str, float], bool]
    lease: Lease | None = None
    pending: dict[str, PendingOrder] = attrs.field(factory=dict)
    known: set[str] = attrs.field(factory=set)
    newest_at: float = 0.0

    @property
    def held(self) -> bool:
        """Whether this entry has the duty."""
        return self.lease is not None and self.lease.holder == self.name

    async def run(self) -> None:
        """Take the duty when nobody has it, and do it while it is ours."""
        while True:
            if self.held:
                await self._place()
            elif self._vacant():
                await self._take()
            await asyncio.sleep(PERIOD)

    def hear(self, holder: str, fencing: int) -> None:
        """Take from another entry who has the duty."""
        if fencing > (self.lease.fencing if self.lease else 0):
            self.lease = Lease(holder, fencing)
            self.pending.clear()

    def _vacant(self) -> bool:
        """Tell whether the duty should be taken, as far as is known here."""
        if self.lease is None:
            return True
        return not self._is_alive(self.lease.holder)

    def _is_alive(self, holder: str) -> bool:
        """Tell whether another entry holds the duty and is heard.

        A record with this entry's own name is one of an earlier incarnation.
        """
        return holder != self.name and not self.is_silent(holder, HOLDER_SILENT)

    async def _take(self) -> None:
        found = await self.store.current()
        if isinstance(found, Unavailable):
            return
        if found is not None and self._is_alive(found.holder):
            self.lease = found
            return
        taken = await self.store.take(self.name, found)
        if isinstance(taken, Lease):
            self.lease = taken
            self.log.belief("duty_taken", fencing=taken.fencing)

    async def _place(self) -> None:
        now = self.clock()
        self._see(now)
        if self.beliefs.table is None:
            return
        for service in self.beliefs.table.services.values():
            if service.shape is not None:
                await self._place_service(service.name, service.shape, now)

    def _see(self, now: float) -> None:
        """Note new endpoints, and orders whose effect shows."""
        present = self.beliefs.fleet.endpoints
        new = set(present) - self.known
        if new:
            self.newest_at = now
        self.known = set(present)
        for endpoint_id, order in list(self.pending.items()):
            endpoint = present.get(endpoint_id)
            shown = endpoint is not None and endpoint.layers == order.assignment.layers
            if endpoint is None or shown or order.until < now:
                del self.pending[endpoint_id]

    async def _place_service(
        self, service: str, shape: EngineShape, now: float
    ) -> None:
        endpoints = [self._expected(e) for e in self.beliefs.fleet.of_service(service)]
        holds_nothing = all(e.layers is None for e in endpoints)
        if holds_nothing and now - self.newest_at < SETTLE:
            return
        plan = plan_layout(endpoints, shape)
        if not plan or not await self._may_order():
            return
        results = [self._order(a, shape, now) for a in plan]
        await asyncio.gather(*results)

    async def _may_order(self) -> bool:
        """Tell whether this entry still has the duty.

        Where endpoints refuse old fencing numbers they find that out themselves;
        elsewhere the store is asked before each plan.
        """
        if self.fencing_checked:
            return True
        found = await self.store.current()
        if found == self.lease:
            return True
        if isinstance(found, Lease):
            self.lease = found
        return False

    def _expected(self, endpoint: Endpoint) -> Endpoint:
        """Return an endpoint as it will be once its order is done."""
        order = self.pending.get(endpoint.id)
        if order is None:
            return endpoint
        return attrs.evolve(endpoint, layers=order.assignment.layers)

    async def _order(
        self, assignment: Assignment, shape: EngineShape, now: float
    ) -> None:
        endpoint = self.beliefs.fleet.endpoints.get(assignment.endpoint)
        if endpoint is None or self.lease is None:
            return
        share = len(assignment.layers) / shape.layers
        length = shape.load_seconds * share + ORDER_MARGIN
        self.pending[endpoint.id] = PendingOrder(assignment, now + length)
        fencing = self.lease.fencing
        outcome = await self.orders.place(endpoint, assignment.layers, fencing)
        self.log.belief(
            "order",
            endpoint=endpoint.id,
            layers=[assignment.layers.start, assignment.layers.end],
            fencing=fencing,
            outcome=outcome.value,
        )
        if outcome is OrderOutcome.FENCED:
            self.lease = None
            self.pending.clear()
        elif outcome in (OrderOutcome.WRONG_INCARNATION, OrderOutcome.REFUSED):
            self.pending.pop(endpoint.id, None)
