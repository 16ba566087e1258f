"""Routes shared by the tests."""

from __future__ import annotations

from lacewingcourse.core.pipelines.routing import RetrySafety, Route


def route_of(
    service: str,
    retry_safety: RetrySafety,
    attempts: int = 2,
    timeout: float = 20.0,
    objective: float = 0.5,
) -> Route:
    """Return a route of one service, named after it.

    Args:
        service: The service.
        retry_safety: Which requests may be repeated.
        attempts: Endpoints to which a request may be sent.
        timeout: Time limit of a request in seconds.
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
