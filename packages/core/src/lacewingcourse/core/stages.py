"""The agent's gate for stages: what may run on its engine, and in which order."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.effects import (
    CancelForward,
    RunForward,
    SendHop,
    SendToken,
    SendTrouble,
)
from lacewingcourse.core.errors import ErrorKind
from lacewingcourse.core.messages import (
    AttemptName,
    Hop,
    HopVerdict,
    OpenReply,
    OpenStage,
    Prompt,
    RevokeReply,
    StartStage,
    Token,
    Trouble,
)
from lacewingcourse.core.output_buffer import SampledToken
from lacewingcourse.core.revocations import Revocations
from lacewingcourse.core.stage_state import ForwardResult, StageState

if TYPE_CHECKING:
    from lacewingcourse.core.effects import StageEffect

#: Hops that may wait for an earlier one of the same attempt.
HELD_HOPS = 64
#: Bytes that a kept output takes.
OUTPUT_BYTES = 64
#: Bytes of kept outputs of all stages at the most.
OUTPUT_BUDGET = 16 * 1024 * 1024


@attrs.define
class StageGate:
    """State of all stages on one endpoint.

    Attributes:
        endpoint: Name of the endpoint instance.
        incarnation: Incarnation of the agent.
        leaving: Whether new streams are refused.
        stages: Newest attempt's stage by stream.
        revocations: Attempts that may never run here again.
        output_budget: Bytes of kept outputs of all stages at the most.
        output_bytes: Bytes of kept outputs at present.
    """

    endpoint: str
    incarnation: str
    leaving: bool = False
    stages: dict[str, StageState] = attrs.field(factory=dict)
    revocations: Revocations = attrs.field(factory=Revocations)
    output_budget: int = OUTPUT_BUDGET
    output_bytes: int = 0

    def open(
        self, message: OpenStage, now: float
    ) -> tuple[OpenReply, list[StageEffect]]:
        """Take part in an attempt, or refuse.

        A repeated message is accepted again without effect.
        """
        refused = self._refusal_of(message)
        if refused is not None:
            return refused, []
        current = self.stages.get(message.stream)
        if current is not None and current.message.attempt == message.attempt:
            return OpenReply(True, self.incarnation), []
        if current is not None and current.may_go_on_in(message):
            current.adopt(message, now)
            return OpenReply(True, self.incarnation, kept=current.kept()), []
        effects: list[StageEffect] = []
        if current is not None:
            effects.append(CancelForward(message.stream, current.sequence))
            self._drop_outputs(current)
        state = StageState(
            message,
            message.attempt,
            paused=message.resume,
            token_limit=message.token_limit,
            touched_at=now,
        )
        if current is not None and current.started:
            self.revocations.note(message.stream, current.message.attempt, True, now)
        self.stages[message.stream] = state
        if message.prompt is not None:
            effects.append(self._first_forward(state, message.prompt))
        return OpenReply(True, self.incarnation), effects

    def start(
        self, message: StartStage, now: float
    ) -> tuple[OpenReply, list[StageEffect]]:
        """Do what comes first in a resumed attempt; a repeat has no effect."""
        state = self.stages.get(message.stream)
        if state is None or state.message.attempt != message.attempt:
            return self._refuse(ErrorKind.STALE_ATTEMPT, "the attempt is gone"), []
        if not state.paused:
            return OpenReply(True, self.incarnation), []
        if message.keep and not state.has_outputs_from(message.send_from):
            reason = "the outputs are no longer kept"
            return self._refuse(ErrorKind.UNKNOWN_STREAM, reason), []
        state.paused = False
        state.touched_at = now
        state.send_from = message.send_from
        effects: list[StageEffect] = []
        if not message.keep and state.sequence != message.attempt:
            effects.append(CancelForward(message.stream, state.sequence))
            self._drop_outputs(state)
            state.reset()
        if message.prompt is not None:
            effects.append(self._first_forward(state, message.prompt))
        effects.extend(self._send_kept(state))
        if message.inputs:
            effects.append(self._run_inputs(state, message.inputs, now))
        effects.extend(self._run_held(state, now))
        return OpenReply(True, self.incarnation), effects

    def _send_kept(self, state: StageState) -> list[StageEffect]:
        """Send the kept outputs again that the next stage needs."""
        outputs = state.outputs.since(state.send_from)
        if not outputs:
            return []
        position = state.outputs.end - len(outputs)
        if not state.is_last:
            return [self._next_hop(state, position, tuple(outputs))]
        effects: list[StageEffect] = []
        for index, sampled in enumerate(outputs):
            effects.extend(self._emit(state, sampled, position + index + 1))
        return effects

    def _run_inputs(
        self, state: StageState, inputs: tuple[int, ...], now: float
    ) -> RunForward:
        """Return the step that runs tokens after the positions a stage has."""
        return self._forward(state, state.hop_of(inputs), now)

    def _run_held(self, state: StageState, now: float) -> list[StageEffect]:
        """Run the held hops whose turn has come and drop those that are past."""
        effects: list[StageEffect] = []
        while state.next_position in state.held:
            following = state.held.pop(state.next_position)
            effects.append(self._forward(state, following, now))
        for position in [each for each in state.held if each < state.next_position]:
            del state.held[position]
        return effects

    def _drop_outputs(self, state: StageState) -> None:
        """Forget the outputs of a stage."""
        self.output_bytes -= OUTPUT_BYTES * len(state.outputs)
        state.outputs.clear()

    def _keep_outputs(self, state: StageState, position: int, outputs) -> None:
        """Keep outputs within the budget; beyond it the longest are dropped."""
        before = len(state.outputs)
        state.outputs.append(position, outputs)
        self.output_bytes += OUTPUT_BYTES * (len(state.outputs) - before)
        while self.output_bytes > self.output_budget:
            longest = max(self.stages.values(), key=lambda each: len(each.outputs))
            self._drop_outputs(longest)

    def _refusal_of(self, message: OpenStage) -> OpenReply | None:
        """Return the reply that refuses an opening message, or None."""
        address = message.stages[message.index]
        if address.incarnation != self.incarnation:
            return self._refuse(
                ErrorKind.STALE_INCARNATION, "meant for another incarnation"
            )
        if self.revocations.covers(message.stream, message.attempt):
            return self._refuse(ErrorKind.STALE_ATTEMPT, "the attempt is revoked")
        current = self.stages.get(message.stream)
        if current is not None and message.attempt < current.message.attempt:
            return self._refuse(ErrorKind.STALE_ATTEMPT, "a newer attempt runs")
        if self.revocations.full and current is None:
            return self._refuse(ErrorKind.OVERLOADED, "too many revocations are kept")
        if self.leaving and current is None:
            return self._refuse(ErrorKind.DRAINING, "the endpoint is leaving")
        return None

    def _refuse(self, kind: ErrorKind, reason: str) -> OpenReply:
        return OpenReply(False, self.incarnation, kind, reason)

    def _first_forward(self, state: StageState, prompt: Prompt) -> RunForward:
        """Return the step that tokenises and runs the prompt."""
        message = state.message
        return RunForward(
            stream=message.stream,
            attempt=state.sequence,
            layers=state.address.layers,
            position=0,
            values=(),
            prompt=prompt,
            sampling=message.sampling if state.is_last else None,
            prompt_length=0,
            priority=message.priority,
            solo=state.next_is_solo(),
        )

    def receive(self, hop: Hop, now: float) -> tuple[HopVerdict, list[StageEffect]]:
        """Run a hop if it is the next of the newest attempt; hold it if early."""
        state = self.stages.get(hop.stream)
        if state is None:
            return HopVerdict.UNKNOWN_STREAM, []
        if hop.attempt != state.message.attempt:
            older = hop.attempt < state.message.attempt
            return HopVerdict.STALE if older else HopVerdict.UNKNOWN_STREAM, []
        if hop.layers != state.address.layers:
            return HopVerdict.WRONG_RANGE, []
        if hop.position < state.next_position and not state.paused:
            return HopVerdict.REPEATED, []
        if state.paused or hop.position > state.next_position:
            if len(state.held) >= HELD_HOPS:
                return HopVerdict.OVERFLOW, []
            state.held[hop.position] = hop
            return HopVerdict.HELD, []
        effects = [self._forward(state, hop, now), *self._run_held(state, now)]
        return HopVerdict.ACCEPTED, effects

    def _forward(self, state: StageState, hop: Hop, now: float) -> RunForward:
        """Return the step that runs a hop and count its positions as run."""
        state.touched_at = now
        state.next_position = hop.position + len(hop.values)
        message = state.message
        return RunForward(
            stream=hop.stream,
            attempt=state.sequence,
            layers=hop.layers,
            position=hop.position,
            values=hop.values,
            prompt=None,
            sampling=message.sampling if state.is_last else None,
            prompt_length=hop.prompt_length,
            priority=message.priority,
            solo=state.next_is_solo(),
        )

    def complete(self, result: ForwardResult, now: float) -> list[StageEffect]:
        """Pass on what the engine returned; results of old sequences are dropped."""
        state = self.stages.get(result.stream)
        if state is None or state.sequence != result.attempt:
            return []
        state.touched_at = now
        state.prompt_length = result.prompt_length
        end = result.position + result.count
        state.next_position = max(state.next_position, end)
        state.done_position = max(state.done_position, end)
        if state.is_last:
            sampled = SampledToken(result.token, result.text)
            self._keep_outputs(state, end - 1, [sampled])
            sent = [] if state.paused else self._emit(state, sampled, end)
        else:
            self._keep_outputs(state, result.position, result.outputs)
            sent = self._send_outputs(state, result)
        if state.paused:
            return []
        return [*sent, *self._run_held(state, now)]

    def _send_outputs(
        self, state: StageState, result: ForwardResult
    ) -> list[StageEffect]:
        """Send the outputs of a step that the next stage needs."""
        position = max(result.position, state.send_from)
        values = result.outputs[position - result.position :]
        if state.paused or not values:
            return []
        return [self._next_hop(state, position, values)]

    def _next_hop(self, state: StageState, position: int, values) -> SendHop:
        """Return the effect that sends outputs to the next stage."""
        following = state.message.stages[state.message.index + 1]
        hop = Hop(
            stream=state.message.stream,
            attempt=state.message.attempt,
            layers=following.layers,
            position=position,
            values=values,
            prompt_length=state.prompt_length,
        )
        return SendHop(following, hop)

    def _emit(
        self, state: StageState, sampled: SampledToken, position: int
    ) -> list[StageEffect]:
        """Send the sampled token to the entry and back to the first stage."""
        message = state.message
        index = position - state.prompt_length
        token = Token(
            stream=message.stream,
            attempt=message.attempt,
            index=index,
            token=sampled.token,
            text=sampled.text,
            prompt_length=state.prompt_length,
        )
        effects: list[StageEffect] = [SendToken(message.entry_url, token)]
        made = index + 1
        if made >= message.sampling.max_tokens:
            return effects
        first = message.stages[0]
        back = Hop(
            stream=message.stream,
            attempt=message.attempt,
            layers=first.layers,
            position=position,
            values=(sampled.token,),
            prompt_length=state.prompt_length,
        )
        effect = SendHop(first, back)
        if made >= state.token_limit:
            state.waiting = effect
            return effects
        return [*effects, effect]

    def credit(
        self, stream: str, attempt: int, token_limit: int, now: float
    ) -> list[StageEffect]:
        """Let a stream go further, or end its attempt with a limit of 0."""
        state = self.stages.get(stream)
        if state is None or state.message.attempt != attempt:
            return []
        if token_limit == 0:
            return self.close(stream, attempt, now)
        state.token_limit = max(state.token_limit, token_limit)
        state.touched_at = now
        if state.waiting is None:
            return []
        made = state.waiting.hop.position - state.waiting.hop.prompt_length + 1
        if made >= state.token_limit:
            return []
        effect = state.waiting
        state.waiting = None
        return [effect]

    def close(self, stream: str, attempt: int, now: float) -> list[StageEffect]:
        """End an attempt and those before it."""
        return self.revoke(stream, attempt, now)[1]

    def revoke(
        self, stream: str, attempt: int, now: float
    ) -> tuple[RevokeReply, list[StageEffect]]:
        """Never run attempts up to this one again; tell whether one had started."""
        state = self.stages.get(stream)
        started = self.revocations.started(stream)
        effects: list[StageEffect] = []
        if state is not None and state.message.attempt <= attempt:
            started = started or state.started
            del self.stages[stream]
            self._drop_outputs(state)
            effects.append(CancelForward(stream, state.sequence))
        self.revocations.note(stream, attempt, started, now)
        return RevokeReply(self.incarnation, True, started), effects

    def attempt_of(self, stream: str, sequence: int) -> int:
        """Return the attempt that uses an engine's sequence now, 0 if none does."""
        state = self.stages.get(stream)
        if state is None or state.sequence != sequence:
            return 0
        return state.message.attempt

    def fail(self, trouble: Trouble) -> list[StageEffect]:
        """Report that an attempt cannot go on, to the stream's entry."""
        state = self.stages.get(trouble.stream)
        if state is None or state.message.attempt != trouble.attempt:
            return []
        return [SendTrouble(state.message.entry_url, trouble)]

    def quiet(self, now: float, timeout: float) -> dict[str, list[AttemptName]]:
        """Return the attempts that have not changed for long, by URL of the entry.

        Args:
            now: Present time in seconds.
            timeout: Seconds without a change.
        """
        found: dict[str, list[AttemptName]] = {}
        for stream, state in self.stages.items():
            if now - state.touched_at >= timeout:
                name = AttemptName(stream, state.message.attempt)
                found.setdefault(state.message.entry_url, []).append(name)
        return found

    def touch(self, stream: str, now: float) -> None:
        """Note that a stream's entry still wants it."""
        state = self.stages.get(stream)
        if state is not None:
            state.touched_at = now

    def forget(self, now: float) -> None:
        """Drop revocations that are past their time."""
        self.revocations.forget(now)
