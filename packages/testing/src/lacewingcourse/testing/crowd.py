"""Clients that hold on to connections and bytes, many at a time."""

from __future__ import annotations

import selectors
import socket
import time
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

#: Bytes of a block that a member sends at a time unless its kind says otherwise.
BLOCK_BYTES = 256 * 1024
#: Bytes after which a member stops that would send for ever.
MAX_SENT_BYTES = 16 * 1024 * 1024
#: Content of bodies, of which members send parts.
FILLER = memoryview(b"x" * BLOCK_BYTES)
#: Bytes of an answer that a member keeps.
MAX_KEPT_BYTES = 4096
#: Seconds without any movement after which a crowd counts as settled.
QUIET = 1.5
#: Seconds after which a crowd is left as it is, whatever still moves.
MAX_RUN = 25.0
#: Longest wait for a socket, seconds.
SELECT_TIMEOUT = 0.05


def head(start: bytes, **headers: str) -> bytes:
    """Return the head of a request.

    Args:
        start: Its request line and its first headers, each with a line end.
        **headers: Further headers, with underscores for hyphens.
    """
    lines = [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return start + "\r\n".join([*lines, "", ""]).encode()


def filler(size: int) -> Iterator[memoryview]:
    """Return the blocks of a body."""
    for start in range(0, size, BLOCK_BYTES):
        yield FILLER[: min(BLOCK_BYTES, size - start)]


def with_length(start: bytes, size: int, sent: int | None = None) -> Iterator[bytes]:
    """Return a request that announces a length, and the bytes sent of its body.

    Args:
        start: Its request line and its first headers.
        size: Announced length in bytes.
        sent: Bytes of the body that are sent, None for all.
    """
    yield head(start, Content_Length=str(size))
    yield from filler(size if sent is None else sent)


def in_chunks(start: bytes, size: int, chunk: int, ends: bool) -> Iterator[bytes]:
    """Return a request with a body in chunks.

    Args:
        start: Its request line and its first headers.
        size: Bytes of the body.
        chunk: Bytes of each chunk.
        ends: Whether the last chunk is followed by the end of the body.
    """
    yield head(start, Transfer_Encoding="chunked")
    piece = b"%x\r\n%s\r\n" % (chunk, b"x" * chunk)
    each = max(1, BLOCK_BYTES // len(piece))
    block, left = piece * each, size // chunk
    while left > 0:
        yield block if left >= each else piece * left
        left -= each
    if ends:
        yield b"0\r\n\r\n"


def endless_chunks(start: bytes, chunk: int) -> Iterator[bytes]:
    """Return a request with a body in chunks that goes on far beyond any limit."""
    yield head(start, Transfer_Encoding="chunked")
    piece = b"%x\r\n%s\r\n" % (chunk, b"x" * chunk)
    block = piece * max(1, BLOCK_BYTES // len(piece))
    for _ in range(MAX_SENT_BYTES // len(block)):
        yield block


def unfinished_chunk(start: bytes, size: int, sent: int) -> Iterator[bytes]:
    """Return a request whose body is one large chunk that does not end."""
    yield head(start, Transfer_Encoding="chunked") + b"%x\r\n" % size
    yield from filler(sent)


def unfinished_head(start: bytes, size: int) -> Iterator[bytes]:
    """Return a head that stops before its end."""
    yield start + b"X-Filler: " + b"x" * size


def many_fields(start: bytes, size: int, body: int) -> Iterator[bytes]:
    """Return a request with as many header fields as fit, and an unfinished body."""
    begun = head(start, Content_Length=str(body))[:-2]
    names = (b"%x:\r\n" % number for number in range(0x100, 0x10000))
    fields = b""
    for name in names:
        if len(begun) + len(fields) + len(name) + 2 > size:
            break
        fields += name
    yield begun + fields + b"\r\n"
    yield from filler(body - 1)


def with_bytes_behind(start: bytes, size: int) -> Iterator[bytes]:
    """Return a request and, behind it, bytes of one that follows."""
    yield head(start, Content_Length="0")
    yield from with_length(start, size)


def silent() -> Iterator[bytes]:
    """Return no bytes at all."""
    return iter(())


@attrs.define(eq=False)
class Member:
    """One client of a crowd.

    Attributes:
        connection: Its non-blocking socket.
        blocks: What it sends.
        reads: Whether it reads answers.
        block: Bytes that are being sent.
        received: The first bytes that it received.
        sent: Number of bytes that it has sent.
        has_sent_all: Whether nothing is left to send.
        is_closed: Whether the connection has been closed by the other side.
    """

    connection: socket.socket
    blocks: Iterator[bytes]
    reads: bool = True
    block: memoryview = attrs.field(factory=lambda: memoryview(b""))
    received: bytes = b""
    sent: int = 0
    has_sent_all: bool = False
    is_closed: bool = False

    def send(self, limit: int | None) -> bool:
        """Send some bytes; return whether any were sent.

        Args:
            limit: Maximum number of bytes, None for all that fit.
        """
        if not self.block:
            block = next(self.blocks, None)
            if block is None:
                self.has_sent_all = True
                return False
            self.block = memoryview(block)
        try:
            count = self.connection.send(self.block[:limit])
        except BlockingIOError:
            return False
        except OSError:
            self.is_closed = True
            return False
        self.block = self.block[count:]
        self.sent += count
        return count > 0

    def receive(self) -> bool:
        """Read what has arrived; return whether that was anything."""
        try:
            data = self.connection.recv(BLOCK_BYTES)
        except BlockingIOError:
            return False
        except OSError:
            self.is_closed = True
            return False
        if not data:
            self.is_closed = True
            return False
        self.received = (self.received + data)[:MAX_KEPT_BYTES]
        return True

    @property
    def status(self) -> int:
        """The status that it was answered, 0 without one."""
        parts = self.received.split(b" ", 2)
        return int(parts[1]) if len(parts) == 3 else 0


@attrs.define
class Crowd:
    """Clients that send at the same time and stay open.

    Attributes:
        address: Address that they connect to.
        members: The clients.
        piece: Bytes that each sends in a turn, None for all that fit.
        pause: Seconds between two turns.
    """

    address: str
    members: list[Member] = attrs.field(factory=list)
    piece: int | None = None
    pause: float = 0.0

    def join(self, request: Iterable[bytes], reads: bool = True) -> None:
        """Connect a client that is going to send a request."""
        host, _, port = self.address.rpartition(":")
        try:
            connection = socket.create_connection((host, int(port)), timeout=5.0)
        except OSError:
            return
        connection.setblocking(False)
        self.members.append(Member(connection, iter(request), reads))

    def run(
        self, until: Callable[[], bool] = lambda: False, quiet: float = QUIET
    ) -> None:
        """Send and receive until nothing moves any more.

        Args:
            until: Returns whether to stop before that.
            quiet: Seconds without any movement after which it stops.
        """
        started = moved_at = time.monotonic()
        while not until():
            now = time.monotonic()
            if now - moved_at > quiet or now - started > MAX_RUN:
                return
            if self.turn():
                moved_at = time.monotonic()
            if self.pause:
                time.sleep(self.pause)

    def turn(self) -> bool:
        """Let each client send and receive once; return whether any byte moved."""
        moved = False
        with selectors.DefaultSelector() as selector:
            for member in self.members:
                events = selectors.EVENT_READ if member.reads else 0
                events |= 0 if member.has_sent_all else selectors.EVENT_WRITE
                if events and not member.is_closed:
                    selector.register(member.connection, events, member)
            if not selector.get_map():
                return False
            for key, events in selector.select(SELECT_TIMEOUT):
                member = key.data
                if events & selectors.EVENT_READ:
                    moved |= member.receive()
                if events & selectors.EVENT_WRITE and not member.is_closed:
                    moved |= member.send(self.piece)
        return moved

    def is_closed(self) -> bool:
        """Return whether the other side has closed every connection."""
        return all(member.is_closed for member in self.members)

    def leave(self) -> None:
        """Close all connections."""
        for member in self.members:
            member.connection.close()
        self.members.clear()
