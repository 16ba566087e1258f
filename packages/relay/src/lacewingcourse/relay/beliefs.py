"""What this entry believes of configuration, endpoints and loads."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.choice import PathChooser
from lacewingcourse.core.pipelines.crashes import CrashBook
from lacewingcourse.core.pipelines.durations import Durations
from lacewingcourse.core.pipelines.fleet import Fleet
from lacewingcourse.core.pipelines.links import LinkUsage
from lacewingcourse.core.pipelines.load import LoadTable
from lacewingcourse.core.pipelines.path import Path, candidate_paths
from lacewingcourse.core.pipelines.routing import RoutingTable, is_newer
from lacewingcourse.core.pipelines.send_limits import SendLimits
from lacewingcourse.core.pipelines.speed import SpeedEstimator
from lacewingcourse.core.pipelines.suspects import Suspects
from lacewingcourse.relay.loop_watch import LoopWatch

if TYPE_CHECKING:
    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.request_limits import LimitTable
    from lacewingcourse.core.pipelines.shape import EngineShape


#: Figures of a service's engines for which paths are kept. Requests go on by those of
#: the version that they came under, beside others of a newer one.
MOST_SHAPES = 2


@attrs.frozen
class CandidateSet:
    """Candidate paths of a service, and what they were worked out from.

    Attributes:
        revision: Revision of the fleet.
        excluded: Endpoints that were left out.
        shape: Figures of the engines.
        paths: The paths.
    """

    revision: int
    excluded: frozenset[str]
    shape: EngineShape
    paths: list[Path]


@attrs.define
class Beliefs:
    """Everything that decisions about requests are made from.

    Attributes:
        table: Configuration in force, None before there is one.
        fleet: Endpoints.
        loads: What runs where.
        links: How busy the links between zones are.
        suspects: Endpoints that are left out for now.
        speeds: Endpoints that run slower than published.
        crashes: Requests that crash endpoints.
        send_limits: What may be sent to endpoints that name limits.
        candidates: Candidate paths by service, for the figures used last.
        durations: How long answers took lately.
        watch: Notes what holds up the loop.
        choosers: What chooses among them by model, for the figures used last, each with
            the revision of the fleet that it was made for.
    """

    table: RoutingTable | None = None
    fleet: Fleet = attrs.field(factory=Fleet)
    loads: LoadTable = attrs.field(factory=LoadTable)
    links: LinkUsage = attrs.field(factory=LinkUsage)
    suspects: Suspects = attrs.field(factory=Suspects)
    speeds: SpeedEstimator = attrs.field(factory=SpeedEstimator)
    crashes: CrashBook = attrs.field(factory=CrashBook)
    send_limits: SendLimits = attrs.field(factory=SendLimits)
    candidates: dict[str, list[CandidateSet]] = attrs.field(factory=dict)
    durations: Durations = attrs.field(factory=Durations)
    watch: LoopWatch = attrs.field(factory=LoopWatch)
    choosers: dict[str, list[tuple[int, PathChooser]]] = attrs.field(factory=dict)

    @property
    def limits(self) -> LimitTable:
        """The limits that endpoints have named."""
        return self.send_limits.table

    def accept(self, table: RoutingTable) -> bool:
        """Put a version in force unless a newer one is; tell whether it was."""
        if not is_newer(table, self.table):
            return False
        self.table = table
        return True

    def shape(self, service: str) -> EngineShape | None:
        """Return the figures of a service's engines, None for a plain service."""
        if self.table is None or service not in self.table.services:
            return None
        return self.table.services[service].shape

    def is_configured(self, endpoint: Endpoint) -> bool:
        """Tell whether the configuration knows an endpoint's service."""
        return self.table is not None and endpoint.service in self.table.services

    def members(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that take new work.

        One whose entry does not fit the published figures of the service's engines
        names no endpoint to use.
        """
        found = self.fleet.of_service(service)
        shape = self.shape(service)
        if shape is None:
            return found
        return [endpoint for endpoint in found if endpoint.fits(shape)]

    def usable(self, service: str, now: float) -> list[Endpoint]:
        """Return the endpoints of a service that are not left out."""
        excluded = self.suspects.excluded(now)
        return [e for e in self.members(service) if e.id not in excluded]

    def paths(self, service: str, shape: EngineShape, now: float) -> list[Path]:
        """Return the candidate paths of a service."""
        excluded = frozenset(self.suspects.excluded(now))
        revision = self.fleet.revision
        known = [
            found
            for found in self.candidates.get(service, ())
            if found.revision == revision and found.excluded == excluded
        ]
        for found in known:
            if found.shape == shape:
                return found.paths
        with self.watch.section("candidate paths"):
            paths = candidate_paths(self.usable(service, now), shape)
        kept = [CandidateSet(revision, excluded, shape, paths), *known]
        self.candidates[service] = kept[:MOST_SHAPES]
        # They keep the figures of the paths that these replace.
        self.choosers.pop(shape.model, None)
        return paths

    def chooser(self, shape: EngineShape) -> PathChooser:
        """Return what chooses among paths of engines with some figures.

        It is kept for as long as no endpoint changes, with the figures of its paths.
        """
        revision = self.fleet.revision
        known = [c for c in self.choosers.get(shape.model, ()) if c[0] == revision]
        for _, chooser in known:
            if chooser.shape == shape:
                return chooser
        endpoints = self.fleet.endpoints
        found = PathChooser(shape, endpoints, self.loads, self.links, self.speeds)
        kept = [(revision, found), *known]
        self.choosers[shape.model] = kept[:MOST_SHAPES]
        return found
