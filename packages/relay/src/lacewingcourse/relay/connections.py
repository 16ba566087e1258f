"""Connections to endpoints, some of which are kept for further requests."""

from __future__ import annotations

import asyncio
import socket
from enum import Enum

import attrs
from tornado.iostream import IOStream, StreamClosedError

from lacewingcourse.relay.address import split_address

#: Seconds in which a connection to an endpoint must be made. Delays are a few
#: milliseconds; an opening packet that was dropped is sent again after a second.
CONNECT_TIMEOUT = 0.35
#: Seconds for which an idle connection is kept if the endpoint does not tell.
DEFAULT_KEEP_ALIVE = 2.0
#: Part of a told time after which an idle connection is not used any more.
KEEP_ALIVE_SHARE = 0.6
#: Idle connections that are kept for each address.
MAX_IDLE_PER_ADDRESS = 64
#: Milliseconds after which unacknowledged bytes end a connection.
USER_TIMEOUT_MS = 1500


class Unsent(Enum):
    """Why a request never left this process."""

    UNREACHABLE = "no connection could be made"
    OVERDUE = "the time was over before it was sent"
    NO_DESCRIPTOR = "this entry has no file descriptor left"
    LEAVING = "this entry is about to end"
    NO_RETRY = "no retry is left"
    OVER_LIMIT = "the endpoint takes no further request at present"


@attrs.frozen
class NotSent:
    """A sentinel value: the request never left this process.

    Attributes:
        cause: Why.
    """

    cause: Unsent

    @property
    def reason(self) -> str:
        """What happened, for people."""
        return self.cause.value


class EndpointStream(IOStream):
    """A connection to an endpoint."""

    @property
    def clean(self) -> bool:
        """Whether it is open and nothing waits to be read."""
        if self.closed() or self._read_buffer_size:
            return False
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False


@attrs.define(eq=False)
class Connection:
    """A connection to an endpoint.

    Attributes:
        stream: The connection.
        address: Address of the endpoint.
        usable_until: Time until which it may be used again, seconds.
        reused: Whether it carried another exchange before.
    """

    stream: EndpointStream
    address: str
    usable_until: float = 0.0
    reused: bool = False

    def close(self) -> None:
        """End it at once."""
        self.stream.close()


@attrs.define
class ConnectionPool:
    """Connections to endpoints that may be used again.

    Attributes:
        idle: Idle connections by address, the newest last; no address without one.
    """

    idle: dict[str, list[Connection]] = attrs.field(factory=dict)

    def acquire(self, address: str, now: float) -> Connection | None:
        """Return an idle connection, None if there is none that may be used."""
        available = self.idle.get(address, [])
        while available:
            connection = available.pop()
            if now < connection.usable_until and connection.stream.clean:
                connection.stream.set_close_callback(None)
                connection.reused = True
                self._drop_if_empty(address)
                return connection
            connection.close()
        self._drop_if_empty(address)
        return None

    async def connect(self, address: str) -> Connection | NotSent:
        """Return a new connection, or why it cannot be made in time."""
        sock = self._socket()
        if sock is None:
            return NotSent(Unsent.NO_DESCRIPTOR)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        stream = EndpointStream(sock)
        try:
            connecting = stream.connect(split_address(address))
            await asyncio.wait_for(connecting, CONNECT_TIMEOUT)
        except (TimeoutError, StreamClosedError, OSError):
            stream.close()
            return NotSent(Unsent.UNREACHABLE)
        return Connection(stream, address)

    def _socket(self) -> socket.socket | None:
        """Return a new socket, None if this process has no file descriptor for it.

        Idle connections give theirs up first: a request is worth more than the time
        that a kept connection saves another one.
        """
        for _ in range(2):
            try:
                return socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            except OSError:
                for address in list(self.idle):
                    self.close_idle(address)
        return None

    def release(
        self, connection: Connection, keep_alive: float | None, now: float
    ) -> None:
        """Keep a connection whose last answer was read to its end."""
        available = self.idle.setdefault(connection.address, [])
        lifetime = DEFAULT_KEEP_ALIVE if keep_alive is None else keep_alive
        if (
            lifetime <= 0
            or len(available) >= MAX_IDLE_PER_ADDRESS
            or not connection.stream.clean
        ):
            connection.close()
            self._drop_if_empty(connection.address)
            return
        connection.usable_until = now + lifetime * KEEP_ALIVE_SHARE
        connection.stream.set_close_callback(lambda: self._remove(connection))
        available.append(connection)

    def expire(self, now: float) -> None:
        """Close the connections that may not be used any more."""
        for address, available in list(self.idle.items()):
            self._close(address, [c for c in available if c.usable_until <= now])

    def close_idle(self, address: str) -> None:
        """Close all idle connections to an endpoint, which has dropped one of them."""
        self._close(address, list(self.idle.get(address, ())))

    def _close(self, address: str, connections: list[Connection]) -> None:
        for connection in connections:
            self.idle[address].remove(connection)
            connection.stream.set_close_callback(None)
            connection.close()
        self._drop_if_empty(address)

    def _drop_if_empty(self, address: str) -> None:
        """Keep no address without a connection: those that are kept are preferred."""
        if not self.idle.get(address):
            self.idle.pop(address, None)

    def _remove(self, connection: Connection) -> None:
        available = self.idle.get(connection.address, [])
        if connection in available:
            available.remove(connection)
        self._drop_if_empty(connection.address)
