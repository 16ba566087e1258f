"""Responses to calls made with curl, which must not end within their head."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from tornado.httpclient import HTTPError

from lacewingcourse.relay.upstream import FINAL_STATUSES

if TYPE_CHECKING:
    from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

#: Code of a response that stands for a missing one.
NO_RESPONSE_STATUS = 599
#: Start of a head; a later one replaces it, as an informational response has its own.
STATUS_LINE = "HTTP/"
#: The empty line at the end of a head. curl also reports one without its line feed.
EMPTY_LINES = frozenset({"\r\n", "\n"})


@attrs.define
class HeadProgress:
    """Whether the head of a response was received to its end.

    Attributes:
        begun: Whether its status line was received.
        complete: Whether the empty line at its end was received.
    """

    begun: bool = False
    complete: bool = False

    def receive(self, line: str) -> None:
        """Take a line of a head, or of the trailers after a body."""
        if line.startswith(STATUS_LINE):
            self.begun, self.complete = True, False
        elif line in EMPTY_LINES:
            self.complete = True


async def fetch_whole(client: AsyncHTTPClient, request: HTTPRequest) -> HTTPResponse:
    """Return the response to a request, whatever its status.

    curl takes a response whose connection is closed within its head for a complete one
    without a body. Redirects are not followed: their target is another process, whose
    response says nothing of the one that was asked.

    Args:
        client: A client that uses curl.
        request: The request; its header callback and following of redirects are
            replaced.

    Raises:
        HTTPError: There is no response, it ended within its head, its status is not
            that of a final response, or the request names an impossible address.
    """
    head = HeadProgress()
    request.header_callback = head.receive
    request.follow_redirects = False
    try:
        response = await client.fetch(request, raise_error=False)
    except ValueError as error:
        # curl takes no URL with other characters than ASCII ones.
        raise HTTPError(NO_RESPONSE_STATUS, f"no request: {error}") from error
    if head.begun and not head.complete:
        raise HTTPError(NO_RESPONSE_STATUS, "the response ended within its head")
    if response.code not in FINAL_STATUSES:
        reason = f"status {response.code}, which ends no request"
        raise HTTPError(NO_RESPONSE_STATUS, reason)
    return response
