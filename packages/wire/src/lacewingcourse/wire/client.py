"""HTTP client for messages to other processes of lacewingcourse."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest, HTTPResponse

from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.relay.whole_responses import NO_RESPONSE_STATUS, fetch_whole
from lacewingcourse.wire.auth import AUTH_HEADER, sign
from lacewingcourse.wire.codec import decode, encode

if TYPE_CHECKING:
    from typing import Any

    from tornado.httpclient import AsyncHTTPClient

T = TypeVar("T")

#: Requests that one process has in flight at the most.
MAX_CLIENTS = 1000
#: curl's codes for a connection that was never made: host not found, refused.
NOT_CONNECTED = frozenset({6, 7})


def new_http_client() -> CurlAsyncHTTPClient:
    """Return a client of its own for the running loop."""
    return CurlAsyncHTTPClient(force_instance=True, max_clients=MAX_CLIENTS)


async def fetch(http: AsyncHTTPClient, request: HTTPRequest) -> HTTPResponse:
    """Return the response to a request; one with code 599 if there was none."""
    try:
        return await fetch_whole(http, request)
    except HTTPError as error:
        return HTTPResponse(request, NO_RESPONSE_STATUS, error=error)


def never_sent(response: HTTPResponse) -> bool:
    """Tell whether a request without answer surely did not reach its receiver."""
    return getattr(response.error, "errno", None) in NOT_CONNECTED


def use_fresh_connection(curl: pycurl.Curl) -> None:
    """Make curl send a request at most once.

    On a connection that was used before, curl sends any request again if the
    connection ends without an answer, although the receiver may have acted on it.
    """
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)


class PeerClient:
    """Sends messages and returns their replies.

    Attributes:
        http: The HTTP client.
        secret: The deployment's shared secret.
        sender: Name of the sending instance.
    """

    def __init__(self, secret: str, sender: str) -> None:
        self.http = new_http_client()
        self.secret = secret
        self.sender = sender

    async def send(
        self,
        url: str,
        path: str,
        message: Any,
        kind: type[T],
        timeout: float,
        once: bool = False,
    ) -> T | Refusal:
        """Send a message and wait for its reply.

        Args:
            url: Base URL of the receiver.
            path: Path of the message.
            message: The message.
            kind: Class of the reply.
            timeout: Seconds to wait at the most.
            once: Whether the message must never be sent twice by the client.

        Returns:
            The reply, or a refusal. Outcome `NOT_RUN` says that the receiver got
            nothing; `UNKNOWN` that it may have got the message.
        """
        body = encode(message)
        request = HTTPRequest(
            url + path,
            method="POST",
            body=body,
            headers={
                AUTH_HEADER: sign(self.secret, path, body),
                "Content-Type": "application/json",
                "User-Agent": self.sender,
            },
            connect_timeout=min(timeout, 2.0),
            request_timeout=timeout,
            prepare_curl_callback=use_fresh_connection if once else None,
        )
        return read_reply(await fetch(self.http, request), kind)


def read_reply(response: Any, kind: type[T]) -> T | Refusal:
    """Return the reply that an HTTP response holds, or a refusal."""
    if response.code == 200:
        return decode(response.body, kind)
    if response.code == NO_RESPONSE_STATUS:
        outcome = Outcome.NOT_RUN if never_sent(response) else Outcome.UNKNOWN
        return Refusal(ErrorKind.ENDPOINT_FAILED, str(response.error), outcome)
    reason = f"HTTP {response.code} from a peer"
    return Refusal(ErrorKind.ENDPOINT_FAILED, reason, Outcome.UNKNOWN)
