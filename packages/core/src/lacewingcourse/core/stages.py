"""The agent's gate for stages: what may run on its engine, and in which order."""

from __future__ import annotations

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
    Hop,
    HopVerdict,
    OpenReply,
    OpenStage,
    RevokeReply,
    StageAddress,
    Token,
    Trouble,
)

Effect = RunForward | SendHop | SendToken | SendTrouble | CancelForward

#: Hops that may wait for an earlier one of the same attempt.
HELD_HOPS = 64
#: First steps of an attempt that run alone if it is to run alone.
SOLO_STEPS = 2
#: Seconds for which a revocation is remembered after its last use.
REVOCATION_KEPT = 900.0


@attrs.frozen
class ForwardResult:
    """What the engine returned for one `RunForward`.

    Attributes:
        stream: Name of the stream.
        attempt: Number of the attempt.
        position: Position of the first value that was run.
        count: Positions that were run.
        outputs: Hidden values, or empty when a token was sampled.
        token: Sampled token number, or None.
        text: Text of the sampled token.
        prompt_length: Tokens of the caller's prompt.
    """

    stream: str
    attempt: int
    position: int
    count: int
    outputs: tuple[int, ...]
    token: int | None
    text: str
    prompt_length: int


@attrs.define
class StageState:
    """One attempt's stage on this endpoint.

    Attributes:
        message: The opening message.
        next_position: The position that the stage runs next.
        done_position: The position behind the last that the engine has run.
        steps: Pieces of work that the engine was given.
        token_limit: Tokens that may be generated before further credit.
        held: Hops that came before their turn, by position.
        waiting: The hop back to the first stage that waits for credit.
        touched_at: When the stage last changed, seconds.
    """

    message: OpenStage
    next_position: int = 0
    done_position: int = 0
    steps: int = 0
    token_limit: int = 0
    held: dict[int, Hop] = attrs.field(factory=dict)
    waiting: SendHop | None = None
    touched_at: float = 0.0

    @property
    def address(self) -> StageAddress:
        """The address of this stage."""
        return self.message.stages[self.message.index]

    @property
    def started(self) -> bool:
        """Whether any of it was given to the engine."""
        return self.steps > 0

    def next_is_solo(self) -> bool:
        """Count one more piece of work; tell whether it has to run alone."""
        self.steps += 1
        return self.message.solo and self.steps <= SOLO_STEPS

    @property
    def is_last(self) -> bool:
        """Whether this stage samples the tokens."""
        return self.message.index == len(self.message.stages) - 1


@attrs.define
class Revocation:
    """Attempts of a stream that may never run here again.

    Attributes:
        attempt: Attempts up to this number are revoked.
        started: Whether work of one of them had started.
        kept_until: When the record may be forgotten, seconds.
    """

    attempt: int
    started: bool
    kept_until: float


@attrs.define
class StageGate:
    """State of all stages on one endpoint.

    Attributes:
        endpoint: Name of the endpoint instance.
        incarnation: Incarnation of the agent.
        leaving: Whether new streams are refused.
        stages: Newest attempt's stage by stream.
        revocations: Revoked attempts by stream.
    """

    endpoint: str
    incarnation: str
    leaving: bool = False
    stages: dict[str, StageState] = attrs.field(factory=dict)
    revocations: dict[str, Revocation] = attrs.field(factory=dict)

    def open(self, message: OpenStage, now: float) -> tuple[OpenReply, list[Effect]]:
        """Take part in an attempt, or refuse.

        A repeated message is accepted again without effect.
        """
        refused = self._refusal_of(message)
        if refused is not None:
            return refused, []
        current = self.stages.get(message.stream)
        if current is not None and current.message.attempt == message.attempt:
            return OpenReply(True, self.incarnation), []
        effects: list[Effect] = []
        if current is not None:
            effects.append(CancelForward(message.stream, current.message.attempt))
        state = StageState(message, token_limit=message.token_limit, touched_at=now)
        if current is not None and current.started:
            self._remember_start(message.stream, current.message.attempt, now)
        self.stages[message.stream] = state
        if message.prompt is not None:
            effects.append(self._first_forward(state))
        return OpenReply(True, self.incarnation), effects

    def _refusal_of(self, message: OpenStage) -> OpenReply | None:
        """Return the reply that refuses an opening message, or None."""
        address = message.stages[message.index]
        if address.incarnation != self.incarnation:
            return self._refuse(
                ErrorKind.STALE_INCARNATION, "meant for another incarnation"
            )
        revocation = self.revocations.get(message.stream)
        if revocation is not None and message.attempt <= revocation.attempt:
            return self._refuse(ErrorKind.STALE_ATTEMPT, "the attempt is revoked")
        current = self.stages.get(message.stream)
        if current is not None and message.attempt < current.message.attempt:
            return self._refuse(ErrorKind.STALE_ATTEMPT, "a newer attempt runs")
        if self.leaving and current is None:
            return self._refuse(ErrorKind.DRAINING, "the endpoint is leaving")
        return None

    def _refuse(self, kind: ErrorKind, reason: str) -> OpenReply:
        return OpenReply(False, self.incarnation, kind, reason)

    def _remember_start(self, stream: str, attempt: int, now: float) -> None:
        """Keep the fact that an overtaken attempt had started."""
        known = self.revocations.get(stream)
        self.revocations[stream] = Revocation(
            attempt=max(attempt, known.attempt if known else 0),
            started=True,
            kept_until=now + REVOCATION_KEPT,
        )

    def _first_forward(self, state: StageState) -> RunForward:
        """Return the step that tokenises and runs the prompt."""
        message = state.message
        return RunForward(
            stream=message.stream,
            attempt=message.attempt,
            layers=state.address.layers,
            position=0,
            values=(),
            prompt=message.prompt,
            sampling=message.sampling if state.is_last else None,
            prompt_length=0,
            priority=message.priority,
            solo=state.next_is_solo(),
        )

    def receive(self, hop: Hop, now: float) -> tuple[HopVerdict, list[Effect]]:
        """Run a hop if it is the next of the newest attempt; hold it if early."""
        state = self.stages.get(hop.stream)
        if state is None:
            return HopVerdict.UNKNOWN_STREAM, []
        if hop.attempt != state.message.attempt:
            older = hop.attempt < state.message.attempt
            return HopVerdict.STALE if older else HopVerdict.UNKNOWN_STREAM, []
        if hop.layers != state.address.layers:
            return HopVerdict.WRONG_RANGE, []
        if hop.position < state.next_position:
            return HopVerdict.REPEATED, []
        if hop.position > state.next_position:
            if len(state.held) >= HELD_HOPS:
                return HopVerdict.OVERFLOW, []
            state.held[hop.position] = hop
            return HopVerdict.HELD, []
        effects = [self._forward(state, hop, now)]
        while state.next_position in state.held:
            following = state.held.pop(state.next_position)
            effects.append(self._forward(state, following, now))
        return HopVerdict.ACCEPTED, effects

    def _forward(self, state: StageState, hop: Hop, now: float) -> RunForward:
        """Return the step that runs a hop and count its positions as run."""
        state.touched_at = now
        state.next_position = hop.position + len(hop.values)
        message = state.message
        return RunForward(
            stream=hop.stream,
            attempt=hop.attempt,
            layers=hop.layers,
            position=hop.position,
            values=hop.values,
            prompt=None,
            sampling=message.sampling if state.is_last else None,
            prompt_length=hop.prompt_length,
            priority=message.priority,
            solo=state.next_is_solo(),
        )

    def complete(self, result: ForwardResult, now: float) -> list[Effect]:
        """Pass on what the engine returned; results of old attempts are dropped."""
        state = self.stages.get(result.stream)
        if state is None or state.message.attempt != result.attempt:
            return []
        state.touched_at = now
        end = result.position + result.count
        state.next_position = max(state.next_position, end)
        state.done_position = max(state.done_position, end)
        if state.is_last:
            return self._emit(state, result, end)
        following = state.message.stages[state.message.index + 1]
        hop = Hop(
            stream=result.stream,
            attempt=result.attempt,
            layers=following.layers,
            position=result.position,
            values=result.outputs,
            prompt_length=result.prompt_length,
        )
        return [SendHop(following, hop)]

    def _emit(
        self, state: StageState, result: ForwardResult, position: int
    ) -> list[Effect]:
        """Send the sampled token to the entry and back to the first stage."""
        message = state.message
        index = position - result.prompt_length
        token = Token(
            stream=result.stream,
            attempt=result.attempt,
            index=index,
            token=result.token,
            text=result.text,
            prompt_length=result.prompt_length,
        )
        effects: list[Effect] = [SendToken(message.entry_url, token)]
        made = index + 1
        if made >= message.sampling.max_tokens:
            return effects
        first = message.stages[0]
        back = Hop(
            stream=result.stream,
            attempt=result.attempt,
            layers=first.layers,
            position=position,
            values=(result.token,),
            prompt_length=result.prompt_length,
        )
        if made >= state.token_limit:
            state.waiting = SendHop(first, back)
            return effects
        effects.append(SendHop(first, back))
        return effects

    def credit(
        self, stream: str, attempt: int, token_limit: int, now: float
    ) -> list[Effect]:
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

    def close(self, stream: str, attempt: int, now: float) -> list[Effect]:
        """End an attempt and those before it."""
        return self.revoke(stream, attempt, now)[1]

    def revoke(
        self, stream: str, attempt: int, now: float
    ) -> tuple[RevokeReply, list[Effect]]:
        """Never run attempts up to this one again; tell whether one had started."""
        state = self.stages.get(stream)
        known = self.revocations.get(stream)
        started = known.started if known else False
        effects: list[Effect] = []
        if state is not None and state.message.attempt <= attempt:
            started = started or state.started
            del self.stages[stream]
            effects.append(CancelForward(stream, state.message.attempt))
        self.revocations[stream] = Revocation(
            attempt=max(attempt, known.attempt if known else 0),
            started=started,
            kept_until=now + REVOCATION_KEPT,
        )
        return RevokeReply(self.incarnation, True, started), effects

    def fail(self, trouble: Trouble) -> list[Effect]:
        """Report that an attempt cannot go on, to the stream's entry."""
        state = self.stages.get(trouble.stream)
        if state is None or state.message.attempt != trouble.attempt:
            return []
        return [SendTrouble(state.message.entry_url, trouble)]

    def forget(self, now: float) -> None:
        """Drop revocations that are past their time."""
        expired = [
            stream
            for stream, revocation in self.revocations.items()
            if revocation.kept_until < now and stream not in self.stages
        ]
        for stream in expired:
            del self.revocations[stream]
