"""What a relaying entry is told at its start."""

from __future__ import annotations

import attrs


@attrs.frozen
class Bounds:
    """Limits that the deployment promises to its callers.

    Attributes:
        grace: Seconds between the request to end and the end.
        retry_ratio: Sends beyond the first that are allowed for each request.
        retry_window: Seconds in which they are counted.
        retry_slack: Sends beyond the first that are allowed besides.
        fencing_checked: Whether endpoints refuse orders with old fencing numbers.
        configuration: Seconds after its acknowledgement from which a version holds.
        departure: Seconds after an endpoint has told that it leaves from which it gets
            no new work.
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
        ready: IP address and port for questions after readiness.
        ready_path: Path of these questions.
        peers: IP address and port for other entries, empty for none.
        metrics: IP address and port of the metrics, empty for none.
        seeds: Addresses of other entries that may be asked first.
        bounds: Limits that are promised.
        first_start: Whether all entries start for the first time, so that no process
            ran before this one.
        wait: Name of how long a request waits for room, see
            `admission_queue.WAIT_POLICIES`.
        retry_sharing: Name of how entries share retries, see
            `retry_budget.RETRY_SHARING_POLICIES`.
        store_retry: Name of when a source that gave no answer is asked again, see
            `freshness.RETRY_DELAYS`.
        limit_sharing: Name of how entries share what limited endpoints take, see
            `limit_sharing.LIMIT_SHARING_POLICIES`.
        last_requests: Name of what is taken while the entry ends, see
            `shutdown.LAST_REQUESTS`.
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
    last_requests: str = "redirected"
