"""Decides which connections of clients go when memory or descriptors are short.

A client that is alone is never refused here. In a crowd those go first that hold the
most and move the least, so that others are served meanwhile.
"""

from __future__ import annotations

from enum import Enum
from math import exp
from operator import attrgetter

import attrs

MEBIBYTE = 1024 * 1024
#: Bytes that a connection is charged with: what the kernel may hold unread for it, the
#: objects that represent it, and a small request.
CONNECTION_BYTES = 48 * 1024
#: Bytes of a request that its connection has been charged with.
REQUEST_BYTES = 4 * 1024
#: Bytes of the buffers of a body that arrives.
BODY_BUFFER_BYTES = 32 * 1024
#: Bytes that a header field takes as objects, besides its text.
FIELD_BYTES = 300
#: Bytes above which a request counts as large. Large ones leave a share of the memory
#: to the others.
LARGE_BYTES = 64 * 1024
SMALL_SHARE = 0.25
#: Bytes above which a connection counts as holding a large request or answer.
LARGE_HELD = CONNECTION_BYTES + LARGE_BYTES
#: Share of a bound down to which connections are closed once it is reached, so that a
#: crowd does not make each arrival sort all connections.
RELIEF_SHARE = 0.9
#: Seconds in which the bytes that a connection moved count e times less.
MOVE_TIME = 1.0
#: Seconds for which a connection counts as new. New ones go after the others, and the
#: oldest of them first, so that each has time for a small request.
NEW_TIME = 1.0
#: Bytes added to the movement of each connection, so that those that stand still are
#: told apart by what they hold.
MIN_MOVE = 4096.0
#: Memory in bytes that a process needs besides its clients, and the share of the rest
#: that clients may hold. What remains covers copies and fragmentation.
PROCESS_BYTES = 72 * MEBIBYTE
CLIENT_SHARE = 0.6
#: Least share of a process's memory that clients may hold.
MIN_CLIENT_SHARE = 0.125
#: Descriptors that a process needs for files.
FILE_DESCRIPTORS = 200
#: Share of the other descriptors that callers' connections may take. A request needs
#: another one towards an endpoint.
CALLER_DESCRIPTOR_SHARE = 0.45
#: Shares of the descriptors and of the memory for connections that are not of callers.
INTERNAL_DESCRIPTOR_SHARE = 0.1
INTERNAL_MEMORY_SHARE = 0.125
#: Share of the memory of clients that connections alone may take.
CONNECTION_MEMORY_SHARE = 0.5


class Stage(Enum):
    """How far a connection has come with its present request.

    Attributes:
        IDLE: No byte of a request has arrived.
        HEAD: The head arrives.
        BODY: The body arrives.
        SERVED: The request is complete and has no answer yet.
        ANSWER: A large answer is being written.
        REFUSED: The request was refused before its body had arrived.
    """

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    SERVED = "served"
    ANSWER = "answer"
    REFUSED = "refused"


class Shortage(Enum):
    """Why connections are closed.

    Attributes:
        MEMORY: Clients hold too many bytes.
        CONNECTIONS: There are too many connections.
    """

    MEMORY = "memory"
    CONNECTIONS = "connections"


@attrs.frozen
class ClientLimits:
    """Bounds of all connections of clients together.

    Attributes:
        memory: Bytes that they may hold.
        connections: Number of connections.
    """

    memory: int
    connections: int


def caller_limits(memory: int, descriptors: int) -> ClientLimits:
    """Return the limits of callers' connections of a process.

    Args:
        memory: Memory of the process in bytes.
        descriptors: Descriptors that it may open.
    """
    share = 1.0 - INTERNAL_MEMORY_SHARE
    return _limits(memory, descriptors, share, CALLER_DESCRIPTOR_SHARE)


def internal_limits(memory: int, descriptors: int) -> ClientLimits:
    """Return the limits of all other connections to a process, as for callers."""
    return _limits(
        memory, descriptors, INTERNAL_MEMORY_SHARE, INTERNAL_DESCRIPTOR_SHARE
    )


def _limits(
    memory: int, descriptors: int, memory_share: float, descriptor_share: float
) -> ClientLimits:
    spare = (memory - PROCESS_BYTES) * CLIENT_SHARE
    granted = int(max(spare, memory * MIN_CLIENT_SHARE) * memory_share)
    sockets = max(1, descriptors - FILE_DESCRIPTORS)
    by_memory = int(granted * CONNECTION_MEMORY_SHARE / CONNECTION_BYTES)
    return ClientLimits(
        granted, max(1, min(by_memory, int(sockets * descriptor_share)))
    )


@attrs.define(eq=False)
class ConnectionUse:
    """What a connection of a client holds, and how much it moves.

    Attributes:
        opened_at: When it was opened, seconds.
        stage: How far it has come with its present request.
        held: Bytes that it holds.
        moved: Bytes that it moved, where older ones count less.
        moved_at: When `moved` was last updated, seconds.
    """

    opened_at: float
    stage: Stage = Stage.IDLE
    held: int = CONNECTION_BYTES
    moved: float = 0.0
    moved_at: float = attrs.field(default=attrs.Factory(attrgetter("opened_at"), True))

    @property
    def is_large(self) -> bool:
        """Whether it holds a large request or answer."""
        return self.held > LARGE_HELD

    @property
    def may_be_closed(self) -> bool:
        """Whether it may be given up; a complete request is always answered."""
        return self.stage is not Stage.SERVED

    def recent_movement(self, now: float) -> float:
        """Return the bytes that it moved lately.

        Args:
            now: Present time in seconds.
        """
        return self.moved * exp((self.moved_at - now) / MOVE_TIME)

    def record_movement(self, count: int, now: float) -> None:
        """Record bytes that it received or that were written to it.

        Args:
            count: Number of bytes.
            now: Present time in seconds.
        """
        self.moved = self.recent_movement(now) + count
        self.moved_at = now

    def connection_rank(self, now: float) -> tuple[bool, bool, float, float]:
        """Return its rank when connections are short; the lowest goes first."""
        is_new = now - self.opened_at < NEW_TIME
        movement = 0.0 if is_new else self.recent_movement(now)
        return self.stage is not Stage.REFUSED, is_new, movement, self.opened_at

    def memory_rank(self, now: float) -> float:
        """Return what it holds in relation to its movement; the highest goes first."""
        if self.stage is Stage.REFUSED:
            return float("inf")
        return self.held / (self.recent_movement(now) + MIN_MOVE)


@attrs.define
class ClientMemory:
    """The bytes and connections of clients, and who has to go.

    Attributes:
        limits: Their bounds.
        uses: The open connections.
        held: Bytes that they hold together.
        held_by_large: Those of them that large requests and answers hold.
    """

    limits: ClientLimits
    uses: set[ConnectionUse] = attrs.field(factory=set)
    held: int = 0
    held_by_large: int = 0

    def open(self, now: float) -> ConnectionUse:
        """Return the use of a new connection.

        Args:
            now: Present time in seconds.
        """
        use = ConnectionUse(now)
        self.uses.add(use)
        self.held += use.held
        return use

    def close(self, use: ConnectionUse) -> None:
        """Forget a connection that is closed."""
        if use in self.uses:
            self.set_held(use, 0)
            self.uses.discard(use)

    def set_held(self, use: ConnectionUse, held: int) -> None:
        """Set the bytes that an open connection holds."""
        before, use.held = use.held, held
        self.held += held - before
        if before > LARGE_HELD:
            self.held_by_large -= before
        if held > LARGE_HELD:
            self.held_by_large += held

    @property
    def large_limit(self) -> int:
        """Bytes that large requests and answers may hold together."""
        return int(self.limits.memory * (1.0 - SMALL_SHARE))

    @property
    def shortage(self) -> Shortage | None:
        """What is short, None if nothing is."""
        if len(self.uses) > self.limits.connections:
            return Shortage.CONNECTIONS
        if self.held > self.limits.memory or self.held_by_large > self.large_limit:
            return Shortage.MEMORY
        return None

    def can_hold(self, body: int) -> bool:
        """Return whether a body can be held beside the requests that are being served.

        Args:
            body: Bytes that it announces.
        """
        if body <= LARGE_BYTES:
            return True
        kept = sum(
            use.held for use in self.uses if use.stage is Stage.SERVED and use.is_large
        )
        return kept + body <= self.large_limit

    def closed_first(self, now: float) -> list[ConnectionUse]:
        """Return the connections to close until nothing is short.

        Args:
            now: Present time in seconds.
        """
        if self.shortage is Shortage.CONNECTIONS:
            kept = int(self.limits.connections * RELIEF_SHARE)
            return self.stillest(now, len(self.uses) - kept)
        if self.shortage is Shortage.MEMORY:
            return self._heaviest(now)
        return []

    def stillest(self, now: float, count: int) -> list[ConnectionUse]:
        """Return some of the connections that move the least, the first to go first.

        Args:
            now: Present time in seconds.
            count: Number of connections; fewer if no more may be given up.
        """
        candidates = [use for use in self.uses if use.may_be_closed]
        candidates.sort(key=lambda use: use.connection_rank(now))
        return candidates[:count]

    def _heaviest(self, now: float) -> list[ConnectionUse]:
        """Return enough of those that hold the most and move the least."""
        excess = self.held - self.limits.memory * RELIEF_SHARE
        excess_of_large = self.held_by_large - self.large_limit * RELIEF_SHARE
        if self.held <= self.limits.memory:
            excess = 0.0
        if self.held_by_large <= self.large_limit:
            excess_of_large = 0.0
        candidates = [
            use
            for use in self.uses
            if use.may_be_closed and (excess > 0 or use.is_large)
        ]
        candidates.sort(key=lambda use: use.memory_rank(now), reverse=True)
        chosen = []
        for use in candidates:
            if excess <= 0 and excess_of_large <= 0:
                break
            chosen.append(use)
            excess -= use.held
            if use.is_large:
                excess_of_large -= use.held
        return chosen
