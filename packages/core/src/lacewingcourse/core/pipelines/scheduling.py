"""Scheduling of requests that compete for room: who starts next, who is refused."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

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
    """

    id: str
    rank: int
    organisation: str
    tokens: int
    arrived_at: float
    latest_start: float
    resumed: bool = False
    due: bool = False


@attrs.frozen
class Started:
    """A decision: a request starts now, on room that was taken for it.

    Attributes:
        request: The request.
        room: The path or endpoint on which room was taken.
    """

    request: QueuedRequest
    room: Path | object


@attrs.frozen
class Refused:
    """A decision: a request is refused now.

    Attributes:
        request: The request.
        refusal: The kind of the refusal and its reason, without a return time.
    """

    request: QueuedRequest
    refusal: Refusal


#: What the scheduler decides; a request without a decision waits.
Decision = Started | Refused


class RoomSource(Protocol):
    """Finds room for requests and takes it."""

    def take(self, request: QueuedRequest, now: float) -> Path | Refusal:
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
