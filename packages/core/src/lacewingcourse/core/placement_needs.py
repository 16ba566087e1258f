"""How often each layer is held and needed, and how layers can be shared out."""

from __future__ import annotations

import math

import attrs

from lacewingcourse.core.layers import LayerRange

#: Streams that an endpoint runs without strain.
STREAMS = 32
#: Share of its streams up to which an endpoint is to be used.
UTILISATION = 0.7
#: Room of an endpoint that does not tell it and holds nothing.
ANY_ROOM = 1 << 30


@attrs.frozen
class ModelTarget:
    """What the configuration wants of a model.

    Attributes:
        name: Name of the model.
        layer_count: Layers it has.
        version: Version of its weights.
    """

    name: str
    layer_count: int
    version: str


@attrs.frozen
class PlacedEndpoint:
    """An endpoint as the placement sees it.

    Attributes:
        id: Name of the endpoint.
        model: Model it holds layers of, or empty.
        version: Version of the weights.
        layers: The layers, or None.
        max_layers: Layers that fit into it, 0 if it does not tell.
        running: Streams that run there.
        present: Whether its agent and its engine answer.
        leaving: Whether it leaves for good.
        busy: Whether an order is being carried out.
        gone: Whether the platform's list says that it has ended.
    """

    id: str
    model: str = ""
    version: str = ""
    layers: LayerRange | None = None
    max_layers: int = 0
    running: int = 0
    present: bool = True
    leaving: bool = False
    busy: bool = False
    gone: bool = False

    @property
    def usable(self) -> bool:
        """Whether it takes new work."""
        return self.present and not self.leaving and not self.busy and not self.gone

    @property
    def spare(self) -> bool:
        """Whether it could hold something and holds nothing."""
        return self.usable and self.layers is None

    @property
    def may_return(self) -> bool:
        """Whether it is away but perhaps restarting."""
        return not self.present and not self.gone and not self.leaving

    def holds(self, model: str) -> bool:
        """Tell whether it holds layers of a model."""
        return self.model == model and self.layers is not None

    def room(self) -> int:
        """Return how many layers it may be given."""
        if self.max_layers:
            return self.max_layers
        return len(self.layers) if self.layers is not None else ANY_ROOM


def coverage(endpoints: list[PlacedEndpoint], layer_count: int) -> list[int]:
    """Return how many endpoints hold each layer."""
    counts = [0] * layer_count
    for each in endpoints:
        for layer in range(each.layers.first, min(each.layers.end, layer_count)):
            counts[layer] += 1
    return counts


def gaps(counts: list[int]) -> list[LayerRange]:
    """Return the ranges of layers that nobody holds."""
    found = []
    first = None
    for layer, count in enumerate([*counts, 1]):
        if count == 0 and first is None:
            first = layer
        if count and first is not None:
            found.append(LayerRange(first, layer))
            first = None
    return found


def needs(endpoints: list[PlacedEndpoint], layer_count: int) -> list[int]:
    """Return how many endpoints each layer needs for the work that runs now."""
    load = [0.0] * layer_count
    for each in endpoints:
        share = min(1.0, each.running / STREAMS)
        for layer in range(each.layers.first, min(each.layers.end, layer_count)):
            load[layer] += share
    return [max(1, math.ceil(each / UTILISATION)) for each in load]


def removable(
    endpoints: list[PlacedEndpoint], layer_count: int, least: list[int]
) -> list[PlacedEndpoint]:
    """Return endpoints that can all be taken away and leave each layer its need.

    Those with the fewest streams come first, so that their drain is short.
    """
    counts = coverage(endpoints, layer_count)
    found = []
    for each in sorted(endpoints, key=lambda each: (each.running, each.id)):
        held = range(each.layers.first, min(each.layers.end, layer_count))
        if all(counts[layer] > least[layer] for layer in held):
            found.append(each)
            for layer in held:
                counts[layer] -= 1
    return found


def serving_version(endpoints: list[PlacedEndpoint], target: ModelTarget) -> str:
    """Return the version that serves: the wanted one if it is whole, else the one
    of which the most layers are held."""

    def held(version: str) -> tuple[int, bool]:
        of_version = [each for each in endpoints if each.version == version]
        counts = coverage(of_version, target.layer_count)
        return sum(count > 0 for count in counts), version == target.version

    versions = sorted({each.version for each in endpoints})
    return max(versions, key=held, default=target.version)


def recut(
    endpoints: list[PlacedEndpoint], layer_count: int
) -> list[tuple[PlacedEndpoint, LayerRange]]:
    """Share all layers out among endpoints, in proportion to their room.

    The order is that of their names, so that a plan carried out in part stays the
    same plan.

    Returns:
        Each endpoint with its range; nothing if the layers do not fit.
    """
    rooms = {each.id: min(each.room(), layer_count) for each in endpoints}
    total = sum(rooms.values())
    if total < layer_count:
        return []
    ordered = sorted(endpoints, key=lambda each: each.id)
    shared = []
    first = room_used = 0
    for each in ordered:
        room_used += rooms[each.id]
        end = min(layer_count * room_used // total, first + rooms[each.id])
        if end > first:
            shared.append((each, LayerRange(first, end)))
            first = end
    return shared if first == layer_count else []
