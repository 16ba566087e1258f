"""The name of an attempt, whether it is alive, and its revocation."""

from __future__ import annotations

import attrs


def check_attempt(attempt: int) -> None:
    """Check the number of an attempt.

    Raises:
        ValueError: It is below 1, where attempts begin.
    """
    if attempt < 1:
        raise ValueError(f"attempt {attempt} is below 1")


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
