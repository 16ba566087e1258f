"""TCP fault proxy: links from a listener to a target, with faults set at run time."""

from __future__ import annotations

import asyncio
import re
from urllib.parse import urlsplit

import attrs
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from lacewingcourse.testing.standins.proxy_connection import (
    LATE_ANSWER_TIMEOUT,
    PIECE_BYTES,
    Connection,
    HeldMessage,
    reset,
    swallow,
)
from lacewingcourse.testing.standins.proxy_faults import LinkFaults


class Link:
    """A listener whose connections are passed on to one target.

    Attributes:
        name: Name of the link.
        target: Base URL of the target.
        faults: Faults in force.
        connections: Open connections.
        held: Requests that are kept back, oldest first.
        tasks: Late deliveries under way.
    """

    def __init__(self, name: str, target: str) -> None:
        self.name = name
        self.target = target
        self.faults = LinkFaults()
        self.connections: set[Connection] = set()
        self.held: list[HeldMessage] = []
        self.tasks: set[asyncio.Task] = set()
        self.server = LinkServer(self)

    def listen(self, address: str, port: int) -> None:
        """Accept connections."""
        self.server.add_sockets(bind_sockets(port, address))

    async def connect(self) -> IOStream:
        """Return a new connection to the target."""
        parts = urlsplit(self.target)
        return await TCPClient().connect(parts.hostname, parts.port)

    def set_faults(self, faults: LinkFaults) -> None:
        """Put faults in force."""
        self.faults = faults
        if faults.cut:
            self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for connection in list(self.connections):
            connection.reset()

    def use(self, name: str, head: bytes) -> bool:
        """Tell whether a counted fault hits a request, and count it down."""
        left = getattr(self.faults, name)
        if left == 0 or not re.search(self.faults.match.encode(), head):
            return False
        if left > 0:
            self.faults = attrs.evolve(self.faults, **{name: left - 1})
        return True

    async def hold(self) -> HeldMessage:
        """Wait until a request is released."""
        message = HeldMessage()
        self.held.append(message)
        await message.released.wait()
        return message

    async def release(self, newest_first: bool) -> int:
        """Deliver all requests that are held, one after the other."""
        messages, self.held = self.held, []
        if newest_first:
            messages.reverse()
        for message in messages:
            message.released.set()
            try:
                await asyncio.wait_for(message.answered.wait(), LATE_ANSWER_TIMEOUT)
            except TimeoutError:
                pass
        return len(messages)

    def deliver_copy(self, data: bytes, held: bool) -> None:
        """Send a request to the target once more, over a connection of its own."""
        task = asyncio.ensure_future(self._deliver_copy(data, held))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _deliver_copy(self, data: bytes, held: bool) -> None:
        message = await self.hold() if held else HeldMessage()
        try:
            stream = await self.connect()
            await stream.write(data)
            await asyncio.wait_for(
                stream.read_bytes(PIECE_BYTES, partial=True), LATE_ANSWER_TIMEOUT
            )
            stream.close()
        except (OSError, StreamClosedError, TimeoutError):
            pass
        finally:
            message.answered.set()


class LinkServer(TCPServer):
    """Accepts the connections of a link."""

    def __init__(self, link: Link) -> None:
        super().__init__()
        self.link = link

    async def handle_stream(self, stream: IOStream, address: tuple) -> None:
        faults = self.link.faults
        if faults.cut:
            reset(stream)
            return
        if faults.half_open:
            await swallow(stream)
            return
        await Connection(self.link, stream).run()
