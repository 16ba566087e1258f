"""State of a stream across its attempts: how each ends and what replaces it."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.crashes import AnswerProgress

if TYPE_CHECKING:
    from lacewingcourse.core.pipelines.answer_faults import AnswerFault
    from lacewingcourse.core.pipelines.choice import Demand
    from lacewingcourse.core.pipelines.path import Path
    from lacewingcourse.core.pipelines.shape import EngineShape
    from lacewingcourse.core.pipelines.stream_copy import StreamCopy
    from lacewingcourse.relay.connections import Connection
    from lacewingcourse.relay.job import Job
    from lacewingcourse.relay.ports import AnswerHead
    from lacewingcourse.relay.sending import WholeAnswer
    from lacewingcourse.relay.upstream import Exchange, Head


class AttemptEnd(Enum):
    """How one attempt of a stream ended.

    Attributes:
        WHOLE: The response was relayed to its end.
        LOST: It ended early, or its response cannot be passed on.
        STALLED: Its events stopped, and the stream continues on another path.
        REJECTED: An endpoint refused it without running it.
        ABANDONED: The caller left.
        OVERDUE: The deadline of the request passed.
        DROPPED: The endpoint had already closed the pooled connection.
        HELD: It was not sent: this process has no file descriptor left.
        NOT_TAKEN: It was not sent: this entry is shutting down.
        NO_RETRY: It was not sent: the retry budget is used up.
        LIMITED: It was not sent: the endpoint's rate limit is reached.
        CRASHES: It was not sent: it crashes the endpoints that answer it.
        MAY_HAVE_RUN: It was not sent: the request may have run, and must not run twice.
        FAILED: The engine reported an error that is passed on to the caller.
    """

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
    CRASHES = "crashes"
    MAY_HAVE_RUN = "may_have_run"
    FAILED = "failed"


@attrs.define(eq=False)
class Standby:
    """A second attempt, started while a stalled one is still open.

    Attributes:
        path: Its path.
        exchange: The HTTP exchange that carries it.
        started_at: When it was sent, seconds.
        forwarded: Number of events that the caller had then. It continues after them.
        head: Head of its response if it was accepted, else None.
        failure: How it ended if it was not accepted, else None.
    """

    path: Path
    exchange: Exchange
    started_at: float
    forwarded: int
    head: Head | None = None
    failure: AttemptResult | None = None


@attrs.frozen
class Replacement:
    """The path, and possibly the open attempt, that replaces a stalled attempt.

    Attributes:
        path: The next path.
        connection: Connection to its first part, None once the attempt was sent.
        has_room: Whether its parts have memory while the stalled attempt stays open.
        standby: The attempt on that path, None if it is still to be sent.
    """

    path: Path
    connection: Connection | None = None
    has_room: bool = False
    standby: Standby | None = None


@attrs.frozen
class AttemptResult:
    """Result of one attempt of a stream.

    Attributes:
        end: How it ended.
        reason: What happened, for the log and the caller.
        fault_address: Address of the endpoint at fault, or empty.
        misdirected: Whether that endpoint lacks the layers that the path names.
        first_lost: Whether the connection to the first part broke.
        progress: How far the first part had come with the answer.
        replacement: What the stream continues with, None if it is still to be found.
        fault: What is wrong with the bytes of the first part, None if nothing is known
            to be, or if they only are no events.
    """

    end: AttemptEnd
    reason: str = ""
    fault_address: str = ""
    misdirected: bool = False
    first_lost: bool = False
    progress: AnswerProgress = AnswerProgress.UNANSWERED
    replacement: Replacement | None = None
    fault: AnswerFault | None = None


@attrs.define
class StreamState:
    """State of a stream that is shared by all of its attempts.

    Attributes:
        job: The request.
        shape: Performance figures of the service's engines.
        demand: Memory and time that the request is expected to need on a path.
        copy: What the caller has of the stream, and which bytes it gets next.
        head: Head of the response, which is that of the run with its first event; None
            before a successful one.
        last_event_at: When the current attempt started or last passed on an event,
            seconds.
        failure: Error response of an engine, sent to the caller if no further attempt
            succeeds.
    """

    job: Job
    shape: EngineShape
    demand: Demand
    copy: StreamCopy
    head: AnswerHead | None = None
    last_event_at: float = 0.0
    failure: WholeAnswer | None = None
