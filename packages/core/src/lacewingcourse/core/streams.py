"""The entry's side of one streamed answer: attempts, resume, delivery."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import attrs

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
    Credit,
    OpenReply,
    OpenStage,
    Prompt,
    Revoke,
    Sampling,
    StageAddress,
    Token,
)

if TYPE_CHECKING:
    from lacewingcourse.core.messages import RevokeReply
    from lacewingcourse.core.routes import Route

Effect = (
    ChooseRoute
    | DeliverToken
    | FailAnswer
    | FinishAnswer
    | SendCredit
    | SendOpen
    | SendRevoke
)

#: Tokens that the last stage may be ahead of the caller.
CREDIT_WINDOW = 64
#: Attempts after which a stream is given up.
MAX_ATTEMPTS = 8


class Phase(Enum):
    """Where a stream stands."""

    CHOOSING = "choosing"
    OPENING = "opening"
    RUNNING = "running"
    REVOKING = "revoking"
    ENDED = "ended"


@attrs.frozen
class StreamRequest:
    """What a caller asked for.

    Attributes:
        stream: Name of the stream, unique for all time.
        organisation: Whose request it is.
        work_class: Class of work.
        model: Name of the model.
        prompt: The caller's prompt.
        sampling: How tokens are chosen.
        priority: Lower runs sooner.
        entry_url: Where agents reach this entry.
        pace: Seconds between tokens that the class asks for, 0.0 for none.
    """

    stream: str
    organisation: str
    work_class: str
    model: str
    prompt: str
    sampling: Sampling
    priority: float
    entry_url: str
    pace: float = 0.0


@attrs.define
class StreamState:
    """One streamed answer.

    Attributes:
        request: What the caller asked for.
        phase: Where the stream stands.
        attempt: Number of the newest attempt, 0 before the first.
        stages: Stages of the newest attempt.
        opened: Indices of its stages that have accepted.
        delivered: Token numbers that the caller has, in order.
        texts: Texts of the delivered tokens.
        early: Tokens that came before their turn, by index.
        prompt_length: Tokens of the prompt, 0 while not known.
        consumed: Tokens that the caller has read.
        credit: Token limit that was last given out.
        excluded: Endpoints that the next attempt avoids.
        sent_to: Every stage that an opening message was sent to.
        unrevoked: Stages whose revocation is not yet acknowledged.
        any_started: Whether work is known to have started.
        failure: The refusal that the caller gets after the revocations.
        progress_at: When the stream last went ahead, seconds.
        version: Version of the weights of the newest attempt.
    """

    request: StreamRequest
    phase: Phase = Phase.CHOOSING
    attempt: int = 0
    stages: tuple[StageAddress, ...] = ()
    opened: set[int] = attrs.field(factory=set)
    delivered: list[int] = attrs.field(factory=list)
    texts: list[str] = attrs.field(factory=list)
    early: dict[int, Token] = attrs.field(factory=dict)
    prompt_length: int = 0
    consumed: int = 0
    credit: int = 0
    excluded: set[str] = attrs.field(factory=set)
    sent_to: list[StageAddress] = attrs.field(factory=list)
    unrevoked: list[StageAddress] = attrs.field(factory=list)
    any_started: bool = False
    failure: Refusal | None = None
    progress_at: float = 0.0
    version: str = ""

    def begin(self, route: Route | Refusal, now: float) -> list[Effect]:
        """Open the stages of a new attempt, last stage first.

        The first stage is opened after all others have accepted, with the prompt,
        so that no work starts before the whole route is ready.
        """
        if isinstance(route, Refusal):
            return self.give_up(route, now)
        self.attempt += 1
        self.version = route.version
        self.stages = tuple(
            StageAddress(
                stage.endpoint, stage.agent_url, stage.incarnation, stage.layers
            )
            for stage in route.stages
        )
        self.opened = set()
        self.early = {}
        self.phase = Phase.OPENING
        self.progress_at = now
        self.credit = max(self.credit, self.consumed + CREDIT_WINDOW)
        if len(self.stages) == 1:
            return [self._open(0)]
        return [self._open(index) for index in range(1, len(self.stages))]

    def _open(self, index: int) -> SendOpen:
        """Return the effect that opens one stage."""
        target = self.stages[index]
        self.sent_to.append(target)
        request = self.request
        prompt = None
        if index == 0:
            prompt = Prompt(request.prompt, tuple(self.delivered))
        message = OpenStage(
            stream=request.stream,
            attempt=self.attempt,
            index=index,
            stages=self.stages,
            entry_url=request.entry_url,
            organisation=request.organisation,
            work_class=request.work_class,
            priority=request.priority,
            sampling=request.sampling,
            token_limit=self.credit,
            prompt=prompt,
            pace=request.pace,
            version=self.version,
        )
        return SendOpen(target, message)

    def on_open_reply(
        self, attempt: int, index: int, reply: OpenReply, now: float
    ) -> list[Effect]:
        """Note a stage's answer; start the first stage when all others are open."""
        if self.phase is not Phase.OPENING or attempt != self.attempt:
            return []
        if not reply.accepted:
            return self._retry(self.stages[index].endpoint, reply.kind, now)
        self.opened.add(index)
        self.progress_at = now
        if index == 0:
            self.phase = Phase.RUNNING
            return []
        if len(self.opened) == len(self.stages) - 1:
            return [self._open(0)]
        return []

    def on_token(self, token: Token, now: float) -> list[Effect]:
        """Deliver a token if it is the next; hold it if early, else drop it."""
        if token.attempt != self.attempt or self.phase is Phase.ENDED:
            return []
        if self.phase is Phase.REVOKING:
            return []
        self.phase = Phase.RUNNING
        self.any_started = True
        self.prompt_length = token.prompt_length
        if token.index < len(self.delivered):
            return []
        self.early[token.index] = token
        effects: list[Effect] = []
        while len(self.delivered) in self.early:
            following = self.early.pop(len(self.delivered))
            self.progress_at = now
            self.delivered.append(following.token)
            self.texts.append(following.text)
            effects.append(DeliverToken(following))
            if len(self.delivered) >= self.request.sampling.max_tokens:
                effects.extend(self.finish("length"))
                break
        return effects

    def finish(self, reason: str) -> list[Effect]:
        """End the answer as whole and release its stages."""
        self.phase = Phase.ENDED
        return [*self._revocations(self.stages), FinishAnswer(reason)]

    def _revocations(self, stages: tuple[StageAddress, ...]) -> list[Effect]:
        """Return the effects that revoke the newest attempt at some stages."""
        effects: list[Effect] = []
        for stage in stages:
            message = Revoke(self.request.stream, self.attempt, stage.incarnation)
            effects.append(SendRevoke(stage, message))
        return effects

    def on_consumed(self, count: int, now: float) -> list[Effect]:
        """Note how many tokens the caller has read; extend the credit if due."""
        self.consumed = count
        limit = count + CREDIT_WINDOW
        if self.phase is not Phase.RUNNING or limit < self.credit + CREDIT_WINDOW // 2:
            return []
        self.credit = limit
        credit = Credit(self.request.stream, self.attempt, limit)
        return [SendCredit(self.stages[-1], credit)]

    def on_trouble(
        self, attempt: int, endpoint: str, kind: ErrorKind, now: float
    ) -> list[Effect]:
        """Start over from what was delivered, without the endpoint at fault."""
        if attempt != self.attempt or self.phase in (Phase.ENDED, Phase.REVOKING):
            return []
        return self._retry(endpoint, kind, now)

    def _retry(self, endpoint: str, kind: ErrorKind | None, now: float) -> list[Effect]:
        """Ask for a route without an endpoint, or give up."""
        self.excluded.add(endpoint)
        effects = self._revocations(self.stages)
        if self.attempt >= MAX_ATTEMPTS:
            refusal = Refusal(kind or ErrorKind.STAGE_LOST, "too many stages were lost")
            return self.give_up(refusal, now)
        self.phase = Phase.CHOOSING
        return [*effects, ChooseRoute(frozenset(self.excluded))]

    def give_up(self, refusal: Refusal, now: float) -> list[Effect]:
        """Revoke all that was sent, then tell the caller what is known."""
        self.failure = refusal
        unique = {(stage.endpoint, stage.incarnation): stage for stage in self.sent_to}
        self.unrevoked = list(unique.values())
        self.phase = Phase.REVOKING
        if not self.unrevoked:
            return self._fail(Outcome.NOT_RUN)
        return self._revocations(tuple(self.unrevoked))

    def on_revoke_reply(
        self, stage: StageAddress, reply: RevokeReply | None, now: float
    ) -> list[Effect]:
        """Note a revocation's answer, None if lost; answer the caller after all."""
        if self.phase is not Phase.REVOKING or stage not in self.unrevoked:
            return []
        if reply is None or not reply.current:
            return self._fail(Outcome.UNKNOWN)
        self.any_started = self.any_started or reply.started
        self.unrevoked.remove(stage)
        if self.unrevoked:
            return []
        return self._fail(Outcome.NOT_RUN)

    def _fail(self, outcome: Outcome) -> list[Effect]:
        """End the answer with the refusal and what is known of the effect."""
        self.phase = Phase.ENDED
        if self.delivered:
            outcome = Outcome.PARTIAL
        elif self.any_started:
            outcome = Outcome.RAN
        return [FailAnswer(attrs.evolve(self.failure, outcome=outcome))]
