"""Calls of plain services."""

from __future__ import annotations

import attrs

from lacewingcourse.core.errors import ErrorKind, Outcome
from lacewingcourse.core.messages.claims import Claim


@attrs.frozen
class Header:
    """One header of a passed-through call."""

    name: str
    value: str


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
