"""Claims of idempotency keys at their home, and how they end."""

from __future__ import annotations

import attrs

from lacewingcourse.core.errors import ErrorKind, Outcome


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
