"""Endpoints that run slower than published, as they say themselves."""

from __future__ import annotations

import attrs

#: Seconds for which what an endpoint told is believed. Endpoints are asked again
#: whenever streams through them pause.
ESTIMATE_TTL = 3.0
#: Seconds before that is over at which one with streams through it is asked again.
REFRESH_MARGIN = 1.5
#: Slowdown up to which an endpoint counts as one that runs as published; the share of
#: requests that write beside one another makes steps differ by as much.
NORMAL_SLOWDOWN = 1.2
#: Greatest slowdown that is believed.
MAX_SLOWDOWN = 100.0


@attrs.frozen
class SlowdownEstimate:
    """How much slower than published an endpoint runs.

    Attributes:
        factor: Times that its steps take as long.
        until: Time until which that is believed, seconds.
    """

    factor: float
    until: float


@attrs.define
class SpeedEstimator:
    """The endpoints that run slower than published.

    Attributes:
        members: Estimates by id of the endpoint.
    """

    estimates: dict[str, SlowdownEstimate] = attrs.field(factory=dict)

    def update(self, endpoint: str, factor: float, now: float) -> None:
        """Take an endpoint's own word."""
        if factor <= NORMAL_SLOWDOWN:
            self.estimates.pop(endpoint, None)
            return
        self.estimates[endpoint] = SlowdownEstimate(
            min(factor, MAX_SLOWDOWN), now + ESTIMATE_TTL
        )

    def from_peer(
        self, endpoint: str, factor: float, remaining: float, now: float
    ) -> None:
        """Take what another entry was told, unless this one knows it for longer."""
        until = now + min(remaining, ESTIMATE_TTL)
        known = self.estimates.get(endpoint)
        if factor > NORMAL_SLOWDOWN and (known is None or known.until < until):
            self.estimates[endpoint] = SlowdownEstimate(
                min(factor, MAX_SLOWDOWN), until
            )

    def slowdown(self, endpoint: str, now: float) -> float:
        """Return how many times as long an endpoint's steps take, 1 as published."""
        found = self.estimates.get(endpoint)
        return found.factor if found is not None and found.until > now else 1.0

    def expiring(self, now: float) -> set[str]:
        """Return the endpoints that should be asked again."""
        soon = now + REFRESH_MARGIN
        return {
            name for name, estimate in self.estimates.items() if estimate.until < soon
        }

    def remaining(self, now: float) -> dict[str, tuple[float, float]]:
        """Return slowdown and the seconds for which it is believed, by endpoint."""
        return {
            endpoint: (estimate.factor, round(estimate.until - now, 3))
            for endpoint, estimate in self.estimates.items()
            if estimate.until > now
        }

    def expire(self, now: float) -> None:
        """Forget what is believed no longer."""
        for endpoint, estimate in list(self.estimates.items()):
            if estimate.until <= now:
                del self.estimates[endpoint]
