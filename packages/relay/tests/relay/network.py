"""Entries that exchange gossip messages in memory, without a network."""

from __future__ import annotations

from types import SimpleNamespace

from lacewingcourse.core.pipelines.freshness import Freshness
from lacewingcourse.core.pipelines.peers import PeerTable, Role
from lacewingcourse.relay.gossip import Gossip
from lacewingcourse.relay.peer_messages import GossipMessage, decode, encode
from lacewingcourse.relay.peers import GOSSIP_PERIOD
from lacewingcourse.relay.routing_state import RoutingState


class Clock:
    """A clock that a test sets."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


def holder_stub(name: str, book: PeerTable, clock: Clock) -> SimpleNamespace:
    """Return a stub for the duty holder, for tests that do not use it."""
    return SimpleNamespace(lease=None, released=0, from_peer=lambda *news: None)


class Network:
    """Entries that gossip in rounds, without delay.

    Attributes:
        clock: Clock of all entries.
        entries: Live entries by name.
        exchanges: Number of exchanges so far.
        make_holder: Returns an entry's view of the duty holder.
    """

    def __init__(self, zones: dict[str, int], make_holder=holder_stub) -> None:
        self.clock = Clock()
        self.make_holder = make_holder
        self.entries: dict[str, Gossip] = {}
        self.exchanges = 0
        for zone, count in zones.items():
            for number in range(count):
                self.add(f"{zone}-{number:02}", zone)
        first = min(self.entries)
        for entry in self.entries.values():
            entry.book.set_address(first, first, 0.0)

    def add(self, name: str, zone: str) -> Gossip:
        """Add an entry that knows no other one."""
        follower = SimpleNamespace(
            freshness=Freshness(1.0, 0.1), position=None, reachable=True
        )
        nothing = SimpleNamespace(
            draining=False,
            log_event=lambda *args, **fields: None,
            limit=lambda *fields: None,
        )
        book = PeerTable(name, zone)
        self.entries[name] = Gossip(
            name,
            name,
            book,
            RoutingState(),
            follower,
            follower,
            self.make_holder(name, book, self.clock),
            nothing,
            nothing,
            self.clock,
        )
        return self.entries[name]

    def exchange(self, initiator: Gossip, other_name: str, zone: str) -> None:
        """Send a message from one entry to another, and the reply back."""
        other = self.entries.get(other_name)
        if other is None:
            return
        self.exchanges += 1
        other.receive(
            decode(encode(initiator.message_for(other_name, zone)), GossipMessage)
        )
        answer = other.message_for(initiator.name, initiator.book.zone)
        initiator.receive(decode(encode(answer), GossipMessage))

    def run_rounds(self, count: int) -> None:
        """Run gossip rounds of all entries."""
        for _ in range(count):
            self.clock.now += GOSSIP_PERIOD
            for entry in list(self.entries.values()):
                entry.book.expire(self.clock.now)
                entry.routing_state.loads.expire(self.clock.now)
                for peer in entry.book.gossip_targets(self.clock.now):
                    self.exchange(entry, peer.name, peer.zone)

    def roles(self) -> dict[str, Role]:
        """Return the role of each entry."""
        now = self.clock.now
        return {name: entry.book.role(now) for name, entry in self.entries.items()}
