"""The duty that orders what endpoints hold."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from prometheus_client import Counter

from lacewingcourse.core.errors import Refusal
from lacewingcourse.core.messages import Order, OrderAction, OrderReply
from lacewingcourse.entry.duties import DUTIES, Duty
from lacewingcourse.wire import paths

if TYPE_CHECKING:
    from lacewingcourse.entry.application import Entry
    from lacewingcourse.platform.instances import Instance


@DUTIES.register("placement")
class PlacementDuty(Duty):
    """Inspects all endpoints under the lease and orders what they hold.

    Inspecting raises every reachable agent's fence, so that an earlier holder's
    orders are refused from then on.

    Attributes:
        reports: The agents' last replies by endpoint.
        orders: Counts orders by action and result.
    """

    name = "placement"

    def __init__(self, entry: Entry) -> None:
        super().__init__(entry)
        self.reports: dict[str, OrderReply] = {}
        self.orders = Counter(
            "lacewingcourse_orders",
            "Orders sent to agents, by action and result",
            ["action", "result"],
            registry=entry.metrics.registry,
        )

    def begin(self) -> None:
        self.reports = {}

    async def step(self) -> None:
        instances = list(self.entry.directory.instances.values())
        await asyncio.gather(*(self.inspect(instance) for instance in instances))

    async def inspect(self, instance: Instance) -> None:
        """Ask an agent for its state under the lease."""
        reply = await self.send(instance, OrderAction.INSPECT, "")
        if isinstance(reply, Refusal):
            self.reports.pop(instance.id, None)
            return
        self.reports[instance.id] = reply

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
