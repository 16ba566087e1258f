"""Every effect that a decision can ask its daemon for."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from lacewingcourse.core.errors import Refusal
    from lacewingcourse.core.layers import LayerRange
    from lacewingcourse.core.messages import (
        Credit,
        Hop,
        OpenStage,
        Prompt,
        ReportRequest,
        Revoke,
        Sampling,
        StageAddress,
        StartStage,
        Token,
        Trouble,
    )


@attrs.frozen
class RunForward:
    """Run the engine over consecutive positions of a stream.

    Attributes:
        stream: Name of the stream.
        attempt: Number of the attempt that began the engine's sequence.
        layers: Layers to run.
        position: Position of the first value.
        values: Inputs, or empty when the prompt is given.
        prompt: Prompt to tokenise and run, for the first stage's first step.
        sampling: How to sample after the last value, or None to return outputs.
        prompt_length: Tokens of the caller's prompt; 0 while not known.
        priority: Lower runs sooner.
        solo: Whether nothing else may run on the engine meanwhile.
    """

    stream: str
    attempt: int
    layers: LayerRange
    position: int
    values: tuple[int, ...]
    prompt: Prompt | None
    sampling: Sampling | None
    prompt_length: int
    priority: float
    solo: bool = False


@attrs.frozen
class SendHop:
    """Send a hop to the agent of another stage, or to this one."""

    target: StageAddress
    hop: Hop


@attrs.frozen
class SendToken:
    """Send a token to the entry of its stream."""

    entry_url: str
    token: Token


@attrs.frozen
class SendTrouble:
    """Tell the entry of a stream that its attempt cannot go on."""

    entry_url: str
    trouble: Trouble


@attrs.frozen
class CancelForward:
    """Drop the sequence that a stream's attempt began from the engine."""

    stream: str
    attempt: int


@attrs.frozen
class SendOpen:
    """Ask the agent of a stage to take part in an attempt."""

    target: StageAddress
    message: OpenStage


@attrs.frozen
class SendStart:
    """Tell a stage of a resumed attempt what it does first."""

    index: int
    target: StageAddress
    message: StartStage


@attrs.frozen
class SendRevoke:
    """Ask an agent never to run an attempt again."""

    target: StageAddress
    message: Revoke


@attrs.frozen
class SendCredit:
    """Let a stream's last stage go further."""

    target: StageAddress
    message: Credit


@attrs.frozen
class DeliverToken:
    """Hand a token to the caller."""

    token: Token


@attrs.frozen
class FinishAnswer:
    """End the caller's answer as whole.

    Attributes:
        reason: Finish reason as callers know it: `stop` or `length`.
    """

    reason: str


@attrs.frozen
class FailAnswer:
    """End the caller's answer with an error."""

    refusal: Refusal


@attrs.frozen
class ChooseRoute:
    """Ask for a route that avoids some endpoints.

    Attributes:
        excluded: Names of the endpoints to avoid.
        delay: Seconds to wait first.
        stages: The route to mend by replacing the excluded; empty for a new route.
    """

    excluded: frozenset[str]
    delay: float = 0.0
    stages: tuple[StageAddress, ...] = ()


@attrs.frozen
class AskReport:
    """Ask the agent of a stage how far it has come.

    Attributes:
        index: Which stage of the route it is.
        target: Where the stage runs.
        message: The question.
    """

    index: int
    target: StageAddress
    message: ReportRequest


#: What the entry does for a streamed answer.
AnswerEffect = (
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
#: What an agent does for a stage.
StageEffect = RunForward | SendHop | SendToken | SendTrouble | CancelForward
