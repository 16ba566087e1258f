"""One connection of the fault proxy and the faults that hit it."""

from __future__ import annotations

import asyncio
import re
import socket
import struct
from typing import TYPE_CHECKING, Protocol

import attrs
from tornado.iostream import IOStream, StreamClosedError

from lacewingcourse.testing.standins.proxy_faults import Direction

if TYPE_CHECKING:
    from lacewingcourse.testing.standins.proxy_faults import LinkFaults

#: Bytes that a pump takes at one time.
PIECE_BYTES = 64 * 1024
#: Pieces of a pump that wait to be written.
PIECE_LIMIT = 256
#: End of the head of an HTTP message.
HEAD_END = b"\r\n\r\n"
#: Bytes of a head at the most.
HEAD_LIMIT = 256 * 1024
#: Seconds that the answer to a late message is waited for.
LATE_ANSWER_TIMEOUT = 10.0
#: Seconds between two looks whether a connection may go on.
LOOK_INTERVAL = 0.01
#: Option that makes a close send a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def reset(stream: IOStream) -> None:
    """Close a connection with a TCP reset."""
    if stream.closed():
        return
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    stream.close()


def content_length(head: bytes) -> int | None:
    """Return the length of a message's body, or None if the head does not tell."""
    if re.search(rb"(?im)^transfer-encoding:", head):
        return None
    found = re.search(rb"(?im)^content-length:\s*(\d+)", head)
    return int(found.group(1)) if found else 0


async def swallow(stream: IOStream) -> None:
    """Read and forget all that comes."""
    try:
        while True:
            await stream.read_bytes(PIECE_BYTES, partial=True)
    except StreamClosedError:
        pass


@attrs.define(eq=False)
class HeldMessage:
    """A request that is kept back.

    Attributes:
        released: Set when it may go on.
        answered: Set when the target has answered it.
    """

    released: asyncio.Event = attrs.field(factory=asyncio.Event)
    answered: asyncio.Event = attrs.field(factory=asyncio.Event)


class Line(Protocol):
    """What a connection needs of its link.

    Attributes:
        faults: Faults in force.
        connections: Open connections.
    """

    faults: LinkFaults
    connections: set[Connection]

    async def connect(self) -> IOStream:
        """Return a new connection to the target."""

    def use(self, name: str, head: bytes) -> bool:
        """Tell whether a counted fault hits a request, and count it down."""

    async def hold(self) -> HeldMessage:
        """Wait until a request is released."""

    def deliver_copy(self, data: bytes, held: bool) -> None:
        """Send a request to the target once more, over a connection of its own."""


class Connection:
    """One connection of a link and its counterpart to the target.

    Attributes:
        link: The link.
        client: The accepted connection.
        target: The connection to the target.
        answer_lost: Whether the next answer resets the connection.
        answered: Set when the target has sent something.
    """

    def __init__(self, link: Line, client: IOStream) -> None:
        self.link = link
        self.client = client
        self.target: IOStream | None = None
        self.answer_lost = False
        self.answered = asyncio.Event()

    def reset(self) -> None:
        """Reset both sides."""
        reset(self.client)
        if self.target is not None:
            reset(self.target)

    async def run(self) -> None:
        """Pass bytes both ways until one side closes."""
        try:
            self.target = await self.link.connect()
        except OSError:
            reset(self.client)
            return
        self.link.connections.add(self)
        pumps = [
            asyncio.ensure_future(self._pass_requests()),
            asyncio.ensure_future(self._pass_answers()),
        ]
        await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        for pump in pumps:
            pump.cancel()
        await asyncio.gather(*pumps, return_exceptions=True)
        self.link.connections.discard(self)
        self.client.close()
        self.target.close()

    async def _pass_requests(self) -> None:
        """Pass requests on, message by message while their length is known."""
        try:
            while True:
                head = await self.client.read_until(HEAD_END, HEAD_LIMIT)
                length = content_length(head)
                if length is None:
                    await self._write(self.target, head, Direction.REQUESTS)
                    break
                body = await self.client.read_bytes(length) if length else b""
                await self._pass_request(head, head + body)
            await self._pump(self.client, self.target, Direction.REQUESTS)
        except StreamClosedError:
            pass

    async def _pass_request(self, head: bytes, data: bytes) -> None:
        link = self.link
        held = await link.hold() if link.use("hold", head) else None
        if link.use("lose_requests", head):
            self.reset()
            return
        if link.use("duplicate", head):
            link.deliver_copy(data, held=False)
        if link.use("copy", head):
            link.deliver_copy(data, held=True)
        self.answer_lost = link.use("lose_answers", head)
        self.answered.clear()
        await self._write(self.target, data, Direction.REQUESTS)
        if held is not None:
            await self._finish_late(held)

    async def _finish_late(self, held: HeldMessage) -> None:
        """Keep the target's side open until it answered, though the sender left."""
        try:
            await asyncio.wait_for(self.answered.wait(), LATE_ANSWER_TIMEOUT)
        except TimeoutError:
            pass
        finally:
            held.answered.set()

    async def _pass_answers(self) -> None:
        try:
            await self._pump(self.target, self.client, Direction.ANSWERS)
        except StreamClosedError:
            pass

    async def _pump(self, source: IOStream, sink: IOStream, way: Direction) -> None:
        """Pass bytes on in pieces; reading goes on while a piece is delayed."""
        pieces: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(maxsize=PIECE_LIMIT)
        writer = asyncio.ensure_future(self._write_pieces(pieces, sink, way))
        loop = asyncio.get_running_loop()
        try:
            while True:
                piece = await source.read_bytes(PIECE_BYTES, partial=True)
                if way is Direction.ANSWERS and self._take_answer():
                    return
                await pieces.put((loop.time(), piece))
        except StreamClosedError:
            await pieces.put((loop.time(), b""))
            await writer
        finally:
            writer.cancel()

    def _take_answer(self) -> bool:
        """Note an answer; return whether it is lost."""
        self.answered.set()
        if self.answer_lost:
            self.reset()
        return self.answer_lost

    async def _write_pieces(self, pieces, sink: IOStream, way: Direction) -> None:
        """Write pieces until the empty one, which stands for the end."""
        while True:
            taken_at, piece = await pieces.get()
            if not piece:
                return
            await self._write(sink, piece, way, taken_at)

    async def _write(
        self, sink: IOStream, data: bytes, way: Direction, taken_at: float | None = None
    ) -> None:
        """Write bytes as late and as slowly as the faults say."""
        loop = asyncio.get_running_loop()
        due = (taken_at or loop.time()) + self.link.faults.delay
        if due > loop.time():
            await asyncio.sleep(due - loop.time())
        while self.link.faults.drops(way):
            await asyncio.sleep(LOOK_INTERVAL)
        bandwidth = self.link.faults.bandwidth
        if bandwidth:
            await asyncio.sleep(len(data) / bandwidth)
        try:
            await sink.write(data)
        except StreamClosedError:
            if way is Direction.REQUESTS:
                raise
