"""Inputs that pass from stage to stage."""

from __future__ import annotations

from enum import Enum

import attrs

from lacewingcourse.core.layers import LayerRange
from lacewingcourse.core.messages.attempts import check_attempt


@attrs.frozen
class Hop:
    """Agent to agent: inputs of consecutive positions for one stage.

    Attributes:
        stream: Name of the stream.
        attempt: Number of the attempt.
        layers: Layers that the receiver runs on the values.
        position: Position of the first value in the history.
        values: Token numbers for the first stage, hidden values for others.
        prompt_length: Tokens of the caller's prompt.
    """

    stream: str
    attempt: int
    layers: LayerRange
    position: int
    values: tuple[int, ...]
    prompt_length: int

    def __attrs_post_init__(self) -> None:
        check_attempt(self.attempt)
        if self.position < 0:
            raise ValueError(f"position {self.position} is negative")
        if not self.values:
            raise ValueError("a hop has at least one value")


@attrs.frozen
class HopBatch:
    """Agent to agent: all hops that were ready for one receiver.

    Attributes:
        sender: Name of the sending endpoint instance.
        receiver_incarnation: Incarnation the hops are meant for.
        hops: The hops, in the order in which they were made.
    """

    sender: str
    receiver_incarnation: str
    hops: tuple[Hop, ...]


class HopVerdict(Enum):
    """What a receiver did with a hop."""

    ACCEPTED = "accepted"
    HELD = "held"
    REPEATED = "repeated"
    STALE = "stale"
    UNKNOWN_STREAM = "unknown_stream"
    WRONG_RANGE = "wrong_range"
    OVERFLOW = "overflow"


@attrs.frozen
class HopBatchReply:
    """Agent to agent: verdicts in the order of the hops.

    Attributes:
        incarnation: Incarnation of the answering agent.
        current: Whether the batch was meant for this incarnation.
        verdicts: One verdict a hop; empty if not current.
    """

    incarnation: str
    current: bool
    verdicts: tuple[HopVerdict, ...] = ()
