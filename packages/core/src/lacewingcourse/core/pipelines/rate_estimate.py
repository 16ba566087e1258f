"""The rate of a layout by a closed form, to compare many of them."""

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
    """Return about how many usual requests a second a layout serves.

    Each whole copy serves what its weakest part has memory for, in the time that this
    takes through all its parts. What other endpoints add to the weakest layer of all
    raises that by as much. Ways through several copies, zones and links are left out,
    so this says which of two layouts is better rather than how good one is.

    Args:
        copies: Endpoints of each whole copy, with their layers.
        placed: All endpoints with their layers.
        shape: Published figures of their engines.
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
    """Return the usual requests for which an endpoint has room in each layer."""
    held = len(endpoint.layers)
    accelerator = shape.accelerators[endpoint.accelerator]
    tokens = MAX_MEMORY_SHARE * shape.kv_capacity(accelerator, held) / held
    return tokens / shape.mean_request_tokens


def _request_ms(
    members: list[Endpoint], concurrency: float, shape: EngineShape
) -> float:
    """Return how long a copy takes for a request beside some others."""
    total = 0.0
    for endpoint in members:
        kind, span = shape.accelerators[endpoint.accelerator], len(endpoint.layers)
        token_ms = shape.decode_step_ms(kind, span, concurrency + 1.0) + LOCAL_HOP_MS
        total += token_ms * shape.usual_answer
        total += shape.prefill_ms(kind, span, shape.usual_prompt)
    return total
