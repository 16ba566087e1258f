"""Which endpoints one entry watches: a deterministic subset for each layer range."""

from __future__ import annotations

import hashlib
from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from lacewingcourse.core.layers import LayerRange

#: Endpoints up to which an entry watches them all.
WATCH_ALL = 64
#: Endpoints that an entry watches of each layer range of a model, and each service.
COPIES = 3
#: Endpoints of unknown content that an entry asks at one time to learn it.
EXPLORED = 16
#: Bytes a second that a node may spend on control.
CONTROL_BUDGET = 2048
#: Bytes of a question for a status and its answer, with their HTTP headers.
STATUS_BYTES = 1200
#: Seconds without a status after which even a lone endpoint is not asked sooner.
MIN_SILENCE = 0.5


@attrs.frozen
class Watchable:
    """An endpoint that an entry may watch.

    Attributes:
        id: Name of the instance.
        availability_zone: Where it stands.
        content: Model and layers it holds, or its service; None if not yet known.
    """

    id: str
    availability_zone: str
    content: tuple[str, LayerRange | None] | None = None


def score(watcher: str, name: str) -> int:
    """Return the weight of an endpoint for a watcher, the same in every process."""
    text = f"{watcher}\n{name}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def choose_candidates(duty: str, instances: Iterable[str], count: int) -> list[str]:
    """Return the instances that compete for a duty, the same for equal views."""
    return sorted(instances, key=lambda name: score(duty, name))[:count]


def choose_subset(
    watcher: str,
    endpoints: Iterable[Watchable],
    wanted: Mapping[str, int],
    copies: int = COPIES,
) -> list[str]:
    """Return the endpoints that an entry watches.

    Of each layer range, the best of every availability zone comes first, then the
    best of the rest. A change of one endpoint changes the choice of its range only.
    Endpoints of unknown content are asked while a layer is watched less than
    `copies` times.

    Args:
        watcher: Name of the entry.
        endpoints: All endpoints.
        wanted: Layers of each model, 1 for each plain service.
        copies: Endpoints to watch of each layer range.
    """
    endpoints = list(endpoints)
    if len(endpoints) <= WATCH_ALL:
        return [endpoint.id for endpoint in endpoints]
    ranked = sorted(endpoints, key=lambda each: score(watcher, each.id))
    groups: dict[tuple, list[Watchable]] = defaultdict(list)
    unknown = []
    for endpoint in ranked:
        if endpoint.content is None:
            unknown.append(endpoint.id)
        else:
            groups[endpoint.content].append(endpoint)
    watched = [
        endpoint
        for group in groups.values()
        for endpoint in _zones_first(group)[:copies]
    ]
    chosen = [endpoint.id for endpoint in watched]
    if _is_short(watched, wanted, copies):
        chosen += unknown[:EXPLORED]
    return chosen


def _is_short(watched: list[Watchable], wanted: Mapping[str, int], copies: int) -> bool:
    """Tell whether a layer or service is watched less than `copies` times."""
    counts = {name: [0] * layers for name, layers in wanted.items()}
    for endpoint in watched:
        name, layers = endpoint.content
        count = counts.get(name)
        if count is None:
            continue
        held = range(layers.first, layers.end) if layers else range(1)
        for layer in held:
            if layer < len(count):
                count[layer] += 1
    return any(each < copies for count in counts.values() for each in count)


def _zones_first(ranked: list[Watchable]) -> list[Watchable]:
    """Return endpoints with the first of every zone before all others."""
    zones: set[str] = set()
    first, rest = [], []
    for endpoint in ranked:
        new = endpoint.availability_zone not in zones
        zones.add(endpoint.availability_zone)
        (first if new else rest).append(endpoint)
    return first + rest


def silence_allowed(watched: int) -> float:
    """Return the seconds after which a silent endpoint is asked for its status.

    Statuses ride on the answers of endpoints that work, so questions go to the
    silent ones only, and all of them together stay within the budget.
    """
    return max(MIN_SILENCE, watched * STATUS_BYTES / CONTROL_BUDGET)
