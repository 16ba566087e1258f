"""Faults of a link of the fault proxy."""

from __future__ import annotations

from enum import Enum

import attrs


class Direction(Enum):
    """Which way bytes go through a link."""

    NONE = "none"
    REQUESTS = "requests"
    ANSWERS = "answers"
    BOTH = "both"


@attrs.frozen
class LinkFaults:
    """Faults of a link. The counted ones hit requests that `match` finds; -1 is all.

    Attributes:
        delay: Seconds that bytes take longer, each way.
        bandwidth: Bytes a second, each way; 0 is no limit.
        drop: Which way bytes stand still until this is lifted.
        cut: Whether open and new connections are reset.
        half_open: Whether new connections are accepted and never answered.
        match: Regular expression that is searched in a request's line and headers.
        hold: Requests to keep back until they are released, also if their sender
            has left by then.
        copy: Requests of which a copy is kept back until it is released.
        duplicate: Requests to deliver twice; the sender gets one answer.
        lose_requests: Requests to lose; their connection is reset.
        lose_answers: Requests to deliver, then reset their connection instead of
            handing back the answer.
    """

    delay: float = 0.0
    bandwidth: float = 0.0
    drop: Direction = Direction.NONE
    cut: bool = False
    half_open: bool = False
    match: str = ""
    hold: int = 0
    copy: int = 0
    duplicate: int = 0
    lose_requests: int = 0
    lose_answers: int = 0

    def drops(self, way: Direction) -> bool:
        """Tell whether bytes of one way stand still."""
        return self.drop in (way, Direction.BOTH)
