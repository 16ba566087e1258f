"""Entries that exchange news with one another, without a network."""

from __future__ import annotations

from types import SimpleNamespace

from lacewingcourse.core.pipelines.freshness import Freshness
from lacewingcourse.core.pipelines.peers import PeerBook, Role
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


def no_holder(name: str, book: PeerBook, clock: Clock) -> SimpleNamespace:
    """Return what stands for the holder of the duty where no test looks at it."""
    return SimpleNamespace(lease=None, released=0, from_peer=lambda *news: None)


class Network:
    """Entries that exchange news in rounds, without delay.

    Attributes:
        clock: The clock of all.
        entries: Entries that are alive, by name.
        exchanges: Exchanges so far.
        make_holder: Returns what an entry knows of the holder of the duty.
    """

    def __init__(self, zones: dict[str, int], make_holder=no_holder) -> None:
        self.clock = Clock()
        self.make_holder = make_holder
        self.entries: dict[str, Gossip] = {}
        self.exchanges = 0
        for zone, count in zones.items():
            for number in range(count):
                self.add(f"{zone}-{number:02}", zone)
        first = min(self.entries)
        for entry in self.entries.values():
            entry.book.learn(first, first, 0.0)

    def add(self, name: str, zone: str) -> Gossip:
        """Add an entry that knows nobody."""
        follower = SimpleNamespace(
            freshness=Freshness(1.0, 0.1), position=None, reachable=True
        )
        nothing = SimpleNamespace(
            leaving=False,
            log_event=lambda *args, **fields: None,
            limit=lambda *fields: None,
        )
        book = PeerBook(name, zone)
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

    def exchange(self, one: Gossip, other_name: str, zone: str) -> None:
        """Let one entry speak to another, and that one answer."""
        other = self.entries.get(other_name)
        if other is None:
            return
        self.exchanges += 1
        other.receive(decode(encode(one.message_for(other_name, zone)), GossipMessage))
        answer = other.message_for(one.name, one.book.zone)
        one.receive(decode(encode(answer), GossipMessage))

    def rounds(self, count: int) -> None:
        """Let all entries speak for some rounds."""
        for _ in range(count):
            self.clock.now += GOSSIP_PERIOD
            for entry in list(self.entries.values()):
                entry.book.expire(self.clock.now)
                entry.routing_state.loads.expire(self.clock.now)
                for peer in entry.book.partners(self.clock.now):
                    self.exchange(entry, peer.name, peer.zone)

    def roles(self) -> dict[str, Role]:
        """Return the role of each entry."""
        now = self.clock.now
        return {name: entry.book.role(now) for name, entry in self.entries.items()}
