"""What entries tell one another, put together and taken in."""

from __future__ import annotations

from collections import defaultdict
from math import isfinite
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.peers import Role
from lacewingcourse.core.pipelines.stamps import StampTable
from lacewingcourse.core.pipelines.suspects import Reach
from lacewingcourse.relay.peer_messages import (
    GossipMessage,
    Scope,
    decode_limit,
    decode_loads,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.peers import PeerBook
    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.duty_holder import DutyHolder
    from lacewingcourse.relay.followers import ConfigurationFollower, DirectoryFollower
    from lacewingcourse.relay.readiness import Readiness
    from lacewingcourse.relay.routing_state import RoutingState

#: Key under which the loads of all others are kept that a hub told.
OTHERS_KEY = "others"
#: What suspicions and losses reach whom, by what the loads beside them cover.
REACH_OF_SCOPE = {
    Scope.OWN: Reach.OWN,
    Scope.ZONE: Reach.ZONE,
    Scope.OTHERS: Reach.ALL,
}


@attrs.define
class Gossip:
    """Composes the news of this entry, and learns from those of others.

    Among a few entries each tells what it did itself. Among many, hubs add up what the
    entries of their availability zone told, and tell each of these what all others
    did.

    Attributes:
        name: Name of this entry.
        address: Its address for entries.
        book: The other entries.
        routing_state: What this entry believes.
        configuration: Follows the configuration.
        directory: Follows the directory.
        holder: Who has the duty of placing.
        readiness: Whether this entry is ending.
        log: Log of decisions.
        clock: Returns the present time in seconds.
        ends_in: Returns the seconds until this entry expects to have ended, None if it
            is not ending.
        boot_clock: Returns the present time in seconds, counting those for which the
            machine was suspended.
        stamps: When the news of others were composed.
    """

    name: str
    address: str
    book: PeerBook
    routing_state: RoutingState
    configuration: ConfigurationFollower
    directory: DirectoryFollower
    holder: DutyHolder
    readiness: Readiness
    log: DecisionLog
    clock: Callable[[], float]
    ends_in: Callable[[], float | None] = lambda: None
    boot_clock: Callable[[], float] = attrs.field()
    stamps: StampTable = attrs.field()

    @boot_clock.default
    def _loop_clock(self) -> Callable[[], float]:
        return self.clock

    @stamps.default
    def _no_stamps(self) -> StampTable:
        return StampTable(self.boot_clock())

    @property
    def platform_reachable(self) -> bool:
        """Whether the platform answers this entry."""
        return self.configuration.reachable and self.directory.reachable

    def message_for(self, receiver: str, zone: str) -> GossipMessage:
        """Return what this entry tells another one.

        Args:
            receiver: Its name, empty if it is unknown.
            zone: Its availability zone, empty if it is unknown.
        """
        now, boot_now = self.clock(), self.boot_clock()
        scope = self.scope_for(receiver, zone, now)
        reach = REACH_OF_SCOPE[scope]
        included = self._load_filter(scope, receiver)
        loads = self.routing_state.loads.total(included)
        links = self.routing_state.links.total(now, included)
        table, lease = self.routing_state.table, self.holder.lease
        return GossipMessage(
            name=self.name,
            zone=self.book.zone,
            address=self.address,
            leaving=self.readiness.leaving,
            version=table.version if table else 0,
            version_age=self.configuration.freshness.age(boot_now),
            position=self.directory.position or 0,
            position_age=self.directory.freshness.age(boot_now),
            scope=scope,
            loads={
                endpoint: (load.requests, load.leading, round(load.cells))
                for endpoint, load in loads.items()
                if load.requests
            },
            links=[(*pair, round(use, 3)) for pair, use in links.items()],
            suspects=self.routing_state.suspects.remaining(now, reach),
            silent=sorted(self.routing_state.suspects.silent(now)),
            speeds=self.routing_state.speeds.remaining(now),
            crashes=self.routing_state.crashes.losses(now, reach),
            peers={
                peer.name: (peer.address, peer.zone, round(now - peer.heard_at, 3))
                for peer in self.book.told_to(zone, now)
            },
            counts=self._zone_counts(scope, now),
            holder=lease.holder if lease else "",
            fencing=lease.fencing if lease else 0,
            holder_age=round(self.holder.silence(), 3) if lease else 0.0,
            released=self.holder.released,
            ends_in=self.ends_in(),
            limits=self.routing_state.limits.observations(now),
            reads=self.platform_reachable,
            stamp=boot_now,
            echo=self.stamps.echo(receiver, boot_now),
        )

    def transit_time(self, message: GossipMessage) -> float:
        """Return the seconds that have passed since news were composed, at the most.

        Returns:
            Infinity if that is not known.
        """
        now = self.boot_clock()
        composed_at = self.stamps.composed_at(message.echo, now)
        return float("inf") if composed_at is None else now - composed_at

    def scope_for(self, receiver: str, zone: str, now: float) -> Scope:
        """Return whose loads another entry is told."""
        if self.book.role(now) is not Role.HUB:
            return Scope.OWN
        if zone != self.book.zone:
            return Scope.ZONE
        is_hub = receiver in self.book.hubs(now)[self.book.zone]
        return Scope.OWN if is_hub else Scope.OTHERS

    def receive(self, message: GossipMessage) -> None:
        """Learn from another entry."""
        now = self.clock()
        self.stamps.receive(message.name, message.stamp, self.boot_clock())
        was_alive = message.name in self.book.alive(now)
        self.book.hear(
            message.name,
            message.address,
            message.leaving,
            now,
            message.zone,
            message.ends_in,
            message.reads,
        )
        if not was_alive and not message.leaving:
            self.log.belief("peer_heard", peer=message.name, address=message.address)
        # The first word of an entry has no echo, and must not be missed.
        transit = self.transit_time(message)
        transit = transit if isfinite(transit) else 0.0
        for name, (address, zone, age) in message.peers.items():
            self.book.hear_of(name, address, zone, transit + age, now)
        self._apply_counts(message, now)
        self._apply_loads(message, now)
        seen_in_zone = message.zone == self.book.zone and message.scope is Scope.OWN
        for endpoint, remaining in message.suspects.items():
            silent = endpoint in message.silent
            self.routing_state.suspects.from_peer(
                endpoint, remaining, now, seen_in_zone, silent
            )
        for endpoint, (factor, remaining) in message.speeds.items():
            self.routing_state.speeds.from_peer(endpoint, factor, remaining, now)
        self.routing_state.crashes.from_peer(message.crashes, now, seen_in_zone)
        self._apply_limits(message, now, transit)
        holder_age = transit + message.holder_age
        self.holder.hear(message.holder, message.fencing, holder_age, message.released)

    def _apply_limits(self, message: GossipMessage, now: float, transit: float) -> None:
        """Take which limits endpoints named to others."""
        limits = self.routing_state.limits
        for endpoint, (encoded, age) in message.limits.items():
            named, before = decode_limit(encoded), limits.named(endpoint)
            if limits.from_peer(endpoint, named, transit + age, now):
                self.log.limit(endpoint, named, before, message.name)

    def _apply_counts(self, message: GossipMessage, now: float) -> None:
        """Take how many entries other zones have."""
        counts = {
            zone: n for zone, n in message.counts.items() if zone != self.book.zone
        }
        if message.scope is Scope.OTHERS:
            self.book.counts = counts
        else:
            self.book.counts.update(counts)

    def _apply_loads(self, message: GossipMessage, now: float) -> None:
        """Take what others run, unless it is known already in another sum."""
        role = self.book.role(now)
        loads, links = self.routing_state.loads, self.routing_state.links
        uses = {(first, second): use for first, second, use in message.links}
        if role is Role.MEMBER:
            if message.scope is Scope.OTHERS:
                self._forget_except({OTHERS_KEY})
                loads.from_peer(OTHERS_KEY, decode_loads(message), now)
                links.from_peer(OTHERS_KEY, uses)
            return
        key = self._load_key(message, role)
        if key:
            self._forget(OTHERS_KEY)
            loads.from_peer(key, decode_loads(message), now)
            links.from_peer(key, uses)

    def _load_key(self, message: GossipMessage, role: Role) -> str:
        """Return under which key loads are kept, empty for those in another sum."""
        if role is Role.EQUAL:
            return message.name if message.scope is Scope.OWN else ""
        same_zone = message.zone == self.book.zone
        if message.scope is Scope.OWN:
            return message.name if same_zone else ""
        return (
            f"zone {message.zone}"
            if message.scope is Scope.ZONE and not same_zone
            else ""
        )

    def _forget_except(self, kept: set[str]) -> None:
        for key in set(self.routing_state.loads.peers) - kept:
            self._forget(key)

    def _forget(self, key: str) -> None:
        self.routing_state.loads.forget(key)
        self.routing_state.links.forget(key)

    def _load_filter(self, scope: Scope, receiver: str) -> Callable[[str], bool]:
        """Return which loads of others a message tells besides this entry's own."""
        if scope is Scope.OWN:
            return lambda key: False
        if scope is Scope.ZONE:
            return self._is_zone_entry
        return lambda key: key != receiver

    def _is_zone_entry(self, key: str) -> bool:
        """Tell whether loads under a key are those of an entry of this zone."""
        return key in self.book.peers

    def _zone_counts(self, scope: Scope, now: float) -> dict[str, int]:
        """Return how many entries zones have, for those who do not hear them."""
        if self.book.role(now) is Role.MEMBER:
            return {}
        counts: dict[str, int] = defaultdict(int)
        for name in self.book.alive(now):
            if self.book.zone_of(name) == self.book.zone:
                counts[self.book.zone] += 1
        return self.book.counts | counts if scope is Scope.OTHERS else counts
