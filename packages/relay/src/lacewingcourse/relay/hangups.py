"""Detection of connections that their peers have closed."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from typing import TYPE_CHECKING, Protocol
from weakref import WeakSet, WeakValueDictionary

if TYPE_CHECKING:
    from tornado.iostream import IOStream

#: Position of `tcpi_last_ack_recv`, in milliseconds, in the kernel's `tcp_info`.
LAST_PACKET_OFFSET = 56
LAST_PACKET = struct.Struct("=I")


class HangupListener(Protocol):
    """What is told that the peer of a connection has closed it."""

    def on_hangup(self) -> None:
        """Handle the close."""


def has_hung_up(sock: socket.socket) -> bool:
    """Return whether the peer has closed a connection, as far as the kernel knows.

    Unread bytes before the close do not hide it, and none are read.
    """
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


def quiet_time(sock: socket.socket) -> float | None:
    """Return the seconds since the last packet of the peer, None if unknown.

    On a connection that the peer has closed, that is nearly always the close.
    """
    size = LAST_PACKET_OFFSET + LAST_PACKET.size
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
    except OSError:
        return None
    if len(info) < size:
        return None
    return LAST_PACKET.unpack_from(info, LAST_PACKET_OFFSET)[0] / 1000


class HangupMonitor:
    """Tells listeners once the peer of their connection has closed it.

    A stream of tornado detects a close only by reading to it, and does not read while
    its buffer holds unread bytes or while it writes.

    Attributes:
        listeners: The listener of each watched file descriptor.
    """

    def __init__(self) -> None:
        self.listeners: WeakValueDictionary[int, HangupListener] = WeakValueDictionary()
        self._watched: WeakSet[IOStream] = WeakSet()
        self._epoll: select.epoll | None = None

    def watch(self, stream: IOStream, listener: HangupListener) -> None:
        """Tell a listener when the peer closes, in place of an earlier listener.

        Args:
            stream: The connection; the kernel forgets it once it is closed here.
            listener: What is told, as long as others refer to it.
        """
        if stream.closed():
            return
        descriptor = stream.socket.fileno()
        self.listeners[descriptor] = listener
        if stream in self._watched:
            return
        self._watched.add(stream)
        # One event suffices: without this flag it would be reported again and again.
        events = select.EPOLLRDHUP | select.EPOLLONESHOT
        self._started().register(descriptor, events)

    def _started(self) -> select.epoll:
        """Return the epoll object of the connections, which the loop waits for."""
        if self._epoll is None:
            self._epoll = select.epoll()
            loop = asyncio.get_running_loop()
            loop.add_reader(self._epoll.fileno(), self._on_events)
        return self._epoll

    def _on_events(self) -> None:
        """Tell the listeners of the connections that were closed.

        Each has a turn of its own, as an error of one must not keep it from the others:
        a close is reported only once.
        """
        loop = asyncio.get_running_loop()
        for descriptor, _ in self._epoll.poll(0):
            listener = self.listeners.get(descriptor)
            if listener is not None:
                loop.call_soon(listener.on_hangup)
