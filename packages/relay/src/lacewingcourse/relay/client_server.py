"""An HTTP server whose connections are bounded all together."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tornado.httpserver import HTTPServer
from tornado.ioloop import IOLoop

from lacewingcourse.relay.client_stream import READ_BYTES, UNBOUNDED, Clients

if TYPE_CHECKING:
    import socket
    from collections.abc import Iterable

#: Connections accepted in one iteration of the loop.
MAX_ACCEPTS = 128
#: Seconds until connections are accepted again when no descriptor is free.
ACCEPT_DELAY = 0.1


class ClientServer(HTTPServer):
    """An HTTP server for clients.

    Attributes:
        clients: Their connections.
        listen_sockets: Sockets that accept connections.
    """

    def initialize(self, *args, clients: Clients | None = None, **parameters) -> None:
        """Initialize the server; tornado calls this in place of `__init__`."""
        super().initialize(*args, chunk_size=READ_BYTES, **parameters)
        self.clients = clients or Clients(UNBOUNDED, IOLoop.current().time)
        self.listen_sockets: list[socket.socket] = []
        self._is_listening = True

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Accept connections on listening sockets."""
        for listen_socket in sockets:
            self.listen_sockets.append(listen_socket)
            self._start_accepting(listen_socket)

    def stop(self) -> None:
        """Close the listening sockets."""
        if not self._is_listening:
            return
        self._is_listening = False
        for listen_socket in self.listen_sockets:
            IOLoop.current().remove_handler(listen_socket)
            listen_socket.close()
        super().stop()

    def accept_pending(self, listen_socket: socket.socket) -> None:
        """Accept the connections that wait."""
        for _ in range(MAX_ACCEPTS):
            if not self._accept(listen_socket):
                return

    def accept_all(self, listen_socket: socket.socket) -> None:
        """Accept every connection that waits."""
        while self._accept(listen_socket):
            pass

    def _start_accepting(self, listen_socket: socket.socket) -> None:
        if self._is_listening:
            IOLoop.current().add_handler(
                listen_socket,
                lambda sock, events: self.accept_pending(sock),
                IOLoop.READ,
            )

    def _accept(self, listen_socket: socket.socket) -> bool:
        """Accept a connection; return whether another one may wait."""
        try:
            connection, address = listen_socket.accept()
        except BlockingIOError:
            return False
        except ConnectionAbortedError:
            return True
        except OSError:
            self._on_descriptors_exhausted(listen_socket)
            return False
        self.handle_stream(self.clients.open(connection), address)
        return True

    def _on_descriptors_exhausted(self, listen_socket: socket.socket) -> None:
        """Free a descriptor, or stop accepting for a while: the loop would not rest."""
        if not self._is_listening or self.clients.relieve_one():
            return
        IOLoop.current().remove_handler(listen_socket)
        loop = asyncio.get_running_loop()
        loop.call_later(ACCEPT_DELAY, self._start_accepting, listen_socket)
