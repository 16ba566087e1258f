"""How busy the links between availability zones are with prompts."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

#: Seconds over which the use of a link is counted.
USAGE_WINDOW_SECONDS = 1.0
#: Share of a link's time that prompts may take. Transfers wait for one another, and
#: every token of every path over the link waits with them; above one half the waits
#: grow past the pauses that callers accept.
MAX_LINK_UTILISATION = 0.45

#: Two zones in order of their names.
ZonePair = tuple[str, str]


def zone_pair(first: str, second: str) -> ZonePair:
    """Return the pair of two zones."""
    return (first, second) if first < second else (second, first)


@attrs.define
class LinkUsage:
    """The use of links by this entry's requests, and by those of its peers.

    Attributes:
        own: Times and seconds of this entry's transfers, by pair.
        peers: Shares of the links' time that each peer told, by pair.
    """

    own: dict[ZonePair, deque[tuple[float, float]]] = attrs.field(factory=dict)
    peers: dict[str, dict[ZonePair, float]] = attrs.field(factory=dict)

    def record_transfer(self, pair: ZonePair, seconds: float, now: float) -> None:
        """Note a transfer that takes a link for some seconds."""
        self.own.setdefault(pair, deque()).append((now, seconds))

    def own_utilisation(self, pair: ZonePair, now: float) -> float:
        """Return the share of a link's time that this entry's requests take."""
        transfers = self.own.get(pair)
        if not transfers:
            return 0.0
        while transfers and transfers[0][0] <= now - USAGE_WINDOW_SECONDS:
            transfers.popleft()
        return sum(seconds for _, seconds in transfers) / USAGE_WINDOW_SECONDS

    def own_utilisations(self, now: float) -> dict[ZonePair, float]:
        """Return the shares that this entry's requests take, without idle links."""
        found = {pair: self.own_utilisation(pair, now) for pair in self.own}
        return {pair: share for pair, share in found.items() if share > 0}

    def from_peer(self, peer: str, shares: dict[ZonePair, float]) -> None:
        """Take the shares that a peer told."""
        self.peers[peer] = shares

    def total(
        self, now: float, included: Callable[[str], bool]
    ) -> dict[ZonePair, float]:
        """Return this entry's shares with those of some peers added.

        Args:
            now: Present time in seconds.
            included: Tells of a name under which shares are kept whether they count.
        """
        found = self.own_utilisations(now)
        for peer, shares in self.peers.items():
            if included(peer):
                for pair, share in shares.items():
                    found[pair] = found.get(pair, 0.0) + share
        return found

    def forget(self, peer: str) -> None:
        """Forget a peer that has fallen silent."""
        self.peers.pop(peer, None)

    def utilisation(self, pair: ZonePair, now: float) -> float:
        """Return the share of a link's time that is taken, over all entries."""
        peer_share = sum(shares.get(pair, 0.0) for shares in self.peers.values())
        return peer_share + self.own_utilisation(pair, now)
