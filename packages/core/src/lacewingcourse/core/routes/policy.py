"""The registry of policies that choose routes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lacewingcourse.core.registry import Registry

if TYPE_CHECKING:
    import random

    from lacewingcourse.core.errors import Refusal
    from lacewingcourse.core.routes.fleet import Fleet
    from lacewingcourse.core.routes.model import Route, RouteRequest


class RoutePolicy:
    """A way to choose routes; variants override `choose`.

    Attributes:
        name: Name in the registry of policies.
    """

    name = ""

    def choose(
        self, fleet: Fleet, request: RouteRequest, rng: random.Random, now: float
    ) -> Route | Refusal:
        """Choose a route.

        Args:
            fleet: What is known of the endpoints.
            request: What the route is wanted for.
            rng: Source of randomness.
            now: Present time in seconds.

        Returns:
            The route, or a refusal of kind `NO_ROUTE`.
        """
        raise NotImplementedError


POLICIES: Registry[type[RoutePolicy]] = Registry("route policy")
