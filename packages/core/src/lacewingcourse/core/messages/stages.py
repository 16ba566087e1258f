"""Opening and starting the stages of an attempt."""

from __future__ import annotations

import attrs

from lacewingcourse.core.errors import ErrorKind
from lacewingcourse.core.estimates import LoadReport
from lacewingcourse.core.layers import LayerRange
from lacewingcourse.core.messages.attempts import check_attempt
from lacewingcourse.core.messages.statuses import Status


@attrs.frozen
class Sampling:
    """How tokens are chosen.

    Attributes:
        temperature: 0.0 always takes the likeliest token.
        seed: Seed of the choice when the temperature is above 0.0.
        max_tokens: Generated tokens at the most.
        stop: Texts that end the answer; they are not part of it.
    """

    temperature: float = 0.0
    seed: int = 0
    max_tokens: int = 16
    stop: tuple[str, ...] = ()


@attrs.frozen
class StageAddress:
    """Where a stage of an attempt runs.

    Attributes:
        endpoint: Name of the endpoint instance.
        agent_url: Base URL of its agent.
        incarnation: Incarnation of the agent.
        layers: Layers that run there.
    """

    endpoint: str
    agent_url: str
    incarnation: str
    layers: LayerRange


@attrs.frozen
class Prompt:
    """What the first stage starts from.

    Attributes:
        text: The caller's prompt.
        delivered: Tokens that the caller already has, in order.
    """

    text: str
    delivered: tuple[int, ...] = ()


@attrs.frozen
class OpenStage:
    """Entry to agent: take part in an attempt; with a prompt, also start it.

    Attributes:
        stream: Name of the stream, unique for all time.
        attempt: Number of the attempt, from 1.
        index: Which stage of the route the receiver is.
        stages: The whole route.
        entry_url: Where tokens and troubles are sent.
        organisation: Whose request it is.
        work_class: Class of work of the request.
        priority: Seconds in which the first token is due; lower runs sooner.
        sampling: How tokens are chosen.
        token_limit: Tokens that may be generated before further credit.
        prompt: Given to the first stage only.
        version: Version of the weights that the attempt runs on, or empty for any.
        solo: Whether its first steps run alone on the engine.
        resume: Whether to keep what an older attempt has here and wait for a
            `StartStage`.
        pace: Seconds between tokens that the class asks for, 0.0 for none.
    """

    stream: str
    attempt: int
    index: int
    stages: tuple[StageAddress, ...]
    entry_url: str
    organisation: str
    work_class: str
    priority: float
    sampling: Sampling
    token_limit: int
    prompt: Prompt | None = None
    version: str = ""
    pace: float = 0.0
    solo: bool = False
    resume: bool = False

    def __attrs_post_init__(self) -> None:
        if not 0 <= self.index < len(self.stages):
            raise ValueError(f"no stage {self.index} among {len(self.stages)}")
        check_attempt(self.attempt)


@attrs.frozen
class KeptState:
    """What a stage still has of an older attempt.

    Attributes:
        positions: Positions that its engine has run or was given.
        sendable_from: First position whose output it can send again.
        prompt_length: Tokens of the caller's prompt.
    """

    positions: int
    sendable_from: int
    prompt_length: int


@attrs.frozen
class StartStage:
    """Entry to agent: what a stage of a resumed attempt does first.

    Attributes:
        stream: Name of the stream.
        attempt: Number of the attempt.
        incarnation: Incarnation the message is meant for.
        keep: Whether the stage goes on from the positions it has.
        send_from: First position whose output the next stage needs.
        prompt: Prompt and tokens to run from the start, or None.
        inputs: Tokens to run after the positions that it has.
    """

    stream: str
    attempt: int
    incarnation: str
    keep: bool
    send_from: int
    prompt: Prompt | None = None
    inputs: tuple[int, ...] = ()

    def __attrs_post_init__(self) -> None:
        check_attempt(self.attempt)
        if self.send_from < 0:
            raise ValueError(f"position {self.send_from} is negative")


@attrs.frozen
class OpenReply:
    """Agent to entry: whether the stage was taken.

    Attributes:
        accepted: Whether the agent takes part.
        incarnation: Incarnation of the agent that answers.
        kind: Why not, or None.
        reason: Why not, for a person.
        load: What the agent has learned of speed and load, or None.
        status: State of the agent, if it was not sent lately.
        kept: What the stage still has of an older attempt, or None.
    """

    accepted: bool
    incarnation: str
    kind: ErrorKind | None = None
    reason: str = ""
    load: LoadReport | None = None
    status: Status | None = None
    kept: KeptState | None = None
