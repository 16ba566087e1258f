"""The agent's request handlers."""

from __future__ import annotations

import attrs

from lacewingcourse.core.claim_records import Permission, Verdict
from lacewingcourse.core.errors import ErrorKind, Outcome
from lacewingcourse.core.messages import (
    Call,
    Claim,
    ClaimReply,
    Credit,
    HopBatch,
    HopBatchReply,
    OpenReply,
    OpenStage,
    Order,
    ReportRequest,
    Revoke,
    RevokeCall,
    RevokeReply,
    Settle,
    SettleReply,
    StartStage,
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
        daemon = self.daemon
        daemon.stages.note_entry(message.entry_url)
        if not daemon.endpoint_ready():
            kind, reason = ErrorKind.ENDPOINT_FAILED, "the engine does not answer"
            self.reply(OpenReply(False, daemon.incarnation, kind, reason))
            return
        kind = daemon.stages.refusal_of(message)
        if kind is not None:
            self.reply(OpenReply(False, daemon.incarnation, kind, "no capacity"))
            return
        reply, effects = daemon.stages.gate.open(message, daemon.now())
        daemon.metrics.on_open(reply)
        daemon.stages.perform(effects)
        load = daemon.stages.load()
        status = daemon.watchers.status_due(message.entry_url)
        self.reply(attrs.evolve(reply, load=load, status=status))


class StartStageHandler(WireHandler):
    """Starts a stage of a resumed attempt."""

    def post(self) -> None:
        message = self.message(StartStage)
        if message is None:
            return
        daemon = self.daemon
        if message.incarnation != daemon.incarnation:
            kind, reason = ErrorKind.STALE_INCARNATION, "meant for another incarnation"
            self.reply(OpenReply(False, daemon.incarnation, kind, reason))
            return
        reply, effects = daemon.stages.gate.start(message, daemon.now())
        daemon.stages.perform(effects)
        self.reply(reply)


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
            daemon.metrics.on_hop(verdict)
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
        daemon.metrics.revocations.inc()
        self.reply(reply)


class CreditHandler(WireHandler):
    """Takes credit for a stream."""

    def post(self) -> None:
        credit = self.message(Credit)
        if credit is None:
            return
        self.daemon.stages.take_credit(credit)
        self.reply(TokenBatchReply())


class ReportHandler(WireHandler):
    """Tells how far a stage has come."""

    def post(self) -> None:
        request = self.message(ReportRequest)
        if request is not None:
            self.reply(self.daemon.stages.report(request))


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
        reply = await self.daemon.calls.run(call)
        self.daemon.metrics.on_call(reply)
        self.reply(reply)


class RevokeCallHandler(WireHandler):
    """Revokes a call of the plain service."""

    def post(self) -> None:
        message = self.message(RevokeCall)
        if message is not None:
            self.reply(self.daemon.calls.revoke(message))


class ClaimHandler(WireHandler):
    """Claims a key for a request that an entry runs."""

    async def post(self) -> None:
        claim = self.message(Claim)
        if claim is None:
            return
        if self.daemon.journal is None:
            kind = ErrorKind.CLAIM_UNAVAILABLE
            reason = "the endpoint has not answered yet"
            self.reply(ClaimReply(self.daemon.incarnation, kind=kind, reason=reason))
            return
        verdict = await self.daemon.journal.claim(claim, leased=True)
        self.reply(claim_reply(verdict, self.daemon.incarnation))


class SettleHandler(WireHandler):
    """Takes an entry's word on how a granted claim ended."""

    def post(self) -> None:
        message = self.message(Settle)
        if message is None:
            return
        journal = self.daemon.journal
        known = journal is not None and journal.take_settle(message)
        self.reply(SettleReply(self.daemon.incarnation, known))


def claim_reply(verdict: Verdict, incarnation: str) -> ClaimReply:
    """Return the message that tells an entry of a verdict."""
    if verdict.permission is Permission.GRANTED:
        return ClaimReply(incarnation, granted=True)
    if verdict.permission is Permission.REPLAYED:
        return ClaimReply(incarnation, answer=verdict.answer, outcome=Outcome.RAN)
    refusal = verdict.refusal
    return ClaimReply(
        incarnation, kind=refusal.kind, reason=refusal.reason, outcome=refusal.outcome
    )


AGENT_ROUTES = [
    (paths.OPEN_STAGE, OpenStageHandler),
    (paths.START_STAGE, StartStageHandler),
    (paths.HOPS, HopsHandler),
    (paths.REVOKE, RevokeHandler),
    (paths.CREDIT, CreditHandler),
    (paths.REPORT, ReportHandler),
    (paths.STATUS, StatusHandler),
    (paths.ORDER, OrderHandler),
    (paths.CALL, CallHandler),
    (paths.REVOKE_CALL, RevokeCallHandler),
    (paths.CLAIM, ClaimHandler),
    (paths.SETTLE, SettleHandler),
]
