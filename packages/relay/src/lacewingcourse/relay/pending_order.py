"""Orders whose effect the directory does not show yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from lacewingcourse.core.pipelines.copies import Assignment
    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.shape import Layers


@attrs.frozen
class PendingOrder:
    """An order whose effect the directory does not show yet.

    Attributes:
        assignment: The ordered assignment, None for an order of another holder.
        until: Time by which its effect is expected, seconds.
        before: Layers that the endpoint held before.
    """

    assignment: Assignment | None
    until: float
    before: Layers | None = None

    def is_in_effect(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint's directory entry shows the order's effect."""
        if self.assignment is None:
            return endpoint.layers != self.before
        return endpoint.layers == self.assignment.layers
