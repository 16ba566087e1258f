"""Performs the effects of the gate: engine steps, hops, tokens, troubles."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.agent.engine import (
    EngineClient,
    EngineState,
    ForwardOutput,
    item_of,
    sequence_of,
)
from lacewingcourse.agent.outbox import Outbox
from lacewingcourse.core.effects import (
    CancelForward,
    RunForward,
    SendHop,
    SendToken,
    SendTrouble,
)
from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.estimates import EndpointEstimates
from lacewingcourse.core.messages import (
    HopBatch,
    HopBatchReply,
    HopVerdict,
    TokenBatch,
    TokenBatchReply,
    TroubleBatch,
)
from lacewingcourse.core.queueing import (
    AgentLoad,
    ForwardQueue,
    QueuedForward,
    due_at,
    refusal_kind,
)
from lacewingcourse.core.stages import ForwardResult, StageGate
from lacewingcourse.wire import paths

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lacewingcourse.agent.application import Agent
    from lacewingcourse.core.estimates import LoadReport
    from lacewingcourse.core.messages import OpenStage, StageAddress, Status
    from lacewingcourse.core.stages import Effect

#: Times that a batch is sent before its receiver is reported.
SEND_ATTEMPTS = 3
#: Verdicts after which an attempt cannot go on.
LOST_VERDICTS = frozenset(
    {HopVerdict.UNKNOWN_STREAM, HopVerdict.WRONG_RANGE, HopVerdict.OVERFLOW}
)


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
        in_flight: Steps given to the engine.
        step_time: Seconds of the last step.
        estimates: What was learned of the engine's speed.
        present: Items given to the engine.
        sources: Entries that have streams here.
    """

    def __init__(self, agent: Agent) -> None:
        self.agent = agent
        self.settings = agent.settings
        self.incarnation = agent.incarnation
        self.gate = StageGate(self.settings.instance_id, self.incarnation)
        self.engine = EngineClient(
            self.settings.endpoint_url, self.settings.endpoint_timeout
        )
        self.engine_state: EngineState | None = None
        self.queue = ForwardQueue()
        self.in_flight = 0
        self.step_time = 0.0
        self.estimates = EndpointEstimates(
            self.settings.batch_items, self.settings.max_streams
        )
        self.present = 0
        self.sources = 0
        self.hop_outboxes: dict[tuple[str, str], Outbox] = {}
        self.token_outboxes: dict[str, Outbox] = {}
        self.trouble_outboxes: dict[str, Outbox] = {}

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
                    self._token_outbox(effect.entry_url).put(effect.token)
                case SendTrouble():
                    self._trouble_outbox(effect.entry_url).put(effect.trouble)
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
        pace = stage.message.pace if stage is not None else 0.0
        positions = len(effect.values)
        if effect.prompt is not None:
            positions = self.estimates.prompt_positions(len(effect.prompt.text))
            positions += len(effect.prompt.delivered)
        self.queue.push(effect, due_at(effect, pace, self.agent.now()), positions)

    def _feed_engine(self) -> None:
        """Give waiting work to the engine while it has room."""
        while self.queue and self.in_flight < self.settings.steps_in_flight:
            batch = self.queue.take(self.settings.batch_items)
            self.in_flight += 1
            self.present += len(batch)
            self.estimates.on_load(
                self.present + len(self.queue), len(self.gate.stages)
            )
            self.agent.spawn(self._step(batch))

    async def _step(self, queued: list[QueuedForward]) -> None:
        """Run one batch on the engine and pass its results on."""
        started_at = self.agent.now()
        batch = [entry.effect for entry in queued]
        items = tuple(item_of(entry.effect, entry.due_at) for entry in queued)
        try:
            reply = await self.engine.forward(items)
        finally:
            self.in_flight -= 1
            self.present -= len(batch)
        failed = isinstance(reply, Refusal)
        self.agent.metrics.on_step(len(batch), None if failed else reply.step_time)
        if failed:
            self._fail_batch(batch, reply)
            return
        self.step_time = reply.step_time
        positions = sum(output.count for output in reply.items)
        self.estimates.on_step(positions, started_at, self.agent.now())
        for work, output in zip(batch, reply.items, strict=True):
            self._complete(work, output)
        self._feed_engine()

    def _fail_batch(self, batch: list[RunForward], refusal: Refusal) -> None:
        """Report each attempt of a failed batch."""
        for work in batch:
            self._report(work.stream, work.attempt, refusal.reason)
        self._feed_engine()

    def _report(self, stream: str, attempt: int, reason: str) -> None:
        """Report that this endpoint failed an attempt."""
        endpoint = self.settings.instance_id
        kind = ErrorKind.ENDPOINT_FAILED
        self.perform(self.gate.fail(stream, attempt, endpoint, kind, reason))

    def _complete(self, work: RunForward, output: ForwardOutput) -> None:
        """Pass on the result of one item."""
        self.agent.metrics.tokens.inc(output.token is not None)
        if output.error:
            self._report(work.stream, work.attempt, output.error)
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
        key = (effect.target.agent_url, effect.target.incarnation)
        outbox = self.hop_outboxes.get(key)
        if outbox is None:
            send = partial(self._send_hops, effect.target)
            outbox = self.hop_outboxes[key] = Outbox(send, self.agent.spawn)
        outbox.put(effect.hop)

    async def _send_hops(self, target: StageAddress, hops: list) -> None:
        """Send hops to the agent of another stage; report it if it fails."""
        batch = HopBatch(self.settings.instance_id, target.incarnation, tuple(hops))
        sent_at = self.agent.now()
        reply = await self._send(target.agent_url, paths.HOPS, batch, HopBatchReply)
        if isinstance(reply, Refusal) or not reply.current:
            reason = reply.reason if isinstance(reply, Refusal) else "restarted"
            for hop in hops:
                self._blame(hop, target.endpoint, reason)
            return
        self.estimates.on_hop(target.endpoint, self.agent.now() - sent_at)
        for hop, verdict in zip(hops, reply.verdicts, strict=True):
            if verdict in LOST_VERDICTS:
                self._blame(hop, target.endpoint, verdict.value)

    def _blame(self, hop, endpoint: str, reason: str) -> None:
        """Report that another stage did not take a hop."""
        kind = ErrorKind.STAGE_LOST
        effects = self.gate.fail(hop.stream, hop.attempt, endpoint, kind, reason)
        self.perform(effects)

    async def _send(self, url: str, path: str, message, kind):
        """Send a message that the receiver recognises when it is repeated."""
        reply = None
        for _ in range(SEND_ATTEMPTS):
            reply = await self.agent.peers.send(
                url, path, message, kind, self.settings.hop_timeout
            )
            if not isinstance(reply, Refusal):
                return reply
        return reply

    def _token_outbox(self, entry_url: str) -> Outbox:
        if entry_url not in self.token_outboxes:
            send = partial(self._send_tokens, entry_url)
            self.token_outboxes[entry_url] = Outbox(send, self.agent.spawn)
        return self.token_outboxes[entry_url]

    async def _send_tokens(self, entry_url: str, tokens: list) -> None:
        """Send tokens to their entry and take the credits of its reply."""
        status = self.agent.watchers.status_due(entry_url)
        batch = TokenBatch(
            self.settings.instance_id, self.incarnation, tuple(tokens), status
        )
        reply = await self._send(entry_url, paths.TOKENS, batch, TokenBatchReply)
        if isinstance(reply, Refusal):
            self._entry_lost(tokens)
            return
        for credit in reply.credits:
            self.take_credit(credit)

    def take_credit(self, credit) -> None:
        """Let a stream go further."""
        self.perform(
            self.gate.credit(
                credit.stream, credit.attempt, credit.token_limit, self.agent.now()
            )
        )

    def _entry_lost(self, tokens: list) -> None:
        """End the attempts whose entry cannot be reached."""
        for token in tokens:
            effects = self.gate.close(token.stream, token.attempt, self.agent.now())
            self.perform(effects)

    def _trouble_outbox(self, entry_url: str) -> Outbox:
        if entry_url not in self.trouble_outboxes:
            send = partial(self._send_troubles, entry_url)
            self.trouble_outboxes[entry_url] = Outbox(send, self.agent.spawn)
        return self.trouble_outboxes[entry_url]

    async def _send_troubles(self, entry_url: str, troubles: list) -> None:
        batch = TroubleBatch(self.settings.instance_id, tuple(troubles))
        await self._send(entry_url, paths.TROUBLES, batch, TokenBatchReply)
