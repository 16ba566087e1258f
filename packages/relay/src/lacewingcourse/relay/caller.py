"""Connections of callers: reads their requests and writes the answers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    ResponseStartLine,
    responses,
)
from tornado.iostream import StreamClosedError

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.pipelines.client_memory import LARGE_BYTES
from lacewingcourse.relay.bounded_request import (
    HEADERS_TOO_LARGE,
    BoundedRequest,
    consume_exception,
)
from lacewingcourse.relay.hangups import HangupMonitor, has_hung_up, quiet_time
from lacewingcourse.relay.idle import IdleTimeout, IdleTimer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tornado.http1connection import HTTP1Connection
    from tornado.httputil import RequestStartLine


#: Bytes of a head that tornado reads before a configuration sets the limit, or if the
#: configured limit is smaller.
MAX_HEAD_BYTES = 64 * 1024
#: Iterations of the loop, after the last byte of an answer, within which a connection
#: has read the head of a pipelined request.
NEXT_HEAD_LOOP_ITERATIONS = 4
#: Seconds for which a body may arrive whose request names no time limit.
DEFAULT_BODY_TIMEOUT = 30.0


class CallerExchange(BoundedRequest):
    """One request of a caller and the answer to it.

    Attributes:
        arrived_at: When the head was received, seconds.
        disconnected: Whether the caller has closed the connection.
        response_started: Whether the head of the answer was written.
        response_ended: Whether the answer has ended, complete or not.
        response_complete: Whether it ended complete.
        on_disconnect: Called when the caller closes the connection before the answer is
            complete.
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
        on_departure: Callable[[CallerExchange, float | None], None],
        policy: ReceptionPolicy,
    ) -> None:
        super().__init__(connection, max_head_bytes, clock)
        self.arrived_at = 0.0
        self.disconnected = False
        self.response_started = False
        self.response_ended = False
        self.response_complete = False
        self.on_disconnect: Callable[[], None] | None = None
        self._version = ""
        self._serve = serve
        self._close_after_answer = close_after_answer
        self._open_requests = open_requests
        self._idle_timer = idle_timer
        self._on_departure = on_departure
        self._policy = policy
        self._is_read = False
        self._is_departure_reported = False
        self._task: asyncio.Task | None = None
        self._closes_connection = False
        self._body_deadline: float | None = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Process the head; from here on the request counts as open."""
        self._idle_timer.stop()
        self._open_requests.add(self)
        self.arrived_at = self._clock()
        self._version = start_line.version
        self.receive_head(start_line, headers)

    def finish(self) -> None:
        """Serve the request, which has been received completely.

        It is not served if its caller has left: the caller may have given up because
        its request was not read, and may have sent it elsewhere. Tornado also reads a
        pipelined request from its buffer after the connection has been closed.
        """
        if self.refused:
            self.end_refused()
            return
        self._is_read = True
        if self.has_left():
            self.on_connection_close()
            return
        self.account.on_complete()
        # The same object serves the decisions, the sends and the retries.
        self.body = bytes(self.body)
        self.connection.set_close_callback(self._on_close)
        if self.is_head_too_large:
            self.answer(HEADERS_TOO_LARGE, HTTPHeaders(), b"")
            self._when_flushed(self._on_flushed)
            return
        self._task = asyncio.ensure_future(self._serve(self))
        self._task.add_done_callback(self._on_served)

    def refuse(self, refusal: Refusal) -> None:
        """Refuse the request before it has been received completely."""
        self._policy.reject(self, refusal)

    def answer_unread(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Answer before the request has been received completely."""
        super().answer_unread(status, headers, body)
        self.response_started = self.response_ended = True
        self._when_flushed(self._remove_from_open)

    def end_refused(self) -> None:
        """Close the connection of a refused request once its answer has left."""
        self._when_flushed(super().end_refused)

    def check(self, now: float) -> None:
        """Refuse the request if it can no longer be answered in time.

        Args:
            now: Present time in seconds.
        """
        if self.refused:
            super().check(now)
            return
        if self._body_deadline is None:
            self._body_deadline = self.arrived_at + self._policy.body_timeout(self)
        if now >= self._body_deadline:
            reason = "the body did not arrive before the deadline"
            self.refuse(Refusal(ErrorKind.REQUEST_TIMEOUT, reason))

    def cancel(self) -> None:
        """Cancel the task that serves the request, so that it writes nothing more."""
        if self._task is not None:
            self._task.cancel()

    def has_left(self) -> bool:
        """Return whether the caller has closed the connection.

        The kernel is asked, as the loop may not have got to the close yet. A caller
        that only ended its own side counts as one that has left: both look the same
        until an answer is written.
        """
        stream = self.connection.stream
        if not stream.closed() and has_hung_up(stream.socket):
            self._close_departed()
        self.disconnected = self.disconnected or stream.closed()
        return self.disconnected

    def on_hangup(self) -> None:
        """Close a connection that the caller has closed, unless its answer has ended.

        What was written of an answer that has ended may still be on its way.
        """
        if not self.response_ended and not self.connection.stream.closed():
            self._close_departed()

    def _close_departed(self) -> None:
        """Close the connection; tornado then calls `_on_close`."""
        stream = self.connection.stream
        if self._is_read:
            self._report_departure(quiet_time(stream.socket))
        stream.close()

    def _report_departure(self, quiet: float | None) -> None:
        """Report once that the caller of a request left before the end of its answer.

        Args:
            quiet: Seconds since the close, None if unknown.
        """
        if self.response_ended or self._is_departure_reported:
            return
        self._is_departure_reported = True
        self._on_departure(self, quiet)

    def on_connection_close(self) -> None:
        """Handle a disconnect before the request was received completely."""
        super().on_connection_close()
        self.disconnected = True
        self._open_requests.discard(self)

    def begin(
        self, status: int, headers: HTTPHeaders, first: bytes = b""
    ) -> asyncio.Future[None] | None:
        """Write the head of the answer, and the first bytes of its body.

        Returns:
            As `write` does.
        """
        self.response_started = True
        if self._close_after_answer() or self._is_delimited_by_close(headers):
            self._closes_connection = True
            headers["Connection"] = "close"
            self._suppress_keep_alive()
        line = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        self._set_nodelay()
        self._ignore_write_error(self.connection.write_headers(line, headers, first))
        return self._flushed()

    def _is_delimited_by_close(self, headers: HTTPHeaders) -> bool:
        """Return whether the answer can only be ended by closing the connection.

        HTTP/1.0 has no chunked encoding.
        """
        return self._version == "HTTP/1.0" and "Content-Length" not in headers

    def write(self, data: bytes) -> asyncio.Future[None] | None:
        """Write bytes of the answer's body; does nothing after its end.

        Returns:
            None if the caller can take more. Otherwise what to wait for first: without
            that, all that an endpoint writes is held for a slow caller.
        """
        if not data or self.disconnected or self.response_ended:
            return None
        self._ignore_write_error(self.connection.write(data))
        return self._flushed()

    def _flushed(self) -> asyncio.Future[None] | None:
        """Return a future done once everything written was sent; None if it was."""
        stream = self.connection.stream
        if stream.closed() or not stream.writing():
            return None
        flushed = asyncio.get_running_loop().create_future()
        self._when_flushed(lambda: flushed.done() or flushed.set_result(None))
        return flushed

    def end(self) -> None:
        """End the answer as complete."""
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
        """End the answer so that the caller can detect that it is incomplete.

        Everything written so far is sent before the connection closes: a caller that
        resumes the answer asks for what follows the last event that it received.
        """
        self.response_ended = True
        self._when_flushed(self.connection.close)

    def answer(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Write a complete answer with a known length."""
        if self.disconnected or self.response_ended:
            return
        headers["Content-Length"] = str(len(body))
        sent = b"" if self.method == "HEAD" else body
        flushed = self.begin(status, headers, sent)
        self.end()
        if flushed is not None and len(sent) > LARGE_BYTES:
            self.account.on_answer(len(sent))

    def _when_flushed(self, callback: Callable[[], None]) -> None:
        """Run a callback once everything written has left this process."""
        stream = self.connection.stream
        if stream.closed() or not stream.writing():
            callback()
            return
        # An empty write completes only after all earlier writes.
        pending = stream.write(b"")
        pending.add_done_callback(consume_exception)
        pending.add_done_callback(lambda future: callback())

    def _on_served(self, task: asyncio.Task) -> None:
        """Keep the request open until its answer has left this process.

        Bytes that are buffered for a slow caller are lost if the process ends before.
        """
        self._when_flushed(self._on_flushed)

    def _on_flushed(self) -> None:
        self.body = b""
        self.account.end(self)
        self._remove_from_open()

    def _remove_from_open(self, iterations: int = NEXT_HEAD_LOOP_ITERATIONS) -> None:
        """Remove the request from the open ones once a pipelined request is open.

        A draining entry closes connections that have no open request.
        """
        if iterations:
            asyncio.get_running_loop().call_soon(self._remove_from_open, iterations - 1)
        else:
            self._open_requests.discard(self)

    def _set_nodelay(self) -> None:
        if self.connection.stream is not None and not self.connection.stream.closed():
            self.connection.stream.set_nodelay(True)

    def _ignore_write_error(self, future: asyncio.Future) -> None:
        future.add_done_callback(consume_exception)

    def _on_close(self) -> None:
        self.disconnected = True
        self._report_departure(None)
        if self.on_disconnect is not None and not self.response_ended:
            self.on_disconnect()


@attrs.define
class ReceptionPolicy:
    """What callers' requests are bound to while they arrive.

    Attributes:
        body_timeout: Returns the seconds, from its head, within which a request's body
            must have arrived for it to be answered.
        reject: Called with a request that is refused before it has been received
            completely, and why; answers it with `answer_unread`.
    """

    body_timeout: Callable[[CallerExchange], float] = (
        lambda exchange: DEFAULT_BODY_TIMEOUT
    )
    reject: Callable[[CallerExchange, Refusal], None] = (
        lambda exchange, refusal: exchange.answer_unread(
            refusal.answer.status, HTTPHeaders(), b""
        )
    )


class CallerConnections(HTTPServerConnectionDelegate):
    """The connections of callers.

    Attributes:
        open: Requests whose head was received and whose answer has not been flushed.
        idle: Idle timeout of the connections.
        hangups: Reports connections that callers have closed.
        on_departure: Called with a request whose caller has left before the end of its
            answer, and the seconds since then, None if unknown.
        max_head_bytes: Limit of a request's head in bytes.
        policy: What requests are bound to while they arrive.
    """

    def __init__(
        self,
        serve: Callable[[CallerExchange], Awaitable[None]],
        clock: Callable[[], float],
        close_after_answer: Callable[[], bool],
    ) -> None:
        self.open: set[CallerExchange] = set()
        self.idle = IdleTimeout()
        self.hangups = HangupMonitor()
        self.on_departure: Callable[[CallerExchange, float | None], None] = (
            lambda caller, quiet: None
        )
        self.max_head_bytes = MAX_HEAD_BYTES
        self.policy = ReceptionPolicy()
        self._serve = serve
        self._clock = clock
        self._close_after_answer = close_after_answer

    def start_request(
        self, server_conn: object, request_conn: HTTP1Connection
    ) -> HTTPMessageDelegate:
        """Return the delegate for the next request of a connection."""
        idle_timer = IdleTimer(request_conn, self.idle, self._clock)
        exchange = CallerExchange(
            request_conn,
            self._serve,
            self._clock,
            self._close_after_answer,
            self.open,
            idle_timer,
            lambda: self.max_head_bytes,
            self.on_departure,
            self.policy,
        )
        self.hangups.watch(request_conn.stream, exchange)
        return exchange
