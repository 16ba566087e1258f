"""State of one attempt's stage on an endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.messages import Hop, KeptState
from lacewingcourse.core.output_buffer import OutputBuffer

if TYPE_CHECKING:
    from lacewingcourse.core.effects import SendHop
    from lacewingcourse.core.messages import OpenStage, StageAddress

#: First steps of an attempt that run alone if it is to run alone.
SOLO_STEPS = 2


@attrs.frozen
class ForwardResult:
    """What the engine returned for one `RunForward`.

    Attributes:
        stream: Name of the stream.
        attempt: Number of the attempt that began the engine's sequence.
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
        sequence: Number of the attempt that began the engine's sequence.
        paused: Whether the stage waits for a `StartStage`.
        send_from: First position whose output the next stage needs.
        prompt_length: Tokens of the caller's prompt, 0 while not known.
        outputs: Outputs that can be sent again.
        next_position: The position that the stage runs next.
        done_position: The position behind the last that the engine has run.
        steps: Pieces of work that the engine was given.
        token_limit: Tokens that may be generated before further credit.
        held: Hops that came before their turn, by position.
        waiting: The hop back to the first stage that waits for credit.
        touched_at: When the stage last changed, seconds.
    """

    message: OpenStage
    sequence: int
    paused: bool = False
    send_from: int = 0
    prompt_length: int = 0
    outputs: OutputBuffer = attrs.field(factory=OutputBuffer)
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

    def kept(self) -> KeptState | None:
        """Return what the stage has of an older attempt."""
        if self.next_position == 0:
            return None
        first = self.outputs.first if self.outputs else self.done_position
        return KeptState(self.next_position, first, self.prompt_length)

    def adopt(self, message: OpenStage, now: float) -> None:
        """Take part in a newer attempt with what the older one has."""
        self.message = message
        self.paused = True
        self.held = {}
        self.waiting = None
        self.token_limit = max(self.token_limit, message.token_limit)
        self.touched_at = now

    def reset(self) -> None:
        """Run all positions again, in a sequence of its own."""
        self.sequence = self.message.attempt
        self.next_position = 0
        self.done_position = 0
        self.outputs = OutputBuffer()

    def may_go_on_in(self, message: OpenStage) -> bool:
        """Tell whether what an older attempt left here can go on in a newer one."""
        return (
            message.resume
            and self.address.layers == message.stages[message.index].layers
            and self.next_position > 0
        )

    def has_outputs_from(self, position: int) -> bool:
        """Tell whether the outputs from a position on are kept or to come."""
        return position >= self.done_position or position >= self.outputs.first

    def hop_of(self, inputs: tuple[int, ...]) -> Hop:
        """Return tokens that follow the positions it has, as if they had come here."""
        return Hop(
            stream=self.message.stream,
            attempt=self.message.attempt,
            layers=self.address.layers,
            position=self.next_position,
            values=inputs,
            prompt_length=self.prompt_length,
        )

    def next_is_solo(self) -> bool:
        """Count one more piece of work; tell whether it has to run alone."""
        self.steps += 1
        return self.message.solo and self.steps <= SOLO_STEPS

    @property
    def is_last(self) -> bool:
        """Whether this stage samples the tokens."""
        return self.message.index == len(self.message.stages) - 1
