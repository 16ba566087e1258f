"""Other entries: which are alive, and which of all reads the platform for the rest."""

from __future__ import annotations

import attrs

#: Seconds after which an entry that was not heard is taken to be gone. Entries speak
#: four times a second; a freeze or a cut of a second must not be missed by all.
PEER_SILENT = 1.2
#: Seconds for which the address of a silent entry is still tried.
PEER_FORGOTTEN = 20.0
#: Entries that one speaks to at the most. All of a deployment of today; at hundreds
#: of entries each speaks to those that follow it in order of their names.
MOST_PEERS = 8


@attrs.define
class Peer:
    """Another entry.

    Attributes:
        name: Its name.
        address: Address for entries.
        heard_at: When it was last heard, seconds; minus infinity before.
        known_since: When its address was learned.
        leaving: Whether it is ending.
    """

    name: str
    address: str
    heard_at: float = float("-inf")
    known_since: float = 0.0
    leaving: bool = False


@attrs.define
class PeerBook:
    """The other entries that are known.

    Attributes:
        name: Name of this entry.
        peers: Others by name.
        started_at: When this entry started, seconds.
    """

    name: str
    peers: dict[str, Peer] = attrs.field(factory=dict)
    started_at: float = 0.0

    def learn(self, name: str, address: str, now: float) -> None:
        """Take the address of an entry."""
        if name == self.name:
            return
        known = self.peers.get(name)
        if known is None or known.address != address:
            self.peers[name] = Peer(name, address, known_since=now)

    def hear(self, name: str, address: str, leaving: bool, now: float) -> None:
        """Note that an entry was heard."""
        if name == self.name:
            return
        self.learn(name, address, now)
        self.peers[name].heard_at = now
        self.peers[name].leaving = leaving

    def alive(self, now: float) -> list[str]:
        """Return the names of the entries that are alive, this one among them."""
        heard = [
            peer.name
            for peer in self.peers.values()
            if now - peer.heard_at <= PEER_SILENT and not peer.leaving
        ]
        return sorted([self.name, *heard])

    def rank(self, now: float) -> int:
        """Return how many entries alive come before this one."""
        return self.alive(now).index(self.name)

    def is_silent(self, name: str, seconds: float, now: float) -> bool:
        """Tell whether an entry was not heard for some time.

        One that was never heard is silent once this entry could have heard it.
        """
        if name == self.name:
            return False
        peer = self.peers.get(name)
        heard_at = peer.heard_at if peer is not None else float("-inf")
        return now - max(heard_at, self.started_at) > seconds

    def partners(self, now: float) -> list[Peer]:
        """Return the entries to speak to: those that follow in order of names.

        Of two entries one speaks and the other answers, but for one that has gone
        silent, which both try.
        """
        known = sorted(self.peers.values(), key=lambda peer: peer.name)
        after = [peer for peer in known if peer.name > self.name]
        before = [peer for peer in known if peer.name < self.name]
        silent = [peer for peer in before if now - peer.heard_at > PEER_SILENT / 2]
        return (after + silent)[:MOST_PEERS]

    def expire(self, now: float) -> None:
        """Forget entries that have been silent for long."""
        for peer in list(self.peers.values()):
            if now - max(peer.heard_at, peer.known_since) > PEER_FORGOTTEN:
                del self.peers[peer.name]
