"""Endpoints that asked for a delay before the next request of this entry."""

from __future__ import annotations

import attrs

#: Longest delay in seconds that is believed. An endpoint that names a wrong value would
#: otherwise get no request until it restarts.
MAX_DELAY = 300.0


@attrs.define
class Backoff:
    """The delay that an endpoint asked for.

    Attributes:
        until: When the delay ends, seconds.
        delay: Length of the delay, seconds.
    """

    until: float
    delay: float


@attrs.define
class BackoffTable:
    """Delays that endpoints asked this entry for.

    Attributes:
        members: Delays by id of the endpoint's incarnation.
    """

    members: dict[str, Backoff] = attrs.field(factory=dict)

    def record(self, endpoint: str, delay: float, now: float) -> float:
        """Record the delay that an endpoint asked for.

        Args:
            endpoint: The endpoint.
            delay: The delay, seconds.
            now: Present time in seconds.

        Returns:
            The seconds of the delay that remain; an earlier answer may have asked for
            a later time.
        """
        delay = min(delay, MAX_DELAY)
        known = self.members.get(endpoint)
        if known is None or now + delay > known.until:
            self.members[endpoint] = Backoff(now + delay, delay)
        return self.members[endpoint].until - now

    def remaining(self, endpoint: str, now: float) -> float:
        """Return the seconds of an endpoint's delay that remain, 0 for none."""
        known = self.members.get(endpoint)
        return max(0.0, known.until - now) if known is not None else 0.0

    def active(self, now: float) -> set[str]:
        """Return the endpoints whose delay has not passed."""
        return {name for name, known in self.members.items() if known.until > now}

    def expire(self, now: float) -> None:
        """Remove delays that have passed."""
        for name, known in list(self.members.items()):
            if known.until <= now:
                del self.members[name]
