"""Client of the platform's instance list."""

from __future__ import annotations

from enum import Enum

import attrs
from tornado.httpclient import HTTPRequest

from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.wire.client import fetch, new_http_client
from lacewingcourse.wire.codec import decode


class InstanceRole(Enum):
    """What runs on an instance."""

    ENTRY = "entry"
    ENDPOINT = "endpoint"


class InstanceState(Enum):
    """What the platform says of an instance; it lags."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@attrs.frozen
class Instance:
    """An instance as the platform lists it.

    Attributes:
        id: Name of the instance; never used again.
        role: What runs there.
        availability_zone: Where it stands.
        url: Base URL of the entry or the agent.
        state: What the platform says of it.
    """

    id: str
    role: InstanceRole
    availability_zone: str
    url: str
    state: InstanceState = InstanceState.LIVE


@attrs.frozen
class InstanceListing:
    """All instances of the deployment."""

    instances: tuple[Instance, ...]


class InstanceListClient:
    """Reads the platform's instance list.

    Attributes:
        url: Base URL of the instance list.
        http: The HTTP client.
        timeout: Seconds to wait for an answer at the most.
    """

    def __init__(self, url: str, timeout: float = 3.0) -> None:
        self.url = url
        self.http = new_http_client()
        self.timeout = timeout

    async def read(self) -> InstanceListing | Refusal:
        """Return the list as the platform has it now."""
        request = HTTPRequest(
            f"{self.url}/instances",
            connect_timeout=self.timeout,
            request_timeout=self.timeout,
        )
        response = await fetch(self.http, request)
        if response.code != 200:
            reason = f"instance list: {response.error}"
            return Refusal(ErrorKind.NOT_READY, reason, Outcome.NOT_RUN)
        return decode(response.body, InstanceListing)
