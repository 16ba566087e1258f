"""The HTTP server for callers, and how it stops accepting requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lacewingcourse.relay.client_server import ClientServer

if TYPE_CHECKING:
    from collections.abc import Collection

    from tornado.http1connection import HTTP1ServerConnection
    from tornado.iostream import IOStream

    from lacewingcourse.relay.caller import CallerExchange


class CallerServer(ClientServer):
    """The HTTP server that callers connect to.

    Attributes:
        connections: Open connections.
    """

    def initialize(self, *args, **parameters) -> None:
        """Initialize the server; tornado calls this in place of `__init__`."""
        super().initialize(*args, **parameters)
        self.connections: set[IOStream] = set()

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
            self.accept_all(listen_socket)
        self.stop()

    def close_idle(self, open_requests: Collection[CallerExchange]) -> None:
        """Close all connections except those of some requests.

        Args:
            open_requests: Requests whose answers have not been flushed.
        """
        busy = {caller.connection.stream for caller in open_requests}
        for stream in self.connections.difference(busy):
            stream.close()
