"""Chooses where a request is sent, skipping endpoints that take none at present."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from lacewingcourse.core.errors import ErrorKind, Refusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.backoff import BackoffTable
    from lacewingcourse.core.pipelines.send_limits import SendLimits
    from lacewingcourse.relay.job import Job

#: What is chosen: a path or an endpoint.
Choice = TypeVar("Choice")

#: Reason of a refusal because only endpoints at their limits could serve the request.
AT_LIMIT = "every endpoint that could serve it is at the limit that it names"

#: Reason of a refusal because every endpoint that could serve the request asked for a
#: delay.
IN_BACKOFF = "every endpoint that could serve it asked for a delay"


def choose_sendable(
    limits: SendLimits,
    backoffs: BackoffTable,
    job: Job,
    candidates: list[Choice],
    endpoints_of: Callable[[Choice], tuple[str, ...]],
    choose: Callable[[list[Choice]], Choice | Refusal],
    now: float,
) -> Choice | Refusal:
    """Return what a request is sent to, or why there is nothing.

    Args:
        limits: Limits that endpoints have named, and the permits for them.
        backoffs: Delays that endpoints asked for.
        job: The request.
        candidates: What may be chosen.
        endpoints_of: Returns the endpoints that take part in a candidate; the request
            is sent to the first one.
        choose: Returns the best of some candidates, or why there is none.
        now: Present time in seconds.
    """

    def endpoint_of(candidate: Choice) -> str:
        return endpoints_of(candidate)[0]

    if not backoffs.members:
        return choose_within_limits(limits, job, candidates, endpoint_of, choose, now)
    allowed = [c for c in candidates if backoffs.allows(endpoints_of(c), now)]
    if job.sends:
        # A retry has few attempts left, so it does not test whether others recovered.
        settled = [c for c in allowed if not backoffs.concerns(endpoints_of(c))]
        found = choose_within_limits(limits, job, settled, endpoint_of, choose, now)
        if not isinstance(found, Refusal):
            return found
    found = choose_within_limits(limits, job, allowed, endpoint_of, choose, now)
    if not is_no_route(found) or is_no_route(choose(candidates)):
        return found
    usable = [c for c in candidates if job.avoid.isdisjoint(endpoints_of(c))]
    closed = [endpoints_of(candidate) for candidate in usable or candidates]
    return Refusal(
        ErrorKind.OVERLOADED,
        IN_BACKOFF,
        retry_after=backoffs.next_in(closed, now),
        retry_spread=backoffs.retry_spread(e for each in closed for e in each),
    )


def choose_within_limits(
    limits: SendLimits,
    job: Job,
    candidates: list[Choice],
    endpoint_of: Callable[[Choice], str],
    choose: Callable[[list[Choice]], Choice | Refusal],
    now: float,
) -> Choice | Refusal:
    """Return what a request is sent to, or why there is nothing.

    If the endpoint of the best candidate is at its limit, permits for it are requested,
    and another candidate is used meanwhile.

    Args:
        limits: Limits that endpoints have named, and the permits for them.
        job: The request.
        candidates: What may be chosen.
        endpoint_of: Returns the endpoint that a candidate sends the request to.
        choose: Returns the best of some candidates, or why there is none.
        now: Present time in seconds.
    """
    found = choose(candidates)
    blocked = limits.blocked(now)
    if isinstance(found, Refusal) or endpoint_of(found) not in blocked:
        return found
    limits.note_demand(endpoint_of(found), job, now)
    job.limited.add(endpoint_of(found))
    other = choose([each for each in candidates if endpoint_of(each) not in blocked])
    if not is_no_route(other):
        return other
    limited = {endpoint_of(each) for each in candidates} & blocked
    next_in = limits.next_in(limited, now)
    return Refusal(ErrorKind.OVERLOADED, AT_LIMIT, retry_after=next_in)


def is_no_route(found: Choice | Refusal) -> bool:
    """Return whether no candidate could be chosen, regardless of room."""
    return isinstance(found, Refusal) and found.kind is ErrorKind.NO_ROUTE
