"""Load of each endpoint: requests that run there and the memory that they take."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.path import Path

#: Seconds for which the loads that a peer reported are used.
PEER_LOADS_TTL = 1.5


@attrs.define
class Load:
    """The load of one endpoint.

    Attributes:
        requests: Number of requests on paths through it.
        first_part_requests: Number of requests on paths that start with it.
        token_layers: Memory that the requests are expected to take, in tokens times
            layers.
    """

    requests: int = 0
    first_part_requests: int = 0
    token_layers: float = 0.0

    def add(self, other: Load, sign: int = 1) -> None:
        """Add another load to this one, or subtract it if the sign is -1."""
        self.requests += sign * other.requests
        self.first_part_requests += sign * other.first_part_requests
        self.token_layers += sign * other.token_layers

    @property
    def idle(self) -> bool:
        """Whether no requests run."""
        return not (self.requests or self.first_part_requests or self.token_layers)


#: The load of an idle endpoint; shared, so it must not be modified.
NO_LOAD = Load()


@attrs.define
class LoadTable:
    """Loads that this entry and its peers put on each endpoint.

    Only entries send requests to endpoints, so the sum over all entries is the load of
    an endpoint, apart from the delay of the peers' reports.

    The sums are updated at each change, since the choice of one path reads the loads of
    about a hundred endpoints.

    Attributes:
        own: This entry's loads by endpoint.
        peers: Time of arrival and loads by endpoint of each peer's last report.
        sums: Sums of all loads by endpoint.
    """

    own: dict[str, Load] = attrs.field(factory=dict)
    peers: dict[str, tuple[float, dict[str, Load]]] = attrs.field(factory=dict)
    sums: dict[str, Load] = attrs.field(factory=dict)

    def begin(self, path: Path, tokens: int) -> None:
        """Add a request on a path.

        Args:
            path: The path.
            tokens: Tokens that the request is expected to hold.
        """
        self._apply_request(path, tokens, 1)

    def end(self, path: Path, tokens: int) -> None:
        """Remove a request that was added with the same arguments."""
        self._apply_request(path, tokens, -1)

    def begin_call(self, endpoint: str) -> None:
        """Add a call of a plain service."""
        self._add_own(endpoint, Load(1, 1), 1)

    def end_call(self, endpoint: str) -> None:
        """Remove a call of a plain service."""
        self._add_own(endpoint, Load(1, 1), -1)

    def from_peer(self, peer: str, loads: dict[str, Load], now: float) -> None:
        """Replace the loads of a peer by those that it reported."""
        self.forget(peer)
        self.peers[peer] = (now, loads)
        for endpoint, load in loads.items():
            _add_to(self.sums, endpoint, load, 1)

    def forget(self, peer: str) -> None:
        """Remove the loads of a peer, by the name under which they are stored."""
        _, loads = self.peers.pop(peer, (0.0, {}))
        for endpoint, load in loads.items():
            _add_to(self.sums, endpoint, load, -1)

    def total(self, included: Callable[[str], bool]) -> dict[str, Load]:
        """Return the sum of this entry's loads and those of some peers, by endpoint.

        The smaller of the two sets of peers is processed: the included ones are added
        to this entry's loads, or the excluded ones are subtracted from the sums. A hub
        sends each entry of its zone the loads of all other entries, several times per
        second.

        Args:
            included: Returns whether the loads of a peer count, given the name under
                which they are stored.
        """
        excluded = [peer for peer in self.peers if not included(peer)]
        if 2 * len(excluded) > len(self.peers):
            counted = [
                loads for peer, (_, loads) in self.peers.items() if included(peer)
            ]
            return _sum_loads(self.own, counted, 1)
        return _sum_loads(self.sums, [self.peers[peer][1] for peer in excluded], -1)

    def expire(self, now: float) -> list[str]:
        """Remove peers whose last report is too old; return their names."""
        silent = [
            peer
            for peer, (received_at, _) in self.peers.items()
            if now - received_at > PEER_LOADS_TTL
        ]
        for peer in silent:
            self.forget(peer)
        return silent

    def get(self, endpoint: str) -> Load:
        """Return the load of an endpoint over all entries; do not modify it."""
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
    """Return loads with others added, or subtracted; without idle endpoints."""
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
    """Add a load to that of an endpoint, or subtract it; drop an idle endpoint."""
    known = loads.get(endpoint)
    if known is None:
        known = loads[endpoint] = Load()
    known.add(load, sign)
    if known.idle:
        del loads[endpoint]
