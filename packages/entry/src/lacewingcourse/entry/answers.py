"""Drives one streamed answer: performs the effects of its state machine."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from lacewingcourse.core.effects import (
    ChooseRoute,
    DeliverToken,
    FailAnswer,
    FinishAnswer,
    SendCredit,
    SendOpen,
    SendRevoke,
)
from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.core.messages import (
    OpenReply,
    RevokeReply,
    Token,
    TokenBatchReply,
)
from lacewingcourse.core.streams import Phase, StreamState
from lacewingcourse.wire import paths

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable

    from lacewingcourse.core.burn_ends import AnswerMeter
    from lacewingcourse.core.errors import ErrorKind as Kind
    from lacewingcourse.core.messages import StageAddress
    from lacewingcourse.core.streams import Effect, StreamRequest
    from lacewingcourse.entry.application import Entry

Event = Token | FinishAnswer | FailAnswer

#: Refusals after which an endpoint is asked for its state before it is used again.
REPLACED_KINDS = frozenset({ErrorKind.STALE_INCARNATION, ErrorKind.NOT_READY})


class AnswerDriver:
    """One streamed answer.

    Attributes:
        entry: The entry's daemon.
        state: The state machine.
        events: What the caller has not yet been given.
        consumed: Tokens that the caller was given.
        meter: Measures the answer, or None.
    """

    def __init__(self, entry: Entry, request: StreamRequest) -> None:
        self.entry = entry
        self.state = StreamState(request, progress_at=entry.now())
        self.events: asyncio.Queue[Event] = asyncio.Queue()
        self.consumed = 0
        self.meter: AnswerMeter | None = None

    @property
    def stream(self) -> str:
        """Name of the stream."""
        return self.state.request.stream

    def start(self) -> None:
        """Choose the first route."""
        self.perform([ChooseRoute(frozenset())])

    async def read(self) -> AsyncIterator[Event]:
        """Yield tokens and, last, the end of the answer."""
        while True:
            event = await self.events.get()
            yield event
            if not isinstance(event, Token):
                return
            self.consumed += 1
            self.perform(self.state.on_consumed(self.consumed, self.entry.now()))

    def perform(self, effects: Iterable[Effect]) -> None:
        """Carry out effects of the state machine."""
        for effect in effects:
            match effect:
                case ChooseRoute():
                    self._choose(effect.excluded)
                case SendOpen():
                    self.entry.spawn(self._open(effect))
                case SendRevoke():
                    self.entry.spawn(self._revoke(effect))
                case SendCredit():
                    self.entry.spawn(self._credit(effect))
                case DeliverToken():
                    self.entry.admission.on_token(self.stream)
                    self._measure()
                    self.events.put_nowait(effect.token)
                case FinishAnswer() | FailAnswer():
                    self.entry.free(self)
                    self.events.put_nowait(effect)

    def _measure(self) -> None:
        """Note the delivery of a token in the answer's meter."""
        if self.meter is not None:
            self.meter.on_token(self.entry.now())

    def _choose(self, excluded: frozenset[str]) -> None:
        route = self.entry.choose_route(self.state.request, excluded)
        self.perform(self.state.begin(route, self.entry.now()))
        if not isinstance(route, Refusal):
            self._count_attempt()

    def _count_attempt(self) -> None:
        """Count the attempt that has begun."""
        delivered = len(self.state.delivered)
        self.entry.metrics.on_attempt(self.state.attempt, delivered)
        if delivered and self.meter is not None:
            self.meter.on_lost(self.entry.now())

    async def _open(self, effect: SendOpen) -> None:
        reply = await self._send(
            effect.target.agent_url, paths.OPEN_STAGE, effect.message, OpenReply
        )
        if isinstance(reply, Refusal):
            self.entry.directory.mark_lost(effect.target.endpoint)
            reply = OpenReply(False, "", ErrorKind.STAGE_LOST, reply.reason)
        else:
            self._take_reply(effect.target, reply)
        message = effect.message
        self.perform(
            self.state.on_open_reply(
                message.attempt, message.index, reply, self.entry.now()
            )
        )

    def _take_reply(self, target: StageAddress, reply: OpenReply) -> None:
        """Take what an agent's reply says of the agent itself."""
        self.entry.dispatcher.on_open_reply(self.stream, target.endpoint, reply)
        if reply.status is not None:
            self.entry.directory.take_status(reply.status)
        if reply.kind in REPLACED_KINDS:
            self.entry.directory.mark_lost(target.endpoint, target.incarnation)

    async def _revoke(self, effect: SendRevoke) -> None:
        reply = await self._send(
            effect.target.agent_url, paths.REVOKE, effect.message, RevokeReply
        )
        if isinstance(reply, Refusal):
            reply = None
        self.perform(self.state.on_revoke_reply(effect.target, reply, self.entry.now()))

    async def _credit(self, effect: SendCredit) -> None:
        await self._send(
            effect.target.agent_url, paths.CREDIT, effect.message, TokenBatchReply
        )

    async def _send(self, url: str, path: str, message, kind):
        timeout = self.entry.settings.message_timeout
        return await self.entry.peers.send(url, path, message, kind, timeout)

    def on_token(self, token: Token) -> None:
        """Take a token from an agent."""
        self.perform(self.state.on_token(token, self.entry.now()))

    def on_trouble(self, attempt: int, endpoint: str, kind: Kind, reason: str) -> None:
        """Take an agent's word that an attempt cannot go on."""
        if attempt == self.state.attempt:
            logger.info(
                "attempt lost", stream=self.stream, endpoint=endpoint, reason=reason
            )
        self.perform(self.state.on_trouble(attempt, endpoint, kind, self.entry.now()))

    def check_progress(self, now: float) -> None:
        """Take the attempt for lost if it stands still while the caller reads."""
        if self.state.phase not in (Phase.OPENING, Phase.RUNNING):
            return
        if self.consumed < len(self.state.delivered):
            return
        if now - self.state.progress_at < self.entry.settings.stall_timeout:
            return
        suspect = self._suspect()
        self.on_trouble(
            self.state.attempt, suspect, ErrorKind.STAGE_LOST, "no progress"
        )

    def _suspect(self) -> str:
        """Return the stage that most likely stands still."""
        for stage in self.state.stages:
            known = self.entry.directory.endpoints.get(stage.endpoint)
            if known is None or not known.ready:
                return stage.endpoint
        return self.state.stages[0].endpoint

    def abandon(self) -> None:
        """Release all stages after the caller went away."""
        if self.state.phase is Phase.ENDED:
            return
        refusal = Refusal(ErrorKind.CALLER_GONE, "", Outcome.UNKNOWN)
        self.perform(self.state.give_up(refusal, self.entry.now()))
