"""Attempts that may never run on an endpoint again."""

from __future__ import annotations

import attrs

#: Revocations that are remembered before new streams are refused.
MAX_REVOCATIONS = 200_000
#: Seconds for which a revocation is remembered after its last use.
REVOCATION_KEPT = 900.0


@attrs.define
class Revocation:
    """Attempts of a stream that may never run here again.

    Attributes:
        attempt: Attempts up to this number are revoked.
        started: Whether work of one of them had started.
        kept_until: When the record may be forgotten, seconds.
    """

    attempt: int
    started: bool
    kept_until: float


@attrs.define
class Revocations:
    """Revoked attempts, those used last at the end.

    Attributes:
        records: Revoked attempts by stream.
    """

    records: dict[str, Revocation] = attrs.field(factory=dict)

    @property
    def full(self) -> bool:
        """Whether no more are remembered."""
        return len(self.records) >= MAX_REVOCATIONS

    def covers(self, stream: str, attempt: int) -> bool:
        """Tell whether an attempt is revoked."""
        known = self.records.get(stream)
        return known is not None and attempt <= known.attempt

    def started(self, stream: str) -> bool:
        """Tell whether work of a revoked attempt of a stream had started."""
        known = self.records.get(stream)
        return known is not None and known.started

    def note(self, stream: str, attempt: int, started: bool, now: float) -> None:
        """Revoke attempts of a stream up to one.

        Args:
            stream: The stream.
            attempt: The attempt.
            started: Whether work of one of them had started.
            now: Present time in seconds.
        """
        known = self.records.pop(stream, None)
        self.records[stream] = Revocation(
            attempt=max(attempt, known.attempt if known else 0),
            started=started,
            kept_until=now + REVOCATION_KEPT,
        )

    def forget(self, now: float) -> None:
        """Drop those that are past their time; the oldest come first."""
        while self.records:
            stream = next(iter(self.records))
            if self.records[stream].kept_until >= now:
                return
            del self.records[stream]
