"""A stream over all of its runs: how they end, and what takes their place."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from lacewingcourse.core.pipelines.choice import Demand
    from lacewingcourse.core.pipelines.events import EventSplitter
    from lacewingcourse.core.pipelines.path import Path
    from lacewingcourse.core.pipelines.shape import EngineShape
    from lacewingcourse.relay.connections import Connection
    from lacewingcourse.relay.job import Job
    from lacewingcourse.relay.ports import AnswerHead
    from lacewingcourse.relay.sending import WholeAnswer
    from lacewingcourse.relay.upstream import Exchange, Head


class StreamEnd(Enum):
    """How one run of a stream ended."""

    WHOLE = "whole"
    LOST = "lost"
    STALLED = "stalled"
    REJECTED = "rejected"
    ABANDONED = "abandoned"
    OVERDUE = "overdue"
    DROPPED = "dropped"
    HELD = "held"
    NOT_TAKEN = "not_taken"
    NO_RETRY = "no_retry"
    LIMITED = "limited"
    FAILED = "failed"


@attrs.define(eq=False)
class Standby:
    """A run that was begun beside one that stands still, and may take its place.

    Attributes:
        path: Its path.
        exchange: What was sent for it.
        began_at: When it was sent, seconds.
        head: Head of its answer if it was accepted, else None.
        failure: How it ended if it was not, else None.
    """

    path: Path
    exchange: Exchange
    began_at: float
    head: Head | None = None
    failure: RunResult | None = None


@attrs.frozen
class Replacement:
    """What a stream goes on with in place of a run that stands still.

    Attributes:
        path: Its next path.
        connection: A connection to the first part of it, None once it was sent.
        has_room: Whether its parts have room while the other run is still open.
        standby: The run on it, None if it is still to be sent.
    """

    path: Path
    connection: Connection | None = None
    has_room: bool = False
    standby: Standby | None = None


@attrs.frozen
class RunResult:
    """What became of one run of a stream.

    Attributes:
        end: How it ended.
        reason: What happened.
        fault_address: Address of the endpoint at fault, or empty.
        misdirected: Whether that endpoint does not hold what the path names.
        first_lost: Whether the connection to the first part broke.
        replacement: What the stream goes on with, None if that is still to be found.
    """

    end: StreamEnd
    reason: str = ""
    fault_address: str = ""
    misdirected: bool = False
    first_lost: bool = False
    replacement: Replacement | None = None


@attrs.define
class StreamState:
    """A stream, over all of its runs.

    Attributes:
        job: The request.
        shape: Figures of the service's engines.
        demand: What it needs of a path.
        cutter: Cuts bytes into events, and knows the last one passed on.
        head: Head of the first run's answer, None before it.
        quiet_since: Time since which nothing arrived of the present run, seconds.
        failure: An engine's own failure, which is passed on if nothing better comes.
    """

    job: Job
    shape: EngineShape
    demand: Demand
    cutter: EventSplitter
    head: AnswerHead | None = None
    quiet_since: float = 0.0
    failure: WholeAnswer | None = None
