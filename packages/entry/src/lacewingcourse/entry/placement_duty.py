"""The duty that orders what endpoints hold."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from loguru import logger
from prometheus_client import Counter, Gauge

from lacewingcourse.core.errors import Refusal
from lacewingcourse.core.messages import Order, OrderAction, OrderReply
from lacewingcourse.core.placement import ModelTarget, PlacementPlanner
from lacewingcourse.core.placement_needs import PlacedEndpoint
from lacewingcourse.entry.duties import DUTIES, Duty, DutyHost
from lacewingcourse.wire import paths

if TYPE_CHECKING:
    from lacewingcourse.backing.instances import Instance
    from lacewingcourse.core.placement import Assignment
    from lacewingcourse.entry.directory import Directory
    from lacewingcourse.entry.metrics import EntryMetrics

#: Seconds without loads after one failed for a reason that names no time.
FAILED_RETRY = 2.0


class PlacementHost(DutyHost, Protocol):
    """What the placement needs of the entry.

    Attributes:
        directory: What is known of the endpoints.
        metrics: Counters of the process.
    """

    directory: Directory
    metrics: EntryMetrics


@DUTIES.register("placement")
class PlacementDuty(Duty):
    """Inspects all endpoints under the lease and orders what they hold.

    Inspecting raises every reachable agent's fence, so that an earlier holder's
    orders are refused from then on.

    Attributes:
        reports: The agents' last replies by endpoint.
        planner: Decides what is ordered.
        limited: Orders whose failure was noted, by name.
        orders_made: Orders made so far.
        blocked: Gauge of models whose version cannot be changed.
        orders: Counts orders by action and result.
    """

    name = "placement"

    def __init__(self, entry: PlacementHost) -> None:
        super().__init__(entry)
        self.reports: dict[str, OrderReply] = {}
        self.limited: set[str] = set()
        self.orders_made = 0
        self.begin()
        self.blocked = Gauge(
            "lacewingcourse_placement_blocked",
            "Models whose version cannot be changed without a gap",
            registry=entry.metrics.registry,
        )
        self.orders = Counter(
            "lacewingcourse_orders",
            "Orders sent to agents, by action and result",
            ["action", "result"],
            registry=entry.metrics.registry,
        )

    def begin(self) -> None:
        settings = self.entry.settings
        self.reports = {}
        self.limited = set()
        self.planner = PlacementPlanner(
            restart_time=settings.usual_restart_time,
            load_time=settings.usual_load_time,
            loads_at_once=settings.loads_at_once,
        )

    async def step(self) -> None:
        instances = dict(self.entry.directory.instances)
        await asyncio.gather(*(self.inspect(each) for each in instances.values()))
        now = self.entry.now()
        self._note_failures(now)
        endpoints = [self._placed(name) for name in instances]
        targets = [
            ModelTarget(model.name, model.layer_count, model.version)
            for model in self.entry.configuration.models.values()
        ]
        known = [each for each in endpoints if each is not None]
        for assignment in self.planner.decide(targets, known, now):
            await self._order(instances[assignment.endpoint], assignment)
        self.blocked.set(len(self.planner.blocked))

    def _note_failures(self, now: float) -> None:
        """Order no load for a while after one failed: as long as the store asks."""
        for reply in self.reports.values():
            if reply.last_error and reply.last_order not in self.limited:
                self.limited.add(reply.last_order)
                wait = reply.last_retry_after or FAILED_RETRY
                self.planner.on_rate_limit(wait, now)

    def _placed(self, name: str) -> PlacedEndpoint | None:
        """Return an endpoint as the planner sees it, None beside a plain service."""
        reply = self.reports.get(name)
        if reply is None:
            return PlacedEndpoint(name, present=False)
        status = reply.status
        if status.service:
            return None
        return PlacedEndpoint(
            id=name,
            model=status.model,
            version=status.version,
            layers=status.layers,
            max_layers=status.max_layers,
            running=status.running,
            present=status.ready,
            leaving=status.leaving and not reply.ordered,
            busy=bool(reply.ordered),
        )

    async def _order(self, instance: Instance, assignment: Assignment) -> None:
        """Order a load."""
        self.orders_made += 1
        number = self.number()
        logger.info(
            "load ordered",
            endpoint=assignment.endpoint,
            version=assignment.version,
            first=assignment.layers.first,
            end=assignment.layers.end,
        )
        await self.send(
            instance,
            OrderAction.LOAD,
            f"{number}.{self.orders_made}",
            model=assignment.model,
            version=assignment.version,
            layers=assignment.layers,
        )

    async def inspect(self, instance: Instance) -> None:
        """Ask an agent for its state under the lease."""
        reply = await self.send(instance, OrderAction.INSPECT, "")
        if isinstance(reply, OrderReply) and reply.accepted:
            self.reports[instance.id] = reply
        else:
            self.reports.pop(instance.id, None)

    async def send(
        self, instance: Instance, action: OrderAction, order_id: str, **fields
    ) -> OrderReply | Refusal | None:
        """Send an order if the lease is still held."""
        number = self.number()
        if number is None:
            return None
        report = self.reports.get(instance.id)
        order = Order(
            duty=self.name,
            number=number,
            incarnation=report.status.incarnation if report else "",
            order_id=order_id,
            action=action,
            **fields,
        )
        timeout = self.entry.settings.message_timeout
        reply = await self.entry.peers.send(
            instance.url, paths.ORDER, order, OrderReply, timeout
        )
        self.orders.labels(action.value, result_of(reply)).inc()
        return reply


def result_of(reply: OrderReply | Refusal) -> str:
    """Return the result of an order as the counter shows it."""
    if isinstance(reply, Refusal):
        return "no_answer"
    return "accepted" if reply.accepted else reply.kind.value
