"""Suspected endpoints: those that failed lately, graded by what was observed."""

from __future__ import annotations

from enum import IntEnum

import attrs

#: Seconds for which an endpoint is excluded after a first failure. A dead endpoint
#: loses its directory entry after three missed heartbeats; until then its requests
#: would stall.
FIRST_EXCLUSION = 2.0
#: Seconds of the longest exclusion.
MAX_EXCLUSION = 8.0
#: Seconds without a failure after which exclusions start at the shortest again.
FAILURE_RESET_TIME = 10.0
#: Remaining seconds below which a peer's exclusion is not adopted. Otherwise entries
#: that report it to each other would keep it alive.
MIN_REMAINING = 0.3
#: Seconds by which an exclusion reported by a peer is extended. The entry that saw the
#: failure tries the endpoint first, so an endpoint that still rejects costs one
#: rejection and not one for each entry.
RECHECK_DELAY = 0.5
#: Seconds by which a peer's exclusion must end later than the known one to be adopted.
#: It then stands for a further failure; a smaller difference is this entry's own report
#: coming back.
MIN_EXTENSION = 1.0
#: Share of its memory from which an endpoint that rejects a request may just be full.
#: The memory in use is known except for answers that outgrow their estimate and
#: requests that peers sent just now. A dead endpoint may exceed the share too, so it is
#: probed.
FULL_THRESHOLD = 0.6


def is_full(misdirected: bool, filled: float) -> bool:
    """Tell whether an endpoint that rejected a request may only be short of memory.

    An endpoint gives the same answer when it is dead, leaving or giving up its layers.
    Those conditions hold for every request; a shortage of memory ends with the next
    answer, and smaller requests fit meanwhile. To exclude such an endpoint for all
    requests would move its load to the others while they are full too.

    Args:
        misdirected: Whether it does not hold the layers that the request needs.
        filled: Share of its memory that is estimated to be in use.
    """
    return not misdirected and filled >= FULL_THRESHOLD


class Grade(IntEnum):
    """How certain it is that an endpoint does not run requests.

    Endpoints of the lower grades are used again first where too few others hold their
    layers; one that is gone is never used.
    """

    #: It accepts connections or answered lately, but not in time.
    SLOW = 0
    #: It did not answer, or another endpoint names it as not answering.
    DOUBTFUL = 1
    #: It rejected a request, or no connection to it could be made.
    LOST = 2
    #: It refuses connections, or no longer holds the layers that the directory lists.
    GONE = 3


#: Factor on the cost of a path for each suspected endpoint that it uses, by grade. A
#: request that fails there costs its caller a timeout and a retry.
GRADE_COST_FACTORS = {Grade.SLOW: 2.0, Grade.DOUBTFUL: 4.0, Grade.LOST: 16.0}


def assumed_grade(silent: bool) -> Grade:
    """Return the grade of a failure for which none is known.

    Args:
        silent: Whether the endpoint did not answer at all.
    """
    return Grade.DOUBTFUL if silent else Grade.LOST


def rejection_grade(misdirected: bool, named_by_itself: bool) -> Grade:
    """Return the grade of an endpoint at fault for the rejection of a request.

    Args:
        misdirected: Whether it does not hold the layers that the request needs.
        named_by_itself: Whether it sent the rejection, and was not named by another
            endpoint.
    """
    if misdirected:
        return Grade.GONE
    return Grade.LOST if named_by_itself else Grade.DOUBTFUL


class ObservationScope(IntEnum):
    """Which entries made an observation: this one, those of its zone, or any."""

    OWN = 0
    ZONE = 1
    ALL = 2


@attrs.define
class Suspicion:
    """Exclusion of an endpoint and its reason.

    Attributes:
        until: End of the exclusion, seconds.
        failures: Failures in succession.
        failed_at: Time of the last failure, seconds.
        reason: What was observed.
        scope: Whether this entry saw the failure, one of its zone, or another one.
        silent: Whether the endpoint does not answer at all, so that streams through it
            stall. One that rejects new requests or was ordered to move may still finish
            those that it runs.
        grade: How certain it is that the endpoint does not run requests.
    """

    until: float
    failures: int
    failed_at: float
    reason: str
    scope: ObservationScope = ObservationScope.OWN
    silent: bool = False
    grade: Grade = attrs.field(
        default=attrs.Factory(lambda s: assumed_grade(s.silent), takes_self=True)
    )


@attrs.define
class Suspects:
    """Endpoints that failed recently.

    Attributes:
        members: Exclusions by id of the endpoint.
    """

    members: dict[str, Suspicion] = attrs.field(factory=dict)

    def suspect(
        self,
        endpoint: str,
        reason: str,
        now: float,
        silent: bool = False,
        grade: Grade | None = None,
    ) -> Suspicion:
        """Exclude an endpoint, twice as long after each failure in succession.

        A failure during an exclusion does not extend it, but may raise its grade.

        Args:
            endpoint: The endpoint.
            reason: What was observed.
            now: Present time in seconds.
            silent: Whether it does not answer at all.
            grade: Grade of the failure, None for the assumed one.

        Returns:
            The exclusion that is now in force.
        """
        if grade is None:
            grade = assumed_grade(silent)
        known = self.members.get(endpoint)
        failures = 1
        if known is not None and now - known.failed_at < FAILURE_RESET_TIME:
            if now < known.until:
                known.silent = known.silent or silent
                known.grade = max(known.grade, grade)
                return known
            failures = known.failures + 1
        length = min(MAX_EXCLUSION, FIRST_EXCLUSION * 2 ** (failures - 1))
        found = Suspicion(
            now + length, failures, now, reason, silent=silent, grade=grade
        )
        self.members[endpoint] = found
        return found

    def record_late_answer(self, endpoint: str, now: float) -> None:
        """Lower the grade of an endpoint that answered a probe after its timeout.

        It stays excluded where others hold its layers.

        Args:
            endpoint: The endpoint.
            now: Present time in seconds.
        """
        known = self.members.get(endpoint)
        if known is not None and now < known.until and known.grade is Grade.DOUBTFUL:
            known.grade = Grade.SLOW

    def from_peer(
        self,
        endpoint: str,
        remaining: float,
        now: float,
        same_zone: bool = True,
        silent: bool = False,
        grade: Grade | None = None,
    ) -> None:
        """Exclude an endpoint that a peer excludes.

        Among the grades that peers report the lowest counts, as one of them knows
        that the endpoint is alive, unless it is gone. What this entry observed itself
        is raised to gone only.

        Args:
            endpoint: The endpoint.
            remaining: Seconds for which the peer still excludes it.
            now: Present time in seconds.
            same_zone: Whether an entry of this one's availability zone saw the failure.
            silent: Whether the endpoint does not answer at all.
            grade: Grade that the peer reports, None if it reports none.
        """
        if grade is None:
            grade = assumed_grade(silent)
        known = self.members.get(endpoint)
        if remaining < MIN_REMAINING:
            return
        until = now + min(remaining, MAX_EXCLUSION)
        if known is not None and known.until >= now:
            known.silent = known.silent or silent
            known.grade = _merged_grade(known, grade)
            if until > known.until + MIN_EXTENSION:
                known.until = until + RECHECK_DELAY
                known.failures = max(known.failures, _failures_for(remaining))
            return
        scope = ObservationScope.ZONE if same_zone else ObservationScope.ALL
        reason = "reported by a peer"
        failures = _failures_for(remaining)
        until += RECHECK_DELAY
        self.members[endpoint] = Suspicion(
            until, failures, now, reason, scope, silent, grade
        )

    def excluded(self, now: float) -> set[str]:
        """Return the endpoints that are excluded."""
        return {name for name, found in self.members.items() if found.until > now}

    def grades(self, now: float) -> dict[str, Grade]:
        """Return the grades of the excluded endpoints by id."""
        return {
            name: found.grade
            for name, found in self.members.items()
            if found.until > now
        }

    def refusing(self, now: float) -> set[str]:
        """Return the excluded endpoints that refuse connections.

        One that is gone for new requests only, as it was ordered to move, answers.
        """
        return {
            name
            for name, found in self.members.items()
            if found.grade is Grade.GONE and found.silent and found.until > now
        }

    def cost_factor(self, endpoint: str, now: float) -> float:
        """Return the factor of an endpoint's suspicion on the cost of its paths."""
        found = self.members.get(endpoint)
        if found is None or found.until <= now:
            return 1.0
        return GRADE_COST_FACTORS.get(found.grade, float("inf"))

    def silent(self, now: float, since: float = float("-inf")) -> set[str]:
        """Return the endpoints that are excluded because they do not answer.

        Args:
            now: Present time in seconds.
            since: Earliest time of the failure, seconds.
        """
        return {
            name
            for name, found in self.members.items()
            if found.silent and found.until > now and found.failed_at >= since
        }

    def remaining(
        self, now: float, scope: ObservationScope = ObservationScope.OWN
    ) -> dict[str, float]:
        """Return the remaining seconds of each exclusion.

        Args:
            now: Present time in seconds.
            scope: Widest scope of the exclusions to return.
        """
        return {
            name: round(found.until - now, 3)
            for name, found in self.members.items()
            if found.scope <= scope and found.until > now
        }

    def reported_grades(
        self, now: float, scope: ObservationScope = ObservationScope.OWN
    ) -> dict[str, int]:
        """Return the grades that differ from the assumed ones.

        Args:
            now: Present time in seconds.
            scope: Widest scope of the exclusions to return.
        """
        return {
            name: int(found.grade)
            for name, found in self.members.items()
            if found.scope <= scope
            and found.until > now
            and found.grade is not assumed_grade(found.silent)
        }

    def expire(self, now: float) -> None:
        """Remove exclusions that ended long ago."""
        for name, found in list(self.members.items()):
            if now - found.failed_at > FAILURE_RESET_TIME and found.until < now:
                del self.members[name]


def _merged_grade(known: Suspicion, reported: Grade) -> Grade:
    """Return the grade of a known suspicion after a peer's report."""
    if Grade.GONE in (known.grade, reported):
        return Grade.GONE
    if known.scope is ObservationScope.OWN:
        return known.grade
    return min(known.grade, reported)


def _failures_for(remaining: float) -> int:
    """Return the lowest failure count whose exclusion lasts that many seconds."""
    failures, length = 1, FIRST_EXCLUSION
    while length < min(remaining, MAX_EXCLUSION):
        failures += 1
        length *= 2
    return failures
