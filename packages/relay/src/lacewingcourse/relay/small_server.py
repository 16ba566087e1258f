"""A small HTTP server for requests with short responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    ResponseStartLine,
    responses,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.http1connection import HTTP1Connection
    from tornado.httputil import RequestStartLine


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
    """

    def __init__(
        self, handlers: dict[tuple[str, str], Callable[[ServerRequest], Reply]]
    ) -> None:
        self.handlers = handlers

    def start_request(
        self, server_conn: object, request_conn: HTTP1Connection
    ) -> HTTPMessageDelegate:
        """Return the delegate that answers the next request of a connection."""
        return _RequestHandler(self.handlers, request_conn)


class _RequestHandler(HTTPMessageDelegate):
    """Receives one request and writes its response."""

    def __init__(
        self,
        handlers: dict[tuple[str, str], Callable[[ServerRequest], Reply]],
        connection: HTTP1Connection,
    ) -> None:
        self.handlers = handlers
        self.connection = connection
        self.method = ""
        self.target = ""
        self.body = bytearray()

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        self.method = start_line.method
        self.target = start_line.path

    def data_received(self, chunk: bytes) -> None:
        self.body += chunk

    def finish(self) -> None:
        handler = self.handlers.get((self.method, self.target.partition("?")[0]))
        if handler is None:
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
