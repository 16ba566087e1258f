"""How often the layers of a model are held by endpoints that take new work."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.layers import LayerRange

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lacewingcourse.core.configuration import Model
    from lacewingcourse.core.endpoints import EndpointState


@attrs.frozen
class Holding:
    """Consecutive layers that are held by the same number of endpoints.

    Attributes:
        layers: The layers.
        endpoints: Endpoints that hold all of them and take new work.
    """

    layers: LayerRange
    endpoints: int


@attrs.frozen
class ModelHoldings:
    """How the layers of a model are held.

    Attributes:
        model: Name of the model.
        version: Version that the configuration names.
        layer_count: Layers of the model.
        endpoints: Endpoints that hold any of its layers and take new work.
        least: Fewest endpoints that hold any one layer; 0 means no route.
        holdings: Every layer once, in order.
    """

    model: str
    version: str
    layer_count: int
    endpoints: int
    least: int
    holdings: tuple[Holding, ...]


def holdings_of(model: Model, endpoints: Iterable[EndpointState]) -> ModelHoldings:
    """Return how a model's layers are held.

    Args:
        model: The model.
        endpoints: All endpoints that are known.
    """
    ranges = [
        each.layers
        for each in endpoints
        if each.model == model.name and each.layers and each.takes_new_work()
    ]
    ends = {0, model.layer_count}
    for held in ranges:
        ends.update((held.first, min(held.end, model.layer_count)))
    cuts = sorted(ends)
    holdings = tuple(
        Holding(LayerRange(first, end), count_over(ranges, first, end))
        for first, end in zip(cuts, cuts[1:], strict=False)
    )
    return ModelHoldings(
        model=model.name,
        version=model.version,
        layer_count=model.layer_count,
        endpoints=len(ranges),
        least=min(holding.endpoints for holding in holdings),
        holdings=holdings,
    )


def count_over(ranges: list[LayerRange], first: int, end: int) -> int:
    """Return how many ranges hold all layers from one up to another."""
    return sum(held.first <= first and end <= held.end for held in ranges)
