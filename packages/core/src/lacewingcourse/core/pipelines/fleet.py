"""The known endpoints and the layers that each of them holds."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.incarnation import UNKNOWN_START, Incarnation
from lacewingcourse.core.pipelines.shape import Layers

if TYPE_CHECKING:
    from lacewingcourse.core.pipelines.shape import EngineShape

#: Seconds after an outage of the directory for which endpoints whose entries lapsed are
#: kept: endpoints register again within about two seconds.
REREGISTRATION_GRACE = 2.0
#: Seconds without an answer of the directory that count as an outage. Entries lapse
#: after three missed heartbeats of about a second each, so none lapses in less time.
OUTAGE_AFTER = 2.0
#: Maximum number of removed endpoints whose last entry is kept. An older entry that
#: arrives after it must not add the endpoint again.
MAX_ENDED = 512


class EntryEffect(Enum):
    """The effect of a directory entry on the fleet."""

    NOTHING = "nothing"
    CHANGED = "changed"
    RESTARTED = "restarted"
    OUTDATED = "outdated"


@attrs.frozen
class Endpoint:
    """One incarnation of an endpoint, as described by its directory entry.

    Attributes:
        id: Identifier of the incarnation, see `Incarnation.id`.
        service: Name of the service that it serves.
        address: Its IP address and port.
        zone: Its availability zone.
        slots: Requests that it runs at once.
        leaving: Whether it has announced its shutdown.
        accelerator: Name of its kind of accelerator, empty for plain services.
        layers: Layers that it holds, None for none.
        weights: Version of the weights that it holds.
        placeable: Whether it runs a model in parts, so that layers are placed on it.
        name: Name under which it registers; its later incarnations keep it.
        born: Unix milliseconds of its start, `UNKNOWN_START` if the entry lacks it.
        sequence: Number of the entry among those that this incarnation wrote.
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
    born: int = UNKNOWN_START
    sequence: int = attrs.field(default=0, eq=False)

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation that the entry describes."""
        return Incarnation(self.name, self.born)

    def fits(self, shape: EngineShape) -> bool:
        """Return whether its accelerator and layers are possible in its service.

        Args:
            shape: Published performance figures of the service's engines.
        """
        accelerator = shape.accelerators.get(self.accelerator)
        if accelerator is None:
            return False
        if self.layers is None:
            return True
        possible = 0 <= self.layers.start < self.layers.end <= shape.layers
        return possible and len(self.layers) <= shape.max_layers(accelerator)

    def is_outdated(self, known: Endpoint) -> bool:
        """Return whether this entry was written before another one of the endpoint.

        Sequence numbers restart with the endpoint, so they are compared only within an
        incarnation whose start is known.
        """
        if self.born == known.born and self.born != UNKNOWN_START:
            return self.sequence < known.sequence
        return self.incarnation.is_outdated(known.incarnation)

    def was_listed_before(self, known: Endpoint) -> bool:
        """Return whether this entry is not newer than another one of the incarnation.

        A directory that comes back from an older copy lists such entries.
        """
        return self.id == known.id and 0 < self.sequence <= known.sequence


@attrs.define
class Fleet:
    """The known endpoints, by the newest directory entry of each.

    Attributes:
        endpoints: Current endpoints by id.
        lapsed: Time until which endpoints without an entry are kept, seconds, by id.
        known_at: Time as of which the entries were last known to be complete, seconds.
        returned_at: Time of the directory's first answer after its last outage,
            seconds.
        revision: Number of changes that affect routing and placement.
        current_ids: Id of the current incarnation by the endpoint's name.
        ended: Last entries of removed endpoints by name, oldest first.
        announced_leaving: Incarnations that said themselves that they leave, oldest
            first.
    """

    endpoints: dict[str, Endpoint] = attrs.field(factory=dict)
    lapsed: dict[str, float] = attrs.field(factory=dict)
    known_at: float = float("-inf")
    returned_at: float = float("-inf")
    revision: int = 0
    current_ids: dict[str, str] = attrs.field(factory=dict)
    ended: dict[str, Endpoint] = attrs.field(factory=dict)
    announced_leaving: dict[str, None] = attrs.field(factory=dict)

    def put(self, endpoint: Endpoint, recognised: bool = True) -> EntryEffect:
        """Apply a directory entry and return its effect.

        Args:
            endpoint: The endpoint that the entry describes.
            recognised: Whether its service is configured. Only then does it replace
                other endpoints at its address.
        """
        known = self.current_incarnation(endpoint.name)
        last = known or self.ended.get(endpoint.name)
        if last is not None and endpoint.is_outdated(last):
            return EntryEffect.OUTDATED
        if known is None and last is not None and endpoint.was_listed_before(last):
            return EntryEffect.OUTDATED
        listed_before = known is not None and endpoint.was_listed_before(known)
        if endpoint.id in self.announced_leaving or (listed_before and known.leaving):
            endpoint = attrs.evolve(endpoint, leaving=True)
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
        """Return the current incarnation of an endpoint by name, None if unknown."""
        return self.endpoints.get(self.current_ids.get(name, ""))

    def record_start(self, name: str, born: int) -> bool:
        """Apply the start time that an endpoint reported; return whether it is newer.

        A restarted endpoint holds no layers, whatever its last entry says.

        Args:
            name: Name under which it registers.
            born: Unix milliseconds of its start.
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

    def record_leaving(self, endpoint_id: str) -> bool:
        """Apply an endpoint's own word that it leaves; return whether it is news.

        It holds for this incarnation, whatever the directory lists.

        Args:
            endpoint_id: Id of the incarnation.
        """
        if endpoint_id in self.announced_leaving:
            return False
        self.announced_leaving[endpoint_id] = None
        while len(self.announced_leaving) > MAX_ENDED:
            del self.announced_leaving[next(iter(self.announced_leaving))]
        known = self.endpoints.get(endpoint_id)
        if known is None or known.leaving:
            return False
        self.put(attrs.evolve(known, leaving=True))
        return True

    def remove(self, name: str, now: float) -> bool:
        """Apply the removal of an entry; return whether the endpoint was dropped.

        After an outage of the directory, an endpoint whose entry lapsed is kept until
        it has had time to register again.

        Args:
            name: Name under which the endpoint registered.
            now: Current time in seconds.
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
        """Apply a complete listing: remove every endpoint that is not in it.

        Args:
            present: Names in the listing.
            now: Current time in seconds.
        """
        for endpoint in list(self.endpoints.values()):
            if endpoint.name not in present and endpoint.id not in self.lapsed:
                self.remove(endpoint.name, now)

    def confirm(self, at: float) -> None:
        """Record that the known entries are complete as of some time.

        If the directory answered nobody for a while before, entries may be missing only
        because their endpoints could not write them.

        Args:
            at: Time in seconds.
        """
        if at - self.known_at > OUTAGE_AFTER and self.endpoints:
            self.returned_at = at
        self.known_at = max(self.known_at, at)

    def directory_restored(self, now: float) -> None:
        """Keep endpoints that an older copy of the directory lacks for some time."""
        self.returned_at = now

    def expire(self, now: float) -> list[str]:
        """Drop the lapsed endpoints that are no longer kept; return their ids."""
        over = [name for name, until in self.lapsed.items() if until <= now]
        for endpoint_id in over:
            self._drop(endpoint_id)
        return over

    def of_service(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that accept new requests."""
        return [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.service == service and not endpoint.leaving
        ]

    def _drop_predecessors(self, endpoint: Endpoint) -> None:
        """Drop other endpoints at the address of a new one."""
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
