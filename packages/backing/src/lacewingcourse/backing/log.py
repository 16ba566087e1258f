"""Client of the platform's log service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
from tornado.httpclient import HTTPRequest

from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.wire.client import (
    fetch,
    never_sent,
    new_http_client,
    use_fresh_connection,
)
from lacewingcourse.wire.codec import decode, encode

if TYPE_CHECKING:
    from collections.abc import Callable


@attrs.frozen
class LogRecord:
    """A record as the log keeps it.

    Attributes:
        offset: Place in the stream, from 0, without gaps.
        body: JSON text that was appended.
        appended_at: When the log took it, seconds since the epoch.
    """

    offset: int
    body: str
    appended_at: float


@attrs.frozen
class LogPage:
    """Consecutive records of a stream.

    Attributes:
        first_offset: The oldest offset that the log still keeps.
        next_offset: The offset that the next append gets.
        records: Records from the requested offset on.
    """

    first_offset: int
    next_offset: int
    records: tuple[LogRecord, ...]


@attrs.frozen
class Append:
    """Body of an append."""

    body: str


@attrs.frozen
class Appended:
    """The log's answer to an append."""

    offset: int


class LogClient:
    """Appends to and reads from the streams of a log service.

    Attributes:
        url: Base URL of the log service.
        http: The HTTP client.
        timeout: Seconds to wait for an answer at the most.
        observe: Told of each operation, its stream and its result, or None.
    """

    def __init__(self, url: str, timeout: float = 5.0) -> None:
        self.url = url
        self.http = new_http_client()
        self.timeout = timeout
        self.observe: Callable[[str, str, object], None] | None = None

    def _observed(self, operation: str, stream: str, result: Any) -> Any:
        """Tell the observer of an operation and return its result."""
        if self.observe is not None:
            self.observe(operation, stream, result)
        return result

    async def append(self, stream: str, body: str) -> int | Refusal:
        """Append a record.

        Returns:
            Its offset, or a refusal: outcome `NOT_RUN` if the log took nothing,
            `UNKNOWN` if the record may stand in the log.
        """
        request = HTTPRequest(
            f"{self.url}/streams/{stream}/records",
            method="POST",
            body=encode(Append(body)),
            headers={"Content-Type": "application/json"},
            prepare_curl_callback=use_fresh_connection,
            connect_timeout=min(self.timeout, 2.0),
            request_timeout=self.timeout,
        )
        response = await fetch(self.http, request)
        if response.code != 200:
            return self._observed("append", stream, refusal_of(response))
        answer = decode(response.body, Appended)
        self._observed("append", stream, answer)
        return answer if isinstance(answer, Refusal) else answer.offset

    async def read(
        self, stream: str, offset: int, limit: int = 500, wait: float = 0.0
    ) -> LogPage | Refusal:
        """Read records from an offset on.

        Args:
            stream: Name of the stream.
            offset: First offset that is wanted.
            limit: Records at the most.
            wait: Seconds for which the log may hold the answer if there is none.
        """
        request = HTTPRequest(
            f"{self.url}/streams/{stream}/records"
            f"?from={offset}&limit={limit}&wait={wait}",
            connect_timeout=min(self.timeout, 2.0),
            request_timeout=self.timeout + wait,
        )
        response = await fetch(self.http, request)
        if response.code != 200:
            return self._observed("read", stream, refusal_of(response))
        return self._observed("read", stream, decode(response.body, LogPage))


def refusal_of(response) -> Refusal:
    """Return the refusal for an answer other than 200."""
    not_taken = response.code == 503 or never_sent(response)
    outcome = Outcome.NOT_RUN if not_taken else Outcome.UNKNOWN
    return Refusal(ErrorKind.LOG_UNAVAILABLE, str(response.error), outcome)
