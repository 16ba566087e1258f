"""A small HTTP server for requests with short responses."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs
from tornado.httputil import (
    HTTPHeaders,
    HTTPServerConnectionDelegate,
    ResponseStartLine,
    responses,
)

from lacewingcourse.relay.bounded_request import HEADERS_TOO_LARGE, BoundedRequest
from lacewingcourse.relay.client_server import ClientServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.http1connection import HTTP1Connection
    from tornado.httputil import HTTPMessageDelegate, RequestStartLine

    from lacewingcourse.relay.client_stream import Clients

#: Bytes of a head.
MAX_HEAD_BYTES = 16 * 1024
#: Seconds within which a body must have arrived.
BODY_TIMEOUT = 10.0
#: Seconds after which a connection without a request is closed. Other entries keep
#: theirs for several exchanges a second.
IDLE_TIMEOUT = 60.0


@attrs.frozen
class ServerRequest:
    """A request to the small server.

    Attributes:
        target: Path with query.
        body: Its body.
    """

    target: str
    body: bytes


@attrs.frozen
class Reply:
    """The response to a request.

    Attributes:
        status: HTTP status.
        body: Its body.
        content_type: Media type of the body.
        encoding: Content coding of the body, empty for none.
    """

    status: int = 200
    body: bytes = b""
    content_type: str = "application/json"
    encoding: str = ""


class SmallServer(HTTPServerConnectionDelegate):
    """Dispatches requests to handlers by method and path.

    Attributes:
        handlers: Request handlers by method and path.
        clock: Returns the present time in seconds.
    """

    def __init__(
        self,
        handlers: dict[tuple[str, str], Callable[[ServerRequest], Reply]],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.handlers = handlers
        self.clock = clock

    def start_request(
        self, server_conn: object, request_conn: HTTP1Connection
    ) -> HTTPMessageDelegate:
        """Return the delegate that answers the next request of a connection."""
        return _RequestHandler(self.handlers, request_conn, self.clock)


def small_http_server(
    handlers: dict[tuple[str, str], Callable[[ServerRequest], Reply]],
    clients: Clients,
    max_body_bytes: int,
) -> ClientServer:
    """Return an HTTP server that dispatches requests to handlers.

    Args:
        handlers: Request handlers by method and path.
        clients: Its connections.
        max_body_bytes: Limit of a request's body in bytes.
    """
    return ClientServer(
        SmallServer(handlers, clients.clock),
        clients=clients,
        max_header_size=MAX_HEAD_BYTES,
        max_body_size=max_body_bytes,
        idle_connection_timeout=IDLE_TIMEOUT,
    )


class _RequestHandler(BoundedRequest):
    """Receives one request and writes its response."""

    def __init__(
        self,
        handlers: dict[tuple[str, str], Callable[[ServerRequest], Reply]],
        connection: HTTP1Connection,
        clock: Callable[[], float],
    ) -> None:
        super().__init__(connection, lambda: MAX_HEAD_BYTES, clock)
        self.handlers = handlers
        self._body_deadline = 0.0

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        self._body_deadline = self._clock() + BODY_TIMEOUT
        self.receive_head(start_line, headers)

    def check(self, now: float) -> None:
        if self.refused:
            super().check(now)
        elif now >= self._body_deadline:
            self.connection.close()

    def finish(self) -> None:
        if self.refused:
            self.end_refused()
            return
        handler = self.handlers.get((self.method, self.target.partition("?")[0]))
        if self.is_head_too_large:
            reply = Reply(HEADERS_TOO_LARGE)
        elif handler is None:
            reply = Reply(404)
        else:
            reply = handler(ServerRequest(self.target, bytes(self.body)))
        line = ResponseStartLine("HTTP/1.1", reply.status, responses[reply.status])
        headers = HTTPHeaders(
            {"Content-Type": reply.content_type, "Content-Length": str(len(reply.body))}
        )
        if reply.encoding:
            headers["Content-Encoding"] = reply.encoding
        self.connection.write_headers(line, headers, reply.body)
        self.connection.finish()
        self.account.end(self)
