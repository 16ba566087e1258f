"""How urgent a send is beside others at an endpoint."""

from __future__ import annotations

#: Rank of what is least urgent; engines know ten steps, 0 for what is served first.
LEAST_URGENT = 9
#: Ranks by which a request that is late already yields to those that can be in time.
#: It keeps its place before requests that are less important by more than that.
LATE_STEPS = 1
#: Ranks by which an answer that its caller already reads goes before new ones: it has
#: only the pause that its route allows, less what passed until its endpoint was found
#: dead, while a new one has its whole objective.
READ_STEPS = 1


def urgency_of(priority: int, is_read: bool, is_late: bool) -> int:
    """Return the rank of a send at an endpoint.

    When an endpoint is lost, all streams through it are read again at once by those
    that are left, beside the prompts of new requests.

    Args:
        priority: Rank of the request's organisation or route.
        is_read: Whether the caller has read events of the answer.
        is_late: Whether the answer cannot be in time any more.
    """
    rank = priority
    if is_late:
        rank += LATE_STEPS
    elif is_read:
        rank -= READ_STEPS
    return max(0, min(LEAST_URGENT, rank))
