"""The connection of a caller: reading its request and writing its answer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    ResponseStartLine,
    responses,
)
from tornado.iostream import StreamClosedError

from lacewingcourse.relay.idle import IdleTimeout, IdleTimer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tornado.http1connection import HTTP1Connection
    from tornado.httputil import RequestStartLine


#: Bytes of a head that are read before a version tells the limit, and beside a smaller
#: one.
MAX_HEAD_BYTES = 64 * 1024
#: Status of a request whose head is longer than the version in force allows.
HEADERS_TOO_LARGE = 431
#: Turns of the loop after the last byte of an answer by which a connection has read the
#: head that its caller sent ahead.
NEXT_HEAD_LOOP_ITERATIONS = 4
#: Bytes between and around the name and the value of a header.
HEADER_SEPARATOR_BYTES = len(": \r\n")


class CallerExchange(HTTPMessageDelegate):
    """One request of a caller and the answer to it.

    Attributes:
        connection: Connection that carries it.
        method: HTTP method.
        target: Path with query.
        headers: Headers of the request.
        body: Body as far as it arrived.
        arrived_at: When the head had arrived, seconds.
        gone: Whether the caller has closed the connection.
        begun: Whether the head of the answer was written.
        ended: Whether the answer was ended, whole or not.
        whole: Whether it was ended as a whole one.
        on_gone: Called when the caller closes before the answer is whole.
    """

    def __init__(
        self,
        connection: HTTP1Connection,
        serve: Callable[[CallerExchange], Awaitable[None]],
        clock: Callable[[], float],
        close_after_answer: Callable[[], bool],
        open_requests: set[CallerExchange],
        idle_timer: IdleTimer,
        max_head_bytes: Callable[[], int],
    ) -> None:
        self.connection = connection
        self.method = ""
        self.target = ""
        self.headers = HTTPHeaders()
        self.body = bytearray()
        self.arrived_at = 0.0
        self.disconnected = False
        self.response_started = False
        self.response_ended = False
        self.response_complete = False
        self.on_disconnect: Callable[[], None] | None = None
        self._version = ""
        self._serve = serve
        self._clock = clock
        self._close_after_answer = close_after_answer
        self._open_requests = open_requests
        self._idle_timer = idle_timer
        self._max_head_bytes = max_head_bytes
        self._task: asyncio.Task | None = None
        self._closes_connection = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Take the head of the request, from which on its caller waits for an end."""
        self._idle_timer.stop()
        self._open_requests.add(self)
        self._apply_body_limit()
        self.arrived_at = self._clock()
        self._version = start_line.version
        self.method = start_line.method
        self.target = start_line.path
        self.headers = headers

    def _apply_body_limit(self) -> None:
        """Hold the body to the version in force.

        The connection took the limit when it began to wait for this request, since
        when another version may have come.
        """
        limit = self.connection.params.max_body_size
        if limit is not None:
            self.connection.set_max_body_size(limit)

    def data_received(self, chunk: bytes) -> None:
        """Take bytes of the body."""
        self.body += chunk

    def finish(self) -> None:
        """Serve the request, which is whole now.

        A request that was sent ahead is read from the memory of a connection also when
        that has been closed. Its caller takes it as not read and may ask elsewhere.
        """
        if self.connection.stream.closed():
            self.on_connection_close()
            return
        self.connection.set_close_callback(self._on_close)
        if self._head_bytes() > self._max_head_bytes():
            self.answer(HEADERS_TOO_LARGE, HTTPHeaders(), b"")
            self._when_flushed(self._remove_from_open)
            return
        self._task = asyncio.ensure_future(self._serve(self))
        self._task.add_done_callback(self._on_served)

    def _head_bytes(self) -> int:
        """Return about how many bytes the head has."""
        fields = self.headers.get_all()
        sizes = (
            len(name) + len(value) + HEADER_SEPARATOR_BYTES for name, value in fields
        )
        return len(self.method) + len(self.target) + sum(sizes)

    def cancel(self) -> None:
        """Stop serving the request; what serves it writes nothing any more."""
        if self._task is not None:
            self._task.cancel()

    def on_connection_close(self) -> None:
        """Take the early end of the request; nothing was begun for it."""
        self.disconnected = True
        self._open_requests.discard(self)

    def begin(self, status: int, headers: HTTPHeaders, first: bytes = b"") -> None:
        """Write the head of the answer, and the first bytes of its body."""
        self.response_started = True
        if self._close_after_answer() or self._is_delimited_by_close(headers):
            self._closes_connection = True
            headers["Connection"] = "close"
            self._suppress_keep_alive()
        line = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        self._set_nodelay()
        self._ignore_write_error(self.connection.write_headers(line, headers, first))

    def _suppress_keep_alive(self) -> None:
        """Keep tornado from promising the connection to a caller of HTTP/1.0.

        It does so where the caller asked for it, in place of what is told here.
        """
        if self.headers.get("Connection", "").lower() == "keep-alive":
            del self.headers["Connection"]

    def _is_delimited_by_close(self, headers: HTTPHeaders) -> bool:
        """Tell whether only the end of the connection can end the answer.

        A caller that speaks HTTP/1.0 knows no chunks.
        """
        return self._version == "HTTP/1.0" and "Content-Length" not in headers

    def write(self, data: bytes) -> None:
        """Write bytes of the answer's body; none behind its end."""
        if data and not self.disconnected and not self.response_ended:
            self._ignore_write_error(self.connection.write(data))

    def end(self) -> None:
        """End the answer as a whole one."""
        if self.response_ended:
            return
        self.response_ended = True
        try:
            self.connection.finish()
        except StreamClosedError:
            return
        self.response_complete = True
        if self._closes_connection:
            self._when_flushed(self.connection.close)

    def abort(self) -> None:
        """End the answer so that it cannot look whole.

        It is closed behind what was passed on: a caller that resumes it asks for what
        follows the last event that it got.
        """
        self.response_ended = True
        self._when_flushed(self.connection.close)

    def answer(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Write a whole answer with a known length."""
        if self.disconnected or self.response_ended:
            return
        headers["Content-Length"] = str(len(body))
        sent = b"" if self.method == "HEAD" else body
        self.begin(status, headers, sent)
        self.end()

    def _when_flushed(self, callback: Callable[[], None]) -> None:
        """Do something once all that was written has left this process."""
        stream = self.connection.stream
        if stream.closed() or not stream.writing():
            callback()
            return
        # Nothing is written by it, but it is done only when all before it has been.
        pending = stream.write(b"")
        pending.add_done_callback(_consume_exception)
        pending.add_done_callback(lambda future: callback())

    def _on_served(self, task: asyncio.Task) -> None:
        """Count the request as open until its answer has left this process.

        Bytes that wait for a slow caller are lost if the process ends before.
        """
        self._when_flushed(self._remove_from_open)

    def _remove_from_open(self, iterations: int = NEXT_HEAD_LOOP_ITERATIONS) -> None:
        """Count the request as open until one that was sent ahead counts.

        An entry that ends closes connections on which nothing is open.
        """
        if iterations:
            asyncio.get_running_loop().call_soon(self._remove_from_open, iterations - 1)
        else:
            self._open_requests.discard(self)

    def _set_nodelay(self) -> None:
        if self.connection.stream is not None and not self.connection.stream.closed():
            self.connection.stream.set_nodelay(True)

    def _ignore_write_error(self, future: asyncio.Future) -> None:
        future.add_done_callback(_consume_exception)

    def _on_close(self) -> None:
        self.disconnected = True
        if self.on_disconnect is not None and not self.response_ended:
            self.on_disconnect()


def _consume_exception(future: asyncio.Future) -> None:
    """Take the error of a write; the close callback tells of the caller's leaving."""
    if not future.cancelled():
        future.exception()


class CallerConnections(HTTPServerConnectionDelegate):
    """The connections of callers.

    Attributes:
        open: Requests whose heads have come and whose answers have not left yet.
        idle: How long connections may stay idle.
        longest_head: Bytes that the head of a request may have.
    """

    def __init__(
        self,
        serve: Callable[[CallerExchange], Awaitable[None]],
        clock: Callable[[], float],
        close_after_answer: Callable[[], bool],
    ) -> None:
        self.open: set[CallerExchange] = set()
        self.idle = IdleTimeout()
        self.max_head_bytes = MAX_HEAD_BYTES
        self._serve = serve
        self._clock = clock
        self._close_after_answer = close_after_answer

    def start_request(
        self, server_conn: object, request_conn: HTTP1Connection
    ) -> HTTPMessageDelegate:
        """Return what takes the next request of a connection."""
        idle_timer = IdleTimer(request_conn, self.idle, self._clock)
        return CallerExchange(
            request_conn,
            self._serve,
            self._clock,
            self._close_after_answer,
            self.open,
            idle_timer,
            lambda: self.max_head_bytes,
        )
