"""Which endpoints there are, and what each of them holds."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.incarnation import UNTOLD, Incarnation
from lacewingcourse.core.pipelines.shape import Layers

if TYPE_CHECKING:
    from lacewingcourse.core.pipelines.shape import EngineShape

#: Seconds after the return of a directory that was away in which endpoints that
#: lapsed meanwhile are kept: they register again within about two seconds.
REREGISTRATION_GRACE = 2.0
#: Seconds without an answer after which the directory was away. Entries lapse after
#: three heartbeats of about a second, so none lapses in a shorter time.
OUTAGE_AFTER = 2.0
#: Endpoints that are gone of which the last entry is remembered, so that an entry
#: that was written before it and arrives after it does not bring them back.
MAX_ENDED = 512


class EntryEffect(Enum):
    """What an entry changed."""

    NOTHING = "nothing"
    CHANGED = "changed"
    RESTARTED = "restarted"
    OUTDATED = "outdated"


@attrs.frozen
class Endpoint:
    """One incarnation of an endpoint, as its directory entry tells.

    Attributes:
        id: Identifier of the incarnation, see `Incarnation.id`.
        service: Service that it serves.
        address: Its IP address and port.
        zone: Availability zone.
        slots: Requests that it runs at once.
        leaving: Whether it has announced its end.
        accelerator: Name of its kind of accelerator, empty for plain services.
        layers: Layers that it holds, None for none.
        weights: Version of the weights that it holds.
        placeable: Whether it runs a model in parts, so that layers are placed on it.
        name: Name under which it registers; its later incarnations have the same.
        born: Unix milliseconds of its start, `UNTOLD` if it does not tell.
        sequence: Counts the entries that this incarnation wrote.
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
    name: str = attrs.field(default=attrs.Factory(lambda e: e.id, takes_self=True))
    born: int = UNTOLD
    sequence: int = attrs.field(default=0, eq=False)

    @property
    def incarnation(self) -> Incarnation:
        """The start that the entry is about."""
        return Incarnation(self.name, self.born)

    def fits(self, shape: EngineShape) -> bool:
        """Tell whether what it tells is possible by the figures of its service."""
        accelerator = shape.accelerators.get(self.accelerator)
        if accelerator is None:
            return False
        if self.layers is None:
            return True
        possible = 0 <= self.layers.start < self.layers.end <= shape.layers
        return possible and len(self.layers) <= shape.max_layers(accelerator)

    def is_outdated(self, known: Endpoint) -> bool:
        """Tell whether this entry was written before another one of the endpoint.

        Counts start anew with the endpoint, so they are compared only where both tell
        the same start.
        """
        if self.born == known.born and self.born != UNTOLD:
            return self.sequence < known.sequence
        return self.incarnation.is_outdated(known.incarnation)


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
        ids: Id of the present incarnation by the endpoint's name.
        ended: Last entry of endpoints that are gone, by name, oldest first.
    """

    endpoints: dict[str, Endpoint] = attrs.field(factory=dict)
    lapsed: dict[str, float] = attrs.field(factory=dict)
    known_at: float = float("-inf")
    returned_at: float = float("-inf")
    revision: int = 0
    current_ids: dict[str, str] = attrs.field(factory=dict)
    ended: dict[str, Endpoint] = attrs.field(factory=dict)

    def put(self, endpoint: Endpoint, recognised: bool = True) -> EntryEffect:
        """Take an entry; return what it changed.

        Args:
            endpoint: What the entry tells.
            recognised: Whether its service is configured. Only then does it take the
                place of another endpoint at its address.
        """
        known = self.current_incarnation(endpoint.name)
        last = known or self.ended.get(endpoint.name)
        if last is not None and endpoint.is_outdated(last):
            return EntryEffect.OUTDATED
        self.ended.pop(endpoint.name, None)
        self.lapsed.pop(endpoint.id, None)
        if known is None and recognised:
            self._drop_predecessors(endpoint)
        restarted = known is not None and known.id != endpoint.id
        if restarted:
            self._drop(known.id)
        self.current_ids[endpoint.name] = endpoint.id
        self.endpoints[endpoint.id] = endpoint
        if known == endpoint:
            return EntryEffect.NOTHING
        self.revision += 1
        return EntryEffect.RESTARTED if restarted else EntryEffect.CHANGED

    def current_incarnation(self, name: str) -> Endpoint | None:
        """Return the present incarnation of an endpoint, None if there is none."""
        return self.endpoints.get(self.current_ids.get(name, ""))

    def record_start(self, name: str, born: int) -> bool:
        """Take from an endpoint's own word when it started; tell whether that is new.

        An endpoint that started again holds nothing, whatever its last entry says.
        """
        known = self.current_incarnation(name)
        if known is None or not Incarnation(name, born).replaces(known.incarnation):
            return False
        identifier = Incarnation(name, born).id
        fresh = attrs.evolve(
            known, id=identifier, born=born, sequence=0, layers=None, weights=0
        )
        self.put(fresh)
        return True

    def remove(self, name: str, now: float) -> bool:
        """Take the end of an entry; tell whether the endpoint is gone now.

        An entry that lapsed while the directory was away is kept until the endpoint
        had time to register again.
        """
        known = self.current_incarnation(name)
        if known is None:
            return False
        until = self.returned_at + REREGISTRATION_GRACE
        if now < until:
            self.lapsed.setdefault(known.id, until)
            return False
        self._drop(known.id)
        return True

    def keep_only(self, present: set[str], now: float) -> None:
        """Take a whole listing: every endpoint outside it has lost its entry.

        Args:
            present: Names in the listing.
            now: Present time in seconds.
        """
        for endpoint in list(self.endpoints.values()):
            if endpoint.name not in present and endpoint.id not in self.lapsed:
                self.remove(endpoint.name, now)

    def confirm(self, at: float) -> None:
        """Note that the directory told all that it holds as of some time.

        After a time in which it told nothing to anybody, entries may be missing only
        because their endpoints could not write them.
        """
        if at - self.known_at > OUTAGE_AFTER and self.endpoints:
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
        found = self.endpoints.pop(endpoint_id, None)
        if found is None:
            return
        self.revision += 1
        if self.current_ids.get(found.name) == endpoint_id:
            del self.current_ids[found.name]
        self.ended.pop(found.name, None)
        self.ended[found.name] = found
        while len(self.ended) > MAX_ENDED:
            del self.ended[next(iter(self.ended))]
