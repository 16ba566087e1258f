"""Counts refusals that only an older version of the configuration allows."""

from __future__ import annotations

import attrs

#: Statuses by which an entry says that it does not know a route or a key.
UNKNOWN = frozenset({401, 403, 404})


@attrs.frozen
class Probe:
    """A request on a route that a version has added.

    Attributes:
        entry: Name of the entry that was asked.
        version: The version.
        late: Seconds from the acknowledgement of the version to the request.
        status: HTTP status of the answer.
    """

    entry: str
    version: int
    late: float
    status: int


@attrs.define
class VersionCheck:
    """Tells whether versions come into force at entries in time.

    Attributes:
        apply_time: Seconds after its acknowledgement from which a version holds.
        acknowledged: When each version was acknowledged, seconds.
        probes: Requests on routes that versions have added.
    """

    apply_time: float
    acknowledged: dict[int, float] = attrs.field(factory=dict)
    probes: list[Probe] = attrs.field(factory=list)

    def probe(self, entry: str, version: int, at: float, status: int) -> None:
        """Note a request on a route that a version has added.

        Args:
            entry: Name of the entry that was asked.
            version: The version.
            at: When the request was sent, seconds.
            status: HTTP status of the answer.
        """
        late = at - self.acknowledged[version]
        self.probes.append(Probe(entry, version, late, status))

    def breaches(self) -> list[Probe]:
        """Return the requests that were refused by an older version too late."""
        return [
            probe
            for probe in self.probes
            if probe.late > self.apply_time and probe.status in UNKNOWN
        ]
