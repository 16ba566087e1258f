"""The HTTP server for callers, and how it stops accepting requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream

if TYPE_CHECKING:
    import socket
    from collections.abc import Collection, Iterable

    from tornado.http1connection import HTTP1ServerConnection

    from lacewingcourse.relay.caller import CallerExchange


class CallerServer(HTTPServer):
    """The HTTP server that callers connect to.

    Attributes:
        listen_sockets: Sockets that accept connections.
        connections: Open connections.
    """

    def initialize(self, *args, **parameters) -> None:
        """Initialize the server; tornado calls this in place of `__init__`."""
        super().initialize(*args, **parameters)
        self.listen_sockets: list[socket.socket] = []
        self.connections: set[IOStream] = set()

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Accept connections on listening sockets."""
        listening = list(sockets)
        self.listen_sockets += listening
        super().add_sockets(listening)

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Read requests from a new connection."""
        self.connections.add(stream)
        super().handle_stream(stream, address)

    def on_close(self, server_conn: HTTP1ServerConnection) -> None:
        """Remove a closed connection."""
        self.connections.discard(server_conn.stream)
        super().on_close(server_conn)

    def stop_listening(self) -> None:
        """Refuse new connections, after accepting those in the backlog.

        The kernel resets the connections in the backlog of a socket that is closed.
        """
        for listen_socket in self.listen_sockets:
            self._accept_pending(listen_socket)
        self.stop()

    def _accept_pending(self, listen_socket: socket.socket) -> None:
        while True:
            try:
                connection, address = listen_socket.accept()
            except ConnectionAbortedError:
                continue
            except OSError:
                # The backlog is empty, or no file descriptor is left.
                return
            self.handle_stream(IOStream(connection), address)

    def close_idle(self, open_requests: Collection[CallerExchange]) -> None:
        """Close all connections except those of some requests.

        Args:
            open_requests: Requests whose answers have not been flushed.
        """
        busy = {caller.connection.stream for caller in open_requests}
        for stream in self.connections.difference(busy):
            stream.close()
