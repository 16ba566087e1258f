"""The figures of a path's parts that a choice is made from, worked out once."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.path import Part, Path
    from lacewingcourse.core.pipelines.shape import EngineShape


@attrs.frozen
class PartFigures:
    """What a part adds to the time of a request, and the memory that it has.

    Attributes:
        endpoint: Id of its endpoint.
        span: Layers that it runs.
        room: Memory of its endpoint for requests, in tokens times layers; 0 if that
            holds no layers any more.
        step_ms: Milliseconds that an answer's token takes without other requests.
        request_ms: Milliseconds that it takes longer for each of these.
        read_ms: Milliseconds in which a token of the prompt is read.
    """

    endpoint: str
    span: int
    room: float
    step_ms: float
    request_ms: float
    read_ms: float


@attrs.frozen(eq=False)
class PathFigures:
    """A path with the figures of its parts.

    Attributes:
        path: The path.
        parts: The figures of its parts in order.
    """

    path: Path
    parts: tuple[PartFigures, ...]


def figures_of(
    path: Path, endpoints: Mapping[str, Endpoint], shape: EngineShape
) -> PathFigures:
    """Return a path with the figures of its parts.

    Args:
        path: The path.
        endpoints: Endpoints by id.
        shape: Published figures of the engines.
    """
    parts = tuple(
        _figures(part, endpoints.get(part.endpoint), shape) for part in path.parts
    )
    return PathFigures(path, parts)


def _figures(part: Part, endpoint: Endpoint | None, shape: EngineShape) -> PartFigures:
    span = len(part.layers)
    if endpoint is None or endpoint.layers is None:
        return PartFigures(part.endpoint, span, 0.0, 0.0, 0.0, 0.0)
    accelerator = shape.accelerators[endpoint.accelerator]
    alone = shape.decode_step_ms(accelerator, span, 1.0)
    return PartFigures(
        endpoint=part.endpoint,
        span=span,
        room=max(shape.kv_capacity(accelerator, len(endpoint.layers)), 1.0),
        step_ms=alone,
        request_ms=shape.decode_step_ms(accelerator, span, 2.0) - alone,
        read_ms=shape.prefill_ms(accelerator, span, 1),
    )
