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
MOST_HEAD = 64 * 1024
#: Status of a request whose head is longer than the version in force allows.
HEAD_TOO_LONG = 431
#: Turns of the loop after the last byte of an answer by which a connection has read the
#: head that its caller sent ahead.
NEXT_HEAD_TURNS = 4
#: Bytes between and around the name and the value of a header.
HEADER_MARKS = len(": \r\n")


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
        last: Callable[[], bool],
        unended: set[CallerExchange],
        watch: IdleTimer,
        longest_head: Callable[[], int],
    ) -> None:
        self.connection = connection
        self.method = ""
        self.target = ""
        self.headers = HTTPHeaders()
        self.body = bytearray()
        self.arrived_at = 0.0
        self.gone = False
        self.begun = False
        self.ended = False
        self.whole = False
        self.on_gone: Callable[[], None] | None = None
        self._version = ""
        self._serve = serve
        self._clock = clock
        self._last = last
        self._unended = unended
        self._watch = watch
        self._longest_head = longest_head
        self._task: asyncio.Task | None = None
        self._closes = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Take the head of the request, from which on its caller waits for an end."""
        self._watch.stop()
        self._unended.add(self)
        self._take_limits()
        self.arrived_at = self._clock()
        self._version = start_line.version
        self.method = start_line.method
        self.target = start_line.path
        self.headers = headers

    def _take_limits(self) -> None:
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
        if self._head_bytes() > self._longest_head():
            self.answer(HEAD_TOO_LONG, HTTPHeaders(), b"")
            self._after_last_byte(self._count_no_more)
            return
        self._task = asyncio.ensure_future(self._serve(self))
        self._task.add_done_callback(self._on_served)

    def _head_bytes(self) -> int:
        """Return about how many bytes the head has."""
        fields = self.headers.get_all()
        sizes = (len(name) + len(value) + HEADER_MARKS for name, value in fields)
        return len(self.method) + len(self.target) + sum(sizes)

    def cancel(self) -> None:
        """Stop serving the request; what serves it writes nothing any more."""
        if self._task is not None:
            self._task.cancel()

    def on_connection_close(self) -> None:
        """Take the early end of the request; nothing was begun for it."""
        self.gone = True
        self._unended.discard(self)

    def begin(self, status: int, headers: HTTPHeaders, first: bytes = b"") -> None:
        """Write the head of the answer, and the first bytes of its body."""
        self.begun = True
        if self._last() or self._ends_by_close(headers):
            self._closes = True
            headers["Connection"] = "close"
            self._promise_nothing()
        line = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        self._nodelay()
        self._note(self.connection.write_headers(line, headers, first))

    def _promise_nothing(self) -> None:
        """Keep tornado from promising the connection to a caller of HTTP/1.0.

        It does so where the caller asked for it, in place of what is told here.
        """
        if self.headers.get("Connection", "").lower() == "keep-alive":
            del self.headers["Connection"]

    def _ends_by_close(self, headers: HTTPHeaders) -> bool:
        """Tell whether only the end of the connection can end the answer.

        A caller that speaks HTTP/1.0 knows no chunks.
        """
        return self._version == "HTTP/1.0" and "Content-Length" not in headers

    def write(self, data: bytes) -> None:
        """Write bytes of the answer's body; none behind its end."""
        if data and not self.gone and not self.ended:
            self._note(self.connection.write(data))

    def end(self) -> None:
        """End the answer as a whole one."""
        if self.ended:
            return
        self.ended = True
        try:
            self.connection.finish()
        except StreamClosedError:
            return
        self.whole = True
        if self._closes:
            self._after_last_byte(self.connection.close)

    def break_off(self) -> None:
        """End the answer so that it cannot look whole.

        It is closed behind what was passed on: a caller that resumes it asks for what
        follows the last event that it got.
        """
        self.ended = True
        self._after_last_byte(self.connection.close)

    def answer(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Write a whole answer with a known length."""
        if self.gone or self.ended:
            return
        headers["Content-Length"] = str(len(body))
        sent = b"" if self.method == "HEAD" else body
        self.begin(status, headers, sent)
        self.end()

    def _after_last_byte(self, work: Callable[[], None]) -> None:
        """Do something once all that was written has left this process."""
        stream = self.connection.stream
        if stream.closed() or not stream.writing():
            work()
            return
        # Nothing is written by it, but it is done only when all before it has been.
        pending = stream.write(b"")
        pending.add_done_callback(_forget)
        pending.add_done_callback(lambda future: work())

    def _on_served(self, task: asyncio.Task) -> None:
        """Count the request as open until its answer has left this process.

        Bytes that wait for a slow caller are lost if the process ends before.
        """
        self._after_last_byte(self._count_no_more)

    def _count_no_more(self, turns: int = NEXT_HEAD_TURNS) -> None:
        """Count the request as open until one that was sent ahead counts.

        An entry that ends closes connections on which nothing is open.
        """
        if turns:
            asyncio.get_running_loop().call_soon(self._count_no_more, turns - 1)
        else:
            self._unended.discard(self)

    def _nodelay(self) -> None:
        if self.connection.stream is not None and not self.connection.stream.closed():
            self.connection.stream.set_nodelay(True)

    def _note(self, future: asyncio.Future) -> None:
        future.add_done_callback(_forget)

    def _on_close(self) -> None:
        self.gone = True
        if self.on_gone is not None and not self.ended:
            self.on_gone()


def _forget(future: asyncio.Future) -> None:
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
        last: Callable[[], bool],
    ) -> None:
        self.open: set[CallerExchange] = set()
        self.idle = IdleTimeout()
        self.longest_head = MOST_HEAD
        self._serve = serve
        self._clock = clock
        self._last = last

    def start_request(
        self, server_conn: object, request_conn: HTTP1Connection
    ) -> HTTPMessageDelegate:
        """Return what takes the next request of a connection."""
        watch = IdleTimer(request_conn, self.idle, self._clock)
        return CallerExchange(
            request_conn,
            self._serve,
            self._clock,
            self._last,
            self.open,
            watch,
            lambda: self.longest_head,
        )
