"""Client of a plain service."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING

from tornado.httpclient import HTTPRequest

from lacewingcourse.core.errors import ErrorKind, Outcome
from lacewingcourse.core.messages import CallReply, Header
from lacewingcourse.wire.client import (
    NO_RESPONSE_STATUS,
    fetch,
    never_sent,
    new_http_client,
    use_fresh_connection,
)

if TYPE_CHECKING:
    from lacewingcourse.core.messages import Call

#: Headers of an answer that belong to one connection only.
HOP_BY_HOP = frozenset(
    {"connection", "content-length", "date", "keep-alive", "server"}
    | {"transfer-encoding", "upgrade", "content-encoding"}
)
#: Header under which the service sees the idempotency key.
KEY_HEADER = "Idempotency-Key"


class ServiceClient:
    """Runs calls on the plain service beside the agent.

    Attributes:
        url: Base URL of the service.
        http: The HTTP client.
        timeout: Seconds that a call may take.
    """

    def __init__(self, url: str, timeout: float) -> None:
        self.url = url
        self.http = new_http_client()
        self.timeout = timeout

    async def answers(self) -> bool:
        """Tell whether the service answers."""
        request = HTTPRequest(self.url + "/healthz", request_timeout=2.0)
        response = await fetch(self.http, request)
        return response.code < 500

    async def run(self, call: Call, incarnation: str) -> CallReply:
        """Run a call once and return the service's answer."""
        headers = {header.name: header.value for header in call.headers}
        if call.key:
            headers[KEY_HEADER] = call.key
        body = base64.b64decode(call.body)
        request = HTTPRequest(
            self.url + call.path,
            method=call.method,
            headers=headers,
            body=body if body or call.method in ("POST", "PUT", "PATCH") else None,
            allow_nonstandard_methods=True,
            follow_redirects=False,
            connect_timeout=2.0,
            request_timeout=self.timeout,
            prepare_curl_callback=use_fresh_connection if call.key else None,
        )
        response = await fetch(self.http, request)
        if response.code == NO_RESPONSE_STATUS:
            return failed_reply(response, incarnation)
        return CallReply(
            incarnation=incarnation,
            status=response.code,
            headers=tuple(
                Header(name, value)
                for name, value in response.headers.get_all()
                if name.lower() not in HOP_BY_HOP
            ),
            body=base64.b64encode(response.body or b"").decode(),
        )


def failed_reply(response, incarnation: str) -> CallReply:
    """Return the reply for a call that has no answer."""
    return CallReply(
        incarnation=incarnation,
        kind=ErrorKind.ENDPOINT_FAILED,
        reason=str(response.error),
        outcome=Outcome.NOT_RUN if never_sent(response) else Outcome.UNKNOWN,
    )
