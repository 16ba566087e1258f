"""Search of paths: sequences of endpoints that run every layer once and in order."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.links import ZonePair, zone_pair
from lacewingcourse.core.pipelines.shape import Layers

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.shape import EngineShape

#: Milliseconds for a token to pass between two parts in the same availability zone.
LOCAL_HOP_MS = 0.2
#: Assumed milliseconds per token of an answer for each link between availability zones
#: on a path: the transfer of a mean prompt's activations, spread over the answer. All
#: paths share the link.
CROSS_ZONE_HOP_MS = 4.0
#: Multiple of a part's time that each earlier candidate path through its endpoint adds
#: to its cost. If this is too low, no candidate uses the memory of slow copies.
REUSE_PENALTY = 6.0
#: Maximum number of parts of a path; engines reject longer paths.
MAX_PARTS = 32
#: Searches for candidate paths of a service; larger fleets get more.
MIN_SEARCHES = 32
#: Endpoints per search in a larger fleet. A path has four to eight endpoints, so each
#: endpoint is on one or two candidates.
ENDPOINTS_PER_SEARCH = 4
#: Minimum number of searches within each availability zone.
MIN_SEARCHES_PER_ZONE = 3
#: Assumed number of requests that decode at once, to compare the times of parts.
TYPICAL_CONCURRENCY = 8.0


@attrs.frozen
class Part:
    """A range of layers that one endpoint runs on a path.

    Attributes:
        endpoint: Id of the endpoint.
        address: Its IP address and port.
        zone: Its availability zone.
        layers: Layers that it runs on this path.
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
        token_ms: Milliseconds per token of an answer on an idle path.
        crossings: Zone pairs of the links between zones that it uses, in order.
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
        """The first part, to whose endpoint requests are sent."""
        return self.parts[0]

    @property
    def endpoints(self) -> tuple[str, ...]:
        """Ids of the endpoints of its parts, in order."""
        return tuple(part.endpoint for part in self.parts)

    def uses(self, endpoints: Iterable[str]) -> bool:
        """Return whether any endpoint of a collection of ids is on the path."""
        ids = endpoints if isinstance(endpoints, (set, frozenset)) else set(endpoints)
        return any(part.endpoint in ids for part in self.parts)


def _crossings(parts: tuple[Part, ...]) -> tuple[ZonePair, ...]:
    """Return the zone pairs of the links between consecutive parts, in order."""
    zones = [part.zone for part in parts]
    hops = zip(zones, zones[1:], strict=False)
    return tuple(zone_pair(a, b) for a, b in hops if a != b)


def covers_all_layers(path: Path, layer_count: int) -> bool:
    """Return whether a path runs every layer once, in order, within `MAX_PARTS`."""
    position = 0
    for part in path.parts:
        if part.layers.start != position or not len(part.layers):
            return False
        position = part.layers.end
    return position == layer_count and len(path.parts) <= MAX_PARTS


def candidate_paths(
    endpoints: list[Endpoint],
    shape: EngineShape,
    earlier_uses: Mapping[str, int] | None = None,
) -> list[Path]:
    """Return candidate paths that differ as much as possible, fastest first.

    Each search finds the cheapest path after the cost of the endpoints of earlier paths
    was raised, so that every endpoint that can be on a path tends to be on one. Each
    availability zone is searched by itself first: the copies within a zone share their
    layer boundaries, while all zones together have several times as many possible
    parts. Then paths across zones are searched for endpoints that are on no path yet.
    If no zone has a path by itself, all searches are across zones.

    Args:
        endpoints: Endpoints of the service that may be used.
        shape: Published performance figures of its engines.
        earlier_uses: Paths that each endpoint counts as being on already, by id, so
            that others are preferred to it; none if omitted.
    """
    holders = [
        endpoint
        for endpoint in endpoints
        if endpoint.layers is not None
        and len(endpoint.layers)
        and endpoint.accelerator in shape.accelerators
    ]
    search_count = max(MIN_SEARCHES, len(holders) // ENDPOINTS_PER_SEARCH)
    use_counts = dict(earlier_uses or {})
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
    """Return endpoints grouped by zone, an empty list if all are in one zone."""
    zones: dict[str, list[Endpoint]] = defaultdict(list)
    for endpoint in holders:
        zones[endpoint.zone].append(endpoint)
    return [zones[zone] for zone in sorted(zones)] if len(zones) > 1 else []


def _collect(search: _PathSearch, count: int, found: dict[tuple, Path]) -> None:
    """Search a number of times and add the paths found."""
    for _ in range(count):
        path = search.cheapest()
        if path is None:
            return
        _add(search, path, found)


def _cover_unused(search: _PathSearch, found: dict[tuple, Path]) -> None:
    """Add paths across zones as long as they use endpoints that are on no path yet.

    After the loss of an endpoint, others may lack a next part in their own zone. Once
    all endpoints are on paths, further paths across zones add no capacity, and their
    search takes most of the time.
    """
    while any(endpoint.id not in search.use_counts for endpoint in search.holders):
        path = search.cheapest()
        if path is None or all(
            part.endpoint in search.use_counts for part in path.parts
        ):
            return
        _add(search, path, found)


def _add(search: _PathSearch, path: Path, found: dict[tuple, Path]) -> None:
    """Raise the cost of a path's endpoints, and add it unless engines reject it."""
    search.record_use(path)
    if covers_all_layers(path, search.shape.layers) and not _has_repeated_endpoint(
        path
    ):
        found.setdefault(tuple((p.endpoint, p.layers) for p in path.parts), path)


@attrs.frozen
class _PartStart:
    """An endpoint that can run a part that starts at some layer.

    Attributes:
        endpoint: The endpoint.
        ends: Possible ends of the part, as the layer after its last one, each with the
            milliseconds per token of the part.
    """

    endpoint: Endpoint
    ends: tuple[tuple[int, float], ...]


@attrs.frozen
class _PartialPath:
    """The cheapest sequence of parts from the first layer to some layer.

    Attributes:
        cost: Its cost in milliseconds per token, raised by the reuse penalties.
        zone: Availability zone of its last part.
        chain: Its parts as a linked list, the last part first.
    """

    cost: float
    zone: str
    chain: tuple | None


class _PathSearch:
    """Shortest-path search over the layers, with penalties for endpoints in use.

    Layer boundaries are visited in order, and at each one only the cheapest partial
    path that ends in each zone is kept, so that a search examines every possible part
    once.
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
        """Count a use of each endpoint of a path, which raises its cost."""
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
        """Extend the partial paths at a layer by an endpoint's parts if cheaper."""
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
        """Return the endpoints that can run a part that starts at a layer.

        A part ends where its endpoint's layers end or another endpoint's begin.
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
        """Return the path of a chain; it may have more parts than engines accept."""
        parts: list[Part] = []
        while chain is not None:
            endpoint, start, end, chain = chain
            layers = Layers(start, end)
            place = endpoint.address, endpoint.zone
            parts.append(Part(endpoint.id, *place, layers, endpoint.name))
        parts.reverse()
        return Path(tuple(parts), self._token_ms(parts))

    def _token_ms(self, parts: list[Part]) -> float:
        """Return the milliseconds per token of an answer on an idle path."""
        total = 0.0
        zone = parts[0].zone
        for part in parts:
            total += LOCAL_HOP_MS if part.zone == zone else CROSS_ZONE_HOP_MS
            zone = part.zone
            kind = self.kinds[part.endpoint]
            total += self.shape.decode_step_ms(kind, len(part.layers), 1.0)
        return total


def _has_repeated_endpoint(path: Path) -> bool:
    """Return whether an endpoint is on a path twice, which engines reject."""
    ids = [part.endpoint for part in path.parts]
    return len(set(ids)) < len(ids)
