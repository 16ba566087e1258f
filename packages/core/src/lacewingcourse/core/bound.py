"""The bound on throughput: the maximum flow of the fleet over the layers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from lacewingcourse.core.layers import LayerRange

#: Flow below which an edge counts as full, as a share of the largest capacity.
PRECISION = 1e-9
#: Share of a step that a token waits for the step before its own.
RESIDUAL = 0.5


@attrs.frozen
class LayerCapacity:
    """What the endpoints that hold the same layers can run together.

    Attributes:
        layers: The layers.
        capacity: Tokens, or requests, a second.
    """

    layers: LayerRange
    capacity: float


@attrs.frozen
class FlowPath:
    """One chain of layer ranges and the flow through it.

    Attributes:
        members: Indices of the capacities, in order of the layers.
        flow: Flow through the chain.
    """

    members: tuple[int, ...]
    flow: float


@attrs.frozen
class Flow:
    """A maximum flow.

    Attributes:
        total: The flow: no policy serves more.
        paths: Chains that realise it.
    """

    total: float
    paths: tuple[FlowPath, ...]


def batch_within(base: float, position: float, limit: int, stage_time: float) -> float:
    """Return the items of the largest step that keeps a token within a time.

    Args:
        base: Seconds of the fixed part of a step.
        position: Seconds that an item adds.
        limit: Items of a step at the most.
        stage_time: Seconds that a token may spend at the stage.

    Returns:
        Items, 0.0 if not even one is in time.
    """
    room = stage_time / (1.0 + RESIDUAL) - base
    if room < position:
        return 1.0 if base + position <= stage_time else 0.0
    if position <= 0.0:
        return float(limit)
    return min(float(limit), room / position)


def request_rate(
    base: float, position: float, items: float, prompt_length: int, tokens: int
) -> float:
    """Return the requests a second that an endpoint can run.

    Args:
        base: Seconds of the fixed part of a step.
        position: Seconds that a position adds.
        items: Tokens that a step makes.
        prompt_length: Positions of a prompt.
        tokens: Tokens of an answer.
    """
    if items <= 0.0:
        return 0.0
    seconds = prompt_length * position + tokens * (base / items + position)
    return 1.0 / seconds if seconds > 0.0 else 0.0


def max_flow(capacities: list[LayerCapacity], layer_count: int) -> Flow:
    """Return a maximum flow from layer 0 to the end of the model.

    An endpoint may start within its range, so after the layers before `k` have run,
    every range that starts at or before `k` can go on. A widest chain is taken
    again and again; chains may later give flow back, as in any augmenting method.

    Args:
        capacities: Capacity by range of layers.
        layer_count: Layers of the model.
    """
    graph = _Residual(capacities, layer_count)
    total = 0.0
    while True:
        added = graph.augment()
        if added <= 0.0:
            break
        total += added
    return Flow(total, tuple(graph.paths()))


class _Residual:
    """Residual graph over the boundaries between layers."""

    def __init__(self, capacities: list[LayerCapacity], layer_count: int) -> None:
        self.end = layer_count
        self.capacities = capacities
        self.used = [0.0] * len(capacities)
        #: Flow back from each boundary to the one before it.
        self.back = [0.0] * (layer_count + 1)
        largest = max((each.capacity for each in capacities), default=0.0)
        self.epsilon = largest * PRECISION
        self.leaving: list[list[int]] = [[] for _ in range(layer_count + 1)]
        self.arriving: list[list[int]] = [[] for _ in range(layer_count + 1)]
        for index, each in enumerate(capacities):
            self.leaving[each.layers.first].append(index)
            self.arriving[min(each.layers.end, layer_count)].append(index)

    def _steps(self, node: int):
        """Yield each step from a boundary: target, room, edge and direction."""
        for index in self.leaving[node]:
            each = self.capacities[index]
            room = each.capacity - self.used[index]
            yield min(each.layers.end, self.end), room, index, 1.0
        for index in self.arriving[node]:
            yield self.capacities[index].layers.first, self.used[index], index, -1.0
        if node > 0:
            yield node - 1, float("inf"), None, 1.0
        if node < self.end:
            yield node + 1, self.back[node + 1], None, -1.0

    def augment(self) -> float:
        """Add flow along a shortest chain with room; return how much."""
        came = {0: None}
        frontier = [0]
        while frontier and self.end not in came:
            following = []
            for node in frontier:
                for target, room, index, sign in self._steps(node):
                    if target not in came and room > self.epsilon:
                        came[target] = (node, room, index, sign)
                        following.append(target)
            frontier = following
        if self.end not in came:
            return 0.0
        chain = []
        node = self.end
        while came[node] is not None:
            chain.append((node, *came[node]))
            node = came[node][0]
        added = min(room for _, _, room, _, _ in chain)
        for target, node, _, index, sign in chain:
            if index is not None:
                self.used[index] += sign * added
            else:
                self.back[max(node, target)] += sign * added
        return added

    def paths(self) -> list[FlowPath]:
        """Split the flow into chains."""
        left = list(self.used)
        back = list(self.back)
        found = []
        while True:
            walk = self._walk(left, back)
            if walk is None:
                return found
            flow = min(rest[index] for rest, index in walk)
            for rest, index in walk:
                rest[index] -= flow
            members = [index for rest, index in walk if rest is left]
            found.append(FlowPath(self._useful(members), flow))

    def _walk(self, left: list[float], back: list[float]) -> list | None:
        """Return one way to the end along flow that is left, None if there is none."""
        walk = []
        node = 0
        while node < self.end:
            going = [
                index for index in self.leaving[node] if left[index] > self.epsilon
            ]
            if going:
                index = max(going, key=lambda i: self.capacities[i].layers.end)
                walk.append((left, index))
                node = min(self.capacities[index].layers.end, self.end)
            elif back[node] > self.epsilon and (back, node) not in walk:
                walk.append((back, node))
                node -= 1
            else:
                return None
        return walk

    def _useful(self, members: list[int]) -> tuple[int, ...]:
        """Return the members of a chain that add layers."""
        useful = []
        layer = 0
        for index in members:
            if self.capacities[index].layers.end > layer:
                useful.append(index)
                layer = self.capacities[index].layers.end
        return tuple(useful)
