"""The memory for requests that each layer's holders have together."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.shape import Accelerator, EngineShape


def token_capacity(endpoints: Iterable[Endpoint], shape: EngineShape) -> list[float]:
    """Return for each layer how many tokens its holders have memory for."""
    return _sum_by_layer(endpoints, shape, lambda accelerator: 1.0)


def speed_weighted_capacity(
    endpoints: Iterable[Endpoint], shape: EngineShape
) -> list[float]:
    """Return for each layer the tokens its holders have memory for, by their speed.

    Memory on a slow accelerator serves fewer tokens in a second: requests stay in it
    for longer.
    """
    return _sum_by_layer(endpoints, shape, lambda a: 1.0 / a.step_factor)


def _sum_by_layer(
    endpoints: Iterable[Endpoint],
    shape: EngineShape,
    weight: Callable[[Accelerator], float],
) -> list[float]:
    """Return for each layer the tokens that its holders have memory for, weighted."""
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
