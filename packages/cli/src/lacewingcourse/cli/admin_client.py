"""Client of the admin API for the commands."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs
import orjson
from tornado.httpclient import HTTPRequest

from lacewingcourse.wire.client import NO_RESPONSE_STATUS, fetch, new_http_client

#: Seconds that a connection may take.
CONNECT_TIMEOUT = 5.0
#: Seconds that an answer may take beyond a wait that was asked for.
ANSWER_TIMEOUT = 60.0


@attrs.frozen
class AdminAnswer:
    """An answer of the admin API.

    Attributes:
        status: HTTP status code, 599 if there was no answer.
        document: The JSON document, None if there is none.
        error: What went wrong on the way, or empty.
    """

    status: int
    document: Any
    error: str = ""

    @property
    def ok(self) -> bool:
        """Tell whether the request succeeded."""
        return self.status == 200


class AdminClient:
    """Sends requests to the admin API of one entry.

    Attributes:
        url: Base URL of the entry.
        token: Bearer token of the operator.
    """

    def __init__(self, url: str, token: str) -> None:
        self.url = url.rstrip("/")
        self.token = token

    def send(
        self,
        method: str,
        path: str,
        document: Any = None,
        base_version: int | None = None,
        wait: float = 0.0,
    ) -> AdminAnswer:
        """Send a request and return the answer.

        Args:
            method: HTTP method.
            path: Path below `/admin/v1`.
            document: JSON body, or None.
            base_version: Version that a change is based on, or None.
            wait: Seconds for which the entry was asked to hold its answer.
        """
        return asyncio.run(self._send(method, path, document, base_version, wait))

    async def _send(
        self,
        method: str,
        path: str,
        document: Any,
        base_version: int | None,
        wait: float,
    ) -> AdminAnswer:
        headers = {"Authorization": f"Bearer {self.token}"}
        if base_version is not None:
            headers["If-Match"] = f'"{base_version}"'
        body = None
        if document is not None:
            headers["Content-Type"] = "application/json"
            body = orjson.dumps(document)
        elif method == "POST":
            body = b""
        request = HTTPRequest(
            f"{self.url}/admin/v1{path}",
            method=method,
            headers=headers,
            body=body,
            connect_timeout=CONNECT_TIMEOUT,
            request_timeout=ANSWER_TIMEOUT + wait,
        )
        http = new_http_client()
        try:
            response = await fetch(http, request)
        finally:
            http.close()
        if response.code == NO_RESPONSE_STATUS:
            return AdminAnswer(NO_RESPONSE_STATUS, None, str(response.error))
        try:
            return AdminAnswer(response.code, orjson.loads(response.body))
        except orjson.JSONDecodeError:
            return AdminAnswer(response.code, None, f"HTTP {response.code}")
