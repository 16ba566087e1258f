"""Decisions on whether a request may be sent to a rate-limited endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.limit_sharing import LimitSharing, PermitSharing
from lacewingcourse.core.pipelines.request_limits import NO_LIMIT, LimitTable

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Hashable, Iterable


@attrs.define
class SendLimits:
    """Decides whether a request may be sent to an endpoint that advertises a limit.

    A request holds its right to be sent while it connects to the endpoint that was
    chosen for it, in the same way as it holds a retry.

    Attributes:
        table: The limits that endpoints have advertised.
        sharing: This entry's part of them.
        holds: Requests that are to be sent, by endpoint.
        on_demand: Called when a request is to be sent to a limited endpoint.
        on_decrease: Called when the limit of an endpoint decreases.
    """

    table: LimitTable = attrs.field(factory=LimitTable)
    sharing: LimitSharing = attrs.field(factory=PermitSharing)
    holds: dict[str, set[Hashable]] = attrs.field(factory=dict)
    on_demand: Callable[[], None] = lambda: None
    on_decrease: Callable[[], None] = lambda: None

    def __attrs_post_init__(self) -> None:
        self.table.on_decrease = self._on_decrease

    def blocked(self, now: float) -> set[str]:
        """Return the endpoints that may not be sent a further request now."""
        return {e for e in self.table.members if not self.allows(e, now)}

    def note_demand(self, endpoint: str, request: Hashable, now: float) -> None:
        """Record that a request is to be sent to a limited endpoint."""
        self.sharing.note_demand(endpoint, request, now)
        self.on_demand()

    def allows(self, endpoint: str, now: float) -> bool:
        """Tell whether an endpoint may be sent a request beside those held."""
        rate = self.table.rate(endpoint, now)
        if rate == NO_LIMIT:
            return True
        held = len(self.holds.get(endpoint, ()))
        return self.sharing.available(endpoint, rate, now) > held

    def hold(self, endpoint: str, request: Hashable, now: float) -> bool:
        """Hold the right to send a request; tell whether there is one.

        Args:
            endpoint: The endpoint.
            request: The request. It holds one right, for its last endpoint.
            now: Present time in seconds.
        """
        self.release(request)
        if endpoint not in self.table.members:
            return True
        self.note_demand(endpoint, request, now)
        if not self.allows(endpoint, now):
            return False
        self.holds.setdefault(endpoint, set()).add(request)
        return True

    def release(self, request: Hashable) -> None:
        """Release the right that a request holds."""
        for requests in self.holds.values():
            requests.discard(request)

    def may_send(self, endpoint: str, request: Hashable, now: float) -> bool:
        """Tell whether a request may be sent, by the right it holds or a free one.

        The request holds no right afterwards.
        """
        self.release(request)
        return self.allows(endpoint, now)

    def take(self, endpoint: str, request: Hashable, now: float) -> bool:
        """Use up the right to send a request; tell whether there was one."""
        if not self.may_send(endpoint, request, now):
            return False
        rate = self.table.rate(endpoint, now)
        self.sharing.record_send(endpoint, rate, now)
        return True

    def next_in(self, endpoints: Iterable[str], now: float) -> float:
        """Return the seconds until a request may be sent to one of some endpoints.

        It is 0 if that is unknown.

        Args:
            endpoints: The endpoints, at least one.
            now: Present time in seconds.
        """
        return min(
            self.sharing.next_in(endpoint, self.table.rate(endpoint, now), now)
            for endpoint in endpoints
        )

    def expire(self, present: Collection[str], now: float) -> None:
        """Remove expired state.

        Args:
            present: Ids of the endpoints that exist.
            now: Present time in seconds.
        """
        self.table.expire(present, now)
        self.sharing.expire(now)
        self.holds = {endpoint: held for endpoint, held in self.holds.items() if held}

    def _on_decrease(self, endpoint: str) -> None:
        """Enforce a decreased limit at once."""
        self.sharing.revoke(endpoint)
        self.on_demand()
        self.on_decrease()
