"""What is predicted for a request on a route."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lacewingcourse.core.priorities import FULL, Prediction

if TYPE_CHECKING:
    from lacewingcourse.core.routes.fleet import Fleet
    from lacewingcourse.core.routes.model import Route, RouteRequest


def predict(fleet: Fleet, route: Route, request: RouteRequest) -> Prediction:
    """Return what is predicted for a request on a route, before it is dispatched.

    Args:
        fleet: What is known of the endpoints.
        route: The route.
        request: What the route is wanted for.
    """
    first = between = floor_first = floor_between = crowding = hops = 0.0
    fresh = True
    before = None
    for stage in route.stages:
        record = fleet.records[stage.endpoint]
        first += record.prefill_time(request.prompt_length)
        between += record.decode_time()
        if record.fresh:
            floor_first += record.base + record.position * request.prompt_length
            floor_between += record.base + record.position
        fresh = fresh and record.fresh
        running = record.running() + 1
        crowding = max(crowding, running * record.duty / record.limit)
        if running > record.stream_limit:
            crowding = FULL
        if before is not None:
            hops += fleet.hop_delay(before, record)
        before = record
    later = max(0, request.max_tokens - 1)
    return Prediction(
        first_token=first + hops,
        between_tokens=between + hops,
        answer=first + hops + later * (between + hops),
        floor_first=floor_first + hops,
        floor_answer=floor_first + hops + later * (floor_between + hops),
        floor_between=floor_between + hops,
        crowding=crowding,
        fresh=fresh,
    )
