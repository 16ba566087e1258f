"""All endpoints that an entry knows, with their predicted load."""

from __future__ import annotations

from collections.abc import Iterator, MutableMapping
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.estimates import PRIOR_DUTY, Average, LinkEstimates
from lacewingcourse.core.outliers import Peers
from lacewingcourse.core.routes.index import ModelIndex
from lacewingcourse.core.routes.model import index_name
from lacewingcourse.core.routes.records import EndpointRecord

if TYPE_CHECKING:
    from lacewingcourse.core.endpoints import EndpointState
    from lacewingcourse.core.estimates import LoadReport
    from lacewingcourse.core.layers import LayerRange
    from lacewingcourse.core.routes.model import Route

#: Share of its turns of an endpoint that has just been taken back.
PROBATION_SHARE = 0.2


@attrs.frozen
class Dispatch:
    """What a stream of this entry occupies.

    Attributes:
        endpoints: Names of its endpoints.
    """

    endpoints: tuple[str, ...]


class Fleet(MutableMapping):
    """What an entry knows of all endpoints, as a mapping from name to last report.

    Every change costs the same whatever the size of the fleet.

    Attributes:
        records: Records by name.
        models: Indexes by model and version.
        links: Delays of links.
        base: Average fixed part of a step over the reports, seconds.
        position: Average of what a position adds, seconds.
    """

    def __init__(self) -> None:
        self.records: dict[str, EndpointRecord] = {}
        self.models: dict[str, ModelIndex] = {}
        self.links = LinkEstimates()
        self.base = Average()
        self.position = Average()

    def __getitem__(self, name: str) -> EndpointState:
        return self.records[name].state

    def __iter__(self) -> Iterator[str]:
        return iter(self.records)

    def __len__(self) -> int:
        return len(self.records)

    def __setitem__(self, name: str, state: EndpointState) -> None:
        record = self.records.get(name)
        if record is None:
            record = self.records[name] = EndpointRecord(state)
        before = record.state
        if record.group is not None and _place(before) != _place(state):
            self.models[_place(before)[0]].remove(record)
        if state.incarnation != before.incarnation:
            record.in_flight = 0
        record.state = state
        record.reported = state.running
        record.backlog = state.load.backlog
        if state.reported_at != before.reported_at:
            record.delta = 0
            record.sent_positions = 0
        self._learn(record)
        if record.group is None and _place(state) is not None:
            self.index(_place(state)[0]).add(record)

    def __delitem__(self, name: str) -> None:
        record = self.records.pop(name)
        if record.group is not None:
            self.models[_place(record.state)[0]].remove(record)

    def index(self, name: str) -> ModelIndex:
        """Return the index of a model's version."""
        index = self.models.get(name)
        if index is None:
            index = self.models[name] = ModelIndex()
        return index

    def versions(self, model: str) -> list[str]:
        """Return the versions of a model that are held, in order of name."""
        held = [name for name, index in self.models.items() if index.ordered]
        named = [name.rpartition("@") for name in held if "@" in name]
        versions = [version for of_model, _, version in named if of_model == model]
        return sorted(versions + ([""] if model in held else []))

    def _learn(self, record: EndpointRecord) -> None:
        """Take the estimates of a report; the fleet's average where there are none."""
        state = record.state
        load = state.load
        record.share = state.admitted_share
        if record.probation:
            record.share = min(record.share, PROBATION_SHARE)
        record.sources = max(1, load.sources)
        if load.steps:
            record.base = load.step_base
            record.position = load.step_position
            record.duty = load.duty or PRIOR_DUTY
            self.base.add(load.step_base)
            self.position.add(load.step_position)
        elif self.base.count:
            record.base = self.base.value
            record.position = self.position.value
        record.fresh = load.fresh
        if load.step_limit:
            record.limit = load.step_limit
        if load.stream_limit:
            record.stream_limit = load.stream_limit
        for link in load.links:
            target = self.records.get(link.endpoint)
            if target is not None:
                zones = (state.availability_zone, target.state.availability_zone)
                pair = (state.id, link.endpoint)
                self.links.note(pair, zones, link.delay, state.reported_at)

    def refresh(self, name: str, load: LoadReport, now: float) -> None:
        """Take a load report that came with an answer, between two full reports."""
        state = self.get(name)
        if state is not None:
            self[name] = attrs.evolve(
                state, load=load, running=load.running, reported_at=now
            )

    def eject(self, name: str, ejected: bool) -> None:
        """Exclude an endpoint as an outlier, or take it back."""
        record = self.records.get(name)
        if record is None or record.ejected == ejected:
            return
        group = record.group
        if group is not None:
            group.remove(record)
        record.ejected = ejected
        record.probation = not ejected
        self._learn(record)
        if group is not None:
            group.add(record)
            self.index(_place(record.state)[0]).version += 1

    def trust(self, name: str) -> None:
        """Let an endpoint that was taken back have all its turns again."""
        record = self.records.get(name)
        if record is not None and record.probation:
            record.probation = False
            record.share = record.state.admitted_share

    def peers(self, name: str) -> Peers | None:
        """Return the endpoints among which one is judged; None if it takes no work.

        This looks at all endpoints of the model; it is asked for failures only.
        """
        record = self.records.get(name)
        if record is None or record.group is None:
            return None
        zone = record.state.availability_zone
        in_zone = [
            each
            for group in self.models[_place(record.state)[0]].ordered
            for each in (*group.members, *group.ejected)
            if each.state.availability_zone == zone
        ]
        group = record.group
        return Peers(
            group=len(group.members) + len(group.ejected),
            group_ejected=len(group.ejected),
            zone=len(in_zone),
            zone_ejected=sum(each.ejected for each in in_zone),
        )

    def dispatch(self, route: Route, prompt_length: int) -> Dispatch:
        """Note that a stream is sent on a route."""
        names = tuple(route.endpoints())
        for name in names:
            record = self.records.get(name)
            if record is not None:
                record.in_flight += 1
                record.delta += 1
                record.sent_positions += prompt_length
        return Dispatch(names)

    def release(self, dispatch: Dispatch) -> None:
        """Note that a stream has left its route."""
        for name in dispatch.endpoints:
            record = self.records.get(name)
            if record is not None and record.in_flight > 0:
                record.in_flight -= 1
                record.delta -= 1

    def hop_delay(self, sender: EndpointRecord, receiver: EndpointRecord) -> float:
        """Return the predicted seconds of a hop between two endpoints."""
        one, other = sender.state, receiver.state
        links = self.links
        zones = (one.availability_zone, other.availability_zone)
        if links.degraded:
            return links.delay((one.id, other.id), zones)
        usual = links.zones.get(zones)
        return usual.value if usual is not None else 0.0


def _place(state: EndpointState) -> tuple[str, LayerRange] | None:
    """Return where an endpoint stands in the index, None if nowhere."""
    if not state.model or state.layers is None or not state.takes_new_work():
        return None
    return index_name(state.model, state.version), state.layers
