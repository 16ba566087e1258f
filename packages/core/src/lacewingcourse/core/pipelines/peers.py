"""Membership of the other entries: liveness, gossip targets and reader ranks."""

from __future__ import annotations

from collections import defaultdict
from enum import Enum

import attrs

from lacewingcourse.core.pipelines.restart_estimate import (
    GOSSIP_PERIOD,
    ROTATION_TIME,
    Restart,
    first_ready,
)

#: Seconds without a message after which an entry counts as gone. Entries exchange
#: messages several times a second; a shorter timeout would make all peers drop an entry
#: that freezes or is cut off for a second.
PEER_SILENCE_TIMEOUT = 1.2
#: Seconds for which the address of a silent entry is still tried.
PEER_RETENTION = 20.0
#: Largest number of entries at which each one exchanges messages with every other one.
#: Loads then arrive within one round, but the messages of a round grow with the square
#: of the entries.
MAX_FULL_MESH = 9
#: Entries that one contacts in a round at most.
MAX_PEERS_PER_ROUND = MAX_FULL_MESH - 1
#: Hubs of an availability zone: entries that exchange messages with other zones. With
#: two, the loss of one goes unnoticed.
HUBS_PER_ZONE = 2
#: Silent entries that are probed in one round of a large deployment.
MAX_SILENT_PER_ROUND = 2
#: Lowest rank of an entry that is no hub. The hubs of four availability zones rank
#: below it, so members there read from the platform only when all hubs are silent.
MEMBER_RANK = 8


class Role(Enum):
    """Part that an entry has in the exchange between entries."""

    EQUAL = "equal"
    HUB = "hub"
    MEMBER = "member"


@attrs.define
class Peer:
    """Another entry.

    Attributes:
        name: Its name.
        address: Its address for other entries.
        zone: Its availability zone, empty while unknown.
        last_message_at: When this entry or a peer last received a message of it,
            seconds; minus infinity before the first.
        known_since: When its address was learned, seconds.
        leaving: Whether it is shutting down.
        leaving_since: When it first reported that it is shutting down, None if it is
            not.
        ends_at: When it expects to have ended, as it reported, seconds; None if it did
            not report that.
        returned_at: When its first message after a shutdown arrived, seconds; minus
            infinity if it was not shutting down.
        reads: Whether the platform answers it, as it last reported.
    """

    name: str
    address: str
    zone: str = ""
    last_message_at: float = float("-inf")
    known_since: float = 0.0
    leaving: bool = False
    leaving_since: float | None = None
    ends_at: float | None = None
    returned_at: float = float("-inf")
    reads: bool = True

    def mark_alive(self, last_message_at: float) -> None:
        """Record that it was alive and not shutting down at a time."""
        if self.leaving:
            self.returned_at = last_message_at
        self.last_message_at = last_message_at
        self.leaving = False
        self.leaving_since = self.ends_at = None

    def mark_leaving(self, ends_in: float | None, now: float) -> None:
        """Record a message in which it reports to be shutting down.

        Args:
            ends_in: Seconds until it expects to have ended, None if it does not report
                that.
            now: Present time in seconds.
        """
        self.last_message_at = now
        self.leaving = True
        self.ends_at = None if ends_in is None else now + ends_in
        if self.leaving_since is None:
            self.leaving_since = now

    def expected_end_time(self, grace: float, now: float) -> float:
        """Return when it is expected to have ended, seconds.

        One that falls silent while shutting down is taken to have ended within a gossip
        period of its last message.

        Args:
            grace: Seconds in which an entry that is shutting down must have ended.
            now: Present time in seconds.
        """
        ends_at = self.ends_at
        if ends_at is None:
            ends_at = self.leaving_since + grace
        if now - self.last_message_at <= PEER_SILENCE_TIMEOUT:
            return ends_at
        return min(ends_at, self.last_message_at + GOSSIP_PERIOD)


@attrs.define
class PeerTable:
    """The other entries that are known.

    A few entries form a full mesh. Many communicate through hubs: each entry with the
    hubs of its zone, and hubs with those of the other zones, so that the messages of an
    entry do not grow with the deployment.

    Attributes:
        name: Name of this entry.
        zone: Its availability zone.
        peers: Others by name.
        counts: Entries alive in each other zone, as reported by its hubs.
        round_count: Gossip rounds so far; it selects whose turn it is.
    """

    name: str
    zone: str = ""
    peers: dict[str, Peer] = attrs.field(factory=dict)
    counts: dict[str, int] = attrs.field(factory=dict)
    round_count: int = 0

    def set_address(self, name: str, address: str, now: float, zone: str = "") -> None:
        """Add an entry, or update its address or availability zone."""
        if name == self.name:
            return
        known = self.peers.get(name)
        if known is None or known.address != address:
            self.peers[name] = Peer(name, address, zone, known_since=now)
        elif zone:
            known.zone = zone

    def record_message(
        self,
        name: str,
        address: str,
        leaving: bool,
        now: float,
        zone: str = "",
        ends_in: float | None = None,
        reads: bool = True,
    ) -> None:
        """Record a message of an entry.

        Args:
            name: Its name.
            address: Its address for other entries.
            leaving: Whether it is shutting down.
            now: Present time in seconds.
            zone: Its availability zone, empty if unknown.
            ends_in: Seconds until it expects to have ended, None if it does not report
                that.
            reads: Whether the platform answers it.
        """
        if name == self.name:
            return
        self.set_address(name, address, now, zone)
        peer = self.peers[name]
        peer.reads = reads
        if leaving:
            peer.mark_leaving(ends_in, now)
        else:
            peer.mark_alive(now)

    def record_report(
        self, name: str, address: str, zone: str, age: float, now: float
    ) -> None:
        """Record that a peer received a message of an entry some seconds ago.

        The age leaves out the time that the report took to arrive. A late report must
        not mark an entry as running again, so while its own messages arrive, an entry
        that is shutting down stays so until it reports otherwise itself.

        Args:
            name: Name of the entry.
            address: Its address for other entries.
            zone: Its availability zone, empty if unknown.
            age: Seconds since the peer received the message.
            now: Present time in seconds.
        """
        if name == self.name:
            return
        self.set_address(name, address, now, zone)
        known = self.peers[name]
        if known.leaving and now - known.last_message_at <= PEER_SILENCE_TIMEOUT:
            return
        if known.last_message_at < now - age:
            known.mark_alive(now - age)

    def alive(self, now: float) -> list[str]:
        """Return the names of the entries known to be alive, this one included."""
        reachable = [
            peer.name
            for peer in self.peers.values()
            if now - peer.last_message_at <= PEER_SILENCE_TIMEOUT and not peer.leaving
        ]
        return sorted([self.name, *reachable])

    def first_ready(
        self, grace: float, now: float, own_end: float | None = None
    ) -> Restart | None:
        """Return the entry that callers will be sent to first, None if one serves now.

        Args:
            grace: Seconds in which an entry that is shutting down must have ended.
            now: Present time in seconds.
            own_end: When this entry is expected to have ended, None if it is not
                shutting down.
        """
        alive = [self.peers[name] for name in self.alive(now) if name != self.name]
        if any(now - peer.returned_at >= ROTATION_TIME for peer in alive):
            return None
        if alive:
            first = min(alive, key=lambda peer: peer.returned_at)
            return Restart(first.name, first.returned_at, first.returned_at)
        restarts = [
            Restart(peer.name, peer.expected_end_time(grace, now))
            for peer in self.peers.values()
            if peer.leaving_since is not None
        ]
        if own_end is not None:
            restarts.append(Restart(self.name, own_end))
        return first_ready(restarts, now) or Restart(self.name, now)

    def ready_in(self, grace: float, now: float, own_end: float | None = None) -> float:
        """Return the seconds until an entry is expected to accept connections.

        Args:
            grace: Seconds in which an entry that is shutting down must have ended.
            now: Present time in seconds.
            own_end: When this entry is expected to have ended, None if it is not
                shutting down.
        """
        first = self.first_ready(grace, now, own_end)
        return first.wait(now) if first is not None else 0.0

    def zone_of(self, name: str) -> str:
        """Return the availability zone of an entry, empty if it is unknown."""
        if name == self.name:
            return self.zone
        peer = self.peers.get(name)
        return peer.zone if peer is not None else ""

    def count(self, now: float) -> int:
        """Return the number of entries known to be alive, this one included."""
        alive = self.alive(now)
        near = sum(self.zone_of(name) == self.zone for name in alive)
        return max(len(alive), near + sum(self.counts.values()))

    def hubs(self, now: float) -> dict[str, list[str]]:
        """Return the hubs of each availability zone."""
        found: dict[str, list[str]] = defaultdict(list)
        for name in self.alive(now):
            members = found[self.zone_of(name)]
            if len(members) < HUBS_PER_ZONE:
                members.append(name)
        return found

    def coordinators(self, now: float) -> set[str]:
        """Return the live entries that all others know, at least one."""
        if self.count(now) <= MAX_FULL_MESH:
            return set(self.alive(now))
        return {name for names in self.hubs(now).values() for name in names}

    def role(self, now: float) -> Role:
        """Return the part that this entry has in the exchange."""
        if self.count(now) <= MAX_FULL_MESH:
            return Role.EQUAL
        is_hub = self.name in self.hubs(now)[self.zone]
        return Role.HUB if is_hub else Role.MEMBER

    def rank(self, now: float) -> int:
        """Return how many live entries rank before this one."""
        role = self.role(now)
        if role is Role.MEMBER:
            near = [n for n in self.alive(now) if self.zone_of(n) == self.zone]
            return MEMBER_RANK + near.index(self.name)
        return self._coordinators_in_order(now).index(self.name)

    def reader_rank(self, now: float, reads: bool) -> int:
        """Return how many live entries read from the platform before this one.

        Entries that the platform does not answer rank last.

        Args:
            now: Present time in seconds.
            reads: Whether the platform answers this entry.
        """
        if self.role(now) is Role.MEMBER:
            return self.rank(now)
        order = self._coordinators_in_order(now)
        readers = {n for n in order if n != self.name and self.peers[n].reads}
        if reads:
            readers.add(self.name)
        order.sort(key=lambda name: name not in readers)
        return order.index(self.name)

    def _coordinators_in_order(self, now: float) -> list[str]:
        """Return the live entries that all others know, in order of their rank."""
        if self.count(now) <= MAX_FULL_MESH:
            return self.alive(now)
        hubs = self.hubs(now).values()
        order = sorted((names.index(n), n) for names in hubs for n in names)
        return [name for _, name in order]

    def gossip_targets(self, now: float, urgent: bool = False) -> list[Peer]:
        """Return the entries to contact in this round.

        Of two entries one sends and the other answers, except where one has gone
        silent: then both send.

        Args:
            now: Present time in seconds.
            urgent: Whether there is news that all entries must receive at once.
        """
        self.round_count += 1
        role = self.role(now)
        if role is Role.EQUAL:
            return self._peers_after(sorted(self.peers), now)[:MAX_PEERS_PER_ROUND]
        hubs = self.hubs(now)
        near = [name for name in hubs[self.zone] if name != self.name]
        if role is Role.MEMBER:
            targets = near if urgent else self._rotate(near, 1)
            return [self.peers[name] for name in targets] + self._silent_to_probe(now)
        return self._hub_targets(hubs, near, now, urgent)

    def _hub_targets(
        self, hubs: dict[str, list[str]], near: list[str], now: float, urgent: bool
    ) -> list[Peer]:
        """Return the entries that a hub contacts: other hubs in turn, all if urgent."""
        far = [n for zone, names in hubs.items() if zone != self.zone for n in names]
        if urgent:
            members = [n for n in self.alive(now) if self.zone_of(n) == self.zone]
            names = {*near, *far, *members} - {self.name}
            return [self.peers[name] for name in sorted(names)]
        following = [peer.name for peer in self._peers_after(sorted(far), now)]
        targets = near + self._rotate(following, MAX_PEERS_PER_ROUND)
        return [self.peers[name] for name in targets] + self._silent_to_probe(now)

    def _peers_after(self, names: list[str], now: float) -> list[Peer]:
        """Return those after this one by name, and the silent ones before it."""
        after = [self.peers[n] for n in names if n > self.name]
        before = [self.peers[n] for n in names if n < self.name]
        return after + [
            p for p in before if now - p.last_message_at > PEER_SILENCE_TIMEOUT / 2
        ]

    def _rotate(self, names: list[str], count: int) -> list[str]:
        """Return some of the names, different ones in the next round."""
        if len(names) <= count:
            return names
        start = self.round_count * count % len(names)
        return (names[start:] + names[:start])[:count]

    def _silent_to_probe(self, now: float) -> list[Peer]:
        """Return silent entries to probe, different ones in the next round.

        Entries of other zones are silent here because their messages go through hubs;
        they are probed only while no entry of their zone is heard from.
        """
        reachable = {self.zone_of(name) for name in self.alive(now)} - {self.zone, ""}
        silent = [
            peer.name
            for peer in self.peers.values()
            if now - peer.last_message_at > PEER_SILENCE_TIMEOUT
            and peer.zone not in reachable
        ]
        return [
            self.peers[n] for n in self._rotate(sorted(silent), MAX_SILENT_PER_ROUND)
        ]

    def peers_to_report(self, zone: str, now: float) -> list[Peer]:
        """Return the live entries that one of an availability zone needs to know."""
        alive = [self.peers[name] for name in self.alive(now) if name != self.name]
        if self.role(now) is Role.EQUAL:
            return alive
        hubs = {name for names in self.hubs(now).values() for name in names}
        return [peer for peer in alive if peer.zone == zone or peer.name in hubs]

    def expire(self, now: float) -> None:
        """Remove entries that have been silent for a long time."""
        for peer in list(self.peers.values()):
            if now - max(peer.last_message_at, peer.known_since) > PEER_RETENTION:
                del self.peers[peer.name]
        zones = {peer.zone for peer in self.peers.values()}
        self.counts = {z: n for z, n in self.counts.items() if z in zones}
