"""Endpoints that are left out for a while after they failed."""

from __future__ import annotations

from enum import IntEnum

import attrs

#: Seconds for which an endpoint is left out after a first failure. A dead one loses
#: its directory entry after three heartbeats; until then its requests would stall.
FIRST_EXCLUSION = 2.0
#: Seconds of the longest exclusion.
MAX_EXCLUSION = 8.0
#: Seconds without a failure after which exclusions start short again.
FAILURE_RESET_TIME = 10.0
#: Seconds below which the rest of a peer's suspicion is not taken over. Otherwise
#: entries that tell one another would keep it alive between them.
MIN_REMAINING = 0.3
#: Seconds for which those who were told of a failure wait beyond the one who saw it. An
#: endpoint that still rejects is then found out by one entry and not by all at once.
RECHECK_DELAY = 0.5
#: Seconds by which a peer's exclusion must end later to be taken over. It tells of a
#: further failure then; less is this entry's own word that comes back.
MIN_EXTENSION = 1.0
#: Share of its memory from which an endpoint that rejects may just be full. What it
#: holds is known but for answers that outgrow their estimate and what peers sent just
#: now, so dead ones are found above it too and have to be asked.
FULL_THRESHOLD = 0.6


def is_full(misdirected: bool, filled: float) -> bool:
    """Tell whether an endpoint that rejected a request may only be short of memory.

    It says the same when it is dead, leaving or giving up its layers. Those hold for
    every request; a lack of memory is over when the next answer ends, and smaller
    requests fit meanwhile. To leave such an endpoint out for all pushes its load on
    the others just when they are full too.

    Args:
        misdirected: Whether it does not hold the layers that it was asked for.
        filled: Share of its memory that is believed to be taken.
    """
    return not misdirected and filled >= FULL_THRESHOLD


class ObservationScope(IntEnum):
    """How far from where it was seen something is told."""

    OWN = 0
    ZONE = 1
    ALL = 2


@attrs.define
class Suspicion:
    """Why an endpoint is left out.

    Attributes:
        until: Time until which it is, seconds.
        failures: Failures in succession.
        failed_at: Time of the last one.
        reason: What was seen.
        reach: Whether this entry saw the failure, one of its zone, or another.
        silent: Whether it does not answer at all, so that streams through it stand
            still. One that rejects new work or was ordered to move may well go on with
            those that it has.
    """

    until: float
    failures: int
    failed_at: float
    reason: str
    scope: ObservationScope = ObservationScope.OWN
    silent: bool = False


@attrs.define
class Suspects:
    """Endpoints that failed lately.

    Attributes:
        members: Suspicions by id of the endpoint.
    """

    members: dict[str, Suspicion] = attrs.field(factory=dict)

    def suspect(
        self, endpoint: str, reason: str, now: float, silent: bool = False
    ) -> Suspicion:
        """Leave an endpoint out, for twice as long after each failure.

        Args:
            endpoint: The endpoint.
            reason: What was seen.
            now: Present time in seconds.
            silent: Whether it does not answer at all.
        """
        known = self.members.get(endpoint)
        failures = 1
        if known is not None and now - known.failed_at < FAILURE_RESET_TIME:
            if now < known.until:
                known.silent = known.silent or silent
                return known
            failures = known.failures + 1
        length = min(MAX_EXCLUSION, FIRST_EXCLUSION * 2 ** (failures - 1))
        found = Suspicion(now + length, failures, now, reason, silent=silent)
        self.members[endpoint] = found
        return found

    def from_peer(
        self,
        endpoint: str,
        remaining: float,
        now: float,
        same_zone: bool = True,
        silent: bool = False,
    ) -> None:
        """Leave out an endpoint that a peer leaves out.

        Args:
            endpoint: The endpoint.
            remaining: Seconds for which the peer leaves it out.
            now: Present time in seconds.
            near: Whether an entry of this one's availability zone saw the failure.
            silent: Whether the endpoint does not answer at all.
        """
        known = self.members.get(endpoint)
        if remaining < MIN_REMAINING:
            return
        until = now + min(remaining, MAX_EXCLUSION)
        if known is not None and known.until >= now:
            known.silent = known.silent or silent
            if until > known.until + MIN_EXTENSION:
                known.until = until + RECHECK_DELAY
                known.failures = max(known.failures, _failures_for(remaining))
            return
        scope = ObservationScope.ZONE if same_zone else ObservationScope.ALL
        reason = "told by a peer"
        failures = _failures_for(remaining)
        until += RECHECK_DELAY
        self.members[endpoint] = Suspicion(until, failures, now, reason, scope, silent)

    def excluded(self, now: float) -> set[str]:
        """Return the endpoints that are left out."""
        return {name for name, found in self.members.items() if found.until > now}

    def silent(self, now: float, since: float = float("-inf")) -> set[str]:
        """Return the endpoints that are left out because they do not answer.

        Args:
            now: Present time in seconds.
            since: Time since which the failure was seen, seconds.
        """
        return {
            name
            for name, found in self.members.items()
            if found.silent and found.until > now and found.failed_at >= since
        }

    def remaining(
        self, now: float, scope: ObservationScope = ObservationScope.OWN
    ) -> dict[str, float]:
        """Return the seconds for which endpoints are left out.

        Args:
            now: Present time in seconds.
            reach: From how far away the suspicions may be.
        """
        return {
            name: round(found.until - now, 3)
            for name, found in self.members.items()
            if found.scope <= scope and found.until > now
        }

    def expire(self, now: float) -> None:
        """Forget what is long over."""
        for name, found in list(self.members.items()):
            if now - found.failed_at > FAILURE_RESET_TIME and found.until < now:
                del self.members[name]


def _failures_for(remaining: float) -> int:
    """Return the least failures in succession after which so much time remains."""
    failures, length = 1, FIRST_EXCLUSION
    while length < min(remaining, MAX_EXCLUSION):
        failures += 1
        length *= 2
    return failures
