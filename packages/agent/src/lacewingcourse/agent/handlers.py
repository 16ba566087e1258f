"""The agent's request handlers."""

from __future__ import annotations

import attrs

from lacewingcourse.core.messages import (
    Call,
    Credit,
    HopBatch,
    HopBatchReply,
    OpenReply,
    OpenStage,
    Order,
    Revoke,
    RevokeReply,
    Status,
    StatusRequest,
    TokenBatchReply,
)
from lacewingcourse.daemon.handlers import WireHandler
from lacewingcourse.wire import paths


class OpenStageHandler(WireHandler):
    """Takes part in an attempt, or refuses."""

    def post(self) -> None:
        message = self.message(OpenStage)
        if message is None:
            return
        kind = self.daemon.stages.refusal_of(message)
        if kind is not None:
            self.reply(OpenReply(False, self.daemon.incarnation, kind, "no capacity"))
            return
        reply, effects = self.daemon.stages.gate.open(message, self.daemon.now())
        self.daemon.stages.perform(effects)
        load = self.daemon.stages.load()
        status = self.daemon.watchers.status_due(message.entry_url)
        self.reply(attrs.evolve(reply, load=load, status=status))


class HopsHandler(WireHandler):
    """Receives hops of other agents."""

    def post(self) -> None:
        batch = self.message(HopBatch)
        if batch is None:
            return
        daemon = self.daemon
        if batch.receiver_incarnation != daemon.incarnation:
            self.reply(HopBatchReply(daemon.incarnation, False))
            return
        verdicts = []
        for hop in batch.hops:
            verdict, effects = daemon.stages.gate.receive(hop, daemon.now())
            verdicts.append(verdict)
            daemon.stages.perform(effects)
        self.reply(HopBatchReply(daemon.incarnation, True, tuple(verdicts)))


class RevokeHandler(WireHandler):
    """Revokes attempts."""

    def post(self) -> None:
        message = self.message(Revoke)
        if message is None:
            return
        daemon = self.daemon
        if message.incarnation != daemon.incarnation:
            self.reply(RevokeReply(daemon.incarnation, False, False))
            return
        reply, effects = daemon.stages.gate.revoke(
            message.stream, message.attempt, daemon.now()
        )
        daemon.stages.perform(effects)
        self.reply(reply)


class CreditHandler(WireHandler):
    """Takes credit for a stream."""

    def post(self) -> None:
        credit = self.message(Credit)
        if credit is None:
            return
        self.daemon.stages.take_credit(credit)
        self.reply(TokenBatchReply())


class StatusHandler(WireHandler):
    """Tells the state of the agent and its endpoint."""

    def post(self) -> None:
        request = self.message(StatusRequest)
        if request is None:
            return
        status: Status = self.daemon.status()
        self.daemon.watchers.note(request.entry_url, self.daemon.now())
        self.reply(status)


class OrderHandler(WireHandler):
    """Takes orders for the endpoint."""

    def post(self) -> None:
        order = self.message(Order)
        if order is None:
            return
        self.reply(self.daemon.orders.take(order))


class CallHandler(WireHandler):
    """Runs a call of the plain service."""

    async def post(self) -> None:
        call = self.message(Call)
        if call is None:
            return
        self.reply(await self.daemon.calls.run(call))


AGENT_ROUTES = [
    (paths.OPEN_STAGE, OpenStageHandler),
    (paths.HOPS, HopsHandler),
    (paths.REVOKE, RevokeHandler),
    (paths.CREDIT, CreditHandler),
    (paths.STATUS, StatusHandler),
    (paths.ORDER, OrderHandler),
    (paths.CALL, CallHandler),
]
