"""The published configuration: routes, services, limits and keys."""

from __future__ import annotations

from enum import Enum
from hashlib import blake2b
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import ErrorKind, Refusal

if TYPE_CHECKING:
    from lacewingcourse.core.pipelines.shape import EngineShape


class RetrySafety(Enum):
    """Whether requests of a route may be executed more than once."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"
    RESUMABLE_STREAM = "resumable_stream"

    @property
    def may_retry(self) -> bool:
        """Whether a request may be executed more than once."""
        return self in (RetrySafety.IDEMPOTENT, RetrySafety.RESUMABLE_STREAM)


@attrs.frozen
class Route:
    """Settings of the requests to one host and path prefix.

    Attributes:
        name: Its name.
        host: Host header that it matches, in lower case.
        prefix: Path prefix that it matches, with a slash at both ends.
        retry_safety: Whether requests may be executed more than once.
        service_weights: Names of services with their weights.
        timeout: Seconds from the arrival of a request to its deadline.
        objective: Target time to an answer in seconds; to the first event of a stream.
        max_event_gap: Maximum seconds between two events of a stream.
        priority: Rank, 0 for the most urgent.
        max_attempts: Maximum number of endpoints to which a request is sent.
        needs_key: Whether a request must carry an organisation's key.
    """

    name: str
    host: str
    prefix: str
    retry_safety: RetrySafety
    service_weights: tuple[tuple[str, float], ...]
    timeout: float
    objective: float
    max_event_gap: float
    priority: int
    max_attempts: int
    needs_key: bool

    def service_for(self, request_id: str) -> str:
        """Return the service of a request, chosen by weight from a hash of its id."""
        if len(self.service_weights) == 1:
            return self.service_weights[0][0]
        digest = blake2b(request_id.encode(), digest_size=8).digest()
        total = sum(weight for _, weight in self.service_weights)
        point = int.from_bytes(digest) / 2**64 * total
        for service, weight in self.service_weights:
            point -= weight
            if point < 0:
                return service
        return self.service_weights[-1][0]


@attrs.frozen
class Service:
    """A service that requests are routed to.

    Attributes:
        name: Its name.
        shape: Published performance figures of its engines, None for a plain service.
    """

    name: str
    shape: EngineShape | None = None


@attrs.frozen
class Limits:
    """Limits on the size of requests and on the time that callers may take.

    Attributes:
        header_bytes: Maximum size of a request's line and headers.
        body_bytes: Maximum size of a request's body.
        header_timeout: Seconds within which the line and headers must arrive.
        idle_timeout: Seconds for which a connection may stay idle.
    """

    header_bytes: int = 65536
    body_bytes: int = 4 * 1024 * 1024
    header_timeout: float = 10.0
    idle_timeout: float = 15.0


@attrs.frozen
class Organisation:
    """The organisation that a key belongs to.

    Attributes:
        name: Its name, empty for requests without a known key.
        priority: Rank of its requests, None for the route's priority.
    """

    name: str
    priority: int | None = None


@attrs.frozen
class RoutingTable:
    """One version of the published configuration.

    Attributes:
        version: Its version number.
        hosts: Routes by host and prefix.
        services: Services by name.
        limits: Limits on requests.
        keys: Organisations by key, None if requests need no keys. Without a member no
            key is known.
        shared_keys: Number of keys that several organisations hold.
        document: The document as published, for entries that cannot read the platform.
        longest_prefixes: Number of characters of each host's longest prefix.
    """

    version: int
    hosts: dict[str, dict[str, Route]]
    services: dict[str, Service]
    limits: Limits
    keys: dict[str, Organisation] | None = None
    shared_keys: int = 0
    document: bytes = b""
    longest_prefixes: dict[str, int] = attrs.field(init=False, eq=False)

    @longest_prefixes.default
    def _longest_prefixes_of_hosts(self) -> dict[str, int]:
        return {
            host: max(map(len, prefixes), default=0)
            for host, prefixes in self.hosts.items()
        }

    def route(self, host: str, path: str) -> Route | Refusal:
        """Return the route with the longest matching prefix, or why there is none.

        Args:
            host: Host header of the request, with or without a port.
            path: Its path without the query.
        """
        name = host.partition(":")[0].lower()
        prefixes = self.hosts.get(name)
        if prefixes is None:
            return Refusal(ErrorKind.UNKNOWN_RESOURCE, "no route for the host")
        # Each slash costs a copy of what is before it.
        path = path[: self.longest_prefixes[name]]
        end = path.rfind("/")
        while end >= 0:
            found = prefixes.get(path[: end + 1])
            if found is not None:
                return found
            end = path.rfind("/", 0, end)
        return Refusal(ErrorKind.UNKNOWN_RESOURCE, "no route for the path")

    @property
    def organisations(self) -> int | None:
        """Number of organisations with a key, None if requests need no keys."""
        if self.keys is None:
            return None
        return len({holder.name for holder in self.keys.values()})

    def organisation(self, route: Route, key: str | None) -> Organisation | Refusal:
        """Return the organisation of a request, or why the request is refused.

        Args:
            route: Its route.
            key: Key that it carries, None for none.
        """
        if self.keys is None:
            return Organisation("")
        found = self.keys.get(key) if key is not None else None
        if found is not None:
            return found
        if not route.needs_key:
            return Organisation("")
        return Refusal(ErrorKind.UNAUTHENTICATED, "the key is unknown")


def is_newer(table: RoutingTable, known: RoutingTable | None) -> bool:
    """Return whether a version may replace the current one."""
    return known is None or table.version > known.version
