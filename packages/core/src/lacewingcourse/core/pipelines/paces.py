"""Endpoints that run slower than published, as they say themselves."""

from __future__ import annotations

import attrs

#: Seconds for which a told pace is believed. Endpoints are asked again whenever streams
#: through them pause, so a slow one that is used is heard of several times a second.
PACE_KEPT = 3.0
#: Seconds before that is over at which one with streams through it is asked again.
ASK_AGAIN = 1.5
#: Pace up to which an endpoint counts as one that runs as published; the share of
#: requests that writes beside one another already makes steps differ by as much.
USUAL_PACE = 1.2
#: Greatest pace that is believed.
MOST_PACE = 100.0


@attrs.frozen
class Pace:
    """How much slower than published an endpoint runs.

    Attributes:
        factor: Times that its steps take as long.
        until: Time until which that is believed, seconds.
    """

    factor: float
    until: float


@attrs.define
class PaceBook:
    """The endpoints that run slower than published.

    Attributes:
        members: Paces by id of the endpoint.
    """

    members: dict[str, Pace] = attrs.field(factory=dict)

    def tell(self, endpoint: str, factor: float, now: float) -> None:
        """Take an endpoint's own word."""
        if factor <= USUAL_PACE:
            self.members.pop(endpoint, None)
            return
        self.members[endpoint] = Pace(min(factor, MOST_PACE), now + PACE_KEPT)

    def from_peer(
        self, endpoint: str, factor: float, remaining: float, now: float
    ) -> None:
        """Take what another entry was told, unless this one knows it for longer."""
        until = now + min(remaining, PACE_KEPT)
        known = self.members.get(endpoint)
        if factor > USUAL_PACE and (known is None or known.until < until):
            self.members[endpoint] = Pace(min(factor, MOST_PACE), until)

    def of(self, endpoint: str, now: float) -> float:
        """Return how many times as long an endpoint's steps take, 1 as published."""
        found = self.members.get(endpoint)
        return found.factor if found is not None and found.until > now else 1.0

    def expiring(self, now: float) -> set[str]:
        """Return the endpoints that should be asked again."""
        soon = now + ASK_AGAIN
        return {name for name, pace in self.members.items() if pace.until < soon}

    def remaining(self, now: float) -> dict[str, tuple[float, float]]:
        """Return pace and the seconds for which it is believed, by endpoint."""
        return {
            endpoint: (pace.factor, round(pace.until - now, 3))
            for endpoint, pace in self.members.items()
            if pace.until > now
        }

    def expire(self, now: float) -> None:
        """Forget what is believed no longer."""
        for endpoint, pace in list(self.members.items()):
            if pace.until <= now:
                del self.members[endpoint]
