"""Settings of a relaying entry."""

from __future__ import annotations

import attrs

from lacewingcourse.core.pipelines.answer_memory import answer_limit
from lacewingcourse.core.pipelines.client_memory import (
    ClientLimits,
    caller_limits,
    internal_limits,
)

#: Bytes of memory and descriptors of a process whose settings name none.
DEFAULT_MEMORY = 512 * 1024 * 1024
DEFAULT_DESCRIPTORS = 4096


@attrs.frozen
class Bounds:
    """Limits that the deployment guarantees to its callers.

    Attributes:
        grace: Seconds between the request to end and the end of the process.
        retry_ratio: Retries allowed per request.
        retry_window: Seconds in which requests and retries are counted.
        retry_slack: Retries allowed in addition to the ratio.
        fencing_checked: Whether endpoints refuse orders with old fencing numbers.
        configuration: Seconds after its acknowledgement within which a version of the
            configuration must be in force.
        departure: Seconds after an endpoint's announcement that it leaves within which
            entries must stop sending it new requests.
    """

    grace: float
    retry_ratio: float
    retry_window: float
    retry_slack: float
    fencing_checked: bool
    configuration: float
    departure: float


@attrs.frozen
class RelaySettings:
    """Settings of one entry.

    Attributes:
        name: Name of the instance.
        zone: Its availability zone.
        front: IP address and port for callers.
        ready: IP address and port of the readiness check.
        ready_path: HTTP path of the readiness check.
        peers: IP address and port for other entries, empty for none.
        metrics: IP address and port of the metrics, empty for none.
        seeds: Addresses of other entries that may be contacted first.
        bounds: Guaranteed limits.
        first_start: Whether all entries start for the first time, so that no process
            of this name ran before.
        wait: Name of the policy for how long a request waits for capacity, see
            `admission_queue.WAIT_POLICIES`.
        retry_sharing: Name of the policy by which entries share retries, see
            `retry_budget.RETRY_SHARING_POLICIES`.
        store_retry: Name of the policy for when a failed read of a source is retried,
            see `freshness.RETRY_DELAYS`.
        limit_sharing: Name of the policy by which entries share the limits of
            endpoints, see `limit_sharing.LIMIT_SHARING_POLICIES`.
        room_sharing: Name of the policy by which entries share room that is short, see
            `room_sharing.ROOM_SHARING_POLICIES`.
        last_requests: Name of the policy for which requests are accepted while the
            entry ends, see `shutdown.LAST_REQUESTS`.
        memory: Bytes of memory that the process may use.
        descriptors: Descriptors that it may open.
        caller_memory: Bytes that callers may hold together, None to derive it from the
            memory of the process.
        caller_connections: Connections of callers, None to derive it from the memory
            and the descriptors.
    """

    name: str
    zone: str
    front: str
    ready: str
    ready_path: str
    peers: str
    metrics: str
    seeds: tuple[str, ...]
    bounds: Bounds
    first_start: bool = False
    wait: str = "in_time"
    retry_sharing: str = "lent"
    store_retry: str = "backoff"
    limit_sharing: str = "permits"
    room_sharing: str = "deployment"
    last_requests: str = "redirected"
    memory: int = DEFAULT_MEMORY
    descriptors: int = DEFAULT_DESCRIPTORS
    caller_memory: int | None = None
    caller_connections: int | None = None

    def answer_limit(self) -> int:
        """Return the bytes that the answers of endpoints may hold together."""
        return answer_limit(self.memory)

    def other_limits(self) -> ClientLimits:
        """Return the limits of all connections that are not of callers."""
        return internal_limits(self.memory, self.descriptors)

    def caller_limits(self) -> ClientLimits:
        """Return the limits of callers' connections."""
        derived = caller_limits(self.memory, self.descriptors)
        return ClientLimits(
            self.caller_memory or derived.memory,
            self.caller_connections or derived.connections,
        )
