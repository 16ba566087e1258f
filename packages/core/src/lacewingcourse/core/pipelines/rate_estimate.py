"""Closed-form estimate of a layout's request rate, to compare many layouts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lacewingcourse.core.pipelines.choice import MAX_MEMORY_SHARE
from lacewingcourse.core.pipelines.layer_memory import token_capacity
from lacewingcourse.core.pipelines.path import LOCAL_HOP_MS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.shape import EngineShape


def estimated_rate(
    copies: Iterable[list[Endpoint]], placed: list[Endpoint], shape: EngineShape
) -> float:
    """Return the estimated mean-length requests per second that a layout serves.

    Each whole copy runs as many requests as its part with the least memory holds, up to
    the slots of its first part, each for the time that it takes through all parts. The
    sum is scaled by the requests that the weakest layer holds over all endpoints,
    in and outside of the copies, relative to those of the copies. Paths through several
    copies, zones and links are ignored, so the estimate ranks layouts rather than
    predicting their rates.

    Args:
        copies: Endpoints of each whole copy, with their layers.
        placed: All endpoints with their layers.
        shape: Published performance figures of their engines.
    """
    rate = requests = 0.0
    for members in copies:
        concurrency = min(
            min(_max_requests(e, shape) for e in members), float(shape.slots)
        )
        rate += 1000.0 * concurrency / _request_ms(members, concurrency, shape)
        requests += concurrency
    if not requests:
        return 0.0
    weakest = (
        MAX_MEMORY_SHARE
        * min(token_capacity(placed, shape))
        / shape.mean_request_tokens
    )
    return rate * weakest / requests


def _max_requests(endpoint: Endpoint, shape: EngineShape) -> float:
    """Return the mean-length requests for which an endpoint has memory per layer."""
    held = len(endpoint.layers)
    accelerator = shape.accelerators[endpoint.accelerator]
    tokens = MAX_MEMORY_SHARE * shape.kv_capacity(accelerator, held) / held
    return tokens / shape.mean_request_tokens


def _request_ms(
    members: list[Endpoint], concurrency: float, shape: EngineShape
) -> float:
    """Return the milliseconds of a request beside others on a copy."""
    total = 0.0
    for endpoint in members:
        kind, span = shape.accelerators[endpoint.accelerator], len(endpoint.layers)
        token_ms = shape.decode_step_ms(kind, span, concurrency + 1.0) + LOCAL_HOP_MS
        total += token_ms * shape.usual_answer
        total += shape.prefill_ms(kind, span, shape.usual_prompt)
    return total
