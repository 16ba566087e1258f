"""A request of a client as far as it has arrived, within the bounds of its size."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    ResponseStartLine,
    responses,
)

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.pipelines.client_memory import Shortage
from lacewingcourse.relay.client_stream import UNBOUNDED, Account, Clients

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from tornado.http1connection import HTTP1Connection
    from tornado.httputil import RequestStartLine

#: Bytes of a body before a configuration sets the limit.
DEFAULT_BODY_BYTES = 4 * 1024 * 1024
#: Seconds for which the rest of a refused request is read and dropped. Closing a
#: connection with unread bytes resets it, and its client may lose the refusal.
LINGER = 5.0
#: The same while no byte of it arrives.
LINGER_IDLE = 0.5
#: The same in bytes, as a multiple of the largest legal body.
LINGER_BODIES = 2
#: Bytes that a header takes at least besides its name and value.
HEADER_SEPARATOR_BYTES = len(":\r\n")
#: `Retry-After` in seconds of a request that was given up for want of memory: others
#: move on within it, or are given up themselves.
SHORTAGE_RETRY_AFTER = 1.0
#: Maximum number of digits of a length that is read as a number.
MAX_LENGTH_DIGITS = 18
#: Status of a request whose head exceeds the limit.
HEADERS_TOO_LARGE = 431


class BoundedRequest(HTTPMessageDelegate):
    """Receives one request, and refuses it as soon as it breaks a bound.

    Attributes:
        connection: Connection that carries it.
        method: HTTP method.
        target: Path with query.
        headers: Headers of the request.
        body: Body as far as it was received, unchangeable once that is all of it.
        account: What its connection holds.
        refused: Whether it was refused before it was received completely.
        is_head_too_large: Whether its head exceeds the limit. Without a body it is
            answered as others are, and the connection is kept.
    """

    def __init__(
        self,
        connection: HTTP1Connection,
        max_head_bytes: Callable[[], int],
        clock: Callable[[], float],
    ) -> None:
        self.connection = connection
        self.method = ""
        self.target = ""
        self.headers = HTTPHeaders()
        self.body: bytearray | bytes = bytearray()
        self.refused = False
        self.is_head_too_large = False
        self._max_head_bytes = max_head_bytes
        self._clock = clock
        self._dropped_bytes = 0
        self._dropped_at = 0.0
        self._refused_at = 0.0
        account = getattr(connection.stream, "account", None)
        self.account: Account = account or Account(Clients(UNBOUNDED, clock))
        self.account.begin(self)

    def receive_head(self, start_line: RequestStartLine, headers: HTTPHeaders) -> None:
        """Process the head, and refuse the request if that breaks a bound already."""
        self.method = start_line.method
        self.target = start_line.path
        self.headers = headers
        # The size is checked here: the library answers 400 and resets the connection.
        self.connection.set_max_body_size(sys.maxsize)
        length = announced_length(headers)
        has_body = length != 0
        size = self._head_bytes()
        self.account.on_head(headers, size, has_body, length)
        is_shortened = self.account.is_head_too_large
        self.is_head_too_large = is_shortened or size > self._max_head_bytes()
        if has_body and self.is_head_too_large:
            self.answer_unread(HEADERS_TOO_LARGE, HTTPHeaders(), b"")
        elif length:
            self._check_length(length)

    def _max_body_bytes(self) -> int:
        """Return the limit in force, which may have come after the connection."""
        limit = self.connection.params.max_body_size
        return DEFAULT_BODY_BYTES if limit is None else limit

    def _check_length(self, length: int) -> None:
        """Refuse a body that announces too much, or more than can be held."""
        if length > self._max_body_bytes():
            self._refuse_size()
        elif not self.account.clients.memory.can_hold(length):
            self.refuse(shortage_refusal())

    def _head_bytes(self) -> int:
        """Return the size of the head in bytes; it may have been a little larger."""
        fields = self.headers.get_all()
        sizes = (
            len(name) + len(value) + HEADER_SEPARATOR_BYTES for name, value in fields
        )
        return len(self.method) + len(self.target) + sum(sizes)

    def data_received(self, chunk: bytes) -> None:
        """Append a chunk of the body, or drop it if the request was refused."""
        if self.refused:
            self._dropped_bytes += len(chunk)
            self._dropped_at = self._clock()
            if self._dropped_bytes > LINGER_BODIES * self._max_body_bytes():
                self.end_refused()
            return
        if len(self.body) + len(chunk) > self._max_body_bytes():
            self._refuse_size()
            return
        self.body += chunk
        self.account.on_body(len(chunk))

    def on_shortage(self, shortage: Shortage) -> None:
        """Refuse the request for want of memory, or close if connections are short."""
        self.refuse(shortage_refusal())
        if shortage is Shortage.CONNECTIONS:
            self.end_refused()

    def on_connection_close(self) -> None:
        """Drop the body; cycles of references keep this object for a while."""
        self.body = bytearray()

    def check(self, now: float) -> None:
        """End a refused request whose rest does not arrive.

        Args:
            now: Present time in seconds.
        """
        if not self.refused:
            return
        is_idle = now - self._dropped_at >= LINGER_IDLE
        if is_idle or now - self._refused_at >= LINGER:
            self.end_refused()

    def _refuse_size(self) -> None:
        limit = self._max_body_bytes()
        reason = f"the body has more than {limit} bytes"
        self.refuse(Refusal(ErrorKind.TOO_LARGE, reason))

    def refuse(self, refusal: Refusal) -> None:
        """Refuse the request before it has been received completely."""
        self.answer_unread(refusal.answer.status, HTTPHeaders(), b"")

    def answer_unread(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Answer at once; what still arrives of the request is dropped.

        The connection closes when all of it has arrived, or soon after.
        """
        if self.refused or self.connection.stream.closed():
            return
        self.refused = True
        self.body = bytearray()
        self._refused_at = self._dropped_at = self._clock()
        # Otherwise the library would invite the body after the answer.
        self.headers.pop("Expect", None)
        headers["Content-Length"] = str(len(body))
        headers["Connection"] = "close"
        self._suppress_keep_alive()
        line = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        sent = b"" if self.method == "HEAD" else body
        self.connection.write_headers(line, headers, sent).add_done_callback(
            consume_exception
        )
        self.account.on_refused()

    def _suppress_keep_alive(self) -> None:
        """Prevent tornado from sending `Connection: Keep-Alive` to an HTTP/1.0 caller.

        Tornado replaces the header that the answer sets with that one if the request
        asked for it.
        """
        if self.headers.get("Connection", "").lower() == "keep-alive":
            del self.headers["Connection"]

    def end_refused(self) -> None:
        """Close the connection of a refused request."""
        if not self.connection.stream.closed():
            self.connection.close()


def announced_length(headers: HTTPHeaders) -> int | None:
    """Return the length of the body that a head announces, None if it names none.

    A body in chunks names none. The library refuses a length that is no number.
    """
    if "Transfer-Encoding" in headers:
        return None
    value = headers.get("Content-Length")
    if value is None:
        return 0
    if not (value.isascii() and value.isdecimal()):
        return None
    return sys.maxsize if len(value) > MAX_LENGTH_DIGITS else int(value)


def shortage_refusal() -> Refusal:
    """Return the refusal of a request for want of memory."""
    return Refusal(
        ErrorKind.OVERLOADED,
        "the requests of all clients hold too much memory",
        retry_after=SHORTAGE_RETRY_AFTER,
    )


def consume_exception(future: asyncio.Future) -> None:
    """Discard the exception of a write; a close is handled elsewhere."""
    if not future.cancelled():
        future.exception()
