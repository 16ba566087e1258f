"""Total request memory of each layer's holders."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.shape import Accelerator, EngineShape


def token_capacity(endpoints: Iterable[Endpoint], shape: EngineShape) -> list[float]:
    """Return for each layer the tokens for which its holders have memory.

    Args:
        endpoints: Endpoints with or without layers.
        shape: Published performance figures of their engines.
    """
    return _sum_by_layer(endpoints, shape, lambda accelerator: 1.0)


def speed_weighted_capacity(
    endpoints: Iterable[Endpoint], shape: EngineShape
) -> list[float]:
    """Return for each layer the token capacity, each holder's divided by its slowness.

    Memory on a slow accelerator serves fewer tokens per second, since requests occupy
    it for longer.

    Args:
        endpoints: Endpoints with or without layers.
        shape: Published performance figures of their engines.
    """
    return _sum_by_layer(endpoints, shape, lambda a: 1.0 / a.step_factor)


def _sum_by_layer(
    endpoints: Iterable[Endpoint],
    shape: EngineShape,
    weight: Callable[[Accelerator], float],
) -> list[float]:
    """Return for each layer the sum of its holders' token capacities, weighted."""
    total = [0.0] * shape.layers
    for endpoint in endpoints:
        if endpoint.layers is None or not len(endpoint.layers):
            continue
        held = len(endpoint.layers)
        accelerator = shape.accelerators[endpoint.accelerator]
        tokens = shape.kv_capacity(accelerator, held) / held * weight(accelerator)
        for layer in range(endpoint.layers.start, endpoint.layers.end):
            total[layer] += tokens
    return total
