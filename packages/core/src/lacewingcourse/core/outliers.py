"""Which endpoints are left out for failing, and how many may be."""

from __future__ import annotations

import math

import attrs

#: Failures in a row after which an endpoint is an outlier.
FAILURES_IN_ROW = 3
#: Share of failures from which an endpoint is an outlier.
FAILURE_SHARE = 0.5
#: Ended streams on which that share must rest.
LEAST_ENDS = 6.0
#: Seconds in which an old end loses most of its weight.
ENDS_KEPT = 10.0
#: Seconds of a first exclusion; each further one lasts twice as long.
FIRST_EXCLUSION = 2.0
#: Seconds of the longest exclusion.
LONGEST_EXCLUSION = 60.0
#: Share of the endpoints with the same layers that may be left out.
GROUP_SHARE = 0.3
#: Share of the endpoints of an availability zone that may be left out.
ZONE_SHARE = 0.5


@attrs.frozen
class Peers:
    """The endpoints among which an outlier is judged.

    Attributes:
        group: Endpoints that hold the same layers.
        group_ejected: Those of them that are left out.
        zone: Endpoints of the model in the same availability zone.
        zone_ejected: Those of them that are left out.
    """

    group: int
    group_ejected: int
    zone: int
    zone_ejected: int

    def may_eject(self) -> bool:
        """Tell whether one more may be left out.

        When many fail at once the cause is common to them, and leaving them out
        would only send their work to the few that are left.
        """
        allowed = min(self.group - 1, math.ceil(self.group * GROUP_SHARE))
        allowed_zone = math.ceil(self.zone * ZONE_SHARE)
        return self.group_ejected < allowed and self.zone_ejected < allowed_zone


@attrs.define
class Health:
    """How streams fared on one endpoint.

    Attributes:
        in_row: Failures since the last success.
        failures: Failures, with weights that fall with time.
        ends: Ended streams, with weights that fall with time.
        exclusions: Exclusions so far without a long time in between.
        until: When it is taken back, or None if it is not left out.
        changed_at: When an end was last noted, seconds.
    """

    in_row: int = 0
    failures: float = 0.0
    ends: float = 0.0
    exclusions: int = 0
    until: float | None = None
    changed_at: float = 0.0

    def note(self, failed: bool, now: float) -> None:
        """Take the end of a stream."""
        weight = math.exp(-max(0.0, now - self.changed_at) / ENDS_KEPT)
        self.changed_at = now
        self.ends = self.ends * weight + 1.0
        self.failures = self.failures * weight + (1.0 if failed else 0.0)
        self.in_row = self.in_row + 1 if failed else 0

    def is_outlier(self) -> bool:
        """Tell whether the endpoint fails too often."""
        if self.in_row >= FAILURES_IN_ROW:
            return True
        often = self.failures >= FAILURE_SHARE * self.ends
        return self.ends >= LEAST_ENDS and often


@attrs.define
class OutlierDetector:
    """Health of all endpoints that failed of late.

    Attributes:
        healths: Health by name of the endpoint.
    """

    healths: dict[str, Health] = attrs.field(factory=dict)

    def on_success(self, endpoint: str, now: float) -> None:
        """Note a stream that ended well; free of cost for those that never failed."""
        health = self.healths.get(endpoint)
        if health is None:
            return
        health.note(False, now)
        if health.until is None and health.failures < 0.1:
            del self.healths[endpoint]

    def on_failure(self, endpoint: str, peers: Peers, now: float) -> bool:
        """Note a stream that the endpoint failed; tell whether to leave it out.

        Args:
            endpoint: Name of the endpoint instance.
            peers: The endpoints among which it is judged.
            now: Present time in seconds.
        """
        health = self.healths.setdefault(endpoint, Health())
        health.note(True, now)
        if health.until is not None or not health.is_outlier():
            return False
        if not peers.may_eject():
            return False
        seconds = FIRST_EXCLUSION * 2.0**health.exclusions
        health.exclusions += 1
        health.until = now + min(LONGEST_EXCLUSION, seconds)
        return True

    def due(self, now: float) -> list[str]:
        """Return the endpoints to take back now; one more failure excludes again."""
        found = []
        for name, health in list(self.healths.items()):
            if health.until is not None and health.until <= now:
                health.until = None
                health.in_row = FAILURES_IN_ROW - 1
                health.failures = health.ends = 0.0
                health.changed_at = now
                found.append(name)
            elif health.until is None and now - health.changed_at > LONGEST_EXCLUSION:
                del self.healths[name]
        return found
