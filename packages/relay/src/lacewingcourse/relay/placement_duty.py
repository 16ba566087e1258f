"""The duty of placing layers: one entry has it at a time."""

from __future__ import annotations

import asyncio
from math import log2
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.copies import Assignment
from lacewingcourse.core.pipelines.improvement import search_improvement
from lacewingcourse.core.pipelines.layout import search_layout
from lacewingcourse.relay.ports import Lease, OrderOutcome, Unavailable

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.layout import Search
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
#: Seconds without a change of the fleet before a better layout is looked for: an
#: endpoint that crashed is back within some seconds, and may need its layers again.
QUIET = 2.0
#: Seconds after which a holder that nobody hears is replaced.
HOLDER_SILENT = 2.0
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
        revision: Revision of the fleet that was seen last.
        changed_at: When it changed, seconds.
        turns: Groups of each service that were looked at for a better layout since.
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
    revision: int = -1
    changed_at: float = 0.0
    turns: dict[str, int] = attrs.field(factory=dict)

    @property
    def held(self) -> bool:
        """Whether this entry has the duty."""
        return self.lease is not None and self.lease.holder == self.name

    async def run(self) -> None:
        """Take the duty when nobody has it, and do it while it is ours."""
        while True:
            if self.held:
                await self.place()
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
        if new:
            self.newest_at = now
        self.known = set(present)
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
        if holds_nothing and now - self.newest_at < SETTLE:
            return
        plan = await in_slices(search_layout(endpoints, shape))
        if not plan:
            plan = await self._improvement(service, endpoints, shape, now)
        if not plan or not self.held or not await self._may_order():
            return
        together = self._layers_moved(plan)
        results = [
            self._order(a, self._length(max(together, len(a.layers)), shape), now)
            for a in plan
        ]
        await asyncio.gather(*results)

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
        found = await in_slices(search_improvement(endpoints, shape, quiet, turn))
        return found if self.beliefs.fleet.revision == self.revision else []

    async def _may_order(self) -> bool:
        """Tell whether this entry still has the duty.

        Where endpoints refuse old fencing numbers they find that out themselves;
        elsewhere the store is asked before each plan. A holder that the store turns
        away goes on while it learns from other entries what they read of the directory:
        from them it would hear of another holder too. Waiting for the store, a holder
        that was cut off from it left five lost endpoints without repair for 11 seconds.
        """
        if self.fencing_checked:
            return True
        found = await self.store.current()
        if found == self.lease:
            return True
        if isinstance(found, Unavailable):
            age = self.clock() - self.beliefs.fleet.known_at
            return self.held and age < TRUSTED_AGE
        if isinstance(found, Lease):
            self.lease = found
        return False

    def _expected(self, endpoint: Endpoint) -> Endpoint:
        """Return an endpoint as it will be once its order is done."""
        order = self.pending.get(endpoint.id)
        if order is None:
            return endpoint
        return attrs.evolve(endpoint, layers=order.assignment.layers)

    async def _order(self, assignment: Assignment, length: float, now: float) -> None:
        endpoint = self.beliefs.fleet.endpoints.get(assignment.endpoint)
        if endpoint is None or self.lease is None:
            return
        self.pending[endpoint.id] = PendingOrder(assignment, now + length)
        if endpoint.layers is not None and len(endpoint.layers):
            # It takes nothing new for the layers that it gives up.
            self.beliefs.suspects.suspect(endpoint.id, "ordered to move", now)
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


async def in_slices(search: Search) -> list[Assignment]:
    """Return what a search finds, passing events on between its steps."""
    while True:
        try:
            next(search)
        except StopIteration as end:
            return end.value
        await asyncio.sleep(0)
