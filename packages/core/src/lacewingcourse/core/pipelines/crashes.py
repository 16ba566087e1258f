"""Requests that crash the endpoints that run them."""

from __future__ import annotations

from hashlib import blake2b

import attrs

from lacewingcourse.core.pipelines.suspects import ObservationScope

#: Endpoints that must have been lost while they ran a request before it is refused.
#: One or two are lost beside any request now and then.
CRASH_THRESHOLD = 3
#: Seconds for which a crash counts, and for which a refusal therefore lasts.
CRASH_RETENTION = 60.0
#: Requests that are remembered at the most.
MAX_REQUESTS = 2_000
#: Bytes of a fingerprint.
FINGERPRINT_BYTES = 12


def fingerprint_of(*fields: bytes) -> str:
    """Return what identifies a request when its caller sends it again."""
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for field in fields:
        digest.update(len(field).to_bytes(4))
        digest.update(field)
    return digest.hexdigest()


@attrs.define
class CrashHistory:
    """Which endpoints were lost under which requests.

    Engines run requests beside one another, so a loss speaks against all that ran
    there. A request is refused once distinct endpoints were lost under it; its
    neighbours of one crash are other ones than those of the next.

    Attributes:
        books: Times of the losses by fingerprint and endpoint, for those that this
            entry saw, that one of its zone saw, and that others saw.
    """

    records: dict[ObservationScope, dict[str, dict[str, float]]] = attrs.field(
        factory=lambda: {scope: {} for scope in ObservationScope}
    )

    def record_loss(self, fingerprint: str, endpoint: str, now: float) -> bool:
        """Note a loss under a request; tell whether it is refused from now on."""
        _record_loss(self.records[ObservationScope.OWN], fingerprint, endpoint, now)
        return self.is_refused(fingerprint, now)

    def clear(self, fingerprint: str) -> None:
        """Forget a request that ran to its end."""
        for record in self.records.values():
            record.pop(fingerprint, None)

    def from_peer(
        self, losses: dict[str, dict[str, float]], now: float, same_zone: bool = True
    ) -> None:
        """Take the losses that a peer told.

        Args:
            losses: Seconds since each loss, by fingerprint and endpoint.
            now: Present time in seconds.
            near: Whether an entry of this one's availability zone saw them.
        """
        record = self.records[
            ObservationScope.ZONE if same_zone else ObservationScope.ALL
        ]
        for fingerprint, endpoints in losses.items():
            for endpoint, age in endpoints.items():
                _record_loss(record, fingerprint, endpoint, now - age)

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Tell whether a request is refused."""
        return len(self._lost_endpoints(fingerprint, now)) >= CRASH_THRESHOLD

    def losses(
        self, now: float, scope: ObservationScope = ObservationScope.OWN
    ) -> dict[str, dict[str, float]]:
        """Return the seconds since each loss, by fingerprint and endpoint.

        Args:
            now: Present time in seconds.
            reach: From how far away the losses may be.
        """
        found: dict[str, dict[str, float]] = {}
        for observed, record in self.records.items():
            for fingerprint, losses in record.items() if observed <= scope else ():
                ages = {e: round(now - losses[e], 3) for e in _recent(losses, now)}
                if ages:
                    found.setdefault(fingerprint, {}).update(ages)
        return found

    def expire(self, now: float) -> None:
        """Forget what counts no longer."""
        for record in self.records.values():
            for fingerprint, losses in list(record.items()):
                if not _recent(losses, now):
                    del record[fingerprint]

    def _lost_endpoints(self, fingerprint: str, now: float) -> set[str]:
        records = self.records.values()
        return set().union(*(_recent(b.get(fingerprint, {}), now) for b in records))


def _record_loss(
    record: dict[str, dict[str, float]], fingerprint: str, endpoint: str, now: float
) -> None:
    """Note a loss, and bound what is remembered."""
    record.setdefault(fingerprint, {}).setdefault(endpoint, now)
    while len(record) > MAX_REQUESTS:
        del record[next(iter(record))]


def _recent(losses: dict[str, float], now: float) -> set[str]:
    """Return the endpoints whose loss still counts."""
    return {endpoint for endpoint, at in losses.items() if now - at < CRASH_RETENTION}
