"""The duty of placing layers: what its holder orders, and when."""

from __future__ import annotations

import asyncio
from math import log2
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.copies import Assignment
from lacewingcourse.core.pipelines.layout import placement_groups, search_group_layout
from lacewingcourse.core.pipelines.rebalancing import search_rebalancing
from lacewingcourse.relay.ports import EngineReport, Lease, OrderOutcome, Unavailable

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.layout import LayoutSearch
    from lacewingcourse.core.pipelines.shape import EngineShape
    from lacewingcourse.relay.beliefs import Beliefs
    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.duty_holder import DutyHolder
    from lacewingcourse.relay.ports import EngineReports, Orders

#: Seconds between two looks at what is placed.
PERIOD = 0.25
#: Seconds in which a fleet that holds nothing must hardly grow before it is planned: a
#: plan of half a fleet would cut its copies badly. The directory is read twice a
#: second, so one more read has told nothing new.
SETTLE = 0.8
#: Share of the endpoints that may come later; they are given what is weakest then.
LATE_SHARE = 0.05
#: Seconds that an order may take beyond its load before it is given again. Entries
#: are written every heartbeat of about a second, and answers may be lost.
ORDER_MARGIN = 3.0
#: Seconds without a change of the fleet before a better layout is looked for: an
#: endpoint that crashed is back within some seconds, and may need its layers again.
QUIET = 2.0
#: Seconds in which an endpoint must tell how many orders it has accepted.
REPORT_TIMEOUT = 0.5
#: Seconds for which a search may hold up this entry's other work. Streams are passed on
#: meanwhile, and callers are allowed pauses of some hundred milliseconds.
SLICE = 0.005
#: Age in seconds of what is known of the directory up to which a holder without the
#: store goes on. The directory is read twice a second, so this is two missed reads.
TRUSTED_AGE = 1.5


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
        holder: Who has the duty.
        orders: Orders to endpoints.
        reports: What endpoints tell of themselves.
        beliefs: What is believed of the endpoints.
        log: Log of decisions.
        clock: Returns the present time in seconds.
        fencing_checked: Whether endpoints refuse orders of earlier holders.
        pending: Orders whose effect has not been seen, by endpoint.
        accepted: Orders that endpoints have accepted, by id, where that is known.
        known: Endpoints seen, to tell when the last one came.
        grown_at: When more than a few endpoints last came, seconds.
        revision: Revision of the fleet that was seen last.
        changed_at: When it changed, seconds.
        turns: Groups of each service that were looked at for a better layout since.
    """

    holder: DutyHolder
    orders: Orders
    reports: EngineReports
    beliefs: Beliefs
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
        """Take the duty when nobody has it, and do it while it is ours."""
        while True:
            if self.holder.held:
                if self.holder.is_leaving():
                    self.holder.give_back()
                await self.place()
            elif self.holder.is_vacant():
                await self.holder.take()
            await asyncio.sleep(PERIOD)

    def _forget_orders(self) -> None:
        """Forget what was ordered: somebody else may have ordered since."""
        self.pending.clear()
        self.accepted.clear()

    async def place(self) -> None:
        """Order what the layout of each service needs."""
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
        if len(new) > LATE_SHARE * len(present):
            self.grown_at = now
        self.known = set(present)
        for endpoint_id in set(self.accepted) - self.known:
            del self.accepted[endpoint_id]
        if self.beliefs.fleet.revision != self.revision:
            self.revision = self.beliefs.fleet.revision
            self.changed_at = now
            self.turns.clear()
        for endpoint_id, order in list(self.pending.items()):
            endpoint = present.get(endpoint_id)
            shown = endpoint is not None and endpoint.layers == order.assignment.layers
            if endpoint is None or shown or order.until < now:
                del self.pending[endpoint_id]

    async def _place_service(
        self, service: str, shape: EngineShape, now: float
    ) -> None:
        endpoints = [self._expected(e) for e in self.beliefs.members(service)]
        holds_nothing = all(e.layers is None for e in endpoints)
        if holds_nothing and now - self.grown_at < SETTLE:
            return
        given: list[asyncio.Task] = []
        for group in placement_groups(endpoints, shape):
            plan = await in_slices(search_group_layout(group, shape))
            given += await self._give(plan, shape, now)
        if not given:
            plan = await self._improvement(service, endpoints, shape, now)
            given += await self._give(plan, shape, now)
        if given:
            # An answer that is lost does not hold up what else has to be placed.
            await asyncio.wait(given, timeout=PERIOD)

    async def _give(
        self, plan: list[Assignment], shape: EngineShape, now: float
    ) -> list[asyncio.Task]:
        """Begin to give the orders of a plan, if this entry still may."""
        if not plan or not self.holder.held or not await self._may_order():
            return []
        together = self._layers_moved(plan)
        given = []
        for assignment in plan:
            length = self._length(max(together, len(assignment.layers)), shape)
            order = asyncio.ensure_future(self._order(assignment, length, now))
            order.add_done_callback(self._on_given)
            given.append(order)
        return given

    def _on_given(self, order: asyncio.Task) -> None:
        """Tell of a defect in the giving of an order, which nobody waits for."""
        if not order.cancelled() and order.exception() is not None:
            self.log.failed(order.exception())

    def _layers_moved(self, plan: list[Assignment]) -> int:
        """Return the layers that are loaded at once by endpoints that hold others.

        Loads beside one another share the store of weights, so that all take as long
        as if one followed the other; those of an empty fleet are much faster.
        """
        known = self.beliefs.fleet.endpoints
        moved = [a for a in plan if a.endpoint in known and known[a.endpoint].layers]
        return sum(len(assignment.layers) for assignment in moved)

    def _length(self, layers: int, shape: EngineShape) -> float:
        """Return the seconds in which some layers are loaded and it is heard of."""
        return shape.load_seconds * layers / shape.layers + ORDER_MARGIN

    async def _improvement(
        self, service: str, endpoints: list[Endpoint], shape: EngineShape, now: float
    ) -> list[Assignment]:
        """Return moves to a better layout once nothing has changed for a while.

        Each group is looked at again whenever the quiet has lasted twice as long.
        """
        ids = {endpoint.id for endpoint in endpoints}
        suspected = ids & self.beliefs.suspects.excluded(now)
        quiet = now - self.changed_at
        if self.pending or suspected or quiet < QUIET:
            return []
        groups = len({endpoint.zone for endpoint in endpoints})
        looks = 1 + int(log2(quiet / QUIET))
        turn = self.turns.get(service, 0)
        if turn >= groups * looks:
            return []
        self.turns[service] = turn + 1
        found = await in_slices(search_rebalancing(endpoints, shape, quiet, turn))
        return found if self.beliefs.fleet.revision == self.revision else []

    async def _may_order(self) -> bool:
        """Tell whether this entry still has the duty.

        Where endpoints refuse old fencing numbers they find that out themselves;
        elsewhere the store is asked before each plan. A holder that the store turns
        away goes on while it learns from other entries what they read of the directory:
        from them it would hear of another holder too. Waiting for the store, it
        would leave lost endpoints without repair.
        """
        if self.fencing_checked:
            return True
        found = await self.holder.store.current()
        if found == self.holder.lease:
            return True
        if isinstance(found, Unavailable):
            age = self.clock() - self.beliefs.fleet.known_at
            return self.holder.held and age < TRUSTED_AGE
        if isinstance(found, Lease):
            self.holder.follow(found, self.clock())
        return False

    def _expected(self, endpoint: Endpoint) -> Endpoint:
        """Return an endpoint as it will be once its order is done."""
        order = self.pending.get(endpoint.id)
        if order is None:
            return endpoint
        return attrs.evolve(endpoint, layers=order.assignment.layers)

    async def _order(self, assignment: Assignment, length: float, now: float) -> None:
        endpoint = self.beliefs.fleet.endpoints.get(assignment.endpoint)
        lease = self.holder.lease
        if endpoint is None or lease is None:
            return
        self.pending[endpoint.id] = PendingOrder(assignment, now + length)
        if endpoint.layers is not None and len(endpoint.layers):
            # It takes nothing new for the layers that it gives up.
            self.beliefs.suspects.suspect(endpoint.id, "ordered to move", now)
        accepted = await self._accepted_by(endpoint)
        outcome = await self.orders.place(
            endpoint, assignment.layers, lease.fencing, accepted
        )
        self.log.belief(
            "order",
            endpoint=endpoint.id,
            layers=[assignment.layers.start, assignment.layers.end],
            fencing=lease.fencing,
            accepted=accepted,
            outcome=outcome.value,
        )
        await self._note(endpoint, outcome, accepted)

    async def _accepted_by(self, endpoint: Endpoint) -> int | None:
        """Return how many orders an endpoint has accepted, None if that is unknown.

        One that holds nothing is taken to have accepted none: if another holder's order
        is under way there, it rejects this one, and goes on with what it was given.
        """
        if endpoint.id in self.accepted:
            return self.accepted[endpoint.id]
        if endpoint.layers is None:
            return 0
        report = await self._report(endpoint)
        return report.accepted if report is not None else None

    async def _report(self, endpoint: Endpoint) -> EngineReport | None:
        """Return what an endpoint tells of itself, None if it does not answer."""
        found = await self.reports.report(endpoint.address, REPORT_TIMEOUT)
        return found if isinstance(found, EngineReport) else None

    async def _note(
        self, endpoint: Endpoint, outcome: OrderOutcome, accepted: int | None
    ) -> None:
        """Take what became of an order.

        Without an answer it may still be carried out, seconds later. The next order
        then names the same number of accepted ones, so that of the two only one is: a
        server had been ordered to three places in turn, and loaded each.
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
            await self._ask_after(endpoint, accepted)
        else:
            self.accepted.pop(endpoint.id, None)

    async def _ask_after(self, endpoint: Endpoint, accepted: int | None) -> None:
        """Learn from an endpoint that rejected an order what it has accepted.

        Unless it is carrying out another order it is given this one again, with the
        right number.
        """
        self.accepted.pop(endpoint.id, None)
        report = await self._report(endpoint)
        if report is None or report.accepted is None:
            return
        self.accepted[endpoint.id] = report.accepted
        if report.accepted != accepted and not report.busy:
            self.pending.pop(endpoint.id, None)


async def in_slices(search: LayoutSearch) -> list[Assignment]:
    """Return what a search finds, passing events on between its steps.

    Steps of a few tens of microseconds go together: passing events on costs as much.
    """
    loop = asyncio.get_running_loop()
    began = loop.time()
    while True:
        try:
            next(search)
        except StopIteration as end:
            return end.value
        if loop.time() - began > SLICE:
            await asyncio.sleep(0)
            began = loop.time()
