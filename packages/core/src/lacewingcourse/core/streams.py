"""The entry's side of one streamed answer: attempts, resume, delivery."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.diagnosis import diagnose, standstill
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
    Credit,
    OpenReply,
    OpenStage,
    Prompt,
    ReportRequest,
    Revoke,
    Sampling,
    StageAddress,
    StartStage,
    Token,
)
from lacewingcourse.core.pace import Pace
from lacewingcourse.core.resume import plan_resume
from lacewingcourse.core.stop_texts import StopMatcher

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lacewingcourse.core.messages import KeptState, RevokeReply, StageReport
    from lacewingcourse.core.routes import Route

Effect = (
    AskReport
    | ChooseRoute
    | DeliverToken
    | FailAnswer
    | FinishAnswer
    | SendCredit
    | SendOpen
    | SendRevoke
    | SendStart
)

#: Tokens that the last stage may be ahead of the caller.
CREDIT_WINDOW = 64
#: Attempts in a row without a token after which a stream is given up.
MAX_FRUITLESS = 8
#: Fruitless attempts that are repeated without delay.
PROMPT_RETRIES = 2
#: Seconds before the first delayed attempt; doubled with each further one.
RETRY_DELAY = 0.1
#: Seconds between two attempts at the most.
MAX_RETRY_DELAY = 1.0
#: Reasons for having no route that may pass while a broken answer waits.
WAITABLE = frozenset({ErrorKind.NO_ROUTE, ErrorKind.OVERLOADED})
#: Seconds between two looks for a route.
ROUTE_INTERVAL = 0.25
#: Seconds after which a caller may try again when there is no route.
NO_ROUTE_RETRY_AFTER = 2.0
#: Seconds without a token after which the stages are asked, at the least.
MIN_SILENCE = 0.25
#: Seconds without a first token after which the stages are asked.
FIRST_SILENCE = 1.0
#: Questions that find the stages without work before the stream starts over.
STANDSTILLS = 2
#: Seconds between two questions to the stages at the most.
MAX_SILENCE = 5.0


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


def same_agent(one: StageAddress, other: StageAddress) -> bool:
    """Tell whether two stages are run by the same incarnation of an agent."""
    return (one.endpoint, one.incarnation) == (other.endpoint, other.incarnation)


def distinct(stages: Iterable[StageAddress]) -> list[StageAddress]:
    """Return one address of each agent's incarnation."""
    found = {(stage.endpoint, stage.incarnation): stage for stage in stages}
    return list(found.values())


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
        excluded: Endpoints that the next attempt avoids while others will do.
        route_patience: Seconds for which a broken answer waits for a route.
        fruitless: Attempts in a row that ended without a token.
        route_wanted_since: Since when there is no route, seconds, or None.
        sent_to: Every stage that an opening message was sent to.
        prompted: Stages that may have got the prompt; no other can start work.
        unrevoked: Stages whose revocation is not yet acknowledged.
        any_started: Whether work is known to have started.
        failure: The refusal that the caller gets after the revocations.
        progress_at: When the stream last went ahead, seconds.
        version: Version of the weights of the newest attempt.
        pace: Learned time between two tokens.
        ask_at: When the stages are asked how far they have come, seconds.
        unanswered: Questions in a row that found no fault.
        stood_at: Positions of the stages when they last had no work, or None.
        reports: Answers of the stages that were asked, None while not asking.
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
    excluded: set[str] = attrs.field(factory=set)
    route_patience: float = 10.0
    fruitless: int = 0
    route_wanted_since: float | None = None
    sent_to: list[StageAddress] = attrs.field(factory=list)
    prompted: list[StageAddress] = attrs.field(factory=list)
    unrevoked: list[StageAddress] = attrs.field(factory=list)
    any_started: bool = False
    failure: Refusal | None = None
    progress_at: float = 0.0
    version: str = ""
    pace: Pace = attrs.field(factory=Pace)
    ask_at: float = 0.0
    unanswered: int = 0
    stood_at: tuple[int, ...] | None = None
    reports: dict[int, StageReport | None] | None = None
    solo: bool = False

    @stop.default
    def _new_stop(self) -> StopMatcher:
        return StopMatcher(self.request.sampling.stop)

    def begin(self, route: Route | Refusal, now: float) -> list[Effect]:
        """Open the stages of a new attempt, last stage first.

        The first stage is opened after all others have accepted, with the prompt,
        so that no work starts before the whole route is ready. Stages of a resumed
        attempt are opened together and then told what to do first.
        """
        if self.phase is not Phase.CHOOSING:
            return []
        if isinstance(route, Refusal):
            return self._no_route(route, now)
        self.route_wanted_since = None
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
        self.progress_at = now
        self.credit = max(self.credit, self.consumed + CREDIT_WINDOW)
        first = 0 if self.resuming or len(self.stages) == 1 else 1
        return [*left, *(self._open(each) for each in range(first, len(stages)))]

    def _no_route(self, refusal: Refusal, now: float) -> list[Effect]:
        """Try the excluded endpoints again, wait while it can help, or give up."""
        if refusal.kind not in WAITABLE:
            return self.give_up(refusal, now)
        if self.excluded and refusal.kind is ErrorKind.NO_ROUTE:
            self.excluded.clear()
            return [self._choose_again(RETRY_DELAY)]
        if self.route_wanted_since is None:
            self.route_wanted_since = now
        waited = now - self.route_wanted_since
        if self.delivered and waited < self.route_patience:
            return [self._choose_again(ROUTE_INTERVAL)]
        if refusal.retry_after is None:
            refusal = attrs.evolve(refusal, retry_after=NO_ROUTE_RETRY_AFTER)
        return self.give_up(refusal, now)

    def _open(self, index: int) -> SendOpen:
        """Return the effect that opens one stage."""
        target = self.stages[index]
        self.sent_to.append(target)
        request = self.request
        prompt = None
        if index == 0 and not self.resuming:
            prompt = Prompt(request.prompt, tuple(self.delivered))
            self.prompted.append(target)
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
    ) -> list[Effect]:
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
                self.prompted.remove(self.stages[0])
        if self.phase is not Phase.OPENING or attempt != self.attempt:
            return []
        if not reply.accepted:
            return self._retry((self.stages[index].endpoint,), reply.kind, now)
        self.opened.add(index)
        self.progress_at = now
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
        self.ask_at = now + FIRST_SILENCE
        self.unanswered = 0
        self.reports = None

    def _start_stages(self, now: float) -> list[Effect]:
        """Tell each stage of a resumed attempt what it does first."""
        self._run(now)
        self.keepable = set()
        kept = [self.kept[index] for index in range(len(self.stages))]
        plans = plan_resume(kept, self.prompt_length, self.delivered)
        effects: list[Effect] = []
        for index, (stage, plan) in enumerate(zip(self.stages, plans, strict=True)):
            prompt = None
            if plan.with_prompt:
                prompt = Prompt(self.request.prompt, tuple(self.delivered))
                self.prompted.append(stage)
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
    ) -> list[Effect]:
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

    def on_token(self, token: Token, now: float) -> list[Effect]:
        """Deliver a token if it is the next; hold it if early, else drop it."""
        if token.attempt != self.attempt:
            return []
        if self.phase in (Phase.ENDED, Phase.REVOKING):
            return []
        if self.phase is Phase.OPENING:
            self.phase = Phase.RUNNING
        self.any_started = True
        self.prompt_length = token.prompt_length
        if token.index < len(self.delivered):
            return []
        self.early[token.index] = token
        effects: list[Effect] = []
        while len(self.delivered) in self.early and self.phase is not Phase.ENDED:
            following = self.early.pop(len(self.delivered))
            effects.extend(self._deliver(following, now))
        return effects

    def _deliver(self, token: Token, now: float) -> list[Effect]:
        """Hand the next token to the caller; end the answer if it is the last."""
        self._note_progress(now)
        self.delivered.append(token.token)
        text = self.stop.feed(token.text)
        effects: list[Effect] = []
        if self.stop.found:
            effects.extend(self.finish("stop"))
        elif len(self.delivered) >= self.request.sampling.max_tokens:
            text += self.stop.rest()
            effects.extend(self.finish("length"))
        self.texts.append(text)
        return [DeliverToken(attrs.evolve(token, text=text)), *effects]

    def _note_progress(self, now: float) -> None:
        """Learn the time between tokens and put off the next question."""
        if self.fruitless == 0 and self.unanswered == 0 and self.delivered:
            self.pace.note(now - self.progress_at)
        self.fruitless = 0
        self.unanswered = 0
        self.reports = None
        self.progress_at = now
        self.ask_at = now + self.pace.limit(MIN_SILENCE, FIRST_SILENCE)

    def check(self, now: float) -> list[Effect]:
        """Ask the stages how far they have come if the stream is silent."""
        if self.phase is not Phase.RUNNING or self.reports is not None:
            return []
        if now < self.ask_at or len(self.delivered) >= self.credit:
            return []
        self.reports = {}
        message = ReportRequest(self.request.stream, self.attempt)
        questions: list[Effect] = [
            AskReport(index, stage, message) for index, stage in enumerate(self.stages)
        ]
        return [*questions, self._credit()]

    def on_report(
        self, attempt: int, index: int, report: StageReport | None, now: float
    ) -> list[Effect]:
        """Note how far a stage has come; leave the stage that is at fault."""
        if attempt != self.attempt or self.phase is not Phase.RUNNING:
            return []
        if self.reports is None:
            return []
        self.reports[index] = report
        if len(self.reports) < len(self.stages):
            return []
        ordered = [self.reports[each] for each in range(len(self.stages))]
        self.reports = None
        finding = diagnose(attempt, self.stages, ordered)
        if finding is not None:
            return self._retry(finding.endpoints, finding.kind, now)
        positions = standstill(ordered)
        stuck = positions is not None and positions == self.stood_at
        self.stood_at = positions
        self.unanswered += 1
        if stuck and self.unanswered > STANDSTILLS:
            self.keepable.clear()
            return self._retry((), ErrorKind.STAGE_LOST, now)
        usual = self.pace.limit(MIN_SILENCE, FIRST_SILENCE)
        self.ask_at = now + min(MAX_SILENCE, usual * 2**self.unanswered)
        return []

    def finish(self, reason: str) -> list[Effect]:
        """End the answer as whole and release its stages."""
        self.phase = Phase.ENDED
        return [*self._revocations(self.stages), FinishAnswer(reason)]

    def _revocations(self, stages: Iterable[StageAddress]) -> list[Effect]:
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
        if len(self.delivered) >= self.credit:
            self.progress_at = now
            self.ask_at = now + FIRST_SILENCE
        self.credit = limit
        return [self._credit()]

    def _credit(self) -> SendCredit:
        """Return the effect that tells the last stage how far it may go."""
        credit = Credit(self.request.stream, self.attempt, self.credit)
        return SendCredit(self.stages[-1], credit)

    def on_trouble(
        self, attempt: int, endpoint: str, kind: ErrorKind, now: float
    ) -> list[Effect]:
        """Start over from what was delivered, without the endpoint at fault."""
        if attempt != self.attempt:
            return []
        if self.phase not in (Phase.OPENING, Phase.RUNNING):
            return []
        return self._retry((endpoint,), kind, now)

    def _retry(
        self, endpoints: Iterable[str], kind: ErrorKind | None, now: float
    ) -> list[Effect]:
        """Ask for a route without some endpoints, or give up."""
        self.excluded.update(endpoints)
        self.fruitless += 1
        self.keepable = {
            stage for stage in self.keepable if stage.endpoint not in self.excluded
        }
        effects = self._revocations(set(self.stages) - self.keepable)
        if self.fruitless >= MAX_FRUITLESS:
            refusal = Refusal(kind or ErrorKind.STAGE_LOST, "too many stages were lost")
            return self.give_up(refusal, now)
        self.phase = Phase.CHOOSING
        return [*effects, self._choose_again(self._retry_delay())]

    def _choose_again(self, delay: float) -> ChooseRoute:
        """Return the effect that asks for the next route."""
        stages = self.stages if self.keepable else ()
        return ChooseRoute(frozenset(self.excluded), delay, stages)

    def _retry_delay(self) -> float:
        """Return the seconds before the next attempt."""
        delayed = self.fruitless - PROMPT_RETRIES
        if delayed <= 0:
            return 0.0
        return min(MAX_RETRY_DELAY, RETRY_DELAY * 2 ** (delayed - 1))

    def give_up(self, refusal: Refusal, now: float) -> list[Effect]:
        """Revoke all that was sent; tell the caller as soon as the outcome is known."""
        self.failure = refusal
        self.unrevoked = distinct(self.prompted)
        self.phase = Phase.REVOKING
        revocations = self._revocations(distinct(self.sent_to))
        if not self.unrevoked:
            return [*revocations, *self._fail(Outcome.NOT_RUN)]
        if self.delivered or self.any_started:
            return [*revocations, *self._fail(Outcome.RAN)]
        return revocations

    def on_revoke_reply(
        self, stage: StageAddress, reply: RevokeReply | None, now: float
    ) -> list[Effect]:
        """Note a revocation's answer, None if lost; answer the caller after all."""
        if self.phase is not Phase.REVOKING:
            return []
        asked = [each for each in self.unrevoked if same_agent(each, stage)]
        if not asked:
            return []
        if reply is None or not reply.current:
            return self._fail(Outcome.UNKNOWN)
        self.any_started = self.any_started or reply.started
        self.unrevoked.remove(asked[0])
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
