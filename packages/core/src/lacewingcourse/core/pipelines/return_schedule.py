"""Schedule of the returns of refused callers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from lacewingcourse.core.pipelines.scheduling import QueuedRequest


class ReturnSchedule(Protocol):
    """Gives refused callers a time to return, and recognises those that keep it."""

    def book(
        self, request: QueuedRequest, fingerprint: str, time_left: float, now: float
    ) -> float | None:
        """Return the seconds after which the caller of a refused request may return.

        Args:
            request: The request.
            fingerprint: Identifies the request when its caller sends it again.
            time_left: Seconds until its caller stops to wait for an answer.
            now: Present time in seconds.

        Returns:
            The seconds, None if every place comes later than the caller can use.
        """

    def is_due(self, fingerprint: str, now: float) -> bool:
        """Return whether a request returns at the time it was given."""

    def is_early(self, fingerprint: str, now: float) -> bool:
        """Return whether a request returns before the time it was given."""
