"""Endpoints that are left out for a while after they failed."""

from __future__ import annotations

import attrs

#: Seconds for which an endpoint is left out after a first failure. A dead one loses
#: its directory entry after three heartbeats; until then its requests would stall.
FIRST_EXCLUSION = 2.0
#: Seconds of the longest exclusion.
LONGEST_EXCLUSION = 8.0
#: Seconds without a failure after which exclusions start short again.
FORGIVEN_AFTER = 10.0


@attrs.define
class Suspicion:
    """Why an endpoint is left out.

    Attributes:
        until: Time until which it is, seconds.
        failures: Failures in succession.
        failed_at: Time of the last one.
        reason: What was seen.
        own: Whether this entry saw the failure itself.
    """

    until: float
    failures: int
    failed_at: float
    reason: str
    own: bool = True


@attrs.define
class Suspects:
    """Endpoints that failed lately.

    Attributes:
        members: Suspicions by id of the endpoint.
    """

    members: dict[str, Suspicion] = attrs.field(factory=dict)

    def suspect(self, endpoint: str, reason: str, now: float) -> Suspicion:
        """Leave an endpoint out, for twice as long after each failure."""
        known = self.members.get(endpoint)
        failures = 1
        if known is not None and now - known.failed_at < FORGIVEN_AFTER:
            if now < known.until:
                return known
            failures = known.failures + 1
        length = min(LONGEST_EXCLUSION, FIRST_EXCLUSION * 2 ** (failures - 1))
        found = Suspicion(now + length, failures, now, reason)
        self.members[endpoint] = found
        return found

    def from_peer(self, endpoint: str, remaining: float, now: float) -> None:
        """Leave out an endpoint that a peer leaves out."""
        known = self.members.get(endpoint)
        until = now + min(remaining, LONGEST_EXCLUSION)
        if known is None or known.until < now:
            self.members[endpoint] = Suspicion(until, 1, now, "told by a peer", False)

    def excluded(self, now: float) -> set[str]:
        """Return the endpoints that are left out."""
        return {name for name, found in self.members.items() if found.until > now}

    def own_remaining(self, now: float) -> dict[str, float]:
        """Return the seconds for which this entry leaves out each endpoint itself.

        What peers told is not passed on, or a suspicion would go round for ever.
        """
        return {
            name: round(found.until - now, 3)
            for name, found in self.members.items()
            if found.own and found.until > now
        }

    def expire(self, now: float) -> None:
        """Forget what is long over."""
        for name, found in list(self.members.items()):
            if now - found.failed_at > FORGIVEN_AFTER and found.until < now:
                del self.members[name]
