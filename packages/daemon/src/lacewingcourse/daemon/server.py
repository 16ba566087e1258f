"""An HTTP server that bounds each request and answers what breaks a bound.

The library's server closes the connection, or sends a bare status line, when a request
is malformed, too large or too slow. Here each gets a problem document.
"""

from __future__ import annotations

import asyncio
import sys
from http import HTTPStatus
from typing import TYPE_CHECKING

import attrs
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, ResponseStartLine
from tornado.iostream import StreamClosedError

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.pipelines.client_memory import Shortage
from lacewingcourse.daemon.problems import PROBLEM_JSON, problem_of, retry_after
from lacewingcourse.relay.bounded_request import announced_length, shortage_refusal
from lacewingcourse.relay.client_server import ClientServer
from lacewingcourse.relay.hangups import HangupMonitor, has_hung_up
from lacewingcourse.wire.codec import encode

if TYPE_CHECKING:
    from tornado.http1connection import HTTP1Connection
    from tornado.iostream import IOStream

    from lacewingcourse.relay.client_stream import Account

#: Bytes of headers that a request may have.
MAX_HEADER_BYTES = 16 * 1024
#: Bytes of headers above which the connection is closed without an answer.
CLOSE_HEADER_BYTES = 4 * MAX_HEADER_BYTES
#: Seconds for which the rest of a body that is too large is read and dropped, so that
#: the caller gets to read the answer.
LINGER = 2.0
#: Paths of messages between the processes, and how much larger than a caller's body
#: they may be: base64 and the message around it.
WIRE_PREFIX = "/wire/"
WIRE_FACTOR = 2
#: What the library writes for a request that it cannot parse.
BARE_BAD_REQUEST = b"HTTP/1.1 400 Bad Request\r\n\r\n"
#: Bytes that a header adds to its name and value.
HEADER_OVERHEAD = 4


@attrs.frozen
class RequestLimits:
    """Bounds of a request.

    Attributes:
        body_bytes: Bytes of a caller's body.
        header_timeout: Seconds in which the headers must arrive once begun.
        body_timeout: Seconds in which the body must arrive.
    """

    body_bytes: int
    header_timeout: float
    body_timeout: float

    def body_bytes_of(self, path: str) -> int:
        """Return the bytes that a body for a path may have."""
        factor = WIRE_FACTOR if path.startswith(WIRE_PREFIX) else 1
        return self.body_bytes * factor


def problem_headers(refusal: Refusal, body: bytes) -> HTTPHeaders:
    """Return the headers of a problem document after which the connection closes."""
    headers = HTTPHeaders(
        {
            "Content-Type": PROBLEM_JSON,
            "Content-Length": str(len(body)),
            "Connection": "close",
        }
    )
    seconds = retry_after(refusal)
    if seconds is not None:
        headers["Retry-After"] = str(seconds)
    return headers


def raw_problem(refusal: Refusal) -> bytes:
    """Return a whole HTTP response with a problem document."""
    body = encode(problem_of(refusal))
    status = refusal.answer.status
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}"]
    lines += [
        f"{name}: {value}" for name, value in problem_headers(refusal, body).items()
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class RequestGuard(HTTPMessageDelegate):
    """Passes a request on while it keeps its bounds, and refuses it otherwise.

    Attributes:
        inner: Takes the request.
        connection: The request's connection.
        limits: The bounds.
        account: What the connection holds.
        body_bytes: Bytes that the body may have.
        received: Bytes of the body so far.
        refused: Whether the request was refused.
    """

    def __init__(
        self,
        inner: HTTPMessageDelegate,
        connection: HTTP1Connection,
        limits: RequestLimits,
    ) -> None:
        self.inner = inner
        self.connection = connection
        self.limits = limits
        self.account: Account = connection.stream.account
        self.account.begin(self)
        self.body_bytes = limits.body_bytes
        self.received = 0
        self.refused = False
        self._headers = HTTPHeaders()
        self._timer: asyncio.TimerHandle | None = None

    def headers_received(self, start_line, headers):
        self._headers = headers
        self.body_bytes = self.limits.body_bytes_of(start_line.path)
        # The bound is counted here; the library would close without an answer.
        self.connection.set_max_body_size(sys.maxsize)
        size = sum(
            len(name) + len(value) + HEADER_OVERHEAD
            for name, value in headers.get_all()
        )
        length = announced_length(headers)
        has_body = length != 0
        self.account.on_head(headers, size, has_body, length)
        if size + len(start_line.path) > MAX_HEADER_BYTES:
            reason = f"the headers have more than {MAX_HEADER_BYTES} bytes"
            self._refuse(Refusal(ErrorKind.TOO_LARGE, reason))
            return None
        if length is not None and length > self.body_bytes:
            self._refuse_body()
            return None
        if has_body:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self.limits.body_timeout, self._too_slow)
        return self.inner.headers_received(start_line, headers)

    def data_received(self, chunk):
        if self.refused:
            return None
        self.received += len(chunk)
        if self.received > self.body_bytes:
            self._refuse_body()
            return None
        found = self.inner.data_received(chunk)
        self.account.on_body(len(chunk))
        return found

    def finish(self) -> None:
        self._stop_timer()
        if self.refused:
            self._end()
            return
        stream = self.connection.stream
        if stream.closed() or has_hung_up(stream.socket):
            # The sender has given up, and may have sent the request elsewhere.
            stream.close()
            self.inner.on_connection_close()
            return
        self.account.on_complete()
        self.inner.finish()

    def on_connection_close(self) -> None:
        self._stop_timer()
        if not self.refused:
            self.inner.on_connection_close()

    def on_shortage(self, shortage: Shortage) -> None:
        """Refuse the request for want of memory, or close if connections are short."""
        self._refuse(shortage_refusal())
        if shortage is Shortage.CONNECTIONS:
            self._end()

    def check(self, now: float) -> None:
        """Do nothing: timers of this object end what takes too long."""

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _too_slow(self) -> None:
        reason = f"the body did not arrive in {self.limits.body_timeout:g} s"
        self._refuse(Refusal(ErrorKind.REQUEST_TIMEOUT, reason))
        self._end()

    def _refuse_body(self) -> None:
        reason = f"the body has more than {self.body_bytes} bytes"
        self._refuse(Refusal(ErrorKind.TOO_LARGE, reason))

    def _refuse(self, refusal: Refusal) -> None:
        """Answer now; the connection ends when the rest was read, or soon after."""
        self.refused = True
        self._stop_timer()
        # Otherwise the library would invite the body after the answer.
        self._headers.pop("Expect", None)
        # What the inner delegate has collected is dropped with it.
        self.inner.on_connection_close()
        self.inner = None
        self.account.on_refused()
        body = encode(problem_of(refusal))
        status = refusal.answer.status
        line = ResponseStartLine("HTTP/1.1", status, HTTPStatus(status).phrase)
        self.connection.write_headers(line, problem_headers(refusal, body), body)
        self._timer = asyncio.get_running_loop().call_later(LINGER, self._end)

    def _end(self) -> None:
        self._stop_timer()
        if self.connection.stream is not None:
            self.connection.finish()


class HeadReader:
    """Reads the head of each request of a connection and bounds its time.

    An idle connection may wait for long; a head that has begun may not.

    Attributes:
        stream: The connection.
        timeout: Seconds in which a head must arrive once it has begun.
    """

    def __init__(self, stream: IOStream, timeout: float) -> None:
        self.stream = stream
        self.timeout = timeout
        self._read = stream.read_until_regex
        self._write = stream.write

    def on_hangup(self) -> None:
        """Close a connection that the peer has closed, unless bytes are being written.

        The end of an answer may still be on its way to a peer that only ended its own
        side; writing to one that has left fails.
        """
        if not self.stream.closed() and not self.stream.writing():
            self.stream.close()

    async def read_until_regex(self, regex: bytes, max_bytes: int | None = None):
        """Read up to the end of a head."""
        first = await self.stream.read_bytes(1)
        loop = asyncio.get_running_loop()
        timer = loop.call_later(self.timeout, self._too_slow)
        try:
            return first + await self._read(regex, max_bytes)
        finally:
            timer.cancel()

    def _too_slow(self) -> None:
        reason = f"the headers did not arrive in {self.timeout:g} s"
        refusal = Refusal(ErrorKind.REQUEST_TIMEOUT, reason)
        try:
            self._write(raw_problem(refusal))
        except StreamClosedError:
            return
        self.stream.close()

    def write(self, data):
        """Write bytes; a bare refusal of the library becomes a problem document."""
        if data == BARE_BAD_REQUEST:
            refusal = Refusal(ErrorKind.MALFORMED, "this is no valid HTTP request")
            data = raw_problem(refusal)
        return self._write(data)


class GuardedServer(ClientServer):
    """An HTTP server whose requests are bounded.

    Attributes:
        limits: The bounds.
        hangups: Reports connections that their peers have closed.
    """

    def initialize(self, request_callback, limits: RequestLimits, **options) -> None:
        self.limits = limits
        self.hangups = HangupMonitor()
        super().initialize(
            request_callback, max_header_size=CLOSE_HEADER_BYTES, **options
        )

    def start_request(self, server_conn, request_conn):
        inner = super().start_request(server_conn, request_conn)
        return RequestGuard(inner, request_conn, self.limits)

    def handle_stream(self, stream, address) -> None:
        reader = HeadReader(stream, self.limits.header_timeout)
        stream.read_until_regex = reader.read_until_regex
        stream.write = reader.write
        self.hangups.watch(stream, reader)
        super().handle_stream(stream, address)
