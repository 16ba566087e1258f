"""Connections of clients, whose bytes are counted and whose small chunks take turns."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from typing import TYPE_CHECKING, Protocol

from tornado.iostream import IOStream

from lacewingcourse.core.pipelines.client_memory import (
    BODY_BUFFER_BYTES,
    CONNECTION_BYTES,
    FIELD_BYTES,
    REQUEST_BYTES,
    ClientLimits,
    ClientMemory,
    Shortage,
    Stage,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tornado.httputil import HTTPHeaders

#: Bytes read from the kernel at a time.
READ_BYTES = 16 * 1024
#: Receive buffer requested of the kernel for each connection, in bytes; it takes twice
#: as much for its own records.
RECEIVE_BUFFER_BYTES = 32 * 1024
#: Bytes of a connection's buffer in this process: a head that is too long, and what was
#: read with its last bytes.
MAX_BUFFER_BYTES = 256 * 1024
#: Bytes of a head before a configuration sets the limit.
DEFAULT_HEAD_BYTES = 64 * 1024
#: Fields of a head above which it is decoded in a turn of its own.
FIELDS_PER_TURN = 100
#: Bytes of a head besides its fields, and of each field besides its name, its colon and
#: its value: none of them counts for the limit of a head.
UNCOUNTED_BYTES = len(b"  HTTP/1.1\r\n\r\n")
UNCOUNTED_FIELD_BYTES = 1
#: End of a head. The library's own expression ends at the same byte, and takes several
#: times as long as it begins with an optional one.
HEAD_END = rb"\n\r?\n"
#: Starts of the lines of a head that tell whether a body follows, in lower case.
BODY_FIELDS = (b"\ncontent-length:", b"\ntransfer-encoding:")
#: Chunks of a body that are read in one turn.
CHUNKS_PER_TURN = 64
#: Stages in which bytes belong to a head.
BEFORE_BODY = frozenset({Stage.IDLE, Stage.HEAD})
#: Stages of requests that may end because of their time.
UNFINISHED = frozenset({Stage.BODY, Stage.REFUSED})
#: Limits of connections that nothing bounds.
UNBOUNDED = ClientLimits(memory=2**62, connections=2**31)


class Turns:
    """Lets one of several tasks continue in each iteration of the loop.

    Attributes:
        waiting: Those that wait, in order.
    """

    def __init__(self) -> None:
        self.waiting: deque[asyncio.Future[None]] = deque()
        self._is_scheduled = False

    def wait(self) -> asyncio.Future[None]:
        """Return a future that is done when the turn has come."""
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        self.waiting.append(turn)
        if not self._is_scheduled:
            self._is_scheduled = True
            loop.call_soon(self._next)
        return turn

    def _next(self) -> None:
        while self.waiting:
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                break
        self._is_scheduled = bool(self.waiting)
        if self._is_scheduled:
            asyncio.get_running_loop().call_soon(self._next)


class ClientRequest(Protocol):
    """A request that is being received or answered."""

    def on_shortage(self, shortage: Shortage) -> None:
        """Give up what the request holds, and its connection soon or at once."""

    def check(self, now: float) -> None:
        """Give up a request whose time has passed."""


class Account:
    """What one connection holds, reported to the decision who has to go.

    Attributes:
        clients: All connections.
        use: The part of the decision's state that concerns this one.
        request: Request that is being received or answered, None between two.
        is_open: Whether the connection is open.
        is_head_too_large: Whether the last head exceeded the limit, and was shortened.
    """

    def __init__(self, clients: Clients) -> None:
        self.clients = clients
        self.use = clients.memory.open(clients.clock())
        self.request: ClientRequest | None = None
        self.is_open = True
        self.is_head_too_large = False
        self._head_bytes = 0
        self._kept = 0
        self._is_small = False

    def on_read(self, count: int) -> None:
        """Count bytes of a head read from the kernel; a body is counted elsewhere."""
        self.use.stage = Stage.HEAD
        self._head_bytes += count
        if self._head_bytes > READ_BYTES:
            self.use.record_movement(count, self.clients.clock())
            self._set_kept(self._head_bytes)
            self.clients.relieve_soon()

    def on_written(self, count: int) -> None:
        """Count bytes of a large answer written to the kernel."""
        self.use.record_movement(count, self.clients.clock())
        self._set_kept(max(0, self._kept - count))

    def begin(self, request: ClientRequest) -> None:
        """Account for a request that is about to arrive."""
        self.request = request
        self._reset()

    def on_head(
        self, headers: HTTPHeaders, size: int, has_body: bool, length: int | None
    ) -> None:
        """Account for a decoded head.

        Args:
            headers: Its headers.
            size: Its size in bytes.
            has_body: Whether a body follows.
            length: Bytes that the body announces, None if it announces none.
        """
        self.use.stage = Stage.BODY if has_body else Stage.SERVED
        kept = size + FIELD_BYTES * len(headers) - REQUEST_BYTES
        self._is_small = length is not None and length <= READ_BYTES
        if self._is_small:
            # Accounting for each piece would cost more than it is worth.
            kept += length
        elif has_body:
            kept += BODY_BUFFER_BYTES
        if kept > 0 or self._kept:
            self._set_kept(max(kept, 0))
            self.clients.relieve_soon()

    def on_body(self, count: int) -> None:
        """Account for bytes of a body, and close connections if that was too much."""
        if self._is_small:
            return
        self.use.record_movement(count, self.clients.clock())
        self._set_kept(self._kept + count)
        self.clients.relieve()

    def on_complete(self) -> None:
        """Account for a request that was received completely."""
        self.use.stage = Stage.SERVED

    def on_answer(self, size: int) -> None:
        """Account for a large answer that is being written in place of its request."""
        self.use.stage = Stage.ANSWER
        self._set_kept(size)
        self.clients.relieve_soon()

    def on_refused(self) -> None:
        """Account for a request that was refused and holds nothing any more."""
        self.use.stage = Stage.REFUSED
        self._set_kept(0)

    def end(self, request: ClientRequest) -> None:
        """Account for the end of a request, unless another one has begun."""
        if self.request is request:
            self.request = None
            self._reset()

    def close(self) -> None:
        """Account for the close of the connection."""
        self.is_open = False
        self.clients.memory.close(self.use)

    def _reset(self) -> None:
        self.use.stage = Stage.IDLE
        self._head_bytes = 0
        if self._kept:
            self._set_kept(0)

    def _set_kept(self, kept: int) -> None:
        if kept != self._kept and self.is_open:
            self._kept = kept
            self.clients.memory.set_held(self.use, CONNECTION_BYTES + kept)


class ClientStream(IOStream):
    """A connection of a client.

    Attributes:
        account: What it holds.
    """

    def __init__(self, connection: socket.socket, clients: Clients) -> None:
        super().__init__(
            connection, max_buffer_size=MAX_BUFFER_BYTES, read_chunk_size=READ_BYTES
        )
        self.account = Account(clients)
        self._turns = clients.turns
        self._chunks = 0

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the kernel; tornado calls this."""
        try:
            count = super().read_from_fd(buf)
        finally:
            # A view that is kept would keep the library from resizing its buffer.
            del buf
        if count and self.account.use.stage in BEFORE_BODY:
            self.account.on_read(count)
        return count

    def write_to_fd(self, data: memoryview) -> int:
        """Write to the kernel; tornado calls this."""
        try:
            count = self.socket.send(data)
        finally:
            del data
        if self.account.use.stage is Stage.ANSWER:
            self.account.on_written(count)
        return count

    async def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> bytes:
        """Read a head; heads of many fields take turns, or are shortened if too large.

        Decoding costs processor time for each field.
        """
        head = await super().read_until_regex(HEAD_END, max_bytes)
        lines = head.count(b"\n")
        self.account.is_head_too_large = False
        if lines <= FIELDS_PER_TURN:
            return head
        size = len(head) - UNCOUNTED_BYTES - UNCOUNTED_FIELD_BYTES * lines
        if size > self.account.clients.max_head_bytes:
            self.account.is_head_too_large = True
            return shortened_head(head)
        await self._turns.wait()
        return head

    def read_until(
        self, delimiter: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Read a line, which is the size of a chunk; many chunks take several turns."""
        self._chunks += 1
        if self._chunks % CHUNKS_PER_TURN:
            return super().read_until(delimiter, max_bytes)
        return self._read_in_turn(delimiter, max_bytes)

    async def _read_in_turn(self, delimiter: bytes, max_bytes: int | None) -> bytes:
        await self._turns.wait()
        return await super().read_until(delimiter, max_bytes)

    def close_fd(self) -> None:
        """Close the socket; tornado calls this."""
        self.account.close()
        self.account.clients.streams.pop(self.account.use, None)
        super().close_fd()


def shortened_head(head: bytes) -> bytes:
    """Return what is needed of a head to refuse its request.

    The connection is closed after the answer, as what follows the head is not known.
    """
    lower = head.lower()
    lines = [head[: head.find(b"\n") + 1]]
    for field in BODY_FIELDS:
        start = lower.find(field) + 1
        if start:
            lines.append(head[start : head.find(b"\n", start) + 1])
            break
    return b"".join(lines) + b"Connection: close\r\n\r\n"


class Clients:
    """The connections of clients to some listeners.

    Attributes:
        memory: Decides who has to go.
        clock: Returns the present time in seconds.
        streams: The connections by their use.
        turns: Lets those that send small chunks or many fields continue one at a time.
        max_head_bytes: Limit of a request's head in bytes.
        on_closed: Called with what is short and the stage of each connection that is
            given up.
    """

    def __init__(self, limits: ClientLimits, clock: Callable[[], float]) -> None:
        self.memory = ClientMemory(limits)
        self.clock = clock
        self.streams: dict[object, ClientStream] = {}
        self.turns = Turns()
        self.max_head_bytes = DEFAULT_HEAD_BYTES
        self.on_closed: Callable[[Shortage, Stage], None] = lambda shortage, stage: None
        self._relief: asyncio.Handle | None = None

    def open(self, connection: socket.socket) -> ClientStream:
        """Return the stream of a new connection; others may be closed for it."""
        try:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
        except OSError:
            # The connection has been reset, or the system keeps its own size.
            pass
        stream = ClientStream(connection, self)
        self.streams[stream.account.use] = stream
        self.relieve()
        return stream

    def relieve(self) -> None:
        """Give up connections until nothing is short."""
        shortage = self.memory.shortage
        if shortage is None:
            return
        for use in self.memory.closed_first(self.clock()):
            stream = self.streams.get(use)
            if stream is not None:
                self._give_up(stream, shortage)

    def relieve_soon(self) -> None:
        """Give up connections once the library has handled what it is reading."""
        if self._relief is None and self.memory.shortage is not None:
            self._relief = asyncio.get_running_loop().call_soon(self._relieve_now)

    def relieve_one(self) -> bool:
        """Give up the connection that moves the least; return whether there is one."""
        found = self.memory.stillest(self.clock(), 1)
        for use in found:
            self._give_up(self.streams[use], Shortage.CONNECTIONS)
        return bool(found)

    def check(self, now: float) -> None:
        """Give up requests whose time has passed.

        Args:
            now: Present time in seconds.
        """
        for stream in list(self.streams.values()):
            request = stream.account.request
            if request is not None and stream.account.use.stage in UNFINISHED:
                request.check(now)
        self.relieve()

    def _relieve_now(self) -> None:
        self._relief = None
        self.relieve()

    def _give_up(self, stream: ClientStream, shortage: Shortage) -> None:
        account = stream.account
        self.on_closed(shortage, account.use.stage)
        if account.request is not None and account.use.stage is Stage.BODY:
            account.request.on_shortage(shortage)
        else:
            stream.close()
