"""Routes for requests that may crash their endpoints."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from lacewingcourse.core.routes.model import no_route, route_of

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lacewingcourse.core.endpoints import EndpointState
    from lacewingcourse.core.errors import Refusal
    from lacewingcourse.core.routes.model import Route

#: Bytes of the hash that orders endpoints.
RANK_BYTES = 8


def suspects_route(
    candidates: Iterable[EndpointState], layer_count: int
) -> Route | Refusal:
    """Return the route that suspects take, or a refusal of kind `NO_ROUTE`.

    Every entry computes the same order of endpoints, so all suspects of a model meet
    on the same few endpoints and the others never run one.

    Args:
        candidates: Endpoints that hold layers of the model and take new work.
        layer_count: Layers of the model.
    """
    ordered = sorted(candidates, key=_rank)
    chosen = []
    layer = 0
    while layer < layer_count:
        holder = next((each for each in ordered if _holds(each, layer)), None)
        if holder is None:
            return no_route(layer)
        chosen.append(holder)
        layer = holder.layers.end
    return route_of(chosen, layer_count)


def _holds(endpoint: EndpointState, layer: int) -> bool:
    return endpoint.layers.first <= layer < endpoint.layers.end


def _rank(endpoint: EndpointState) -> bytes:
    return hashlib.blake2b(endpoint.id.encode(), digest_size=RANK_BYTES).digest()
