"""Costs and memory of a path's parts, computed once for all choices of the path."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.path import Part, Path
    from lacewingcourse.core.pipelines.shape import EngineShape


@attrs.frozen
class PartCosts:
    """Time that a part adds to a request, and the memory of its endpoint.

    Attributes:
        endpoint: Id of its endpoint.
        span: Number of layers that it runs.
        kv_capacity: Memory of its endpoint for requests, in tokens times layers; 0 if
            the endpoint no longer holds layers.
        step_ms: Milliseconds for each token of an answer without other requests.
        ms_per_other_request: Milliseconds that each other request adds to that.
        prefill_ms_per_token: Milliseconds of prefill for each token of the prompt.
    """

    endpoint: str
    span: int
    kv_capacity: float
    step_ms: float
    ms_per_other_request: float
    prefill_ms_per_token: float


@attrs.frozen(eq=False)
class PathCosts:
    """A path with the costs of its parts.

    Attributes:
        path: The path; holding it keeps `id(path)`, the cache key, from being reused.
        parts: The costs of its parts in order.
        step_ms: Sum of the parts' milliseconds for each token of an answer.
        prefill_ms_per_token: Sum of their milliseconds for each token of the prompt.
    """

    path: Path
    parts: tuple[PartCosts, ...]
    step_ms: float
    prefill_ms_per_token: float


def path_costs_of(
    path: Path, endpoints: Mapping[str, Endpoint], shape: EngineShape
) -> PathCosts:
    """Return a path with the costs of its parts.

    Args:
        path: The path.
        endpoints: Endpoints by id.
        shape: Published performance figures of the engines.
    """
    parts = tuple(
        _part_costs(part, endpoints.get(part.endpoint), shape) for part in path.parts
    )
    step_ms = sum(part.step_ms for part in parts)
    prefill_ms = sum(part.prefill_ms_per_token for part in parts)
    return PathCosts(path, parts, step_ms, prefill_ms)


def _part_costs(part: Part, endpoint: Endpoint | None, shape: EngineShape) -> PartCosts:
    span = len(part.layers)
    known = endpoint is not None and endpoint.layers is not None
    # A stream may still run on a kind that a new configuration has removed.
    accelerator = shape.accelerators.get(endpoint.accelerator) if known else None
    if accelerator is None:
        return PartCosts(part.endpoint, span, 0.0, 0.0, 0.0, 0.0)
    single_request_ms = shape.decode_step_ms(accelerator, span, 1.0)
    return PartCosts(
        endpoint=part.endpoint,
        span=span,
        kv_capacity=max(shape.kv_capacity(accelerator, len(endpoint.layers)), 1.0),
        step_ms=single_request_ms,
        ms_per_other_request=shape.decode_step_ms(accelerator, span, 2.0)
        - single_request_ms,
        prefill_ms_per_token=shape.prefill_ms(accelerator, span, 1),
    )
