"""Requests that crash the endpoints that run them."""

from __future__ import annotations

from enum import Enum
from hashlib import blake2b
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.suspects import ObservationScope

if TYPE_CHECKING:
    from collections.abc import Collection

#: Distinct endpoints that must have been lost while running a request before it is
#: refused. One or two may be lost by coincidence.
CRASH_THRESHOLD = 3
#: Seconds for which a crash counts, and thus a refusal lasts.
CRASH_RETENTION = 60.0
#: Requests that are remembered at most, of each scope.
MAX_REQUESTS = 2_000
#: Seconds of events after which an answer no longer counts as being begun. An endpoint
#: that crashes as it begins to write may have sent a first event.
ESTABLISHED_AFTER = 1.0
#: Bytes of a fingerprint.
FINGERPRINT_BYTES = 12


class AnswerProgress(Enum):
    """How far an endpoint had come with an answer when it was lost.

    Attributes:
        UNANSWERED: It had sent nothing.
        BEGUN: It had sent the head, and no event.
        EARLY: Its first event was less than `ESTABLISHED_AFTER` ago.
        ESTABLISHED: It had been sending events for longer.
    """

    UNANSWERED = "unanswered"
    BEGUN = "begun"
    EARLY = "early"
    ESTABLISHED = "established"


def answer_progress(
    answered: bool, first_event_at: float | None, now: float
) -> AnswerProgress:
    """Return how far an endpoint has come with an answer.

    Args:
        answered: Whether it has sent the head.
        first_event_at: When its first event arrived, seconds, None before that.
        now: Present time in seconds.
    """
    if first_event_at is not None:
        is_early = now - first_event_at < ESTABLISHED_AFTER
        return AnswerProgress.EARLY if is_early else AnswerProgress.ESTABLISHED
    return AnswerProgress.BEGUN if answered else AnswerProgress.UNANSWERED


def fingerprint_of(*fields: bytes) -> str:
    """Return a digest that identifies a request when its caller repeats it."""
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for field in fields:
        digest.update(len(field).to_bytes(4))
        digest.update(field)
    return digest.hexdigest()


@attrs.define
class CrashHistory:
    """Which endpoints were lost while they ran which requests.

    Engines run requests concurrently, so a loss counts against all requests that ran
    there. A request is refused once enough distinct endpoints were lost while running
    it; the requests that run beside it differ from crash to crash.

    Attributes:
        records: Times of the losses by fingerprint and endpoint, in seconds: those that
            this entry saw, that one of its zone saw, and that others saw.
    """

    records: dict[ObservationScope, dict[str, dict[str, float]]] = attrs.field(
        factory=lambda: {scope: {} for scope in ObservationScope}
    )

    def record_loss(self, fingerprint: str, endpoint: str, now: float) -> bool:
        """Record a loss while running a request; tell whether it is now refused."""
        _record_loss(self.records[ObservationScope.OWN], fingerprint, endpoint, now)
        return self.is_refused(fingerprint, now)

    def clear(self, fingerprint: str) -> None:
        """Forget a request that completed."""
        for record in self.records.values():
            record.pop(fingerprint, None)

    def from_peer(
        self, losses: dict[str, dict[str, float]], now: float, same_zone: bool = True
    ) -> None:
        """Merge the losses that a peer reports.

        Args:
            losses: Seconds since each loss, by fingerprint and endpoint.
            now: Present time in seconds.
            same_zone: Whether an entry of this one's availability zone saw them.
        """
        record = self.records[
            ObservationScope.ZONE if same_zone else ObservationScope.ALL
        ]
        for fingerprint, endpoints in losses.items():
            for endpoint, age in endpoints.items():
                _record_loss(record, fingerprint, endpoint, now - age)

    def is_refused(
        self, fingerprint: str, now: float, explained: Collection[str] = ()
    ) -> bool:
        """Tell whether a request is refused.

        Args:
            fingerprint: Identifies the request.
            now: Present time in seconds.
            explained: Endpoints whose loss has another known cause.
        """
        lost = self._lost_endpoints(fingerprint, now).difference(explained)
        return len(lost) >= CRASH_THRESHOLD

    def losses(
        self, now: float, scope: ObservationScope = ObservationScope.OWN
    ) -> dict[str, dict[str, float]]:
        """Return the seconds since each loss, by fingerprint and endpoint.

        Args:
            now: Present time in seconds.
            scope: Widest scope of the losses to return.
        """
        found: dict[str, dict[str, float]] = {}
        for observed, record in self.records.items():
            for fingerprint, losses in record.items() if observed <= scope else ():
                ages = {e: round(now - losses[e], 3) for e in _recent(losses, now)}
                if ages:
                    found.setdefault(fingerprint, {}).update(ages)
        return found

    def expire(self, now: float) -> None:
        """Remove requests without a recent loss."""
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
    """Record the first loss of an endpoint, and evict the oldest requests."""
    record.setdefault(fingerprint, {}).setdefault(endpoint, now)
    while len(record) > MAX_REQUESTS:
        del record[next(iter(record))]


def _recent(losses: dict[str, float], now: float) -> set[str]:
    """Return the endpoints whose loss still counts."""
    return {endpoint for endpoint, at in losses.items() if now - at < CRASH_RETENTION}
