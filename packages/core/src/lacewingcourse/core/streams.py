"""The entry's side of one streamed answer: attempts, resume, delivery."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.cancellation import Cancellation
from lacewingcourse.core.diagnosis import diagnose
from lacewingcourse.core.effects import (
    AskReport,
    ChooseRoute,
    DeliverToken,
    FinishAnswer,
    SendCredit,
    SendOpen,
    SendRevoke,
    SendStart,
)
from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.messages import (
    Credit,
    OpenReply,
    OpenStage,
    Prompt,
    ReportRequest,
    Revoke,
    StageAddress,
    StartStage,
    Token,
)
from lacewingcourse.core.resume import plan_resume
from lacewingcourse.core.route_search import RouteSearch
from lacewingcourse.core.silence import SilenceWatch
from lacewingcourse.core.stop_texts import StopMatcher
from lacewingcourse.core.stream_request import Phase, distinct

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lacewingcourse.core.effects import AnswerEffect
    from lacewingcourse.core.errors import Outcome
    from lacewingcourse.core.messages import KeptState, RevokeReply, StageReport
    from lacewingcourse.core.routes import Route
    from lacewingcourse.core.stream_request import StreamRequest

#: Tokens that the last stage may be ahead of the caller.
CREDIT_WINDOW = 64


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
        keepable: Stages that go on in the next attempt if its route has them.
        resuming: Whether the newest attempt goes on from an older one.
        kept: What stages of a resumed attempt have of the older, by index.
        early: Tokens that came before their turn, by index.
        prompt_length: Tokens of the prompt, 0 while not known.
        consumed: Tokens that the caller has read.
        credit: Token limit that was last given out.
        stop: Finds the texts that end the answer.
        version: Version of the weights of the newest attempt.
        search: Looks for the route of the next attempt.
        watch: Watches the stream for silence.
        cancellation: What is known of the effect if the stream is given up.
        solo: Whether the next attempt's first steps run alone on their engines.
    """

    request: StreamRequest
    phase: Phase = Phase.CHOOSING
    attempt: int = 0
    stages: tuple[StageAddress, ...] = ()
    opened: set[int] = attrs.field(factory=set)
    keepable: set[StageAddress] = attrs.field(factory=set)
    resuming: bool = False
    kept: dict[int, KeptState | None] = attrs.field(factory=dict)
    delivered: list[int] = attrs.field(factory=list)
    texts: list[str] = attrs.field(factory=list)
    early: dict[int, Token] = attrs.field(factory=dict)
    prompt_length: int = 0
    consumed: int = 0
    credit: int = 0
    stop: StopMatcher = attrs.field()
    version: str = ""
    search: RouteSearch = attrs.field(factory=RouteSearch)
    watch: SilenceWatch = attrs.field(factory=SilenceWatch)
    cancellation: Cancellation = attrs.field(factory=Cancellation)
    solo: bool = False

    @stop.default
    def _new_stop(self) -> StopMatcher:
        return StopMatcher(self.request.sampling.stop)

    def begin(self, route: Route | Refusal, now: float) -> list[AnswerEffect]:
        """Open the stages of a new attempt, last stage first.

        The first stage is opened after all others have accepted, with the prompt,
        so that no work starts before the whole route is ready. Stages of a resumed
        attempt are opened together and then told what to do first.
        """
        if self.phase is not Phase.CHOOSING:
            return []
        if isinstance(route, Refusal):
            return self._no_route(route, now)
        self.search.wanted_since = None
        stages = tuple(
            StageAddress(
                stage.endpoint, stage.agent_url, stage.incarnation, stage.layers
            )
            for stage in route.stages
        )
        kept = stages if route.version == self.version else ()
        left = self._revocations(self.keepable.difference(kept))
        self.keepable.intersection_update(kept)
        self.version = route.version
        self.stages = stages
        self.attempt += 1
        self.resuming = bool(self.keepable)
        self.kept = {}
        self.opened = set()
        self.early = {}
        self.phase = Phase.OPENING
        self.watch.progress_at = now
        self.credit = max(self.credit, self.consumed + CREDIT_WINDOW)
        first = 0 if self.resuming or len(self.stages) == 1 else 1
        return [*left, *(self._open(each) for each in range(first, len(stages)))]

    def _no_route(self, refusal: Refusal, now: float) -> list[AnswerEffect]:
        """Look for a route again while it can help, or give up."""
        answer = self.search.on_refusal(refusal, bool(self.delivered), now)
        if isinstance(answer, Refusal):
            return self.give_up(answer, now)
        return [self._choose_again(answer)]

    def _open(self, index: int) -> SendOpen:
        """Return the effect that opens one stage."""
        target = self.stages[index]
        self.cancellation.sent_to.append(target)
        request = self.request
        prompt = None
        if index == 0 and not self.resuming:
            prompt = Prompt(request.prompt, tuple(self.delivered))
            self.cancellation.prompted.append(target)
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
            resume=self.resuming,
            pace=request.pace,
            version=self.version,
            solo=self.solo,
        )
        return SendOpen(target, message)

    def on_open_reply(
        self,
        attempt: int,
        index: int,
        reply: OpenReply,
        now: float,
        reached: bool = True,
    ) -> list[AnswerEffect]:
        """Note a stage's answer; start the first stage when all others are open.

        Args:
            attempt: Number of the attempt that was opened.
            index: Which stage of its route was asked.
            reply: The answer.
            now: Present time in seconds.
            reached: Whether the message may have reached the agent.
        """
        if not reached and attempt == self.attempt and index == 0:
            if not self.resuming:
                self.cancellation.prompted.remove(self.stages[0])
        if self.phase is not Phase.OPENING or attempt != self.attempt:
            return []
        if not reply.accepted:
            return self._retry((self.stages[index].endpoint,), reply.kind, now)
        self.opened.add(index)
        self.watch.progress_at = now
        if self.resuming:
            self.kept[index] = reply.kept
            return self._start_stages(now) if len(self.kept) == len(self.stages) else []
        if index == 0:
            self._run(now)
            self.keepable = set(self.stages)
            return []
        if len(self.opened) == len(self.stages) - 1:
            return [self._open(0)]
        return []

    def _run(self, now: float) -> None:
        """Wait for tokens of the newest attempt."""
        self.phase = Phase.RUNNING
        self.watch.restart(now)

    def _start_stages(self, now: float) -> list[AnswerEffect]:
        """Tell each stage of a resumed attempt what it does first."""
        self._run(now)
        self.keepable = set()
        kept = [self.kept[index] for index in range(len(self.stages))]
        plans = plan_resume(kept, self.prompt_length, self.delivered)
        effects: list[AnswerEffect] = []
        for index, (stage, plan) in enumerate(zip(self.stages, plans, strict=True)):
            prompt = None
            if plan.with_prompt:
                prompt = Prompt(self.request.prompt, tuple(self.delivered))
                self.cancellation.prompted.append(stage)
            message = StartStage(
                stream=self.request.stream,
                attempt=self.attempt,
                incarnation=stage.incarnation,
                keep=plan.keep,
                send_from=plan.send_from,
                prompt=prompt,
                inputs=plan.inputs,
            )
            effects.append(SendStart(index, stage, message))
        return effects

    def on_start_reply(
        self, attempt: int, index: int, reply: OpenReply, now: float
    ) -> list[AnswerEffect]:
        """Note that a stage of a resumed attempt has started, or start over."""
        if attempt != self.attempt or self.phase is not Phase.RUNNING:
            return []
        if reply.accepted:
            self.keepable.add(self.stages[index])
            return []
        if reply.kind is ErrorKind.UNKNOWN_STREAM:
            self.keepable.clear()
            return self._retry((), reply.kind, now)
        return self._retry((self.stages[index].endpoint,), reply.kind, now)

    def on_token(self, token: Token, now: float) -> list[AnswerEffect]:
        """Deliver a token if it is the next; hold it if early, else drop it."""
        if token.attempt != self.attempt:
            return []
        if self.phase in (Phase.ENDED, Phase.REVOKING):
            return []
        if self.phase is Phase.OPENING:
            self.phase = Phase.RUNNING
        self.cancellation.any_started = True
        self.prompt_length = token.prompt_length
        if token.index < len(self.delivered):
            return []
        self.early[token.index] = token
        effects: list[AnswerEffect] = []
        while len(self.delivered) in self.early and self.phase is not Phase.ENDED:
            following = self.early.pop(len(self.delivered))
            effects.extend(self._deliver(following, now))
        return effects

    def _deliver(self, token: Token, now: float) -> list[AnswerEffect]:
        """Hand the next token to the caller; end the answer if it is the last."""
        usual = self.search.fruitless == 0 and bool(self.delivered)
        self.watch.note_token(now, usual)
        self.search.fruitless = 0
        self.delivered.append(token.token)
        text = self.stop.feed(token.text)
        effects: list[AnswerEffect] = []
        if self.stop.found:
            effects.extend(self.finish("stop"))
        elif len(self.delivered) >= self.request.sampling.max_tokens:
            text += self.stop.rest()
            effects.extend(self.finish("length"))
        self.texts.append(text)
        return [DeliverToken(attrs.evolve(token, text=text)), *effects]

    def check(self, now: float) -> list[AnswerEffect]:
        """Ask the stages how far they have come if the stream is silent."""
        if self.phase is not Phase.RUNNING or not self.watch.due(now):
            return []
        if len(self.delivered) >= self.credit:
            return []
        self.watch.ask()
        message = ReportRequest(self.request.stream, self.attempt)
        questions: list[AnswerEffect] = [
            AskReport(index, stage, message) for index, stage in enumerate(self.stages)
        ]
        return [*questions, self._credit()]

    def on_report(
        self, attempt: int, index: int, report: StageReport | None, now: float
    ) -> list[AnswerEffect]:
        """Note how far a stage has come; leave the stage that is at fault."""
        if attempt != self.attempt or self.phase is not Phase.RUNNING:
            return []
        ordered = self.watch.gather(index, report, len(self.stages))
        if ordered is None:
            return []
        finding = diagnose(attempt, self.stages, ordered)
        if finding is not None:
            return self._retry(finding.endpoints, finding.kind, now)
        if self.watch.stands_still(ordered, now):
            self.keepable.clear()
            return self._retry((), ErrorKind.STAGE_LOST, now)
        return []

    def finish(self, reason: str) -> list[AnswerEffect]:
        """End the answer as whole and release its stages."""
        self.phase = Phase.ENDED
        return [*self._revocations(self.stages), FinishAnswer(reason)]

    def _revocations(self, stages: Iterable[StageAddress]) -> list[AnswerEffect]:
        """Return the effects that revoke the newest attempt at some stages."""
        effects: list[AnswerEffect] = []
        for stage in stages:
            message = Revoke(self.request.stream, self.attempt, stage.incarnation)
            effects.append(SendRevoke(stage, message))
        return effects

    def on_consumed(self, count: int, now: float) -> list[AnswerEffect]:
        """Note how many tokens the caller has read; extend the credit if due."""
        self.consumed = count
        limit = count + CREDIT_WINDOW
        if self.phase is not Phase.RUNNING or limit < self.credit + CREDIT_WINDOW // 2:
            return []
        if len(self.delivered) >= self.credit:
            self.watch.resume(now)
        self.credit = limit
        return [self._credit()]

    def _credit(self) -> SendCredit:
        """Return the effect that tells the last stage how far it may go."""
        credit = Credit(self.request.stream, self.attempt, self.credit)
        return SendCredit(self.stages[-1], credit)

    def on_trouble(
        self, attempt: int, endpoint: str, kind: ErrorKind, now: float
    ) -> list[AnswerEffect]:
        """Start over from what was delivered, without the endpoint at fault."""
        if attempt != self.attempt:
            return []
        if self.phase not in (Phase.OPENING, Phase.RUNNING):
            return []
        return self._retry((endpoint,), kind, now)

    def _retry(
        self, endpoints: Iterable[str], kind: ErrorKind | None, now: float
    ) -> list[AnswerEffect]:
        """Ask for a route without some endpoints, or give up."""
        self.search.lose(endpoints, now)
        excluded = self.search.excluded
        self.keepable = {
            stage for stage in self.keepable if stage.endpoint not in excluded
        }
        effects = self._revocations(set(self.stages) - self.keepable)
        if self.search.exhausted(bool(self.delivered), now):
            refusal = Refusal(kind or ErrorKind.STAGE_LOST, "too many stages were lost")
            return self.give_up(refusal, now)
        self.phase = Phase.CHOOSING
        return [*effects, self._choose_again(self.search.retry_delay())]

    def _choose_again(self, delay: float) -> ChooseRoute:
        """Return the effect that asks for the next route."""
        stages = self.stages if self.keepable else ()
        return ChooseRoute(frozenset(self.search.excluded), delay, stages)

    def give_up(self, refusal: Refusal, now: float) -> list[AnswerEffect]:
        """Revoke all that was sent; tell the caller as soon as the outcome is known."""
        outcome = self.cancellation.begin(refusal, bool(self.delivered))
        self.phase = Phase.REVOKING
        revocations = self._revocations(distinct(self.cancellation.sent_to))
        return [*revocations, *self._fail(outcome)]

    def on_revoke_reply(
        self, stage: StageAddress, reply: RevokeReply | None, now: float
    ) -> list[AnswerEffect]:
        """Note a revocation's answer, None if lost; answer the caller after all."""
        if self.phase is not Phase.REVOKING:
            return []
        return self._fail(self.cancellation.on_reply(stage, reply))

    def _fail(self, outcome: Outcome | None) -> list[AnswerEffect]:
        """End the answer with its refusal once the outcome is known."""
        if outcome is None:
            return []
        self.phase = Phase.ENDED
        return [self.cancellation.answer(outcome, bool(self.delivered))]
