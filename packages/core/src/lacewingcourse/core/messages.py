"""Every message between the processes of lacewingcourse.

Each request carries what identifies its receiver (an incarnation) and, where work
is concerned, the stream and the attempt, so that a late or repeated copy is told
from a current one.
"""

from __future__ import annotations

from enum import Enum

import attrs

from lacewingcourse.core.configuration import ConfigurationRecord
from lacewingcourse.core.configuration_fold import ConfigurationState
from lacewingcourse.core.errors import ErrorKind, Outcome
from lacewingcourse.core.estimates import LoadReport
from lacewingcourse.core.layers import LayerRange


def check_attempt(attempt: int) -> None:
    """Check the number of an attempt.

    Raises:
        ValueError: It is below 1, where attempts begin.
    """
    if attempt < 1:
        raise ValueError(f"attempt {attempt} is below 1")


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


@attrs.frozen
class ReportRequest:
    """Entry to agent: say how far a stage of an attempt has come."""

    stream: str
    attempt: int


@attrs.frozen
class StageReport:
    """Agent to entry: how far a stage has come and what it waits for.

    Attributes:
        incarnation: Incarnation of the answering agent.
        attempt: Attempt that the agent holds of the stream, 0 if none.
        accepted: Positions that the stage has accepted.
        done: Positions that its engine has run.
        engine_late: Whether its engine has work and is late with it.
        hop_wait: Seconds the oldest hop to the next stage waits for its receipt.
        token_wait: Seconds the oldest token to the entry waits for its receipt.
    """

    incarnation: str
    attempt: int
    accepted: int = 0
    done: int = 0
    engine_late: bool = False
    hop_wait: float = 0.0
    token_wait: float = 0.0


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


@attrs.frozen
class Token:
    """Agent to entry: one generated token.

    Attributes:
        stream: Name of the stream.
        attempt: Number of the attempt.
        index: Which generated token of the answer it is, from 0.
        token: Token number.
        text: Text of the token.
        prompt_length: Tokens of the caller's prompt.
    """

    stream: str
    attempt: int
    index: int
    token: int
    text: str
    prompt_length: int

    def __attrs_post_init__(self) -> None:
        check_attempt(self.attempt)
        if self.index < 0:
            raise ValueError(f"index {self.index} is negative")


@attrs.frozen
class TokenBatch:
    """Agent to entry: the tokens that one engine step made.

    Attributes:
        sender: Name of the sending endpoint instance.
        incarnation: Incarnation of the sending agent.
        tokens: The tokens.
        status: State of the sender, if it was not sent lately.
    """

    sender: str
    incarnation: str
    tokens: tuple[Token, ...]
    status: Status | None = None


@attrs.frozen
class Credit:
    """Entry to agent: how far a stream may go.

    Attributes:
        stream: Name of the stream.
        attempt: Number of the attempt the credit is for.
        token_limit: Tokens that may be generated; 0 ends the attempt.
    """

    stream: str
    attempt: int
    token_limit: int


@attrs.frozen
class TokenBatchReply:
    """Entry to agent: fresh credits for streams of the batch."""

    credits: tuple[Credit, ...] = ()


@attrs.frozen
class Trouble:
    """Agent to entry: a stage of an attempt cannot go on.

    Attributes:
        stream: Name of the stream.
        attempt: Number of the attempt.
        endpoint: The endpoint that is at fault, as the sender sees it.
        kind: What went wrong.
        reason: What went wrong, for a person.
        crash: Name of the engine's crash that the attempt may have caused, or empty.
        newcomer: Whether it was the attempt's first step there.
        solo: Whether the step ran alone on the engine.
    """

    stream: str
    attempt: int
    endpoint: str
    kind: ErrorKind
    reason: str = ""
    crash: str = ""
    newcomer: bool = False
    solo: bool = False


@attrs.frozen
class TroubleBatch:
    """Agent to entry: troubles noticed together."""

    sender: str
    troubles: tuple[Trouble, ...]


@attrs.frozen
class AttemptName:
    """An attempt of a stream."""

    stream: str
    attempt: int


@attrs.frozen
class AliveRequest:
    """Agent to entry: say which of some quiet attempts have ended.

    The reply holds a credit of 0 for each attempt that has.

    Attributes:
        attempts: The attempts.
    """

    attempts: tuple[AttemptName, ...]


@attrs.frozen
class Revoke:
    """Entry to agent: never again run an attempt up to this one.

    Attributes:
        stream: Name of the stream.
        attempt: Attempts up to this number are revoked.
        incarnation: Incarnation the revocation is meant for.
    """

    stream: str
    attempt: int
    incarnation: str


@attrs.frozen
class RevokeReply:
    """Agent to entry: the revocation holds.

    Attributes:
        incarnation: Incarnation of the answering agent.
        current: Whether the revocation was meant for this incarnation.
        started: Whether work of a revoked attempt had started here.
    """

    incarnation: str
    current: bool
    started: bool


@attrs.frozen
class StatusRequest:
    """Entry to agent: ask for the state.

    Attributes:
        entry_url: Where the agent sends later changes of its state.
    """

    entry_url: str = ""


@attrs.frozen
class Status:
    """Agent to entry: state of the agent and its endpoint.

    Attributes:
        endpoint: Name of the endpoint instance.
        incarnation: Incarnation of the agent.
        availability_zone: Where it stands.
        model: Model it holds layers of, or empty.
        layers: Layers it holds, or None.
        service: Plain service it runs, or empty.
        version: Version of the model's weights.
        leaving: Whether it takes no new work.
        ready: Whether its engine or service answers.
        running: Streams or calls running.
        queued: Items that wait for the engine.
        step_time: Seconds an engine step takes at present.
        configuration_version: Version of the configuration in force.
        load: What the agent has learned of speed and load.
        max_layers: Layers that fit into its engine, 0 if it does not tell.
        sequence: Count of the agent's statuses; a later one has a higher number.
    """

    endpoint: str
    incarnation: str
    availability_zone: str
    model: str = ""
    layers: LayerRange | None = None
    service: str = ""
    version: str = ""
    leaving: bool = False
    ready: bool = True
    running: int = 0
    queued: int = 0
    step_time: float = 0.0
    configuration_version: int = 0
    load: LoadReport = LoadReport()
    sequence: int = 0
    max_layers: int = 0


@attrs.frozen
class Header:
    """One header of a passed-through call."""

    name: str
    value: str


@attrs.frozen
class Claim:
    """Entry to home agent: let a key's request run here, or here and now.

    Attributes:
        claimant: Name of the call or stream that wants to run, unique for all time.
        incarnation: Incarnation of the home that the claim is meant for.
        target: The service or model whose key it is.
        organisation: Whose key it is.
        key: The idempotency key.
        epoch: Epoch in which the home got the key's shard, as the sender knows it.
        fingerprint: Tells the request from others under the same key.
        first_use: Whether the sender made the key for this very request.
    """

    claimant: str
    incarnation: str
    target: str
    organisation: str
    key: str
    epoch: int
    fingerprint: str
    first_use: bool = False


@attrs.frozen
class ClaimReply:
    """Home agent to entry: whether the request may run.

    Attributes:
        incarnation: Incarnation of the answering agent.
        granted: Whether it may.
        answer: Stored answer of the key, or None.
        kind: Why it may not, or None.
        reason: Why it may not, for a person.
        outcome: What is known of the effect of the key's request.
    """

    incarnation: str
    granted: bool = False
    answer: str | None = None
    kind: ErrorKind | None = None
    reason: str = ""
    outcome: Outcome = Outcome.NOT_RUN


@attrs.frozen
class Settle:
    """Entry to home agent: how a granted claim ended, or that it still runs.

    Attributes:
        claim: The claim.
        outcome: How it ended, or None while it runs.
        answer: The whole answer, or None.
    """

    claim: Claim
    outcome: Outcome | None = None
    answer: str | None = None


@attrs.frozen
class SettleReply:
    """Home agent to entry: whether the claim was known here."""

    incarnation: str
    known: bool


@attrs.frozen
class RevokeCall:
    """Entry to agent: never start a call; answered by `RevokeReply`.

    Attributes:
        call: Name of the call.
        incarnation: Incarnation the call was sent to.
    """

    call: str
    incarnation: str


@attrs.frozen
class Call:
    """Entry to agent: run one call of a plain service.

    Attributes:
        call: Name of the call, unique for all time.
        incarnation: Incarnation the call is meant for.
        organisation: Whose call it is.
        service: Name of the service.
        method: HTTP method.
        path: Path and query below the service's root.
        headers: Headers to pass on.
        body: Body in base64.
        key: Idempotency key, or empty for a call that may be repeated.
        claim: Claim of the key, or None if there is no key.
    """

    call: str
    incarnation: str
    organisation: str
    service: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: str
    key: str = ""
    claim: Claim | None = None


@attrs.frozen
class CallReply:
    """Agent to entry: how the call ended.

    Attributes:
        incarnation: Incarnation of the answering agent.
        status: HTTP status of the service's answer, 0 if there is none.
        headers: Headers of the answer.
        body: Body in base64.
        kind: Why there is no answer, or None.
        reason: Why there is none, for a person.
        outcome: What is known of the call's effect when there is no answer.
        replayed: Whether the answer is a stored one.
    """

    incarnation: str
    status: int = 0
    headers: tuple[Header, ...] = ()
    body: str = ""
    kind: ErrorKind | None = None
    reason: str = ""
    outcome: Outcome = Outcome.NOT_RUN
    replayed: bool = False


class OrderAction(Enum):
    """What an endpoint is ordered to do."""

    INSPECT = "inspect"
    LOAD = "load"
    UNLOAD = "unload"
    ADAPTER = "adapter"
    ROLE = "role"


@attrs.frozen
class Order:
    """Entry to agent: an order for the endpoint, given under a lease.

    Attributes:
        duty: Duty whose lease the sender holds.
        number: Fencing number of the lease.
        incarnation: Incarnation of the agent it is meant for; empty to inspect.
        order_id: Name of the order; a repeated order has no second effect.
        action: What to do.
        model: Model whose weights are loaded.
        version: Version of the weights.
        layers: Layers to load.
        adapter: Adapter to load.
        role: Role to take.
    """

    duty: str
    number: int
    incarnation: str
    order_id: str
    action: OrderAction
    model: str = ""
    version: str = ""
    layers: LayerRange | None = None
    adapter: str = ""
    role: str = ""


@attrs.frozen
class OrderReply:
    """Agent to entry: whether the order was taken.

    Attributes:
        accepted: Whether it was taken.
        status: State of the agent and its endpoint.
        kind: Why not, or None.
        reason: Why not, for a person.
        retry_after: Seconds after which to try again, or None.
        ordered: The order that is being carried out, or empty.
        last_order: The order that was last carried out or failed.
        last_error: Why it failed, or empty.
        last_retry_after: Seconds after which to order it again, or None.
    """

    accepted: bool
    status: Status
    kind: ErrorKind | None = None
    reason: str = ""
    retry_after: float | None = None
    ordered: str = ""
    last_order: str = ""
    last_error: str = ""
    last_retry_after: float | None = None


@attrs.frozen
class ConfigurationExchange:
    """Any process to any other: what it knows of the configuration, and the reply.

    Attributes:
        version: Version in force at the sender, -1 if it has none.
        lineage: Hash over all accepted records at the sender.
        offset: Records of the log before this offset are folded in.
        age: Seconds since the end of the log was folded in, or None.
        snapshot_at: When the log took the newest snapshot, seconds since the epoch.
        records: Accepted records that the receiver seems to lack, in order.
        state: The whole state, if records would not do.
        relay: URLs of processes that the receiver shall tell in its turn.
    """

    version: int
    lineage: str
    offset: int
    age: float | None = None
    snapshot_at: float | None = None
    records: tuple[ConfigurationRecord, ...] = ()
    state: ConfigurationState | None = None
    relay: tuple[str, ...] = ()
