"""Client of the platform's weight store."""

from __future__ import annotations

import attrs
from tornado.httpclient import HTTPRequest

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.wire.client import fetch, new_http_client

#: Seconds after which a weight store that does not answer is tried again.
DOWN_RETRY = 2.0


@attrs.frozen
class Weights:
    """Weights that the store has handed out.

    Attributes:
        model: Name of the model.
        version: Version of the weights.
    """

    model: str
    version: str


class WeightStoreClient:
    """Takes weights from a rate-limited store.

    Attributes:
        url: Base URL of the weight store.
        http: The HTTP client.
        timeout: Seconds to wait for an answer at the most.
    """

    def __init__(self, url: str, timeout: float = 5.0) -> None:
        self.url = url
        self.http = new_http_client()
        self.timeout = timeout

    async def take(self, model: str, version: str) -> Weights | Refusal:
        """Take the weights of a version.

        Returns:
            The weights, or a refusal that says when to come back.
        """
        request = HTTPRequest(
            f"{self.url}/weights/{model}/{version}",
            connect_timeout=min(self.timeout, 2.0),
            request_timeout=self.timeout,
        )
        response = await fetch(self.http, request)
        if response.code == 200:
            return Weights(model, version)
        if response.code == 429:
            wait = float(response.headers.get("Retry-After", DOWN_RETRY))
            reason = "the weight store is at its rate"
            return Refusal(ErrorKind.OVERLOADED, reason, retry_after=wait)
        reason = f"weight store: {response.error}"
        return Refusal(ErrorKind.NOT_READY, reason, retry_after=DOWN_RETRY)
