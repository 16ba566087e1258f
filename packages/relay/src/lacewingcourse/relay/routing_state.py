"""State that routing decisions read: configuration, endpoints and loads."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.answer_faults import AnswerFaults
from lacewingcourse.core.pipelines.backoff import BackoffTable
from lacewingcourse.core.pipelines.choice import PathChooser
from lacewingcourse.core.pipelines.crashes import CrashHistory
from lacewingcourse.core.pipelines.durations import Durations
from lacewingcourse.core.pipelines.fleet import Fleet
from lacewingcourse.core.pipelines.links import LinkUsage
from lacewingcourse.core.pipelines.load import LoadTable
from lacewingcourse.core.pipelines.path_selection import PathSelection, select_paths
from lacewingcourse.core.pipelines.prompt_parts import PartHistory
from lacewingcourse.core.pipelines.room_shares import RoomShares
from lacewingcourse.core.pipelines.routing import RoutingTable, is_newer
from lacewingcourse.core.pipelines.running_streams import RunningStreams
from lacewingcourse.core.pipelines.send_limits import SendLimits
from lacewingcourse.core.pipelines.speed import SpeedEstimator
from lacewingcourse.core.pipelines.suspects import Grade, Suspects
from lacewingcourse.core.pipelines.time_ratios import TimeRatios
from lacewingcourse.relay.loop_watch import LoopWatch

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.path import Path
    from lacewingcourse.core.pipelines.request_limits import LimitTable
    from lacewingcourse.core.pipelines.shape import EngineShape


#: Engine shapes of a service for which candidate paths are cached. Requests keep the
#: shape of the version under which they arrived, beside others of a newer version.
CACHED_SHAPES = 2


@attrs.frozen
class CandidateSet:
    """Candidate paths of a service, with the inputs of their computation.

    Attributes:
        revision: Revision of the fleet.
        grades: Grades of the suspected endpoints by id.
        shape: Shape of the engines.
        selection: The paths, and the suspected endpoints on them.
    """

    revision: int
    grades: dict[str, Grade]
    shape: EngineShape
    selection: PathSelection


@attrs.define
class RoutingState:
    """Everything that decisions about requests depend on.

    Attributes:
        table: Configuration in force, None before the first version.
        fleet: Known endpoints.
        loads: Requests and memory in use on each endpoint.
        links: Utilisation of the links between availability zones.
        suspects: Endpoints that are excluded for a while after a failure.
        speeds: Endpoints that run slower than published.
        answer_faults: Faults of endpoints' answers.
        crashes: Requests that crash endpoints.
        parts: Parts of prompts that crash endpoints.
        send_limits: What may be sent to endpoints that name limits.
        backoffs: Delays that endpoints asked this entry for.
        candidates: Candidate paths by service, for the shapes used last.
        detours: Paths around endpoints that asked for a delay, by service, with the
            inputs of their computation.
        durations: How long recent answers took.
        running: Streams of this entry that run.
        ratios: Ratios of the times that streams took to the published ones.
        room: What this entry may start of the room of each service.
        watch: Measures the sections of work that block the event loop.
        choosers: Path choosers by model for the shapes used last, each with the
            revision of the fleet for which it was made.
        on_selection: Called with the name of a service when the suspected endpoints
            change that its candidate paths use, and with the new selection.
    """

    table: RoutingTable | None = None
    fleet: Fleet = attrs.field(factory=Fleet)
    loads: LoadTable = attrs.field(factory=LoadTable)
    links: LinkUsage = attrs.field(factory=LinkUsage)
    suspects: Suspects = attrs.field(factory=Suspects)
    speeds: SpeedEstimator = attrs.field(factory=SpeedEstimator)
    answer_faults: AnswerFaults = attrs.field(factory=AnswerFaults)
    crashes: CrashHistory = attrs.field(factory=CrashHistory)
    parts: PartHistory = attrs.field(factory=PartHistory)
    send_limits: SendLimits = attrs.field(factory=SendLimits)
    backoffs: BackoffTable = attrs.field(factory=BackoffTable)
    candidates: dict[str, list[CandidateSet]] = attrs.field(factory=dict)
    detours: dict[str, tuple[tuple, list[Path]]] = attrs.field(factory=dict)
    durations: Durations = attrs.field(factory=Durations)
    running: RunningStreams = attrs.field(factory=RunningStreams)
    ratios: TimeRatios = attrs.field(factory=TimeRatios)
    room: RoomShares = attrs.field(factory=RoomShares)
    watch: LoopWatch = attrs.field(factory=LoopWatch)
    choosers: dict[str, list[tuple[int, PathChooser]]] = attrs.field(factory=dict)
    on_selection: Callable[[str, PathSelection], None] = lambda service, selection: None

    @property
    def limits(self) -> LimitTable:
        """The limits that endpoints have named."""
        return self.send_limits.table

    def accept(self, table: RoutingTable) -> bool:
        """Put a version in force if it is newer; return whether it was put in force."""
        if not is_newer(table, self.table):
            return False
        self.table = table
        return True

    def shape(self, service: str) -> EngineShape | None:
        """Return the shape of a service's engines, None for a plain service."""
        if self.table is None or service not in self.table.services:
            return None
        return self.table.services[service].shape

    def is_configured(self, endpoint: Endpoint) -> bool:
        """Return whether the configuration contains an endpoint's service."""
        return self.table is not None and endpoint.service in self.table.services

    def members(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that take new work.

        Endpoints whose directory entry does not fit the published shape of the
        service's engines are left out.
        """
        endpoints = self.fleet.of_service(service)
        shape = self.shape(service)
        if shape is None:
            return endpoints
        return [endpoint for endpoint in endpoints if endpoint.fits(shape)]

    def usable(self, service: str, now: float) -> list[Endpoint]:
        """Return the endpoints of a service that are not excluded."""
        excluded = self.suspects.excluded(now)
        return [e for e in self.members(service) if e.id not in excluded]

    def paths(self, service: str, shape: EngineShape, now: float) -> list[Path]:
        """Return the candidate paths of a service, cached until its inputs change.

        Suspected endpoints are on them only where their layers lack other holders.
        """
        grades = self.suspects.grades(now)
        revision = self.fleet.revision
        known = [
            cached
            for cached in self.candidates.get(service, ())
            if cached.revision == revision and cached.grades == grades
        ]
        for cached in known:
            if cached.shape == shape:
                return cached.selection.paths
        with self.watch.section("candidate paths"):
            selection = select_paths(self.members(service), grades, shape)
        before = self.suspected_on_paths(service)
        kept = [CandidateSet(revision, grades, shape, selection), *known]
        self.candidates[service] = kept[:CACHED_SHAPES]
        if selection.suspected != before:
            self.on_selection(service, selection)
        # The choosers cache figures of the paths that are replaced here.
        self.choosers.pop(shape.model, None)
        return selection.paths

    def paths_around(
        self, service: str, shape: EngineShape, closed: set[str], now: float
    ) -> list[Path]:
        """Return paths of a service without some endpoints, cached like `paths`.

        Args:
            service: Name of the service.
            shape: Shape of its engines.
            closed: Ids of the endpoints to leave out.
            now: Present time in seconds.
        """
        grades = self.suspects.grades(now)
        inputs = (self.fleet.revision, grades, shape, closed)
        cached = self.detours.get(service)
        if cached is not None and cached[0] == inputs:
            return cached[1]
        members = [e for e in self.members(service) if e.id not in closed]
        with self.watch.section("candidate paths"):
            paths = select_paths(members, grades, shape).paths
        self.detours[service] = (inputs, paths)
        # The choosers cache figures of the paths that are replaced here.
        self.choosers.pop(shape.model, None)
        return paths

    def suspected_on_paths(self, service: str) -> dict[str, Grade]:
        """Return the suspected endpoints on the newest candidate paths of a service."""
        newest = next(iter(self.candidates.get(service, ())), None)
        return {} if newest is None else newest.selection.suspected

    def chooser(self, shape: EngineShape) -> PathChooser:
        """Return the path chooser for an engine shape.

        A chooser is cached with the figures of its paths until an endpoint changes.
        """
        revision = self.fleet.revision
        known = [c for c in self.choosers.get(shape.model, ()) if c[0] == revision]
        for _, chooser in known:
            if chooser.shape == shape:
                return chooser
        created = PathChooser(
            shape,
            self.fleet.endpoints,
            self.loads,
            self.links,
            self.speeds,
            self.running,
            self.ratios,
            suspects=self.suspects,
        )
        kept = [(revision, created), *known]
        self.choosers[shape.model] = kept[:CACHED_SHAPES]
        return created
