"""Passes orders to the engine: fenced, after a drain, one at a time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from loguru import logger

from lacewingcourse.agent.engine import EngineOrder
from lacewingcourse.agent.host import Host
from lacewingcourse.backing.leases import read_leases
from lacewingcourse.backing.log import LogClient
from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.fencing import OrderFence
from lacewingcourse.core.leases import LeaseTable
from lacewingcourse.core.messages import Order, OrderAction, OrderReply

if TYPE_CHECKING:
    from lacewingcourse.agent.stage_runner import StageRunner
    from lacewingcourse.core.messages import Status

#: Seconds between two tries to learn the fencing numbers from the log.
LEARN_INTERVAL = 0.5
#: Seconds between two looks whether streams have ended or weights are loaded.
WAIT_INTERVAL = 0.05
#: Orders before which the endpoint finishes its streams.
DRAINED_ACTIONS = frozenset({OrderAction.LOAD, OrderAction.UNLOAD})


class OrderHost(Host, Protocol):
    """What orders need of the agent.

    Attributes:
        stages: Runs stages of a model; None beside a plain service.
    """

    stages: StageRunner | None

    def status(self) -> Status:
        """Return the state of the agent and its endpoint."""

    def set_draining(self) -> None:
        """Let the gate refuse new streams while leaving or before an order."""

    async def probe(self) -> None:
        """Look whether the endpoint answers."""


class OrderDesk:
    """Takes orders for the engine beside the agent.

    Attributes:
        agent: The agent's daemon.
        fence: Refuses old fencing numbers.
        current: The order that is being carried out, or None.
        passed: Whether the current order was given to the engine.
        last_order: Name of the order that ended last.
        last_error: Why it failed, or empty.
        last_retry_after: Seconds after which to order it again, or None.
    """

    def __init__(self, agent: OrderHost) -> None:
        self.agent = agent
        self.fence = OrderFence()
        self.current: Order | None = None
        self.passed = False
        self.last_order = ""
        self.last_error = ""
        self.last_retry_after: float | None = None

    @property
    def draining(self) -> bool:
        """Whether the endpoint takes no new work because of an order."""
        return self.current is not None and self.current.action in DRAINED_ACTIONS

    async def learn(self) -> None:
        """Learn the numbers in force from the log, however long that takes."""
        log = LogClient(self.agent.settings.log_url)
        table = LeaseTable()
        while True:
            page = await read_leases(log, table, self.agent.now)
            if isinstance(page, Refusal):
                await asyncio.sleep(LEARN_INTERVAL)
            elif page.at_end:
                break
        duties = list(table.duties)
        self.fence.learn({duty: table.highest_number(duty) for duty in duties})
        logger.info("fencing numbers learned", numbers=self.fence.numbers)

    def take(self, order: Order) -> OrderReply:
        """Take an order, or refuse it."""
        refused = self.fence.check(order.duty, order.number)
        if refused is None and order.action is not OrderAction.INSPECT:
            refused = self._refusal_of(order)
            if refused is None and not self._is_known(order):
                self._begin(order)
        return self._reply(refused)

    def _reply(self, refused: Refusal | None) -> OrderReply:
        """Return the reply to an order."""
        return OrderReply(
            accepted=refused is None,
            status=self.agent.status(),
            kind=refused.kind if refused else None,
            reason=refused.reason if refused else "",
            retry_after=refused.retry_after if refused else None,
            ordered=self.current.order_id if self.current else "",
            last_order=self.last_order,
            last_error=self.last_error,
            last_retry_after=self.last_retry_after,
        )

    def _is_known(self, order: Order) -> bool:
        """Tell whether an order is a repeated one."""
        if self.current is not None and self.current.order_id == order.order_id:
            return True
        return self.last_order == order.order_id and not self.last_error

    def _refusal_of(self, order: Order) -> Refusal | None:
        """Refuse what is meant for another start, or comes during another order."""
        if order.incarnation != self.agent.incarnation:
            reason = "meant for another incarnation"
            return Refusal(ErrorKind.STALE_INCARNATION, reason)
        if self.agent.stages is None:
            return Refusal(ErrorKind.INVALID_FIELD, "no engine runs here")
        if self.agent.leaving:
            return Refusal(ErrorKind.DRAINING, "the endpoint is leaving")
        if self.current is None or self._is_known(order):
            return None
        if self.passed or order.number == self.current.number:
            return Refusal(ErrorKind.OVERLOADED, "another order is being carried out")
        return None

    def _begin(self, order: Order) -> None:
        """Start to carry out an order; one that has not been passed on gives way."""
        self.current = order
        self.passed = False
        logger.info("order taken", order=order.order_id, action=order.action.value)
        self.agent.set_draining()
        self.agent.spawn(self._carry_out(order))

    async def _carry_out(self, order: Order) -> None:
        """Wait for the streams' end, then pass the order to the engine."""
        stages = self.agent.stages
        while self.draining and stages.gate.stages and self.current is order:
            await asyncio.sleep(WAIT_INTERVAL)
        if self.current is not order:
            return
        refused = self.fence.check(order.duty, order.number)
        if refused is None:
            self.passed = True
            refused = await self._pass_on(order)
        self.current = None
        self.last_order = order.order_id
        self.last_error = refused.reason if refused else ""
        self.last_retry_after = refused.retry_after if refused else None
        await self.agent.probe()
        self.agent.set_draining()
        logger.info("order ended", order=order.order_id, error=self.last_error)

    async def _pass_on(self, order: Order) -> Refusal | None:
        """Give an order to the engine and wait until it is done."""
        stages = self.agent.stages
        message = EngineOrder(
            number=order.number,
            order_id=order.order_id,
            action=order.action.value,
            model=order.model,
            version=order.version,
            layers=order.layers,
            adapter=order.adapter,
            role=order.role,
        )
        reply = await stages.engine.order(message)
        if isinstance(reply, Refusal):
            return reply
        while True:
            await stages.probe()
            state = stages.work.state
            if state is None:
                return Refusal(ErrorKind.ENDPOINT_FAILED, "the engine is gone")
            if not state.loading:
                return None
            await asyncio.sleep(WAIT_INTERVAL)
