"""Stages that cannot go on."""

from __future__ import annotations

import attrs

from lacewingcourse.core.errors import ErrorKind


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
