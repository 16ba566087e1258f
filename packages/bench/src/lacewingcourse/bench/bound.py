"""The most that a fleet of stand-ins can answer: maximum flow over its layers."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lacewingcourse.testing.standins.engine_host import EngineSpec

#: Flow below which an edge counts as full.
EPSILON = 1e-9


@attrs.frozen
class Demand:
    """The mean request of a mix.

    Attributes:
        prompt: Tokens of the prompt.
        answer: Tokens of the answer.
    """

    prompt: float
    answer: float


def capacity(spec: EngineSpec, demand: Demand) -> float:
    """Return the requests a second that an engine passes with full steps.

    A request needs one place in a step for its prompt and one for each further
    token; each position adds its own time.
    """
    places = demand.answer
    positions = demand.prompt + demand.answer - 1
    seconds = places * spec.step_time / spec.batch_items
    return 1.0 / (seconds + positions * spec.item_time)


def max_flow_bound(specs: Iterable[EngineSpec], layers: int, demand: Demand) -> float:
    """Return the requests a second that pass all layers.

    The graph has a node for each cut between layers and two for each engine; what
    enters an engine at one cut may leave it at any later cut of its range. A path
    that goes back to an earlier cut gains nothing, so such edges are harmless.
    """
    graph: dict[object, dict[object, float]] = {}
    for index, spec in enumerate(specs):
        inside, outside = ("in", index), ("out", index)
        connect(graph, inside, outside, capacity(spec, demand))
        for cut in range(spec.layers.first, spec.layers.end):
            connect(graph, cut, inside, float("inf"))
            connect(graph, outside, cut + 1, float("inf"))
    if 0 not in graph or layers not in graph:
        return 0.0
    return max_flow(graph, 0, layers)


def connect(graph, start, end, limit: float) -> None:
    """Add an edge and its reverse."""
    graph.setdefault(start, {})[end] = limit
    graph.setdefault(end, {}).setdefault(start, 0.0)


def max_flow(graph, source, sink) -> float:
    """Return the maximum flow; the graph's limits become what is left of them."""
    total = 0.0
    while path := shortest_path(graph, source, sink):
        amount = min(graph[start][end] for start, end in path)
        for start, end in path:
            graph[start][end] -= amount
            graph[end][start] += amount
        total += amount
    return total


def shortest_path(graph, source, sink) -> list[tuple]:
    """Return the edges of a shortest path with room, empty if there is none."""
    reached = {source: None}
    waiting = deque([source])
    while waiting and sink not in reached:
        node = waiting.popleft()
        for following, room in graph[node].items():
            if room > EPSILON and following not in reached:
                reached[following] = node
                waiting.append(following)
    path = []
    node = sink if sink in reached else source
    while reached[node] is not None:
        path.append((reached[node], node))
        node = reached[node]
    return path[::-1]
