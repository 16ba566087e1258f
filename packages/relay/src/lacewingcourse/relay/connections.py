"""Pooled connections to endpoints."""

from __future__ import annotations

import asyncio
import socket
from enum import Enum
from typing import TYPE_CHECKING

import attrs
from tornado.iostream import IOStream, StreamClosedError

from lacewingcourse.relay.address import split_address

if TYPE_CHECKING:
    from collections.abc import Awaitable

#: Seconds in which a connection to an endpoint must be made. Network delays are a few
#: milliseconds; a SYN packet that was dropped is sent again only after a second.
CONNECT_TIMEOUT = 0.35
#: Seconds for which an idle connection is kept if the endpoint sends no Keep-Alive.
DEFAULT_KEEP_ALIVE = 2.0
#: Share of the keep-alive time after which an idle connection is no longer used.
KEEP_ALIVE_SHARE = 0.6
#: Maximum number of idle connections per address.
MAX_IDLE_PER_ADDRESS = 64
#: Receive buffer requested of the kernel for each connection, in bytes; it takes twice
#: as much for its own records. Unread bytes count as memory of the process.
RECEIVE_BUFFER_BYTES = 64 * 1024
#: Chunks on a connection after which their mean size must reach a minimum, and that
#: minimum in bytes with their framing. Each chunk costs processor time.
MAX_TINY_CHUNKS = 2000
MIN_CHUNK_BYTES = 12
#: Milliseconds after which unacknowledged data closes a connection (TCP_USER_TIMEOUT).
USER_TIMEOUT_MS = 1500


class Unsent(Enum):
    """Why a request was not sent."""

    UNREACHABLE = "no connection could be made"
    OVERDUE = "the time was over before it was sent"
    NO_DESCRIPTOR = "this entry has no file descriptor left"
    LEAVING = "this entry is about to end"
    NO_RETRY = "no retry is left"
    OVER_LIMIT = "the endpoint takes no further request at present"
    BACKING_OFF = "the endpoint asked for a delay that has not passed"
    CRASHES = "it crashes the endpoints that answer it"
    CALLER_LEFT = "its caller has left"
    MAY_HAVE_RUN = "it may have run, and must not run twice"


@attrs.frozen
class NotSent:
    """A sentinel value: the request was not sent.

    Attributes:
        cause: Why it was not sent.
    """

    cause: Unsent

    @property
    def reason(self) -> str:
        """The cause as text."""
        return self.cause.value


class TinyChunksError(Exception):
    """An endpoint writes chunks that hold next to nothing."""


class EndpointStream(IOStream):
    """The byte stream of a connection to an endpoint.

    Attributes:
        received_bytes: Number of bytes read from the kernel so far.
        at_end: Whether the endpoint has ended its side.
        chunks: Number of chunks read so far.
    """

    received_bytes = 0
    at_end = False
    chunks = 0

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the kernel; tornado calls this."""
        try:
            count = super().read_from_fd(buf)
        finally:
            # A view that is kept would keep the library from resizing its buffer.
            del buf
        if count is not None:
            self.received_bytes += count
            self.at_end = not count
        return count

    def read_until(
        self, delimiter: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Read a line, which is the size of a chunk."""
        self.chunks += 1
        if self.chunks > MAX_TINY_CHUNKS:
            if self.received_bytes < self.chunks * MIN_CHUNK_BYTES:
                self.close(TinyChunksError("chunks that hold next to nothing"))
        return super().read_until(delimiter, max_bytes)

    @property
    def clean(self) -> bool:
        """Whether it is open and has no unread data."""
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
        stream: Its byte stream.
        address: Address of the endpoint.
        usable_until: Time until which it may be reused, seconds.
        reused: Whether it carried another exchange before.
    """

    stream: EndpointStream
    address: str
    usable_until: float = 0.0
    reused: bool = False

    def close(self) -> None:
        """Close it at once."""
        self.stream.close()


@attrs.define
class ConnectionPool:
    """Idle connections to endpoints, kept for reuse.

    Attributes:
        idle: Idle connections by address, the newest last. Addresses without any are
            removed.
    """

    idle: dict[str, list[Connection]] = attrs.field(factory=dict)

    def acquire(self, address: str, now: float) -> Connection | None:
        """Remove and return a usable idle connection, None if there is none."""
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
        """Return a new connection, or why it could not be made in time."""
        sock = self._socket()
        if sock is None:
            return NotSent(Unsent.NO_DESCRIPTOR)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        stream = EndpointStream(sock)
        try:
            connecting = stream.connect(split_address(address))
            await asyncio.wait_for(connecting, CONNECT_TIMEOUT)
        except (TimeoutError, StreamClosedError, OSError):
            stream.close()
            return NotSent(Unsent.UNREACHABLE)
        except asyncio.CancelledError:
            stream.close()
            raise
        return Connection(stream, address)

    def _socket(self) -> socket.socket | None:
        """Return a new socket, None if this process has no file descriptor left.

        If none is left, all idle connections are closed and it tries once more: this
        request matters more than the time that reuse saves for later ones.
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
        """Keep a connection whose last response was read to its end, or close it.

        Args:
            connection: The connection.
            keep_alive: Seconds for which the endpoint keeps it open while it is idle,
                None if the endpoint does not say.
            now: Current time, seconds.
        """
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
        """Close the connections that may no longer be used."""
        for address, available in list(self.idle.items()):
            self._close(address, [c for c in available if c.usable_until <= now])

    def close_idle(self, address: str) -> None:
        """Close all idle connections to an endpoint, as one of them was stale."""
        self._close(address, list(self.idle.get(address, ())))

    def _close(self, address: str, connections: list[Connection]) -> None:
        for connection in connections:
            self.idle[address].remove(connection)
            connection.stream.set_close_callback(None)
            connection.close()
        self._drop_if_empty(address)

    def _drop_if_empty(self, address: str) -> None:
        """Remove an address without connections; path choice prefers listed ones."""
        if not self.idle.get(address):
            self.idle.pop(address, None)

    def _remove(self, connection: Connection) -> None:
        available = self.idle.get(connection.address, [])
        if connection in available:
            available.remove(connection)
        self._drop_if_empty(connection.address)
