"""Slowdown estimates of endpoints that report to run slower than published."""

from __future__ import annotations

import attrs

#: Seconds for which a reported slowdown is used. A new report is requested from an
#: endpoint whenever a stream through it pauses.
ESTIMATE_TTL = 3.0
#: Seconds before the expiry of an estimate from which a new report is requested from an
#: endpoint that has streams.
REFRESH_MARGIN = 1.5
#: Slowdown up to which an endpoint counts as running as published. The number of
#: requests that decode in the same step varies step times by as much.
NORMAL_SLOWDOWN = 1.2
#: Upper limit that reported slowdowns are clamped to.
MAX_SLOWDOWN = 100.0


@attrs.frozen
class SlowdownEstimate:
    """Estimate of how much slower than published an endpoint runs.

    Attributes:
        factor: Ratio of its step times to the published ones.
        until: Time of expiry in seconds.
    """

    factor: float
    until: float


@attrs.define
class SpeedEstimator:
    """Slowdown estimates of the endpoints that run slower than published.

    Attributes:
        estimates: Estimates by id of the endpoint.
    """

    estimates: dict[str, SlowdownEstimate] = attrs.field(factory=dict)

    def update(self, endpoint: str, factor: float, now: float) -> None:
        """Apply a slowdown that an endpoint itself reported."""
        if factor <= NORMAL_SLOWDOWN:
            self.estimates.pop(endpoint, None)
            return
        self.estimates[endpoint] = SlowdownEstimate(
            min(factor, MAX_SLOWDOWN), now + ESTIMATE_TTL
        )

    def from_peer(
        self, endpoint: str, factor: float, remaining: float, now: float
    ) -> None:
        """Apply the estimate of another entry unless the known one expires later.

        Args:
            endpoint: Id of the endpoint.
            factor: Slowdown that the endpoint reported to the other entry.
            remaining: Seconds until the estimate expires there.
            now: Current time in seconds.
        """
        until = now + min(remaining, ESTIMATE_TTL)
        known = self.estimates.get(endpoint)
        if factor > NORMAL_SLOWDOWN and (known is None or known.until < until):
            self.estimates[endpoint] = SlowdownEstimate(
                min(factor, MAX_SLOWDOWN), until
            )

    def slowdown(self, endpoint: str, now: float) -> float:
        """Return an endpoint's slowdown factor, 1 if it runs as published."""
        found = self.estimates.get(endpoint)
        return found.factor if found is not None and found.until > now else 1.0

    def expiring(self, now: float) -> set[str]:
        """Return the endpoints whose estimates are about to expire."""
        soon = now + REFRESH_MARGIN
        return {
            name for name, estimate in self.estimates.items() if estimate.until < soon
        }

    def remaining(self, now: float) -> dict[str, tuple[float, float]]:
        """Return the slowdown and the seconds until its expiry, by endpoint."""
        return {
            endpoint: (estimate.factor, round(estimate.until - now, 3))
            for endpoint, estimate in self.estimates.items()
            if estimate.until > now
        }

    def expire(self, now: float) -> None:
        """Remove expired estimates."""
        for endpoint, estimate in list(self.estimates.items()):
            if estimate.until <= now:
                del self.estimates[endpoint]
