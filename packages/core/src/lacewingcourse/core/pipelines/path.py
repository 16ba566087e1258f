"""Paths through endpoints that run every layer once and in order."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.shape import Layers

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.shape import EngineShape

#: Milliseconds that a token takes between parts in one availability zone.
LOCAL_HOP_MS = 0.2
#: Milliseconds that a usual prompt's activations are taken to cost for each
#: crossing of availability zones, spread over the tokens of an answer. Its pipe is
#: shared by all paths and narrow: 71 MB for 774 tokens take 32 ms at 18 Gbit/s.
CROSSING_MS = 4.0
#: How much dearer a part looks for each earlier candidate path that uses it.
REUSE_WEIGHT = 1.5
#: Parts that a path may have; engines refuse longer ones.
MOST_PARTS = 32
#: Candidate paths that are kept for each service.
MOST_CANDIDATES = 24
#: Requests that are taken to write beside one another when parts are compared.
TYPICAL_RUNNING = 8.0


@attrs.frozen
class Part:
    """A part of a path.

    Attributes:
        endpoint: Id of the endpoint.
        address: Its address.
        zone: Its availability zone.
        layers: Layers that it runs.
    """

    endpoint: str
    address: str
    zone: str
    layers: Layers


@attrs.frozen
class Path:
    """Endpoints that run every layer once, in order.

    Attributes:
        parts: The parts in order of their layers.
        token_ms: Milliseconds of a token on an idle path.
    """

    parts: tuple[Part, ...]
    token_ms: float

    @property
    def first(self) -> Part:
        """The part that requests are sent to."""
        return self.parts[0]

    def uses(self, endpoints: Iterable[str]) -> bool:
        """Tell whether any of some endpoints is on the path."""
        ids = set(endpoints)
        return any(part.endpoint in ids for part in self.parts)


def is_whole(path: Path, layer_count: int) -> bool:
    """Tell whether a path runs every layer once and in order."""
    position = 0
    for part in path.parts:
        if part.layers.start != position or not len(part.layers):
            return False
        position = part.layers.end
    return position == layer_count and len(path.parts) <= MOST_PARTS


def candidate_paths(endpoints: list[Endpoint], shape: EngineShape) -> list[Path]:
    """Return paths that differ as much as possible, cheapest first.

    Each path is the cheapest one after the parts of the earlier ones were made
    dearer, so that every endpoint that can be on a path tends to be on one.

    Args:
        endpoints: Endpoints of the service that may be used.
        shape: Published figures of its engines.
    """
    search = _Search(endpoints, shape)
    found: dict[tuple, Path] = {}
    for _ in range(MOST_CANDIDATES):
        path = search.cheapest()
        if path is None:
            break
        search.use(path)
        found.setdefault(tuple((p.endpoint, p.layers) for p in path.parts), path)
    return sorted(found.values(), key=lambda path: path.token_ms)


class _Search:
    """Cheapest paths over the layers, with weights for what is used already."""

    def __init__(self, endpoints: list[Endpoint], shape: EngineShape) -> None:
        self.shape = shape
        self.uses: dict[str, int] = {}
        self.holders = [
            endpoint
            for endpoint in endpoints
            if endpoint.layers is not None
            and len(endpoint.layers)
            and endpoint.accelerator in shape.accelerators
        ]
        self.cuts = sorted(
            {cut for e in self.holders for cut in (e.layers.start, e.layers.end)}
        )
        self.at: dict[int, list[Endpoint]] = {
            cut: [e for e in self.holders if e.layers.start <= cut < e.layers.end]
            for cut in self.cuts
        }

    def use(self, path: Path) -> None:
        """Make the parts of a path dearer."""
        for part in path.parts:
            self.uses[part.endpoint] = self.uses.get(part.endpoint, 0) + 1

    def cheapest(self) -> Path | None:
        """Return the cheapest path, None if the layers are not covered."""
        queue: list[tuple] = [(0.0, 0, 0, "", "", None)]
        done: set[tuple[int, str]] = set()
        order = 0
        while queue:
            cost, _, position, zone, last, trail = heapq.heappop(queue)
            if position == self.shape.layers:
                return self._path(trail)
            if (position, zone) in done:
                continue
            done.add((position, zone))
            for step in self._steps(position, zone, last):
                extra, endpoint, end = step
                order += 1
                part = Part(
                    endpoint.id, endpoint.address, endpoint.zone, Layers(position, end)
                )
                heapq.heappush(
                    queue,
                    (
                        cost + extra,
                        order,
                        end,
                        endpoint.zone,
                        endpoint.id,
                        (part, trail),
                    ),
                )
        return None

    def _steps(self, position: int, zone: str, last: str):
        """Yield the cost, endpoint and end of each part that may come next."""
        for endpoint in self.at.get(position, ()):
            if endpoint.id == last:
                continue
            hop = 0.0
            if zone:
                hop = LOCAL_HOP_MS if endpoint.zone == zone else CROSSING_MS
            accelerator = self.shape.accelerators[endpoint.accelerator]
            weight = 1.0 + REUSE_WEIGHT * self.uses.get(endpoint.id, 0)
            for end in self.cuts:
                if position < end <= endpoint.layers.end:
                    span = end - position
                    time = self.shape.step_time(accelerator, span, TYPICAL_RUNNING)
                    yield (hop + time * weight, endpoint, end)

    def _path(self, trail: tuple | None) -> Path | None:
        """Return the path of a trail, None if it cannot be used."""
        parts: list[Part] = []
        while trail is not None:
            part, trail = trail
            parts.append(part)
        parts.reverse()
        kinds = {e.id: self.shape.accelerators[e.accelerator] for e in self.holders}
        token_ms = 0.0
        zone = parts[0].zone
        for part in parts:
            if part.zone != zone:
                token_ms += CROSSING_MS
            zone = part.zone
            span = len(part.layers)
            token_ms += LOCAL_HOP_MS
            token_ms += self.shape.step_time(kinds[part.endpoint], span, 1.0)
        path = Path(tuple(parts), token_ms)
        if not is_whole(path, self.shape.layers) or _repeats(path):
            return None
        return path


def _repeats(path: Path) -> bool:
    """Tell whether an endpoint stands twice on a path; engines refuse that."""
    ids = [part.endpoint for part in path.parts]
    return len(set(ids)) < len(ids)
