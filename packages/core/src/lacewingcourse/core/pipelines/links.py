"""Utilisation of the links between availability zones by the transfer of prompts."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

#: Window in seconds over which the utilisation of a link is calculated.
USAGE_WINDOW_SECONDS = 1.0
#: Maximum share of a link's time for the transfer of prompts. Transfers queue, and the
#: tokens of all paths over the link queue behind them. Above one half, the delays
#: exceed the pauses between events that callers accept.
MAX_LINK_UTILISATION = 0.45

#: Names of the two zones of a link, sorted.
ZonePair = tuple[str, str]


def zone_pair(first: str, second: str) -> ZonePair:
    """Return the pair of two zones, the same for both directions."""
    return (first, second) if first < second else (second, first)


@attrs.define
class LinkUsage:
    """Utilisation of links by the requests of this entry and of its peers.

    Attributes:
        own: Start and duration of this entry's transfers in seconds, by zone pair.
        peers: Shares of the links' time that each peer reported, by zone pair.
    """

    own: dict[ZonePair, deque[tuple[float, float]]] = attrs.field(factory=dict)
    peers: dict[str, dict[ZonePair, float]] = attrs.field(factory=dict)

    def record_transfer(self, pair: ZonePair, seconds: float, now: float) -> None:
        """Record a transfer that occupies a link for some seconds."""
        self.own.setdefault(pair, deque()).append((now, seconds))

    def own_utilisation(self, pair: ZonePair, now: float) -> float:
        """Return the share of a link's time that this entry's transfers occupy."""
        transfers = self.own.get(pair)
        if not transfers:
            return 0.0
        while transfers and transfers[0][0] <= now - USAGE_WINDOW_SECONDS:
            transfers.popleft()
        return sum(seconds for _, seconds in transfers) / USAGE_WINDOW_SECONDS

    def own_utilisations(self, now: float) -> dict[ZonePair, float]:
        """Return the shares that this entry's transfers occupy, without idle links."""
        found = {pair: self.own_utilisation(pair, now) for pair in self.own}
        return {pair: share for pair, share in found.items() if share > 0}

    def from_peer(self, peer: str, shares: dict[ZonePair, float]) -> None:
        """Store the shares that a peer reported."""
        self.peers[peer] = shares

    def total(
        self, now: float, included: Callable[[str], bool]
    ) -> dict[ZonePair, float]:
        """Return the sum of this entry's shares and those of some peers, by zone pair.

        Args:
            now: Current time in seconds.
            included: Returns whether the shares of a peer count, given the name under
                which they are stored.
        """
        found = self.own_utilisations(now)
        for peer, shares in self.peers.items():
            if included(peer):
                for pair, share in shares.items():
                    found[pair] = found.get(pair, 0.0) + share
        return found

    def forget(self, peer: str) -> None:
        """Remove the shares of a peer."""
        self.peers.pop(peer, None)

    def utilisation(self, pair: ZonePair, now: float) -> float:
        """Return the share of a link's time that is occupied, over all entries."""
        peer_share = sum(shares.get(pair, 0.0) for shares in self.peers.values())
        return peer_share + self.own_utilisation(pair, now)
