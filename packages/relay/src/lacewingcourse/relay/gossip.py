"""Gossip between entries: composes messages and applies received ones."""

from __future__ import annotations

from collections import defaultdict
from math import isfinite
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.log_position import LOG_START
from lacewingcourse.core.pipelines.peers import Role
from lacewingcourse.core.pipelines.stamps import StampTable
from lacewingcourse.core.pipelines.suspects import Grade, ObservationScope
from lacewingcourse.relay.crash_guard import CrashGuard
from lacewingcourse.relay.peer_messages import (
    GossipMessage,
    Scope,
    decode_limit,
    decode_loads,
    decode_room,
    encode_room,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.peers import PeerTable
    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.duty_holder import DutyHolder
    from lacewingcourse.relay.followers import ConfigurationFollower, DirectoryFollower
    from lacewingcourse.relay.readiness import Readiness
    from lacewingcourse.relay.routing_state import RoutingState

#: Key of the sum of the loads of all other entries, as a hub sends it to a member.
OTHERS_KEY = "others"
#: Entries whose unusable reports are logged.
MAX_UNUSABLE_REPORTS = 100
#: Observation scope of a message's suspicions and losses, by the scope of its loads.
OBSERVATION_SCOPES = {
    Scope.OWN: ObservationScope.OWN,
    Scope.ZONE: ObservationScope.ZONE,
    Scope.OTHERS: ObservationScope.ALL,
}
#: Values of the grades of suspicions that this build knows.
GRADES = frozenset(Grade)


@attrs.define
class Gossip:
    """Composes the messages of this entry and applies those of others.

    In a small deployment each entry sends its own loads to all others. In a large one,
    hubs add up the loads of the entries in their availability zone, and send each of
    these entries the loads of all others.

    Attributes:
        name: Name of this entry.
        address: Its address for other entries.
        book: The other entries.
        routing_state: State that messages are composed from and applied to.
        configuration: Follower of the configuration.
        directory: Follower of the directory.
        holder: What this entry knows of the holder of the placement duty.
        readiness: Whether this entry is ending.
        log: Decision log.
        clock: Returns the present time in seconds.
        ends_in: Returns the seconds until this entry is expected to have ended, None if
            it is not ending.
        boot_clock: Returns the present time in seconds, including the time for which
            the machine was suspended.
        stamps: Time stamps of received messages, to bound their transit times.
        crash_guard: Refuses requests that crash endpoints.
        unknown_grade_logged: Whether a grade that this build does not know was logged.
        on_receive: Called after a message was applied.
        unusable_reports: Entries that sent a report of their demand for room which
            cannot be used, as each is logged once.
    """

    name: str
    address: str
    book: PeerTable
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
    crash_guard: CrashGuard = attrs.field()
    unknown_grade_logged: bool = False
    on_receive: Callable[[], None] = lambda: None
    unusable_reports: set[str] = attrs.field(factory=set)

    @boot_clock.default
    def _loop_clock(self) -> Callable[[], float]:
        return self.clock

    @stamps.default
    def _no_stamps(self) -> StampTable:
        return StampTable(self.boot_clock())

    @crash_guard.default
    def _own_crash_guard(self) -> CrashGuard:
        return CrashGuard(self.routing_state, self.log, self.clock)

    @property
    def platform_reachable(self) -> bool:
        """Whether the platform answers this entry."""
        return self.configuration.reachable and self.directory.reachable

    def message_for(self, receiver: str, zone: str) -> GossipMessage:
        """Compose the message for another entry.

        Args:
            receiver: Its name, empty if unknown.
            zone: Its availability zone, empty if unknown.
        """
        now, boot_now = self.clock(), self.boot_clock()
        scope = self.scope_for(receiver, zone, now)
        reach = OBSERVATION_SCOPES[scope]
        included = self._load_filter(scope, receiver)
        loads = self.routing_state.loads.total(included)
        links = self.routing_state.links.total(now, included)
        table, lease = self.routing_state.table, self.holder.lease
        position = self.directory.position or LOG_START
        return GossipMessage(
            name=self.name,
            zone=self.book.zone,
            address=self.address,
            leaving=self.readiness.draining,
            version=table.version if table else 0,
            version_age=self.configuration.freshness.age(boot_now),
            position=position.offset,
            epoch=position.epoch,
            position_age=self.directory.freshness.age(boot_now),
            scope=scope,
            loads={
                endpoint: (
                    load.requests,
                    load.first_part_requests,
                    round(load.token_layers),
                )
                for endpoint, load in loads.items()
                if load.requests
            },
            links=[(*pair, round(use, 3)) for pair, use in links.items()],
            suspects=self.routing_state.suspects.remaining(now, reach),
            silent=sorted(self.routing_state.suspects.silent(now)),
            grades=self.routing_state.suspects.reported_grades(now, reach),
            speeds=self.routing_state.speeds.remaining(now),
            crashes=self.routing_state.crashes.losses(now, reach),
            parts=self.routing_state.parts.reports(now),
            peers={
                peer.name: (
                    peer.address,
                    peer.zone,
                    round(now - peer.last_message_at, 3),
                )
                for peer in self.book.peers_to_report(zone, now)
            },
            counts=self._zone_counts(scope, now),
            holder=lease.holder if lease else "",
            fencing=lease.fencing if lease else 0,
            holder_age=round(self.holder.holder_age(), 3) if lease else 0.0,
            released=self.holder.released,
            ends_in=self.ends_in(),
            limits=self.routing_state.limits.observations(now),
            reads=self.platform_reachable,
            stamp=boot_now,
            echo=self.stamps.echo(receiver, boot_now),
            room=encode_room(self.routing_state.room.reports(included, now)),
        )

    def transit_time(self, message: GossipMessage) -> float:
        """Return an upper bound of the seconds since a message was composed.

        Returns:
            Infinity if the message carries no usable echo.
        """
        now = self.boot_clock()
        composed_at = self.stamps.composed_at(message.echo, now)
        return float("inf") if composed_at is None else now - composed_at

    def scope_for(self, receiver: str, zone: str, now: float) -> Scope:
        """Return whose loads a message to another entry contains."""
        if self.book.role(now) is not Role.HUB:
            return Scope.OWN
        if zone != self.book.zone:
            return Scope.ZONE
        is_hub = receiver in self.book.hubs(now)[self.book.zone]
        return Scope.OWN if is_hub else Scope.OTHERS

    def receive(self, message: GossipMessage) -> None:
        """Apply a message of another entry."""
        now = self.clock()
        self.stamps.receive(message.name, message.stamp, self.boot_clock())
        was_alive = message.name in self.book.alive(now)
        self.book.record_message(
            message.name,
            message.address,
            message.leaving,
            now,
            message.zone,
            message.ends_in,
            message.reads,
        )
        if not was_alive and not message.leaving:
            self.log.log_event("peer_heard", peer=message.name, address=message.address)
        # The first message of an entry has no echo and is applied all the same.
        transit = self.transit_time(message)
        transit = transit if isfinite(transit) else 0.0
        for name, (address, zone, age) in message.peers.items():
            self.book.record_report(name, address, zone, transit + age, now)
        self._apply_counts(message, now)
        self._apply_loads(message, now)
        seen_in_zone = message.zone == self.book.zone and message.scope is Scope.OWN
        self._apply_suspects(message, now, seen_in_zone)
        for endpoint, (factor, remaining) in message.speeds.items():
            self.routing_state.speeds.from_peer(endpoint, factor, remaining, now)
        self.routing_state.crashes.from_peer(message.crashes, now, seen_in_zone)
        self.crash_guard.from_peer(message.parts, message.name)
        self._apply_limits(message, now, transit)
        holder_age = transit + message.holder_age
        self.holder.from_peer(
            message.holder, message.fencing, holder_age, message.released
        )
        self.on_receive()

    def _apply_suspects(
        self, message: GossipMessage, now: float, seen_in_zone: bool
    ) -> None:
        """Apply the exclusions of another entry."""
        for endpoint, remaining in message.suspects.items():
            silent = endpoint in message.silent
            grade = self._grade(message, endpoint)
            self.routing_state.suspects.from_peer(
                endpoint, remaining, now, seen_in_zone, silent, grade
            )

    def _grade(self, message: GossipMessage, endpoint: str) -> Grade | None:
        """Return the grade of an exclusion, None if none is reported or it is unknown.

        Later builds may know other grades.
        """
        value = message.grades.get(endpoint)
        if value in GRADES:
            return Grade(value)
        if value is not None and not self.unknown_grade_logged:
            self.unknown_grade_logged = True
            self.log.log_event("grade_unknown", peer=message.name, grade=value)
        return None

    def _apply_limits(self, message: GossipMessage, now: float, transit: float) -> None:
        """Apply the limits that endpoints named to other entries."""
        limits = self.routing_state.limits
        for endpoint, (encoded, age) in message.limits.items():
            named, before = decode_limit(encoded), limits.named(endpoint)
            if limits.from_peer(endpoint, named, transit + age, now):
                self.log.limit(endpoint, named, before, message.name)

    def _apply_counts(self, message: GossipMessage, now: float) -> None:
        """Apply the numbers of entries in other availability zones."""
        counts = {
            zone: n for zone, n in message.counts.items() if zone != self.book.zone
        }
        if message.scope is Scope.OTHERS:
            self.book.counts = counts
        else:
            self.book.counts.update(counts)

    def _apply_loads(self, message: GossipMessage, now: float) -> None:
        """Apply the loads of other entries unless another sum contains them."""
        role = self.book.role(now)
        loads, links = self.routing_state.loads, self.routing_state.links
        uses = {(first, second): use for first, second, use in message.links}
        if role is Role.MEMBER:
            if message.scope is Scope.OTHERS:
                self._forget_except({OTHERS_KEY})
                loads.from_peer(OTHERS_KEY, decode_loads(message), now)
                links.from_peer(OTHERS_KEY, uses)
                self._apply_room(OTHERS_KEY, message, now)
            return
        key = self._load_key(message, role)
        if key:
            self._forget(OTHERS_KEY)
            loads.from_peer(key, decode_loads(message), now)
            links.from_peer(key, uses)
            self._apply_room(key, message, now)

    def _apply_room(self, key: str, message: GossipMessage, now: float) -> None:
        """Apply the demand of other entries for room, and log what cannot be used."""
        reports, errors = decode_room(message.room)
        for service in self.routing_state.room.from_peer(key, reports, now):
            errors[service] = "a value or a number of values is out of range"
        if not errors or message.name in self.unusable_reports:
            return
        if len(self.unusable_reports) < MAX_UNUSABLE_REPORTS:
            self.unusable_reports.add(message.name)
            service, reason = next(iter(errors.items()))
            self.log.log_event(
                "room_report_unusable",
                peer=message.name,
                service=service,
                reason=reason,
            )

    def _load_key(self, message: GossipMessage, role: Role) -> str:
        """Return the key to store loads under, empty if another sum contains them."""
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
        self.routing_state.room.forget(key)

    def _load_filter(self, scope: Scope, receiver: str) -> Callable[[str], bool]:
        """Return which loads of others a message includes besides this entry's own."""
        if scope is Scope.OWN:
            return lambda key: False
        if scope is Scope.ZONE:
            return self._is_zone_entry
        return lambda key: key != receiver

    def _is_zone_entry(self, key: str) -> bool:
        """Return whether a key stands for the loads of one entry of this zone."""
        return key in self.book.peers

    def _zone_counts(self, scope: Scope, now: float) -> dict[str, int]:
        """Return the numbers of live entries by zone, for entries outside of them."""
        if self.book.role(now) is Role.MEMBER:
            return {}
        counts: dict[str, int] = defaultdict(int)
        for name in self.book.alive(now):
            if self.book.zone_of(name) == self.book.zone:
                counts[self.book.zone] += 1
        return self.book.counts | counts if scope is Scope.OTHERS else counts
