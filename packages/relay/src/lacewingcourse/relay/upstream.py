"""One HTTP exchange with an endpoint: a request and the response to it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError, UnsatisfiableReadError

from lacewingcourse.core.pipelines.answer_faults import AnswerFault
from lacewingcourse.relay.connections import TinyChunksError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from lacewingcourse.core.pipelines.send_history import Send
    from lacewingcourse.relay.connections import Connection

#: Maximum size of a response head in bytes.
MAX_HEAD_BYTES = 64 * 1024
#: Maximum size of a response body in bytes.
MAX_BODY_BYTES = 64 * 1024 * 1024
#: Bytes of a request's body that are written in one piece with its head.
MAX_JOINED_BYTES = 64 * 1024
#: Statuses of informational responses, and of final ones.
INFORMATIONAL_STATUSES = range(100, 200)
FINAL_STATUSES = range(200, 600)
#: Maximum number of responses to other requests, and of informational ones, that are
#: skipped. One that comes late stands before the expected one; more are no answers.
MAX_SKIPPED_RESPONSES = 16
#: Maximum number of bytes of their bodies.
MAX_SKIPPED_BYTES = 1024 * 1024
#: Bytes of a body after which other tasks get a turn. What has been received already is
#: read without one.
TURN_BYTES = 256 * 1024


@attrs.frozen
class Head:
    """A response head was received."""

    status: int
    headers: HTTPHeaders


@attrs.frozen
class Data:
    """Bytes of a response body were received."""

    data: bytes


@attrs.frozen
class End:
    """A response ended.

    Attributes:
        complete: Whether it is complete by its HTTP framing.
        reason: What happened if it is not.
        by_close: Whether only the close of the connection marks its end.
        fault: What is wrong with its bytes, None unless this side closed the connection
            for them.
    """

    complete: bool
    reason: str = ""
    by_close: bool = False
    fault: AnswerFault | None = None


@attrs.frozen
class Stalled:
    """Nothing was received for too long.

    Attributes:
        cause_known: Whether an endpoint on the path is known to be the cause.
    """

    cause_known: bool = False


@attrs.frozen
class Abandoned:
    """The request was given up, as its caller left."""

    reason: str


@attrs.frozen
class StandbySettled:
    """A standby attempt was accepted or has failed."""


Arrival = Head | Data | End | Stalled | Abandoned | StandbySettled


class Exchange(HTTPMessageDelegate):
    """A request that was sent to an endpoint, and the response to it.

    Attributes:
        connection: Connection that carries it.
        send: Entry of this send in its request's history, concluded by who reads the
            response. None for an exchange that belongs to no request.
        arrivals: Received items that were not processed yet.
        complete: Whether the response was read to its end.
        sink: Called with body bytes as they are received, None to put them into
            `arrivals`. Returns what to wait for before reading on, None to read on at
            once. Events of a stream go through it without a task switch, which saves a
            fifth of an entry's processor time.
        task: Reads the responses, None before the start.
    """

    def __init__(
        self,
        connection: Connection,
        accepts_head: Callable[[int, HTTPHeaders], bool],
    ) -> None:
        self.connection = connection
        self.send: Send | None = None
        self.arrivals: asyncio.Queue[Arrival] = asyncio.Queue()
        self.complete = False
        self.sink: Callable[[bytes], Awaitable[None] | None] | None = None
        self._accepts_head = accepts_head
        self._skipping = False
        self._skipped_responses = 0
        self._skipped_bytes = 0
        self._turn_bytes = 0
        self._received_before = 0
        self._has_head = False
        self._until_close = False
        self._closes = False
        self.task: asyncio.Task | None = None
        self._resumed: asyncio.Future[None] | None = None

    def start(
        self, method: str, target: str, headers: HTTPHeaders, body: bytes
    ) -> None:
        """Send the request, and start to read responses into `arrivals`."""
        params = HTTP1ConnectionParameters(
            max_header_size=MAX_HEAD_BYTES, max_body_size=MAX_BODY_BYTES
        )
        self._received_before = self.connection.stream.received_bytes
        http = HTTP1Connection(self.connection.stream, True, params)
        line = RequestStartLine(method, target, "HTTP/1.1")
        if len(body) > MAX_JOINED_BYTES:
            # Joined to the head it would be copied for as long as it is written.
            http.write_headers(line, headers)
            http.write(body)
        else:
            http.write_headers(line, headers, body)
        http.finish()
        self.task = asyncio.ensure_future(self._read(http, params))

    def abandon(self) -> None:
        """Close the connection, so that the endpoint stops its work.

        What was received before and is read later belongs to nobody.
        """
        self.connection.close()
        self.sink = lambda data: None
        if self._resumed is not None and not self._resumed.done():
            # Reading on ends the task, as the connection is closed.
            self._resumed.set_result(None)
        elif self.task is not None:
            self.task.cancel()

    @property
    def reusable(self) -> bool:
        """Whether the connection may carry another request."""
        return self.complete and not self._until_close and not self._closes

    @property
    def was_dropped(self) -> bool:
        """Whether the connection was probably stale before the request was sent.

        A pooled connection that closes before any byte of a response has nearly always
        been closed by the endpoint while it was idle. The request may still have run.
        """
        if not self.connection.reused:
            return False
        return self.connection.stream.received_bytes == self._received_before

    def headers_received(
        self, start_line: ResponseStartLine | RequestStartLine, headers: HTTPHeaders
    ) -> None:
        """Process a response head; informational (1xx) ones are ignored."""
        status = start_line.code
        if status in INFORMATIONAL_STATUSES:
            self._skip_response()
            return
        if status not in FINAL_STATUSES:
            # The library reads a body after such a status.
            self._skipping = True
            reason = f"status {status}, which does not exist"
            self.give_up(reason, AnswerFault.MALFORMED)
            return
        self._skipping = not self._accepts_head(status, headers)
        if self._skipping:
            self._skip_response()
        self._until_close = (
            "Content-Length" not in headers
            and "Transfer-Encoding" not in headers
            and status not in (204, 304)
        )
        if headers.get("Connection", "").lower() == "close":
            self._closes = True
        if not self._skipping:
            self._has_head = True
            self.arrivals.put_nowait(Head(status, headers))

    def data_received(self, chunk: bytes) -> asyncio.Future[None] | None:
        """Process bytes of the body; return what to wait for before reading on."""
        if self._skipping:
            self._skipped_bytes += len(chunk)
            if self._skipped_bytes > MAX_SKIPPED_BYTES:
                reason = "a response to another request that is too long"
                self.give_up(reason, AnswerFault.OVERSIZED)
        elif self.sink is not None:
            wait = self.sink(chunk)
            if wait is not None:
                return self._pause(wait)
        else:
            self.arrivals.put_nowait(Data(chunk))
        self._turn_bytes += len(chunk)
        if self._turn_bytes < TURN_BYTES:
            return None
        self._turn_bytes = 0
        return self._pause(asyncio.sleep(0))

    def _pause(self, wait: Awaitable[None]) -> asyncio.Future[None]:
        """Return a future that ends with a wait, or once the exchange is abandoned.

        The library logs an error if what it waits for is cancelled.
        """
        resumed = self._resumed = asyncio.get_running_loop().create_future()
        waiting = asyncio.ensure_future(wait)
        waiting.add_done_callback(lambda _: resumed.done() or resumed.set_result(None))
        return resumed

    def _skip_response(self) -> None:
        """Count a skipped response."""
        self._skipped_responses += 1
        if self._skipped_responses > MAX_SKIPPED_RESPONSES:
            reason = "too many responses to other requests"
            self.give_up(reason, AnswerFault.OVERSIZED)

    def give_up(self, reason: str, fault: AnswerFault) -> None:
        """Close the connection because of what the endpoint writes."""
        self.arrivals.put_nowait(End(False, reason, fault=fault))
        self.connection.close()

    def _found_fault(self) -> AnswerFault | None:
        """Return why this side closed the connection, None if the other one did."""
        stream = self.connection.stream
        if isinstance(stream.error, TinyChunksError):
            return AnswerFault.OVERSIZED
        if isinstance(stream.error, UnsatisfiableReadError) and not self._has_head:
            return AnswerFault.OVERSIZED
        is_reset = isinstance(stream.error, OSError)
        if stream.at_end or is_reset or not stream.closed():
            return None
        return AnswerFault.MALFORMED

    def finish(self) -> None:
        """Process the end of a response."""
        if self._skipping:
            return
        error = self.connection.stream.error if self._until_close else None
        if error is not None:
            self.arrivals.put_nowait(End(False, f"reset: {error}"))
            return
        self.complete = True
        self.arrivals.put_nowait(End(True, by_close=self._until_close))

    def on_connection_close(self) -> None:
        """Process the close of the connection in the middle of a response."""
        if not self._skipping:
            fault = self._found_fault()
            self.arrivals.put_nowait(End(False, "ended early", fault=fault))

    async def _read(
        self,
        http: HTTP1Connection,
        params: HTTP1ConnectionParameters,
    ) -> None:
        """Read responses until the one to this request, and skip foreign ones."""
        try:
            while True:
                self._skipping = False
                await http.read_response(self)
                if not self._skipping:
                    break
                if self.connection.stream.closed():
                    self.arrivals.put_nowait(End(False, "only a foreign answer"))
                    break
                # The next one is read without a pause if it has been received already.
                await asyncio.sleep(0)
                http = HTTP1Connection(self.connection.stream, True, params)
                http.finish()
        except (StreamClosedError, HTTPInputError, OSError) as error:
            fault = self._found_fault()
            self.arrivals.put_nowait(End(False, f"closed: {error}", fault=fault))
