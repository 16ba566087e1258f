"""Performs the effects of the gate: engine steps, hops, tokens, troubles."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

import attrs
from loguru import logger

from lacewingcourse.agent.courier import Courier
from lacewingcourse.agent.engine import (
    EngineClient,
    EngineCrash,
    EngineState,
    ForwardOutput,
    ForwardReply,
    item_of,
    sequence_of,
)
from lacewingcourse.agent.host import Host
from lacewingcourse.core.effects import (
    CancelForward,
    RunForward,
    SendHop,
    SendToken,
    SendTrouble,
)
from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.core.estimates import EndpointEstimates
from lacewingcourse.core.messages import StageReport, Trouble
from lacewingcourse.core.poison import CrashedItem, suspects_of
from lacewingcourse.core.queueing import (
    AgentLoad,
    ForwardQueue,
    QueuedForward,
    due_at,
    refusal_kind,
)
from lacewingcourse.core.stage_state import ForwardResult
from lacewingcourse.core.stages import StageGate
from lacewingcourse.core.step_times import StepTimes

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lacewingcourse.agent.watchers import Watchers
    from lacewingcourse.core.estimates import LoadReport
    from lacewingcourse.core.messages import (
        AttemptName,
        Credit,
        OpenStage,
        ReportRequest,
        Status,
        TokenBatchReply,
    )
    from lacewingcourse.core.stages import Effect

#: Entries that are remembered to be told when the agent leaves.
KEPT_ENTRIES = 1000
#: Seconds between two looks for late steps.
WATCH_INTERVAL = 0.1


class StageHost(Host, Protocol):
    """What stages need of the agent.

    Attributes:
        watchers: Tells entries the state.
    """

    watchers: Watchers


@attrs.define(eq=False)
class StepInFlight:
    """A step that the engine was given.

    Attributes:
        batch: Its work.
        started_at: When it was given, seconds.
        late_at: When it is late, seconds.
        reported: Whether its streams were told of a crash.
    """

    batch: list[RunForward]
    started_at: float
    late_at: float
    reported: bool = False


def positions_of(work: RunForward) -> int:
    """Return how many positions a piece of work has at the most."""
    if work.prompt is None:
        return len(work.values)
    return len(work.prompt.text) + len(work.prompt.delivered)


class StageRunner:
    """Runs stages on the engine beside the agent.

    Attributes:
        agent: The agent's daemon.
        settings: Its settings.
        incarnation: Name of this start of the agent.
        gate: Decides what runs here.
        engine: Client of the engine.
        engine_state: What the engine last said, or None while it does not answer.
        queue: Work that waits for the engine.
        steps: Steps given to the engine.
        step_time: Seconds of the last step.
        step_times: Learned times of steps.
        engine_late: Whether the engine is late with a step.
        crashes: Crashes of the engine that were seen.
        entry_urls: Entries that sent streams here, the latest last.
        courier: Carries what goes to other processes.
        estimates: What was learned of the engine's speed.
        present: Items given to the engine.
        sources: Entries that have streams here.
    """

    def __init__(self, agent: StageHost) -> None:
        self.agent = agent
        self.settings = agent.settings
        self.incarnation = agent.incarnation
        self.gate = StageGate(
            self.settings.instance_id,
            self.incarnation,
            output_budget=self.settings.resume_buffer_bytes,
        )
        self.engine = EngineClient(
            self.settings.endpoint_url, self.settings.endpoint_timeout
        )
        self.engine_state: EngineState | None = None
        self.queue = ForwardQueue()
        self.steps: set[StepInFlight] = set()
        self.step_time = 0.0
        self.step_times = StepTimes()
        self.engine_late = False
        self.crashes = 0
        self.entry_urls: dict[str, None] = {}
        self.courier = Courier(self)
        self.estimates = EndpointEstimates(
            self.settings.batch_items, self.settings.max_streams
        )
        self.present = 0
        self.sources = 0

    def note_entry(self, url: str) -> None:
        """Remember an entry that sends streams here, the latest last."""
        self.entry_urls.pop(url, None)
        self.entry_urls[url] = None
        if len(self.entry_urls) > KEPT_ENTRIES:
            del self.entry_urls[next(iter(self.entry_urls))]

    def close_all(self) -> None:
        """Tell the entries of all streams that the endpoint cannot go on."""
        for state in list(self.gate.stages.values()):
            message = state.message
            self.fail(
                Trouble(
                    message.stream,
                    message.attempt,
                    self.settings.instance_id,
                    ErrorKind.DRAINING,
                    "the endpoint has to end",
                )
            )

    async def probe(self) -> None:
        """Look whether the engine answers."""
        state = await self.engine.state()
        self.engine_state = None if isinstance(state, Refusal) else state
        entries = {each.message.entry_url for each in self.gate.stages.values()}
        self.sources = len(entries)

    def complete_status(self, status: Status) -> Status:
        """Return a status with what the engine adds to it."""
        state = self.engine_state
        if state is None:
            return status
        return attrs.evolve(
            status,
            model=state.model,
            layers=state.layers,
            version=state.version,
            max_layers=state.max_layers,
            queued=len(self.queue),
            step_time=self.step_time,
            load=self.load(),
        )

    def load(self) -> LoadReport:
        """Return what was learned of the engine's speed and load."""
        return self.estimates.report(
            self.queue.positions(),
            self.sources,
            len(self.gate.stages),
            self.agent.now(),
        )

    def perform(self, effects: Iterable[Effect]) -> None:
        """Carry out effects of the gate."""
        for effect in effects:
            match effect:
                case RunForward():
                    self._push(effect)
                case CancelForward():
                    self.queue.drop(effect.stream, effect.attempt)
                    sequence = sequence_of(effect.stream, effect.attempt)
                    self.agent.spawn(self.engine.cancel((sequence,)))
                case SendHop():
                    self._send_hop(effect)
                case SendToken():
                    self.courier.put_token(effect.entry_url, effect.token)
                case SendTrouble():
                    self.courier.put_trouble(effect.entry_url, effect.trouble)
        self._feed_engine()

    def refusal_of(self, message: OpenStage) -> ErrorKind | None:
        """Return why a new stream is not let in, or None."""
        if self.engine_state is None:
            return ErrorKind.NOT_READY
        if not self._holds(message):
            return ErrorKind.STALE_INCARNATION
        if message.stream in self.gate.stages:
            return None
        backlog = self.queue.positions() * self.estimates.fit.position
        load = AgentLoad(len(self.gate.stages), self.settings.max_streams, backlog)
        return refusal_kind(message, load)

    def _holds(self, message: OpenStage) -> bool:
        """Tell whether the engine holds the layers and the version of a stage."""
        state = self.engine_state
        if state.layers is None:
            return False
        wanted = message.stages[message.index].layers
        return message.version in ("", state.version) and state.layers.contains(wanted)

    def _push(self, effect: RunForward) -> None:
        """Queue work with the time at which it is due."""
        stage = self.gate.stages.get(effect.stream)
        pace, stages = 0.0, 1
        if stage is not None:
            pace, stages = stage.message.pace, len(stage.message.stages)
        positions = len(effect.values)
        if effect.prompt is not None:
            positions = self.estimates.prompt_positions(len(effect.prompt.text))
            positions += len(effect.prompt.delivered)
        due = due_at(effect, pace, stages, self.agent.now())
        self.queue.push(effect, due, positions)

    def _feed_engine(self) -> None:
        """Give waiting work to the engine while it has room."""
        while self.queue and self._engine_has_room():
            queued = self.queue.take(self.settings.batch_items)
            batch = [entry.effect for entry in queued]
            now = self.agent.now()
            positions = sum(positions_of(work) for work in batch)
            allowance = self.step_times.allowance(
                positions, self.settings.endpoint_timeout
            )
            step = StepInFlight(batch, now, now + allowance)
            self.steps.add(step)
            self.present += len(batch)
            self.estimates.on_load(
                self.present + len(self.queue), len(self.gate.stages)
            )
            self.agent.spawn(self._step(step, queued))

    def _engine_has_room(self) -> bool:
        """Tell whether the work that comes first may be given to the engine."""
        if self.queue.next_is_solo():
            return not self.steps
        if any(step.batch[0].solo for step in self.steps):
            return False
        return len(self.steps) < self.settings.steps_in_flight

    async def _step(self, step: StepInFlight, queued: list[QueuedForward]) -> None:
        """Run one batch on the engine and pass its results on."""
        batch = step.batch
        items = tuple(item_of(entry.effect, entry.due_at) for entry in queued)
        answered = self.engine_state is not None
        try:
            reply = await self.engine.forward(items, batch[0].solo)
        finally:
            self.present -= len(batch)
        if isinstance(reply, EngineCrash) and not answered:
            kind = ErrorKind.ENDPOINT_FAILED
            reply = Refusal(kind, reply.reason, Outcome.UNKNOWN)
        if isinstance(reply, EngineCrash):
            self._on_crash(reply)
        self.steps.discard(step)
        failed = not isinstance(reply, ForwardReply)
        self.agent.metrics.on_step(len(batch), None if failed else reply.step_time)
        if isinstance(reply, EngineCrash):
            self._feed_engine()
            return
        if failed:
            self._fail_batch(batch, reply)
            return
        positions = sum(output.count for output in reply.items)
        self.step_times.note(positions, self.agent.now() - step.started_at)
        self.step_time = reply.step_time
        self.estimates.on_step(positions, step.started_at, self.agent.now())
        for work, output in zip(batch, reply.items, strict=True):
            self._complete(work, output)
        self._feed_engine()

    def _on_crash(self, crash: EngineCrash) -> None:
        """Report all work of the engine once; name the attempts that may be guilty."""
        fresh = [step for step in self.steps if not step.reported]
        if not fresh:
            return
        self.crashes += 1
        self.engine_state = None
        name = f"{self.incarnation}.{self.crashes}"
        logger.warning("the engine crashed", crash=name)
        items = {
            CrashedItem(work.stream, work.attempt, work.position == 0): work
            for step in fresh
            for work in step.batch
        }
        suspects = set(suspects_of(items))
        for step in fresh:
            step.reported = True
        alone = len(items) == 1
        for item, work in items.items():
            guilty = name if item in suspects else ""
            self._report(work, crash.reason, guilty, item.first_step, alone)

    def _fail_batch(self, batch: list[RunForward], refusal: Refusal) -> None:
        """Report each attempt of a failed batch."""
        for work in batch:
            self._report(work, refusal.reason)
        self._feed_engine()

    def _report(
        self,
        work: RunForward,
        reason: str,
        crash: str = "",
        newcomer: bool = False,
        alone: bool = False,
    ) -> None:
        """Report that this endpoint failed an attempt.

        A newcomer that happened to be alone counts as run alone.
        """
        self.fail(
            Trouble(
                stream=work.stream,
                attempt=self.gate.attempt_of(work.stream, work.attempt),
                endpoint=self.settings.instance_id,
                kind=ErrorKind.ENDPOINT_FAILED,
                reason=reason,
                crash=crash,
                newcomer=newcomer,
                solo=work.solo or (newcomer and alone),
            )
        )

    def fail(self, trouble: Trouble) -> None:
        """Report that an attempt cannot go on."""
        self.perform(self.gate.fail(trouble))

    def _complete(self, work: RunForward, output: ForwardOutput) -> None:
        """Pass on the result of one item."""
        self.agent.metrics.tokens.inc(output.token is not None)
        if output.error:
            self._report(work, output.error)
            return
        if work.prompt is not None:
            self.estimates.on_prompt(len(work.prompt.text), output.prompt_length)
        result = ForwardResult(
            stream=work.stream,
            attempt=work.attempt,
            position=work.position,
            count=output.count,
            outputs=output.outputs,
            token=output.token,
            text=output.text,
            prompt_length=output.prompt_length or work.prompt_length,
        )
        self.perform(self.gate.complete(result, self.agent.now()))

    def _send_hop(self, effect: SendHop) -> None:
        """Queue a hop for its receiver; run it at once if that is this agent."""
        if effect.target.incarnation == self.incarnation:
            _, effects = self.gate.receive(effect.hop, self.agent.now())
            self.perform(effects)
            return
        self.courier.put_hop(effect)

    def take_credit(self, credit: Credit) -> None:
        """Let a stream go further."""
        self.perform(
            self.gate.credit(
                credit.stream, credit.attempt, credit.token_limit, self.agent.now()
            )
        )

    def close(self, stream: str, attempt: int) -> None:
        """End an attempt that nobody waits for."""
        self.perform(self.gate.close(stream, attempt, self.agent.now()))

    def report(self, request: ReportRequest) -> StageReport:
        """Tell how far a stage has come and what it waits for."""
        state = self.gate.stages.get(request.stream)
        if state is None:
            return StageReport(self.incarnation, 0)
        stages = state.message.stages
        following = stages[(state.message.index + 1) % len(stages)]
        token_wait = 0.0
        if state.is_last:
            token_wait = self.courier.token_wait(state.message.entry_url)
        return StageReport(
            incarnation=self.incarnation,
            attempt=state.message.attempt,
            accepted=state.next_position,
            done=state.done_position,
            engine_late=self.engine_late,
            hop_wait=self.courier.hop_wait(following),
            token_wait=token_wait,
        )

    async def reap_orphans(self) -> None:
        """End the streams that their entries no longer want, for ever."""
        timeout = self.settings.orphan_timeout
        while True:
            await asyncio.sleep(timeout / 4)
            quiet = self.gate.quiet(self.agent.now(), timeout)
            for entry_url, attempts in quiet.items():
                reply = await self.courier.ask_alive(entry_url, attempts)
                self._settle_quiet(attempts, reply)

    def _settle_quiet(
        self, attempts: list[AttemptName], reply: TokenBatchReply | Refusal
    ) -> None:
        """End what an entry does not know, or has not answered for too long."""
        now = self.agent.now()
        if isinstance(reply, Refusal):
            lost = self.gate.quiet(now, 2 * self.settings.orphan_timeout)
            gone = {name for names in lost.values() for name in names}
            for name in gone.intersection(attempts):
                self.close(name.stream, name.attempt)
            return
        for name in attempts:
            self.gate.touch(name.stream, now)
        for credit in reply.credits:
            self.take_credit(credit)

    async def watch_engine(self) -> None:
        """Report the streams of steps that are late, for ever."""
        while True:
            await asyncio.sleep(WATCH_INTERVAL)
            now = self.agent.now()
            late = [step for step in self.steps if step.late_at < now]
            if late and not self.engine_late:
                self._leave_engine()
            self.engine_late = bool(late)

    def _leave_engine(self) -> None:
        """Report every stream that has work at an engine that does not answer."""
        logger.warning("the engine is late", steps=len(self.steps))
        self.engine_late = True
        waiting = self.queue.clear()
        given = [work for step in self.steps for work in step.batch]
        for work in [*given, *waiting]:
            self._report(work, "a step of the engine is late")
