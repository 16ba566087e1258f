"""Which endpoints there are, and what each of them holds."""

from __future__ import annotations

import attrs

from lacewingcourse.core.pipelines.shape import Layers

#: Seconds after the return of a directory that was away in which endpoints that
#: lapsed meanwhile are kept: they register again within about two seconds.
RETURN_GRACE = 2.0
#: Seconds without an answer after which the directory was away. Entries lapse after
#: three heartbeats of about a second, so none lapses in a shorter time.
AWAY_AFTER = 2.0


@attrs.frozen
class Endpoint:
    """One incarnation of an endpoint, as its directory entry tells.

    Attributes:
        id: Identifier of the incarnation.
        service: Service that it serves.
        address: Its IP address and port.
        zone: Availability zone.
        slots: Requests that it runs at once.
        leaving: Whether it has announced its end.
        accelerator: Name of its kind of accelerator, empty for plain services.
        layers: Layers that it holds, None for none.
        weights: Version of the weights that it holds.
        placeable: Whether it runs a model in parts, so that layers are placed on it.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool = False
    accelerator: str = ""
    layers: Layers | None = None
    weights: int = 0
    placeable: bool = False


@attrs.define
class Fleet:
    """The endpoints, by the newest entry of each.

    Attributes:
        endpoints: Present endpoints by id.
        lapsed: Endpoints whose entry is gone but that are kept, with the time until
            which they are.
        known_at: Time as of which the entries were last known to be all, seconds.
        returned_at: When the directory last answered after having been away.
        revision: Counts the changes that matter to routing and placement.
    """

    endpoints: dict[str, Endpoint] = attrs.field(factory=dict)
    lapsed: dict[str, float] = attrs.field(factory=dict)
    known_at: float = float("-inf")
    returned_at: float = float("-inf")
    revision: int = 0

    def put(self, endpoint: Endpoint) -> bool:
        """Take an entry; tell whether it changed anything."""
        self.lapsed.pop(endpoint.id, None)
        known = self.endpoints.get(endpoint.id)
        if known == endpoint:
            return False
        if known is None:
            self._drop_predecessors(endpoint)
        self.endpoints[endpoint.id] = endpoint
        self.revision += 1
        return True

    def remove(self, endpoint_id: str, now: float) -> bool:
        """Take the end of an entry; tell whether the endpoint is gone now.

        An entry that lapsed while the directory was away is kept until the endpoint
        had time to register again.
        """
        if endpoint_id not in self.endpoints:
            return False
        until = self.returned_at + RETURN_GRACE
        if now < until:
            self.lapsed.setdefault(endpoint_id, until)
            return False
        self._drop(endpoint_id)
        return True

    def keep_only(self, present: set[str], now: float) -> None:
        """Take a whole listing: every endpoint outside it has lost its entry."""
        for endpoint_id in list(self.endpoints):
            if endpoint_id not in present and endpoint_id not in self.lapsed:
                self.remove(endpoint_id, now)

    def confirm(self, at: float) -> None:
        """Note that the directory told all that it holds as of some time.

        After a time in which it told nothing to anybody, entries may be missing only
        because their endpoints could not write them.
        """
        if at - self.known_at > AWAY_AFTER and self.endpoints:
            self.returned_at = at
        self.known_at = max(self.known_at, at)

    def expire(self, now: float) -> list[str]:
        """Drop the lapsed endpoints whose time is over; return their ids."""
        over = [name for name, until in self.lapsed.items() if until <= now]
        for endpoint_id in over:
            self._drop(endpoint_id)
        return over

    def of_service(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that take new work."""
        return [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.service == service and not endpoint.leaving
        ]

    def _drop_predecessors(self, endpoint: Endpoint) -> None:
        """Drop earlier incarnations at the address of a new one."""
        for known in list(self.endpoints.values()):
            if known.address == endpoint.address:
                self._drop(known.id)

    def _drop(self, endpoint_id: str) -> None:
        self.lapsed.pop(endpoint_id, None)
        if self.endpoints.pop(endpoint_id, None) is not None:
            self.revision += 1
