"""Endpoints indexed by model and layers, with their predicted load."""

from __future__ import annotations

from collections.abc import Iterator, MutableMapping
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.estimates import (
    PRIOR_BASE,
    PRIOR_DUTY,
    PRIOR_LIMIT,
    PRIOR_POSITION,
    PRIOR_STREAMS,
    Average,
    LinkEstimates,
)
from lacewingcourse.core.outliers import Peers
from lacewingcourse.core.routes.model import index_name

if TYPE_CHECKING:
    import random

    from lacewingcourse.core.endpoints import EndpointState
    from lacewingcourse.core.estimates import LoadReport
    from lacewingcourse.core.layers import LayerRange
    from lacewingcourse.core.routes.model import Route

#: Share of a step that work waits on average for the step that runs.
RESIDUAL = 0.5
#: Share of its turns of an endpoint that has just been taken back.
PROBATION_SHARE = 0.2
#: Draws after which a small admitted share no longer keeps an endpoint out.
DRAWS = 4


class EndpointRecord:
    """One endpoint: its last report, and what this entry did since.

    Attributes:
        state: The last report.
        ejected: Whether it is excluded as an outlier.
        group: The group it is a member of, or None.
        slot: Its place in the group's list.
        in_flight: Streams of this entry that run there.
        delta: Streams that this entry opened, less those it ended, since the report.
        sent_positions: Prompt positions that this entry sent since the report.
        base: Seconds of the fixed part of a step.
        position: Seconds that each position adds.
        limit: Items of a step at the most.
        duty: Share of the streams that wait or run there.
        share: Share of its turns at which it may be chosen.
        sources: Entries that send streams there.
        reported: Streams that ran there at the last report.
        backlog: Positions that waited there at the last report.
        probation: Whether it was left out and has not done well since.
        fresh: Whether its estimates rest on steps of late.
        stream_limit: Streams that may run there.
    """

    __slots__ = (
        "state",
        "ejected",
        "group",
        "slot",
        "in_flight",
        "delta",
        "sent_positions",
        "base",
        "position",
        "limit",
        "duty",
        "share",
        "sources",
        "reported",
        "backlog",
        "fresh",
        "probation",
        "stream_limit",
    )

    def __init__(self, state: EndpointState) -> None:
        self.state = state
        self.ejected = False
        self.group: Group | None = None
        self.slot = -1
        self.in_flight = 0
        self.delta = 0
        self.sent_positions = 0
        self.base = PRIOR_BASE
        self.position = PRIOR_POSITION
        self.limit = PRIOR_LIMIT
        self.duty = PRIOR_DUTY
        self.share = 1.0
        self.sources = 1
        self.reported = state.running
        self.backlog = state.load.backlog
        self.fresh = False
        self.probation = False
        self.stream_limit = PRIOR_STREAMS

    def running(self) -> int:
        """Return how many streams run there: the report, corrected.

        Other entries are taken to have sent as much as this one since the report.
        """
        guess = self.reported + self.delta * self.sources
        return guess if guess > self.in_flight else self.in_flight

    def decode_time(self, added: int = 1) -> float:
        """Return the seconds that one token is predicted to spend there.

        Args:
            added: Streams to count beside those that run.
        """
        running = self.running() + added
        present = running * self.duty
        if running <= 1 or present < 1.0:
            return self.base + self.position * max(1.0, present)
        limit = self.limit
        if present <= limit:
            return (1.0 + RESIDUAL) * (self.base + self.position * present)
        return (present / limit + RESIDUAL) * (self.base + self.position * limit)

    def prefill_time(self, positions: int) -> float:
        """Return the seconds that a prompt is predicted to spend there."""
        waiting = self.backlog + self.sent_positions * self.sources
        return self.decode_time() + self.position * (waiting + positions - 1)

    def request_time(self, prompt_length: int, tokens: int) -> float:
        """Return the seconds that a request is predicted to spend there."""
        waiting = self.backlog + self.sent_positions * self.sources
        prefill = self.position * (waiting + prompt_length - 1)
        return prefill + (1 + tokens) * self.decode_time()

    def token_rate(self, items: float) -> float:
        """Return the tokens a second that steps of so many items make."""
        return items / (self.base + self.position * items)


class Group:
    """Endpoints that hold the same layers of a model.

    Attributes:
        layers: The layers.
        members: Records that take new work, in no order.
        ejected: Records that take new work but are outliers.
    """

    def __init__(self, layers: LayerRange) -> None:
        self.layers = layers
        self.members: list[EndpointRecord] = []
        self.ejected: list[EndpointRecord] = []

    def add(self, record: EndpointRecord) -> None:
        """Add a record."""
        pool = self.ejected if record.ejected else self.members
        record.slot = len(pool)
        record.group = self
        pool.append(record)

    def remove(self, record: EndpointRecord) -> None:
        """Remove a record."""
        pool = self.ejected if record.ejected else self.members
        last = pool.pop()
        if last is not record:
            pool[record.slot] = last
            last.slot = record.slot
        record.group = None

    def pool(self) -> list[EndpointRecord]:
        """Return the members, or the outliers if there is nobody else."""
        return self.members or self.ejected

    def sample(
        self, count: int, excluded: frozenset[str], rng: random.Random
    ) -> list[EndpointRecord]:
        """Return some records at random that are not excluded; all if there are few.

        Records with a small admitted share are passed over at their other turns.
        """
        pool = self.pool()
        size = len(pool)
        if size <= count:
            return self.allowed(excluded, rng)
        found: list[EndpointRecord] = []
        draw = rng.random
        for _ in range(count + DRAWS):
            record = pool[int(draw() * size)]
            if record in found or (excluded and record.state.id in excluded):
                continue
            if record.share < 1.0 and draw() >= record.share:
                continue
            found.append(record)
            if len(found) == count:
                return found
        return found or self.allowed(excluded, rng)

    def allowed(
        self, excluded: frozenset[str], rng: random.Random
    ) -> list[EndpointRecord]:
        """Return all records that are not excluded; outliers if there is no other."""
        found = [each for each in self.members if each.state.id not in excluded]
        if not found:
            return [each for each in self.ejected if each.state.id not in excluded]
        ready = [
            each for each in found if each.share >= 1.0 or rng.random() < each.share
        ]
        return ready or found


class ModelIndex:
    """The groups of one model.

    Attributes:
        groups: Groups by layers.
        ordered: Groups with members, in order of the end of their layers.
        version: Count of the changes of membership.
    """

    def __init__(self) -> None:
        self.groups: dict[LayerRange, Group] = {}
        self.ordered: list[Group] = []
        self.version = 0

    def add(self, record: EndpointRecord) -> None:
        """Add a record to the group of its layers."""
        group = self.groups.get(record.state.layers)
        if group is None:
            group = self.groups[record.state.layers] = Group(record.state.layers)
            self.ordered = sorted(
                self.groups.values(), key=lambda each: (each.layers.end, each.layers)
            )
        group.add(record)
        self.version += 1

    def remove(self, record: EndpointRecord) -> None:
        """Remove a record from its group."""
        group = record.group
        group.remove(record)
        self.version += 1
        if not group.members and not group.ejected:
            del self.groups[group.layers]
            self.ordered.remove(group)


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
