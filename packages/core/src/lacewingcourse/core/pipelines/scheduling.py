"""Scheduling of requests that compete for room: interfaces."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Protocol

import attrs

from lacewingcourse.core.errors import ErrorKind

if TYPE_CHECKING:
    from lacewingcourse.core.errors import Refusal
    from lacewingcourse.core.pipelines.path import Path


@attrs.define(eq=False)
class QueuedRequest:
    """A request that needs room on a path, or a slot of a plain endpoint.

    Attributes:
        id: Its id, for the log.
        rank: Its rank; 0 is served first.
        organisation: Name of its organisation.
        tokens: Tokens that it needs, 1 for a call of a plain service.
        arrived_at: When it arrived at this entry, seconds.
        latest_start: When it must start to be in time, seconds.
        resumed: Whether it continues an answer that its caller is already reading.
        due: Whether its caller was refused before and returns at the time it was given.
        restricted: Whether it may use only some of the paths that others may use, so
            that a lack of room for it says nothing of others.
        caller_may_retry: Whether its caller may send it again if it is refused.
        found: Why there was no room when it was last tried, None before.
        tried_at: When it was last tried, seconds.
        has_collected: Whether others were kept from room for it.
    """

    id: str
    rank: int
    organisation: str
    tokens: int
    arrived_at: float
    latest_start: float
    resumed: bool = False
    due: bool = False
    restricted: bool = False
    caller_may_retry: bool = True
    found: Refusal | None = None
    tried_at: float = float("-inf")
    has_collected: bool = False

    @property
    def lacks_room(self) -> bool:
        """Whether it was tried, and lacked room that others may get."""
        found = self.found
        if found is None or found.retry_after is not None:
            return False
        return found.kind is ErrorKind.OVERLOADED

    def waited_share(self, now: float) -> float:
        """Return the share of its time that it has waited.

        Args:
            now: Present time in seconds.
        """
        time = self.latest_start - self.arrived_at
        return (now - self.arrived_at) / time if time > 0.0 else 1.0


@attrs.frozen
class Started:
    """A decision: a request starts now, on room that was taken for it.

    Attributes:
        request: The request.
        room: The path or endpoint on which room was taken.
    """

    request: QueuedRequest
    room: Path | object


class RefusalCause(Enum):
    """Why a request gets no room.

    Attributes:
        SHARE: It does not belong to what this entry may start.
        LATE: It would not start in time with those before it.
        WAITED: It found no room until its latest start.
        QUEUE_FULL: Too many requests wait.
        NOT_ALLOWED: Waiting would not help, such as while the entry drains.
        OVERSIZED: It is larger than the memory of any path.
    """

    SHARE = "share"
    LATE = "late"
    WAITED = "waited"
    QUEUE_FULL = "queue_full"
    NOT_ALLOWED = "not_allowed"
    OVERSIZED = "oversized"


@attrs.frozen
class Refused:
    """A decision: a request is refused now.

    Attributes:
        request: The request.
        refusal: The kind of the refusal and its reason, without a return time.
        cause: Why the scheduler refuses it.
    """

    request: QueuedRequest
    refusal: Refusal
    cause: RefusalCause


#: What the scheduler decides; a request without a decision waits.
Decision = Started | Refused


class RoomSource(Protocol):
    """Finds room for requests and takes it."""

    def take(self, request: QueuedRequest, now: float) -> Path | object | Refusal:
        """Take room for a request so that the next choice sees it taken.

        Args:
            request: The request.
            now: Present time in seconds.

        Returns:
            The path or endpoint on which room was taken, or why there is none.
        """


class RoomShare(Protocol):
    """What this entry may take of the room that all entries share."""

    def record_arrival(self, request: QueuedRequest, now: float) -> None:
        """Count the demand of a request that has arrived."""

    def may_take(self, request: QueuedRequest, now: float) -> bool:
        """Return whether a request belongs to what this entry may start.

        The answer is given once for each request, on its arrival. True for every
        request while no entry has a shortage of room.
        """

    def record_start(self, request: QueuedRequest, now: float) -> None:
        """Count the room that a request has taken."""

    def record_shortage(self, request: QueuedRequest, now: float) -> None:
        """Record that a request that may take room has found none."""

    def has_precedence(self, request: QueuedRequest, now: float) -> bool:
        """Return whether no more urgent request waits at another entry."""

    def reason(self, request: QueuedRequest, now: float) -> str:
        """Return why a request does not belong to what this entry may start."""


class UnlimitedShare:
    """The share of an entry that may start whatever has room."""

    def record_arrival(self, request: QueuedRequest, now: float) -> None:
        """Do nothing."""

    def may_take(self, request: QueuedRequest, now: float) -> bool:
        """Return true."""
        return True

    def record_start(self, request: QueuedRequest, now: float) -> None:
        """Do nothing."""

    def record_shortage(self, request: QueuedRequest, now: float) -> None:
        """Do nothing."""

    def has_precedence(self, request: QueuedRequest, now: float) -> bool:
        """Return true."""
        return True

    def reason(self, request: QueuedRequest, now: float) -> str:
        """Return nothing, as every request may start."""
        return ""
