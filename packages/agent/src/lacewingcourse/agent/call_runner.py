"""Runs calls of the plain service beside the agent, each at most once."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

import attrs

from lacewingcourse.agent.host import Host
from lacewingcourse.agent.service import ServiceClient
from lacewingcourse.core.calls import CallGate
from lacewingcourse.core.claim_records import Permission
from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.core.messages import CallReply, RevokeReply
from lacewingcourse.wire.codec import decode, encode

if TYPE_CHECKING:
    from lacewingcourse.agent.journal import Journal
    from lacewingcourse.core.messages import Call, RevokeCall


class CallHost(Host, Protocol):
    """What calls need of the agent.

    Attributes:
        journal: Keys whose home this is; None until the endpoint is known.
    """

    journal: Journal | None


class CallRunner:
    """Runs calls of a plain service, or refuses them.

    Attributes:
        agent: The agent's daemon.
        service: Client of the service.
        gate: Which calls have started and which must not.
        ready: Whether the service answers.
        running: Calls in flight.
        replies: Replies of the calls in flight, by call.
    """

    def __init__(self, agent: CallHost) -> None:
        self.agent = agent
        settings = agent.settings
        self.service = ServiceClient(settings.endpoint_url, settings.endpoint_timeout)
        self.gate = CallGate()
        self.ready = False
        self.running = 0
        self.replies: dict[str, asyncio.Task[CallReply]] = {}

    async def probe(self) -> None:
        """Look whether the service answers."""
        self.ready = await self.service.answers()
        self.gate.forget(self.agent.now())

    async def run(self, call: Call) -> CallReply:
        """Run a call of the plain service, or refuse it.

        The call goes on when its sender goes away. A copy gets the same reply.
        """
        if call.incarnation != self.agent.incarnation:
            kind = ErrorKind.STALE_INCARNATION
            return self._refused(Refusal(kind, "meant for another incarnation"))
        task = self.replies.get(call.call)
        if task is None:
            task = self.agent.spawn(self._run(call))
            self.replies[call.call] = task
            task.add_done_callback(lambda _: self.replies.pop(call.call, None))
        return await asyncio.shield(task)

    async def _run(self, call: Call) -> CallReply:
        self.running += 1
        try:
            reply = await self._claim_and_run(call)
        finally:
            self.running -= 1
        if reply.kind is not None and reply.outcome is Outcome.NOT_RUN:
            self.gate.revoke(call.call, self.agent.now())
        return reply

    async def _claim_and_run(self, call: Call) -> CallReply:
        refusal = self._refusal_of(call)
        if refusal is not None:
            return self._refused(refusal)
        if call.claim is None:
            return await self._start(call)
        journal = self.agent.journal
        verdict = await journal.claim(call.claim)
        if verdict.permission is Permission.REPLAYED:
            return self._replayed(verdict.answer)
        if verdict.permission is Permission.REFUSED:
            return self._refused(verdict.refusal)
        outcome, answer = Outcome.UNKNOWN, None
        try:
            reply = await self._start(call)
            outcome, answer = settlement_of(reply)
        finally:
            journal.settle(verdict.scope, call.call, outcome, answer)
        return reply

    async def _start(self, call: Call) -> CallReply:
        """Run a call that may start, unless it was revoked meanwhile."""
        if not self.gate.start(call.call, self.agent.now()):
            return self._refused(Refusal(ErrorKind.STALE_ATTEMPT, "revoked"))
        reply = await self.service.run(call, self.agent.incarnation)
        if reply.kind is not None and reply.outcome is Outcome.NOT_RUN:
            self.gate.unstart(call.call)
        return reply

    def revoke(self, message: RevokeCall) -> RevokeReply:
        """Never start a call; tell whether it has started."""
        incarnation = self.agent.incarnation
        if message.incarnation != incarnation:
            return RevokeReply(incarnation, False, False)
        started = self.gate.revoke(message.call, self.agent.now())
        return RevokeReply(incarnation, True, started)

    def _refusal_of(self, call: Call) -> Refusal | None:
        """Return why a call cannot run here, or None."""
        if self.agent.leaving:
            return Refusal(ErrorKind.DRAINING, "the endpoint is leaving")
        if call.service != self.agent.settings.service:
            kind = ErrorKind.UNKNOWN_SERVICE
            return Refusal(kind, "the service does not run here")
        return None

    def _refused(self, refusal: Refusal) -> CallReply:
        return CallReply(
            self.agent.incarnation,
            kind=refusal.kind,
            reason=refusal.reason,
            outcome=refusal.outcome,
        )

    def _replayed(self, answer: str) -> CallReply:
        """Return the stored reply of a key."""
        reply = decode(answer.encode(), CallReply)
        return attrs.evolve(reply, replayed=True, incarnation=self.agent.incarnation)


def settlement_of(reply: CallReply) -> tuple[Outcome, str | None]:
    """Return how a call ended and the answer to keep."""
    if reply.kind is None:
        return Outcome.RAN, encode(reply).decode()
    return reply.outcome, None
