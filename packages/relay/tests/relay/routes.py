"""Routes that the tests of requests share."""

from __future__ import annotations

from lacewingcourse.core.pipelines.routing import RetrySafety, Route


def route_of(
    service: str,
    retry_safety: RetrySafety,
    attempts: int = 2,
    timeout: float = 20.0,
    objective: float = 0.5,
) -> Route:
    """Return a route of one service, under its name.

    Args:
        service: The service.
        retry_safety: What may be repeated.
        attempts: Endpoints to which a request may be sent.
        timeout: Seconds for which it may be kept waiting.
        objective: Seconds in which an answer is wanted.
    """
    return Route(
        service,
        "h",
        "/",
        retry_safety,
        ((service, 1.0),),
        timeout=timeout,
        objective=objective,
        max_event_gap=0.2,
        priority=1,
        max_attempts=attempts,
        needs_key=False,
    )
