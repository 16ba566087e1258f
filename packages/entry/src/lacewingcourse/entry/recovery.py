"""Judges lost attempts: who failed, and whether the request is tried again."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from loguru import logger

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.outliers import OutlierDetector
from lacewingcourse.core.retries import LostAttempt, RetryBudget
from lacewingcourse.entry.host import Host

if TYPE_CHECKING:
    from collections.abc import Sized

    from lacewingcourse.core.admission import Admission
    from lacewingcourse.core.stream_request import StreamRequest
    from lacewingcourse.entry.directory import Directory
    from lacewingcourse.entry.metrics import EntryMetrics

#: Seconds between two looks for endpoints to take back.
REVIEW_INTERVAL = 0.5
#: Reasons for not taking a stage that do not speak against the endpoint.
NOT_FAULTS = frozenset(
    {ErrorKind.OVERLOADED, ErrorKind.DEADLINE_UNREACHABLE, ErrorKind.DRAINING}
    | {ErrorKind.STALE_ATTEMPT, ErrorKind.STALE_INCARNATION}
)
#: Reasons that tell of load.
LOAD_KINDS = frozenset({ErrorKind.OVERLOADED, ErrorKind.DEADLINE_UNREACHABLE})


class Admitted(Protocol):
    """Requests that were let in.

    Attributes:
        decisions: What was decided of them.
    """

    decisions: Admission


class RecoveryHost(Host, Protocol):
    """What recovery needs of the entry.

    Attributes:
        answers: Answers in flight.
        admission: Requests that were let in.
        directory: What is known of the endpoints.
        metrics: Counters of the process.
    """

    answers: Sized
    admission: Admitted
    directory: Directory
    metrics: EntryMetrics


class Recovery:
    """Retries and outliers of one entry.

    Attributes:
        entry: The entry's daemon.
        budget: Retries at hand.
        detector: Health of endpoints that failed.
        avoided: Endpoints that each stream in flight avoids.
        refused: Why endpoints did not take a stage, by stream and endpoint.
    """

    def __init__(self, entry: RecoveryHost) -> None:
        self.entry = entry
        self.budget = RetryBudget()
        self.detector = OutlierDetector()
        self.avoided: dict[str, frozenset[str]] = {}
        self.refused: dict[tuple[str, str], ErrorKind] = {}

    def on_refused(self, stream: str, endpoint: str, kind: ErrorKind) -> None:
        """Note why an endpoint did not take a stage."""
        self.refused[stream, endpoint] = kind

    def refusal_of(
        self, request: StreamRequest, excluded: frozenset[str]
    ) -> Refusal | None:
        """Return why a request gets no further attempt, or None.

        Args:
            request: The request.
            excluded: Endpoints that its next attempt avoids.
        """
        now = self.entry.now()
        failed = excluded - self.avoided.get(request.stream, frozenset())
        self.avoided[request.stream] = excluded
        for endpoint in failed:
            if self.refused.get((request.stream, endpoint)) not in NOT_FAULTS:
                self._on_failure(endpoint, now)
        running = self.entry.admission.decisions.running.get(request.stream)
        if running is None or not failed:
            return None
        lost = LostAttempt(
            running.waiting.work_class,
            running.waiting.arrived_at,
            running.meter.tokens,
        )
        refusal = self.budget.refusal_of(lost, len(self.entry.answers), now)
        self.entry.metrics.retries.labels(str(refusal is None).lower()).inc()
        return refusal

    def load_refusal(self, stream: str) -> Refusal | None:
        """Return the refusal of a stream that only load kept from a route."""
        kinds = [
            self.refused.get((stream, endpoint))
            for endpoint in self.avoided.get(stream, ())
        ]
        if not kinds or not LOAD_KINDS.issuperset(kinds):
            return None
        return Refusal(kinds[0], "the endpoints have no capacity left")

    def _on_failure(self, endpoint: str, now: float) -> None:
        fleet = self.entry.directory.endpoints
        peers = fleet.peers(endpoint)
        if peers is None or not self.detector.on_failure(endpoint, peers, now):
            return
        fleet.eject(endpoint, True)
        self.entry.metrics.ejections.inc()
        logger.warning("endpoint left out", endpoint=endpoint)

    def on_end(self, stream: str, whole: bool, endpoints: tuple[str, ...]) -> None:
        """Note the end of a stream and the endpoints of its last route."""
        for endpoint in self.avoided.pop(stream, ()):
            self.refused.pop((stream, endpoint), None)
        if not whole:
            return
        now = self.entry.now()
        for endpoint in endpoints:
            self.detector.on_success(endpoint, now)
            self.entry.directory.endpoints.trust(endpoint)

    async def review_for_ever(self) -> None:
        """Take endpoints back and forget degraded links when their time is over."""
        fleet = self.entry.directory.endpoints
        while True:
            await asyncio.sleep(REVIEW_INTERVAL)
            now = self.entry.now()
            fleet.links.forget(now)
            for endpoint in self.detector.due(now):
                fleet.eject(endpoint, False)
                logger.info("endpoint taken back", endpoint=endpoint)
