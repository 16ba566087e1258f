"""Connections to endpoints, and the exchange of one request over one of them."""

from __future__ import annotations

import asyncio
import socket
from enum import Enum
from typing import TYPE_CHECKING

import attrs
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from lacewingcourse.relay.address import split_address

if TYPE_CHECKING:
    from collections.abc import Callable

#: Seconds in which a connection to an endpoint must be made. Delays are a few
#: milliseconds; an opening packet that was dropped is sent again after a second.
CONNECT_TIMEOUT = 0.35
#: Seconds for which an idle connection is kept if the endpoint does not tell.
UNTOLD_KEEP_ALIVE = 2.0
#: Part of a told time after which an idle connection is not used any more.
KEEP_ALIVE_SHARE = 0.6
#: Idle connections that are kept for each address.
MOST_IDLE = 64
#: Milliseconds after which unacknowledged bytes end a connection.
USER_TIMEOUT_MS = 1500
#: Bytes that an endpoint's head may have.
MOST_HEAD = 64 * 1024
#: Bytes that an endpoint's body may have.
MOST_BODY = 64 * 1024 * 1024


class SendOutcome(Enum):
    """How far a request got; decides what may be told and what may be repeated."""

    NEVER_LEFT = "never_left"
    MAY_HAVE_RUN = "may_have_run"
    REJECTED = "rejected"
    ANSWERED = "answered"


@attrs.frozen
class Head:
    """The head of an answer arrived."""

    status: int
    headers: HTTPHeaders


@attrs.frozen
class Data:
    """Bytes of a body arrived."""

    data: bytes


@attrs.frozen
class End:
    """An answer ended.

    Attributes:
        complete: Whether its framing says that it is whole.
        reason: What happened otherwise.
    """

    complete: bool
    reason: str = ""


@attrs.frozen
class Stalled:
    """Nothing arrived for too long.

    Attributes:
        known: Whether an endpoint on the path is known to be the cause.
    """

    known: bool = False


@attrs.frozen
class Abandoned:
    """The caller left, or this process gives the request up."""

    reason: str


Arrival = Head | Data | End | Stalled | Abandoned


class Unsent(Enum):
    """Why a request never left this process."""

    UNREACHABLE = "no connection could be made"
    OVERDUE = "the time was over before it was sent"
    NO_DESCRIPTOR = "this entry has no file descriptor left"


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

    def take(self, address: str, now: float) -> Connection | None:
        """Return an idle connection, None if there is none that may be used."""
        waiting = self.idle.get(address, [])
        while waiting:
            connection = waiting.pop()
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
        made = self._socket()
        if made is None:
            return NotSent(Unsent.NO_DESCRIPTOR)
        made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        stream = EndpointStream(made)
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
                    self.drop(address)
        return None

    def give_back(
        self, connection: Connection, keep_alive: float | None, now: float
    ) -> None:
        """Keep a connection whose last answer was read to its end."""
        waiting = self.idle.setdefault(connection.address, [])
        told = UNTOLD_KEEP_ALIVE if keep_alive is None else keep_alive
        if told <= 0 or len(waiting) >= MOST_IDLE or not connection.stream.clean:
            connection.close()
            self._drop_if_empty(connection.address)
            return
        connection.usable_until = now + told * KEEP_ALIVE_SHARE
        connection.stream.set_close_callback(lambda: self._forget(connection))
        waiting.append(connection)

    def expire(self, now: float) -> None:
        """Close the connections that may not be used any more."""
        for address, waiting in list(self.idle.items()):
            self._close(address, [c for c in waiting if c.usable_until <= now])

    def drop(self, address: str) -> None:
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

    def _forget(self, connection: Connection) -> None:
        waiting = self.idle.get(connection.address, [])
        if connection in waiting:
            waiting.remove(connection)
        self._drop_if_empty(connection.address)


class Exchange(HTTPMessageDelegate):
    """A request that was sent to an endpoint, and what arrives of its answer.

    Attributes:
        connection: Connection that carries it.
        arrivals: What arrived and was not taken yet.
        complete: Whether an answer was read to its end.
        heard: Whether anything of an answer arrived.
        sink: Takes bytes of the body as they arrive, None to put them into
            `arrivals`. A stream's events go through it without a switch of tasks,
            which saves a fifth of an entry's processor time.
    """

    def __init__(
        self,
        connection: Connection,
        is_ours: Callable[[int, HTTPHeaders], bool],
    ) -> None:
        self.connection = connection
        self.arrivals: asyncio.Queue[Arrival] = asyncio.Queue()
        self.complete = False
        self.heard = False
        self.sink: Callable[[bytes], None] | None = None
        self._is_ours = is_ours
        self._skipping = False
        self._until_close = False
        self._closes = False
        self._task: asyncio.Task | None = None

    def start(
        self, method: str, target: str, headers: HTTPHeaders, body: bytes
    ) -> None:
        """Send the request; what arrives is put into `arrivals`."""
        params = HTTP1ConnectionParameters(
            max_header_size=MOST_HEAD, max_body_size=MOST_BODY
        )
        http = HTTP1Connection(self.connection.stream, True, params)
        line = RequestStartLine(method, target, "HTTP/1.1")
        http.write_headers(line, headers, body)
        http.finish()
        self._task = asyncio.ensure_future(self._read(http, params))

    def abandon(self) -> None:
        """Close the connection, so that the endpoint stops its work."""
        self.connection.close()
        if self._task is not None:
            self._task.cancel()

    @property
    def reusable(self) -> bool:
        """Whether the connection may carry another request."""
        return self.complete and not self._until_close and not self._closes

    @property
    def was_dropped(self) -> bool:
        """Whether the endpoint seems to have dropped the connection before its use.

        One that was kept and ends before a byte of an answer nearly always had been
        dropped while it was idle; that the request ran is not ruled out.
        """
        return self.connection.reused and not self.heard

    def headers_received(
        self, start_line: ResponseStartLine | RequestStartLine, headers: HTTPHeaders
    ) -> None:
        """Take the head of an answer."""
        self.heard = True
        status = start_line.code
        if status < 200:
            return
        self._skipping = not self._is_ours(status, headers)
        self._until_close = (
            "Content-Length" not in headers
            and "Transfer-Encoding" not in headers
            and status not in (204, 304)
        )
        if headers.get("Connection", "").lower() == "close":
            self._closes = True
        if not self._skipping:
            self.arrivals.put_nowait(Head(status, headers))

    def data_received(self, chunk: bytes) -> None:
        """Take bytes of the body."""
        if self._skipping:
            return
        if self.sink is not None:
            self.sink(chunk)
        else:
            self.arrivals.put_nowait(Data(chunk))

    def finish(self) -> None:
        """Take the end of an answer."""
        if self._skipping:
            return
        error = self.connection.stream.error if self._until_close else None
        if error is not None:
            self.arrivals.put_nowait(End(False, f"reset: {error}"))
            return
        self.complete = True
        self.arrivals.put_nowait(End(True))

    def on_connection_close(self) -> None:
        """Take the early end of an answer."""
        if not self._skipping:
            self.arrivals.put_nowait(End(False, "ended early"))

    async def _read(
        self,
        http: HTTP1Connection,
        params: HTTP1ConnectionParameters,
    ) -> None:
        """Read answers until the one to this request has come."""
        try:
            while True:
                self._skipping = False
                await http.read_response(self)
                if not self._skipping:
                    break
                if self.connection.stream.closed():
                    self.arrivals.put_nowait(End(False, "only a foreign answer"))
                    break
                http = HTTP1Connection(self.connection.stream, True, params)
                http.finish()
        except (StreamClosedError, HTTPInputError, OSError) as error:
            self.arrivals.put_nowait(End(False, f"closed: {error}"))
