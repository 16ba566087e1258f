"""Drives one streamed answer: performs the effects of its state machine."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

import attrs
from loguru import logger

from lacewingcourse.core.effects import (
    AskReport,
    ChooseRoute,
    DeliverToken,
    FailAnswer,
    FinishAnswer,
    SendCredit,
    SendOpen,
    SendRevoke,
    SendStart,
)
from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.core.messages import (
    OpenReply,
    RevokeReply,
    StageReport,
    Token,
    TokenBatchReply,
)
from lacewingcourse.core.route_search import RouteSearch
from lacewingcourse.core.stream_request import Phase
from lacewingcourse.core.streams import StreamState
from lacewingcourse.entry.host import Host
from lacewingcourse.wire import paths

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable

    from lacewingcourse.core.burn_ends import AnswerMeter
    from lacewingcourse.core.effects import AnswerEffect
    from lacewingcourse.core.errors import ErrorKind as Kind
    from lacewingcourse.core.messages import StageAddress, Trouble
    from lacewingcourse.core.routes import Route
    from lacewingcourse.core.stream_request import StreamRequest
    from lacewingcourse.entry.admission import AdmissionControl
    from lacewingcourse.entry.directory import Directory
    from lacewingcourse.entry.dispatcher import Dispatcher
    from lacewingcourse.entry.metrics import EntryMetrics
    from lacewingcourse.entry.poison_guard import PoisonGuard

Event = Token | FinishAnswer | FailAnswer

#: Refusals after which an endpoint is asked for its state before it is used again.
REPLACED_KINDS = frozenset({ErrorKind.STALE_INCARNATION, ErrorKind.NOT_READY})
#: Seconds in which a stage's agent must say how far it has come.
REPORT_TIMEOUT = 1.0
#: Seconds before a revocation is repeated the first time; doubled with each repeat.
REVOKE_DELAY = 0.2
#: Tokens that a suspect makes before it counts as past the place of its crash.
CLEARING_TOKENS = 2
#: Times that a revocation is sent; later its agent asks whether the stream lives.
REVOKE_TRIES = 7


class AnswerHost(Host, Protocol):
    """What a streamed answer needs of the entry.

    Attributes:
        metrics: Counters of the process.
        admission: Lets requests start, wait or be refused.
        directory: What is known of the endpoints.
        dispatcher: Chooses routes and counts what runs on them.
        poison: Knows the requests that crash their endpoints.
    """

    metrics: EntryMetrics
    admission: AdmissionControl
    directory: Directory
    dispatcher: Dispatcher
    poison: PoisonGuard

    def choose_route(
        self,
        request: StreamRequest,
        excluded: frozenset[str],
        stages: tuple[StageAddress, ...] = (),
    ) -> Route | Refusal:
        """Return a route for a request and count it as dispatched."""

    def free(self, driver: AnswerDriver) -> None:
        """Give free what a streamed answer that has ended occupied."""


class AnswerDriver:
    """One streamed answer.

    Attributes:
        entry: The entry's daemon.
        state: The state machine.
        events: What the caller has not yet been given.
        consumed: Tokens that the caller was given.
        meter: Measures the answer, or None.
        cleared_at: Tokens with which a suspect counts as innocent, or None.
    """

    def __init__(self, entry: AnswerHost, request: StreamRequest) -> None:
        self.entry = entry
        self.state = StreamState(
            request,
            search=RouteSearch(entry.settings.route_patience),
        )
        self.events: asyncio.Queue[Event] = asyncio.Queue()
        self.consumed = 0
        self.meter: AnswerMeter | None = None
        self.cleared_at: int | None = None

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

    def perform(self, effects: Iterable[AnswerEffect]) -> None:
        """Carry out effects of the state machine."""
        for effect in effects:
            match effect:
                case ChooseRoute():
                    self._choose(effect)
                case AskReport():
                    self.entry.spawn(self._ask(effect))
                case SendOpen():
                    self.entry.spawn(self._open(effect))
                case SendRevoke():
                    self.entry.spawn(self._revoke(effect))
                case SendStart():
                    self.entry.spawn(self._start(effect))
                case SendCredit():
                    self.entry.spawn(self._credit(effect))
                case DeliverToken():
                    self.entry.admission.on_token(self.stream)
                    self._measure()
                    self._clear_suspect()
                    self.events.put_nowait(effect.token)
                case FinishAnswer() | FailAnswer():
                    self.entry.free(self)
                    self.events.put_nowait(effect)

    def _measure(self) -> None:
        """Note the delivery of a token in the answer's meter."""
        if self.meter is not None:
            self.meter.on_token(self.entry.now())

    def _note_suspect(self) -> None:
        """Let the next attempt run alone if its request is a suspect."""
        state = self.state
        state.solo = self.entry.poison.suspects(state.request)
        made = len(state.delivered)
        self.cleared_at = made + CLEARING_TOKENS if state.solo else None

    def _clear_suspect(self) -> None:
        """Clear a suspect that has run alone past the place of its crash."""
        state = self.state
        made = len(state.delivered)
        if self.cleared_at is None:
            return
        if made < self.cleared_at and state.phase is not Phase.ENDED:
            return
        self.cleared_at = None
        self.entry.poison.clear(self.entry.poison.fingerprint(state.request))

    def _choose(self, effect: ChooseRoute) -> None:
        """Begin an attempt, now or after the delay that was asked for."""
        if effect.delay > 0:
            self.entry.spawn(self._choose_later(effect))
            return
        self._note_suspect()
        route = self.entry.choose_route(
            self.state.request, effect.excluded, effect.stages
        )
        self.perform(self.state.begin(route, self.entry.now()))
        if self.state.phase is Phase.OPENING:
            self._count_attempt()

    def _count_attempt(self) -> None:
        """Count the attempt that has begun."""
        delivered = len(self.state.delivered)
        self.entry.metrics.on_attempt(self.state.attempt, delivered)
        if delivered and self.meter is not None:
            self.meter.on_lost(self.entry.now())

    async def _choose_later(self, effect: ChooseRoute) -> None:
        await asyncio.sleep(effect.delay)
        self._choose(attrs.evolve(effect, delay=0.0))

    async def _ask(self, effect: AskReport) -> None:
        """Ask a stage how far it has come."""
        message = effect.message
        report = await self.entry.peers.send(
            effect.target.agent_url, paths.REPORT, message, StageReport, REPORT_TIMEOUT
        )
        if isinstance(report, Refusal):
            report = None
        self.perform(
            self.state.on_report(
                message.attempt, effect.index, report, self.entry.now()
            )
        )

    async def _open(self, effect: SendOpen) -> None:
        reply = await self._send(
            effect.target.agent_url, paths.OPEN_STAGE, effect.message, OpenReply
        )
        reached = True
        if isinstance(reply, Refusal):
            reached = reply.outcome is not Outcome.NOT_RUN
            self.entry.directory.mark_lost(effect.target.endpoint)
            reply = OpenReply(False, "", ErrorKind.STAGE_LOST, reply.reason)
        else:
            self._take_reply(effect.target, reply)
        message = effect.message
        self.perform(
            self.state.on_open_reply(
                message.attempt, message.index, reply, self.entry.now(), reached
            )
        )

    async def _start(self, effect: SendStart) -> None:
        """Start a stage of a resumed attempt."""
        message = effect.message
        reply = await self._send(
            effect.target.agent_url, paths.START_STAGE, message, OpenReply
        )
        if isinstance(reply, Refusal):
            reply = OpenReply(False, "", ErrorKind.STAGE_LOST, reply.reason)
        self.perform(
            self.state.on_start_reply(
                message.attempt, effect.index, reply, self.entry.now()
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
        """Revoke an attempt; repeat it in the background to release the stage."""
        delay = REVOKE_DELAY
        for _ in range(REVOKE_TRIES):
            reply = await self._send(
                effect.target.agent_url, paths.REVOKE, effect.message, RevokeReply
            )
            lost = isinstance(reply, Refusal)
            answer = None if lost else reply
            now = self.entry.now()
            self.perform(self.state.on_revoke_reply(effect.target, answer, now))
            if not lost:
                return
            await asyncio.sleep(delay)
            delay *= 2

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

    def on_stage_trouble(self, trouble: Trouble) -> None:
        """Take an agent's word; end the answer if its request is poison."""
        state = self.state
        refusal = self.entry.poison.judge(state.request, trouble)
        if refusal is None or trouble.attempt != state.attempt:
            self.on_trouble(
                trouble.attempt, trouble.endpoint, trouble.kind, trouble.reason
            )
            return
        if state.phase in (Phase.OPENING, Phase.RUNNING):
            state.cancellation.any_started = True
            self.perform(state.give_up(refusal, self.entry.now()))

    def on_trouble(self, attempt: int, endpoint: str, kind: Kind, reason: str) -> None:
        """Take an agent's word that an attempt cannot go on."""
        if attempt == self.state.attempt:
            logger.info(
                "attempt lost", stream=self.stream, endpoint=endpoint, reason=reason
            )
        self.perform(self.state.on_trouble(attempt, endpoint, kind, self.entry.now()))

    def check_progress(self, now: float) -> None:
        """Leave a stage that is known to be lost; look into a silent stream."""
        if self.state.phase not in (Phase.OPENING, Phase.RUNNING):
            return
        for stage in self.state.stages:
            known = self.entry.directory.endpoints.get(stage.endpoint)
            if known is None:
                continue
            if not known.ready or known.incarnation != stage.incarnation:
                self.on_trouble(
                    self.state.attempt,
                    stage.endpoint,
                    ErrorKind.STAGE_LOST,
                    "its agent or endpoint does not answer",
                )
                return
        self.perform(self.state.check(now))

    def end(self, refusal: Refusal) -> None:
        """End the answer with an error because the entry has to end."""
        if self.state.phase in (Phase.ENDED, Phase.REVOKING):
            return
        self.perform(self.state.give_up(refusal, self.entry.now()))

    def abandon(self) -> None:
        """Release all stages after the caller went away."""
        if self.state.phase is Phase.ENDED:
            return
        refusal = Refusal(ErrorKind.CALLER_GONE, "", Outcome.UNKNOWN)
        self.perform(self.state.give_up(refusal, self.entry.now()))
