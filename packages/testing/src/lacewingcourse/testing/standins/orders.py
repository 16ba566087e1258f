"""Orders to the engine stand-in: load, unload, adapter, role."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

import attrs

from lacewingcourse.agent.engine import EngineOrder, EngineOrderReply
from lacewingcourse.backing.weights import WeightStoreClient
from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.registry import Registry
from lacewingcourse.testing.standins.server import StandinHandler

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.layers import LayerRange
    from lacewingcourse.testing.standins.sequences import Sequences

#: Statuses of refused orders.
STATUSES = {ErrorKind.STALE_FENCING: 409, ErrorKind.OVERLOADED: 429}
ACTIONS: Registry[Callable] = Registry("order")


class Loadable(Protocol):
    """What orders change of an engine.

    Attributes:
        model: Name of the loaded model, or empty.
        version: Version of its weights.
        layers: Layers that are held.
        sequences: Sequences in its cache.
        report: Report that was made last; None to make it anew.
    """

    model: str
    version: str
    layers: LayerRange | None
    sequences: Sequences
    report: object | None


@attrs.define
class OrderDesk:
    """Orders that an engine has taken.

    Attributes:
        weights_url: Base URL of the weight store; empty loads without one.
        load_time: Seconds that loading takes.
        checks_fencing: Whether orders under an old number are refused.
        max_layers: Layers that fit into the engine, 0 for any number.
        highest: Highest fencing number so far.
        taken: Orders in the order in which they took effect.
        loading: Whether weights are being loaded.
        adapter: Adapter that the engine holds.
        role: Role of the engine.
    """

    weights_url: str = ""
    load_time: float = 0.2
    checks_fencing: bool = False
    max_layers: int = 0
    highest: int = -1
    taken: list[EngineOrder] = attrs.field(factory=list)
    loading: bool = False
    adapter: str = ""
    role: str = ""

    async def take(self, engine: Loadable, order: EngineOrder) -> Refusal | None:
        """Carry out an order, or refuse it."""
        if self.checks_fencing and order.number < self.highest:
            return Refusal(ErrorKind.STALE_FENCING, "old fencing number")
        self.highest = max(self.highest, order.number)
        refused = await ACTIONS.get(order.action)(self, engine, order)
        if refused is None:
            self.taken.append(order)
        return refused


@ACTIONS.register("load")
async def load(desk: OrderDesk, engine: Loadable, order: EngineOrder) -> Refusal | None:
    """Take weights from the store and hold other layers after the loading time."""
    if desk.weights_url:
        client = WeightStoreClient(desk.weights_url)
        weights = await client.take(order.model, order.version)
        if isinstance(weights, Refusal):
            return weights
    clear(engine)
    desk.loading = True
    asyncio.ensure_future(finish_load(desk, engine, order))
    return None


async def finish_load(desk: OrderDesk, engine: Loadable, order: EngineOrder) -> None:
    """Hold the layers that were ordered once the loading time is over."""
    await asyncio.sleep(desk.load_time)
    engine.model = order.model
    engine.version = order.version
    engine.layers = order.layers
    engine.report = None
    desk.loading = False


@ACTIONS.register("unload")
async def unload(desk: OrderDesk, engine: Loadable, order: EngineOrder) -> None:
    """Hold nothing."""
    clear(engine)


def clear(engine: Loadable) -> None:
    """Forget the weights and all sequences."""
    engine.model = ""
    engine.version = ""
    engine.layers = None
    engine.sequences.known.clear()
    engine.report = None


@ACTIONS.register("adapter")
async def adapter(desk: OrderDesk, engine: Loadable, order: EngineOrder) -> None:
    """Hold an adapter."""
    desk.adapter = order.adapter
    engine.report = None


@ACTIONS.register("role")
async def role(desk: OrderDesk, engine: Loadable, order: EngineOrder) -> None:
    """Take a role."""
    desk.role = order.role
    engine.report = None


class OrdersHandler(StandinHandler):
    """Takes orders, and lists those that took effect."""

    def get(self) -> None:
        self.reply({"orders": self.standin.desk.taken})

    async def post(self) -> None:
        order = self.message(EngineOrder)
        if order is None:
            return
        refused = await self.standin.desk.take(self.standin, order)
        if refused is None:
            self.reply(EngineOrderReply(order.order_id))
            return
        self.set_status(STATUSES.get(refused.kind, 503))
        if refused.retry_after is not None:
            self.set_header("Retry-After", str(refused.retry_after))
        self.reply({"error": refused.reason})


ORDER_ROUTES = [(r"/engine/orders", OrdersHandler)]
