"""Orders for an endpoint, given under a lease."""

from __future__ import annotations

from enum import Enum

import attrs

from lacewingcourse.core.errors import ErrorKind
from lacewingcourse.core.layers import LayerRange
from lacewingcourse.core.messages.statuses import Status


class OrderAction(Enum):
    """What an endpoint is ordered to do."""

    INSPECT = "inspect"
    LOAD = "load"
    UNLOAD = "unload"
    ADAPTER = "adapter"
    ROLE = "role"


@attrs.frozen
class Order:
    """Entry to agent: an order for the endpoint, given under a lease.

    Attributes:
        duty: Duty whose lease the sender holds.
        number: Fencing number of the lease.
        incarnation: Incarnation of the agent it is meant for; empty to inspect.
        order_id: Name of the order; a repeated order has no second effect.
        action: What to do.
        model: Model whose weights are loaded.
        version: Version of the weights.
        layers: Layers to load.
        adapter: Adapter to load.
        role: Role to take.
    """

    duty: str
    number: int
    incarnation: str
    order_id: str
    action: OrderAction
    model: str = ""
    version: str = ""
    layers: LayerRange | None = None
    adapter: str = ""
    role: str = ""


@attrs.frozen
class OrderReply:
    """Agent to entry: whether the order was taken.

    Attributes:
        accepted: Whether it was taken.
        status: State of the agent and its endpoint.
        kind: Why not, or None.
        reason: Why not, for a person.
        retry_after: Seconds after which to try again, or None.
        ordered: The order that is being carried out, or empty.
        last_order: The order that was last carried out or failed.
        last_error: Why it failed, or empty.
        last_retry_after: Seconds after which to order it again, or None.
    """

    accepted: bool
    status: Status
    kind: ErrorKind | None = None
    reason: str = ""
    retry_after: float | None = None
    ordered: str = ""
    last_order: str = ""
    last_error: str = ""
    last_retry_after: float | None = None
