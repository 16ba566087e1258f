"""Paths through endpoints that run every layer once and in order."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.links import ZonePair, zone_pair
from lacewingcourse.core.pipelines.shape import Layers

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.shape import EngineShape

#: Milliseconds that a token takes between parts in one availability zone.
LOCAL_HOP_MS = 0.2
#: Milliseconds that a usual prompt's activations are taken to cost for each crossing of
#: availability zones, spread over the tokens of an answer. All paths share the link.
CROSS_ZONE_HOP_MS = 4.0
#: How much dearer a part looks for each earlier candidate path that uses it. With too
#: little the memory of slow copies is on no candidate.
REUSE_PENALTY = 6.0
#: Parts that a path may have; engines refuse longer ones.
MAX_PARTS = 32
#: Candidate paths that are searched for each service.
MIN_SEARCHES = 32
#: Endpoints for each of which one candidate more is searched in a larger fleet: a path
#: takes four to eight of them, so each is on one or two.
ENDPOINTS_PER_SEARCH = 4
#: Candidates that are searched within an availability zone at the least.
MIN_SEARCHES_PER_ZONE = 3
#: Requests that are taken to write beside one another when parts are compared.
TYPICAL_CONCURRENCY = 8.0


@attrs.frozen
class Part:
    """A part of a path.

    Attributes:
        endpoint: Id of the endpoint.
        address: Its address.
        zone: Its availability zone.
        layers: Layers that it runs.
        name: Name under which the endpoint registers.
    """

    endpoint: str
    address: str
    zone: str
    layers: Layers
    name: str = attrs.field(
        default=attrs.Factory(lambda part: part.endpoint, takes_self=True)
    )


@attrs.frozen
class Path:
    """Endpoints that run every layer once, in order.

    Attributes:
        parts: The parts in order of their layers.
        token_ms: Milliseconds of a token on an idle path.
        crossings: Pairs of availability zones between which it passes, in order.
    """

    parts: tuple[Part, ...]
    token_ms: float
    crossings: tuple[ZonePair, ...] = attrs.field(
        init=False,
        eq=False,
        repr=False,
        default=attrs.Factory(lambda path: _crossings(path.parts), takes_self=True),
    )

    @property
    def first(self) -> Part:
        """The part that requests are sent to."""
        return self.parts[0]

    def uses(self, endpoints: Iterable[str]) -> bool:
        """Tell whether any of some endpoints is on the path."""
        ids = endpoints if isinstance(endpoints, (set, frozenset)) else set(endpoints)
        return any(part.endpoint in ids for part in self.parts)


def _crossings(parts: tuple[Part, ...]) -> tuple[ZonePair, ...]:
    """Return the pairs of availability zones between which parts pass, in order."""
    zones = [part.zone for part in parts]
    hops = zip(zones, zones[1:], strict=False)
    return tuple(zone_pair(a, b) for a, b in hops if a != b)


def covers_all_layers(path: Path, layer_count: int) -> bool:
    """Tell whether a path runs every layer once and in order."""
    position = 0
    for part in path.parts:
        if part.layers.start != position or not len(part.layers):
            return False
        position = part.layers.end
    return position == layer_count and len(path.parts) <= MAX_PARTS


def candidate_paths(endpoints: list[Endpoint], shape: EngineShape) -> list[Path]:
    """Return paths that differ as much as possible, cheapest first.

    Each path is the cheapest one after the parts of the earlier ones were made
    dearer, so that every endpoint that can be on a path tends to be on one. Each
    availability zone is searched by itself first: its copies were cut at the same
    layers, while those of all zones together have several times as many ways to begin
    and end a part. Paths over all zones take up what is on none of these.

    Args:
        endpoints: Endpoints of the service that may be used.
        shape: Published figures of its engines.
    """
    holders = [
        endpoint
        for endpoint in endpoints
        if endpoint.layers is not None
        and len(endpoint.layers)
        and endpoint.accelerator in shape.accelerators
    ]
    search_count = max(MIN_SEARCHES, len(holders) // ENDPOINTS_PER_SEARCH)
    use_counts: dict[str, int] = {}
    found: dict[tuple, Path] = {}
    for members in _by_zone(holders):
        zone_searches = max(
            MIN_SEARCHES_PER_ZONE, search_count * len(members) // len(holders)
        )
        _collect(_PathSearch(members, shape, use_counts), zone_searches, found)
    if found:
        _cover_unused(_PathSearch(holders, shape, use_counts), found)
    else:
        _collect(_PathSearch(holders, shape, use_counts), search_count, found)
    return sorted(found.values(), key=lambda path: path.token_ms)


def _by_zone(holders: list[Endpoint]) -> list[list[Endpoint]]:
    """Return endpoints by their availability zones, none if they share one."""
    zones: dict[str, list[Endpoint]] = defaultdict(list)
    for endpoint in holders:
        zones[endpoint.zone].append(endpoint)
    return [zones[zone] for zone in sorted(zones)] if len(zones) > 1 else []


def _collect(search: _PathSearch, count: int, found: dict[tuple, Path]) -> None:
    """Add the paths that a search finds in some tries."""
    for _ in range(count):
        path = search.cheapest()
        if path is None:
            return
        _add(search, path, found)


def _cover_unused(search: _PathSearch, found: dict[tuple, Path]) -> None:
    """Add paths over all zones as long as they take up endpoints that are on none.

    A loss leaves endpoints without a neighbour of their zone. Where all are on paths
    already, more of these serve no more, and searching them takes most of the time.
    """
    while any(endpoint.id not in search.use_counts for endpoint in search.holders):
        path = search.cheapest()
        if path is None or all(
            part.endpoint in search.use_counts for part in path.parts
        ):
            return
        _add(search, path, found)


def _add(search: _PathSearch, path: Path, found: dict[tuple, Path]) -> None:
    """Add a path unless engines would refuse it; make its parts dearer."""
    search.record_use(path)
    if covers_all_layers(path, search.shape.layers) and not _has_repeated_endpoint(
        path
    ):
        found.setdefault(tuple((p.endpoint, p.layers) for p in path.parts), path)


@attrs.frozen
class _PartStart:
    """An endpoint whose part may begin at a layer.

    Attributes:
        endpoint: The endpoint.
        ends: Layers after the last one that its part may have, with the milliseconds
            that such a part takes for a token.
    """

    endpoint: Endpoint
    ends: tuple[tuple[int, float], ...]


@attrs.frozen
class _PartialPath:
    """The cheapest way to a layer.

    Attributes:
        cost: Its cost.
        zone: Availability zone of its last part.
        trail: Its parts, the last one first, linked.
    """

    cost: float
    zone: str
    chain: tuple | None


class _PathSearch:
    """Cheapest paths over the layers, with weights for what is used already.

    Layers are visited in order, and for each one only the cheapest way from each zone
    is kept, so that a search costs one look at every part that may stand on a path.
    """

    def __init__(
        self, holders: list[Endpoint], shape: EngineShape, use_counts: dict[str, int]
    ) -> None:
        self.shape = shape
        self.use_counts = use_counts
        self.holders = holders
        self.kinds = {e.id: shape.accelerators[e.accelerator] for e in self.holders}
        starts = sorted({e.layers.start for e in self.holders})
        cuts = sorted({*starts, *(e.layers.end for e in self.holders)})
        self.part_starts = {cut: self._part_starts_at(cut, starts) for cut in cuts}

    def record_use(self, path: Path) -> None:
        """Make the parts of a path dearer."""
        for part in path.parts:
            self.use_counts[part.endpoint] = self.use_counts.get(part.endpoint, 0) + 1

    def cheapest(self) -> Path | None:
        """Return the cheapest path, None if the layers are not covered."""
        reached: dict[int, dict[str, _PartialPath]] = {
            0: {"": _PartialPath(0.0, "", None)}
        }
        for position, part_starts in self.part_starts.items():
            partials = reached.get(position)
            if partials is None or position == self.shape.layers:
                continue
            best = min(partials.values(), key=lambda partial: partial.cost)
            for part_start in part_starts:
                self._extend(reached, position, part_start, partials, best)
        arrived = reached.get(self.shape.layers)
        if not arrived:
            return None
        return self._path(min(arrived.values(), key=lambda partial: partial.cost).chain)

    def _extend(
        self,
        reached: dict[int, dict[str, _PartialPath]],
        position: int,
        part_start: _PartStart,
        partials: dict[str, _PartialPath],
        best: _PartialPath,
    ) -> None:
        """Go on from a layer by the parts of an endpoint where that is cheaper."""
        zone = part_start.endpoint.zone
        partial, cost = best, best.cost + (CROSS_ZONE_HOP_MS if best.zone else 0.0)
        local = partials.get(zone)
        if local is not None and local.cost + LOCAL_HOP_MS < cost:
            partial, cost = local, local.cost + LOCAL_HOP_MS
        factor = 1.0 + REUSE_PENALTY * self.use_counts.get(part_start.endpoint.id, 0)
        for end, time in part_start.ends:
            total = cost + time * factor
            known = reached.setdefault(end, {})
            if zone not in known or total < known[zone].cost:
                chain = (part_start.endpoint, position, end, partial.chain)
                known[zone] = _PartialPath(total, zone, chain)

    def _part_starts_at(self, position: int, starts: list[int]) -> list[_PartStart]:
        """Return the endpoints whose parts may begin at a layer.

        A part ends where its endpoint's layers end, or where another one's begin.
        """
        part_starts = []
        for endpoint in self.holders:
            layers = endpoint.layers
            if not layers.start <= position < layers.end:
                continue
            kind = self.kinds[endpoint.id]
            layer_ms = self.shape.decode_step_ms(kind, 1, TYPICAL_CONCURRENCY)
            after = bisect_right(starts, position)
            ends = (*starts[after : bisect_left(starts, layers.end)], layers.end)
            times = tuple((end, (end - position) * layer_ms) for end in ends)
            part_starts.append(_PartStart(endpoint, times))
        return part_starts

    def _path(self, chain: tuple | None) -> Path:
        """Return the path of a trail, which may be too long for engines."""
        parts: list[Part] = []
        while chain is not None:
            endpoint, start, end, chain = chain
            layers = Layers(start, end)
            place = endpoint.address, endpoint.zone
            parts.append(Part(endpoint.id, *place, layers, endpoint.name))
        parts.reverse()
        return Path(tuple(parts), self._token_ms(parts))

    def _token_ms(self, parts: list[Part]) -> float:
        """Return the milliseconds of a token on an idle path."""
        total = 0.0
        zone = parts[0].zone
        for part in parts:
            total += LOCAL_HOP_MS if part.zone == zone else CROSS_ZONE_HOP_MS
            zone = part.zone
            kind = self.kinds[part.endpoint]
            total += self.shape.decode_step_ms(kind, len(part.layers), 1.0)
        return total


def _has_repeated_endpoint(path: Path) -> bool:
    """Tell whether an endpoint stands twice on a path; engines refuse that."""
    ids = [part.endpoint for part in path.parts]
    return len(set(ids)) < len(ids)
