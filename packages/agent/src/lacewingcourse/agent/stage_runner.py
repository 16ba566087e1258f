"""Performs the effects of the gate: engine work, hops, tokens, troubles."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

import attrs

from lacewingcourse.agent.courier import Courier
from lacewingcourse.agent.engine import EngineClient, sequence_of
from lacewingcourse.agent.engine_steps import EngineSteps
from lacewingcourse.agent.host import Host
from lacewingcourse.core.effects import (
    CancelForward,
    RunForward,
    SendHop,
    SendToken,
    SendTrouble,
)
from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.messages import StageReport, Trouble
from lacewingcourse.core.queueing import (
    AgentLoad,
    due_at,
    refusal_kind,
)
from lacewingcourse.core.stage_state import ForwardResult
from lacewingcourse.core.stages import StageGate

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lacewingcourse.agent.engine import ForwardOutput
    from lacewingcourse.agent.watchers import Watchers
    from lacewingcourse.core.effects import StageEffect
    from lacewingcourse.core.estimates import LoadReport
    from lacewingcourse.core.messages import (
        AttemptName,
        Credit,
        OpenStage,
        ReportRequest,
        Status,
        TokenBatchReply,
    )

#: Entries that are remembered to be told when the agent leaves.
KEPT_ENTRIES = 1000


class StageHost(Host, Protocol):
    """What stages need of the agent.

    Attributes:
        watchers: Tells entries the state.
    """

    watchers: Watchers


class StageRunner:
    """Runs stages on the engine beside the agent.

    Attributes:
        agent: The agent's daemon.
        settings: Its settings.
        incarnation: Name of this start of the agent.
        gate: Decides what runs here.
        engine: Client of the engine.
        work: Work that the engine was given or that waits for it.
        entry_urls: Entries that sent streams here, the latest last.
        courier: Carries what goes to other processes.
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
        self.work = EngineSteps(agent, self.engine, self)
        self.entry_urls: dict[str, None] = {}
        self.courier = Courier(self)
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
        self.work.state = None if isinstance(state, Refusal) else state
        entries = {each.message.entry_url for each in self.gate.stages.values()}
        self.sources = len(entries)

    def complete_status(self, status: Status) -> Status:
        """Return a status with what the engine adds to it."""
        state = self.work.state
        if state is None:
            return status
        return attrs.evolve(
            status,
            model=state.model,
            layers=state.layers,
            version=state.version,
            max_layers=state.max_layers,
            queued=len(self.work.queue),
            step_time=self.work.step_time,
            load=self.load(),
        )

    def load(self) -> LoadReport:
        """Return what was learned of the engine's speed and load."""
        return self.work.estimates.report(
            self.work.queue.positions(),
            self.sources,
            len(self.gate.stages),
            self.agent.now(),
        )

    def perform(self, effects: Iterable[StageEffect]) -> None:
        """Carry out effects of the gate."""
        for effect in effects:
            match effect:
                case RunForward():
                    self._push(effect)
                case CancelForward():
                    self.work.queue.drop(effect.stream, effect.attempt)
                    sequence = sequence_of(effect.stream, effect.attempt)
                    self.agent.spawn(self.engine.cancel((sequence,)))
                case SendHop():
                    self._send_hop(effect)
                case SendToken():
                    self.courier.put_token(effect.entry_url, effect.token)
                case SendTrouble():
                    self.courier.put_trouble(effect.entry_url, effect.trouble)
        self.work.feed()

    def refusal_of(self, message: OpenStage) -> ErrorKind | None:
        """Return why a new stream is not let in, or None."""
        if self.work.state is None:
            return ErrorKind.NOT_READY
        if not self._holds(message):
            return ErrorKind.STALE_INCARNATION
        if message.stream in self.gate.stages:
            return None
        backlog = self.work.queue.positions() * self.work.estimates.fit.position
        load = AgentLoad(len(self.gate.stages), self.settings.max_streams, backlog)
        return refusal_kind(message, load)

    def _holds(self, message: OpenStage) -> bool:
        """Tell whether the engine holds the layers and the version of a stage."""
        state = self.work.state
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
            positions = self.work.estimates.prompt_positions(len(effect.prompt.text))
            positions += len(effect.prompt.delivered)
        due = due_at(effect, pace, stages, self.agent.now())
        self.work.queue.push(effect, due, positions)

    def failed(
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

    def running(self) -> int:
        """Return how many stages run here."""
        return len(self.gate.stages)

    def completed(self, work: RunForward, output: ForwardOutput) -> None:
        """Pass on the result of one item."""
        self.agent.metrics.tokens.inc(output.token is not None)
        if output.error:
            self.failed(work, output.error)
            return
        if work.prompt is not None:
            self.work.estimates.on_prompt(len(work.prompt.text), output.prompt_length)
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
            engine_late=self.work.late,
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
