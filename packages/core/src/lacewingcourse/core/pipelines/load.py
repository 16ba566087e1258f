"""What runs on each endpoint: requests and the memory that they take."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.path import Path

#: Seconds for which the loads that a peer told are believed.
PEER_LOADS_TTL = 1.5


@attrs.define
class Load:
    """What runs on one endpoint.

    Attributes:
        requests: Requests on paths through it.
        leading: Requests of which it is the first part.
        cells: Tokens times layers that they are expected to take.
    """

    requests: int = 0
    first_part_requests: int = 0
    token_layers: float = 0.0

    def add(self, other: Load, sign: int = 1) -> None:
        """Add another load to this one, or take it away."""
        self.requests += sign * other.requests
        self.first_part_requests += sign * other.first_part_requests
        self.token_layers += sign * other.token_layers

    @property
    def idle(self) -> bool:
        """Whether nothing runs."""
        return not (self.requests or self.first_part_requests or self.token_layers)


#: The load of an endpoint on which nothing runs; never changed.
NO_LOAD = Load()


@attrs.define
class LoadTable:
    """The load that this entry put on each endpoint, and what its peers told.

    Entries are the only callers, so the sum over them is the load, but for the time
    that the peers' figures take to arrive.

    The sum of each endpoint is kept up to date at each change, since a choice looks at
    a hundred of them.

    Attributes:
        own: This entry's load by endpoint.
        peers: Loads by endpoint of each peer, with the time at which they arrived.
        sums: Sum of all by endpoint.
    """

    own: dict[str, Load] = attrs.field(factory=dict)
    peers: dict[str, tuple[float, dict[str, Load]]] = attrs.field(factory=dict)
    sums: dict[str, Load] = attrs.field(factory=dict)

    def begin(self, path: Path, tokens: int) -> None:
        """Note a request on a path."""
        self._apply_request(path, tokens, 1)

    def end(self, path: Path, tokens: int) -> None:
        """Note the end of a request that had begun with the same arguments."""
        self._apply_request(path, tokens, -1)

    def begin_call(self, endpoint: str) -> None:
        """Note a call of a plain service."""
        self._add_own(endpoint, Load(1, 1), 1)

    def end_call(self, endpoint: str) -> None:
        """Note the end of a call of a plain service."""
        self._add_own(endpoint, Load(1, 1), -1)

    def from_peer(self, peer: str, loads: dict[str, Load], now: float) -> None:
        """Take the loads that a peer told."""
        self.forget(peer)
        self.peers[peer] = (now, loads)
        for endpoint, load in loads.items():
            _add_to(self.sums, endpoint, load, 1)

    def forget(self, peer: str) -> None:
        """Forget the loads that were kept under a name."""
        _, loads = self.peers.pop(peer, (0.0, {}))
        for endpoint, load in loads.items():
            _add_to(self.sums, endpoint, load, -1)

    def total(self, included: Callable[[str], bool]) -> dict[str, Load]:
        """Return this entry's loads with those of some peers added.

        The fewer of two are gone through: what counts, or what does not. A hub tells
        each entry of its zone the loads of all but that one, several times a second.

        Args:
            included: Tells of a name under which loads are kept whether they count.
        """
        excluded = [peer for peer in self.peers if not included(peer)]
        if 2 * len(excluded) > len(self.peers):
            counted = [
                loads for peer, (_, loads) in self.peers.items() if included(peer)
            ]
            return _sum_loads(self.own, counted, 1)
        return _sum_loads(self.sums, [self.peers[peer][1] for peer in excluded], -1)

    def expire(self, now: float) -> list[str]:
        """Forget peers that have been silent for too long; return their names."""
        silent = [
            peer
            for peer, (received_at, _) in self.peers.items()
            if now - received_at > PEER_LOADS_TTL
        ]
        for peer in silent:
            self.forget(peer)
        return silent

    def get(self, endpoint: str) -> Load:
        """Return the load of an endpoint over all entries."""
        return self.sums.get(endpoint, NO_LOAD)

    def _apply_request(self, path: Path, tokens: int, sign: int) -> None:
        for index, part in enumerate(path.parts):
            load = Load(1, int(index == 0), tokens * len(part.layers))
            self._add_own(part.endpoint, load, sign)

    def _add_own(self, endpoint: str, load: Load, sign: int) -> None:
        _add_to(self.own, endpoint, load, sign)
        _add_to(self.sums, endpoint, load, sign)


def _sum_loads(
    first: dict[str, Load], others: list[dict[str, Load]], sign: int
) -> dict[str, Load]:
    """Return loads with some others added, or taken away; without idle endpoints."""
    found = dict(first)
    changed = {endpoint for loads in others for endpoint in loads}
    for endpoint in changed:
        load = Load()
        load.add(first.get(endpoint, NO_LOAD))
        for loads in others:
            load.add(loads.get(endpoint, NO_LOAD), sign)
        found[endpoint] = load
        if load.idle:
            del found[endpoint]
    return found


def _add_to(loads: dict[str, Load], endpoint: str, load: Load, sign: int) -> None:
    """Add a load to the one of an endpoint, or take it away."""
    known = loads.get(endpoint)
    if known is None:
        known = loads[endpoint] = Load()
    known.add(load, sign)
    if known.idle:
        del loads[endpoint]
