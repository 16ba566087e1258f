"""Published configuration in force: routes, services, limits and keys."""

from __future__ import annotations

from enum import Enum
from hashlib import blake2b
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import ErrorKind, Refusal

if TYPE_CHECKING:
    from lacewingcourse.core.pipelines.shape import EngineShape


class RetrySafety(Enum):
    """What may be run again of a route's requests."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"
    RESUMABLE_STREAM = "resumable_stream"

    @property
    def may_retry(self) -> bool:
        """Whether a request may be run more than once."""
        return self in (RetrySafety.IDEMPOTENT, RetrySafety.RESUMABLE_STREAM)


@attrs.frozen
class Route:
    """A route.

    Attributes:
        name: Its name.
        host: Host that requests name, lower case.
        prefix: Path prefix, with a slash at both ends.
        retry_safety: What may be run again.
        shares: Services with their weights.
        timeout: Seconds for which a request may be kept waiting.
        objective: Seconds within which an answer is wanted.
        gap: Seconds that may pass between two events of a stream.
        priority: Rank, 0 for the most urgent.
        most_attempts: Endpoints to which one request may be sent.
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
        """Return the service of a request; the same id has always the same one."""
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
    """A service.

    Attributes:
        name: Its name.
        shape: Figures of its engines, None for a plain service.
    """

    name: str
    shape: EngineShape | None = None


@attrs.frozen
class Limits:
    """What a caller may send, and how long it may take.

    Attributes:
        header_bytes: Longest head of a request.
        body_bytes: Longest body.
        header_timeout: Seconds in which a head must arrive.
        idle_timeout: Seconds for which a connection may stay idle.
    """

    header_bytes: int = 65536
    body_bytes: int = 4 * 1024 * 1024
    header_timeout: float = 10.0
    idle_timeout: float = 15.0


@attrs.frozen
class Organisation:
    """Who a key belongs to.

    Attributes:
        name: Its name.
        priority: Rank of its requests, None for that of the route.
    """

    name: str
    priority: int | None = None


@attrs.frozen
class RoutingTable:
    """One version of the published configuration.

    Attributes:
        version: Its version.
        hosts: Routes by host and prefix.
        services: Services by name.
        limits: What callers may send.
        keys: Organisations by key; None if no keys are asked for.
        document: The version as published, for entries that cannot read it.
    """

    version: int
    hosts: dict[str, dict[str, Route]]
    services: dict[str, Service]
    limits: Limits
    keys: dict[str, Organisation] | None = None
    document: bytes = b""

    def route(self, host: str, path: str) -> Route | Refusal:
        """Return the route of a request, or why there is none.

        Args:
            host: Host that the request names.
            path: Its path without a query.
        """
        prefixes = self.hosts.get(host.partition(":")[0].lower())
        if prefixes is None:
            return Refusal(ErrorKind.UNKNOWN_RESOURCE, "no route for the host")
        end = path.rfind("/")
        while end >= 0:
            found = prefixes.get(path[: end + 1])
            if found is not None:
                return found
            end = path.rfind("/", 0, end)
        return Refusal(ErrorKind.UNKNOWN_RESOURCE, "no route for the path")

    def organisation(self, route: Route, key: str | None) -> Organisation | Refusal:
        """Return the organisation of a request, or why it is refused.

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
    """Tell whether a version may take the place of the one in force."""
    return known is None or table.version > known.version
