"""Endpoints that run slower than published, as they say themselves."""

from __future__ import annotations

import attrs

#: Seconds for which what an endpoint told is believed. Endpoints are asked again
#: whenever streams through them pause.
ESTIMATE_KEPT = 3.0
#: Seconds before that is over at which one with streams through it is asked again.
ASK_AGAIN = 1.5
#: Slowdown up to which an endpoint counts as one that runs as published; the share of
#: requests that write beside one another makes steps differ by as much.
USUAL_SLOWDOWN = 1.2
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

    members: dict[str, SlowdownEstimate] = attrs.field(factory=dict)

    def tell(self, endpoint: str, factor: float, now: float) -> None:
        """Take an endpoint's own word."""
        if factor <= USUAL_SLOWDOWN:
            self.members.pop(endpoint, None)
            return
        self.members[endpoint] = SlowdownEstimate(
            min(factor, MAX_SLOWDOWN), now + ESTIMATE_KEPT
        )

    def from_peer(
        self, endpoint: str, factor: float, remaining: float, now: float
    ) -> None:
        """Take what another entry was told, unless this one knows it for longer."""
        until = now + min(remaining, ESTIMATE_KEPT)
        known = self.members.get(endpoint)
        if factor > USUAL_SLOWDOWN and (known is None or known.until < until):
            self.members[endpoint] = SlowdownEstimate(min(factor, MAX_SLOWDOWN), until)

    def of(self, endpoint: str, now: float) -> float:
        """Return how many times as long an endpoint's steps take, 1 as published."""
        found = self.members.get(endpoint)
        return found.factor if found is not None and found.until > now else 1.0

    def expiring(self, now: float) -> set[str]:
        """Return the endpoints that should be asked again."""
        soon = now + ASK_AGAIN
        return {
            name for name, estimate in self.members.items() if estimate.until < soon
        }

    def remaining(self, now: float) -> dict[str, tuple[float, float]]:
        """Return slowdown and the seconds for which it is believed, by endpoint."""
        return {
            endpoint: (estimate.factor, round(estimate.until - now, 3))
            for endpoint, estimate in self.members.items()
            if estimate.until > now
        }

    def expire(self, now: float) -> None:
        """Forget what is believed no longer."""
        for endpoint, estimate in list(self.members.items()):
            if estimate.until <= now:
                del self.members[endpoint]
