"""What runs on each endpoint: requests and the memory that they take."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.path import Path

#: Seconds for which the loads that a peer told are believed.
PEER_LOADS_KEPT = 1.5


@attrs.define
class Load:
    """What runs on one endpoint.

    Attributes:
        requests: Requests on paths through it.
        leading: Requests of which it is the first part.
        cells: Tokens times layers that they are expected to take.
    """

    requests: int = 0
    leading: int = 0
    cells: float = 0.0

    def add(self, other: Load) -> None:
        """Add another load to this one."""
        self.requests += other.requests
        self.leading += other.leading
        self.cells += other.cells


@attrs.define
class LoadBook:
    """The load that this entry put on each endpoint, and what its peers told.

    Entries are the only callers, so the sum over them is the load, but for the time
    that the peers' figures take to arrive.

    Attributes:
        own: This entry's load by endpoint.
        peers: Loads by endpoint of each peer, with the time at which they arrived.
    """

    own: dict[str, Load] = attrs.field(factory=dict)
    peers: dict[str, tuple[float, dict[str, Load]]] = attrs.field(factory=dict)

    def begin(self, path: Path, tokens: int) -> None:
        """Note a request on a path."""
        self._change(path, tokens, 1)

    def end(self, path: Path, tokens: int) -> None:
        """Note the end of a request that had begun with the same arguments."""
        self._change(path, tokens, -1)

    def begin_call(self, endpoint: str) -> None:
        """Note a call of a plain service."""
        load = self.own.setdefault(endpoint, Load())
        load.requests += 1
        load.leading += 1

    def end_call(self, endpoint: str) -> None:
        """Note the end of a call of a plain service."""
        load = self.own[endpoint]
        load.requests -= 1
        load.leading -= 1
        if not load.requests:
            del self.own[endpoint]

    def from_peer(self, peer: str, loads: dict[str, Load], now: float) -> None:
        """Take the loads that a peer told."""
        self.peers[peer] = (now, loads)

    def forget(self, peer: str) -> None:
        """Forget the loads that were kept under a name."""
        self.peers.pop(peer, None)

    def total(self, included: Callable[[str], bool]) -> dict[str, Load]:
        """Return this entry's loads with those of some peers added.

        Args:
            included: Tells of a name under which loads are kept whether they count.
        """
        books = [self.own]
        books += [loads for peer, (_, loads) in self.peers.items() if included(peer)]
        found: dict[str, Load] = {}
        for book in books:
            for endpoint, load in book.items():
                found.setdefault(endpoint, Load()).add(load)
        return found

    def expire(self, now: float) -> list[str]:
        """Forget peers that have been silent for too long; return their names."""
        silent = [
            peer
            for peer, (told_at, _) in self.peers.items()
            if now - told_at > PEER_LOADS_KEPT
        ]
        for peer in silent:
            del self.peers[peer]
        return silent

    def of(self, endpoint: str) -> Load:
        """Return the load of an endpoint over all entries."""
        total = Load()
        for load in self._loads(endpoint):
            total.add(load)
        return total

    def _loads(self, endpoint: str):
        if endpoint in self.own:
            yield self.own[endpoint]
        for _, loads in self.peers.values():
            if endpoint in loads:
                yield loads[endpoint]

    def _change(self, path: Path, tokens: int, sign: int) -> None:
        for index, part in enumerate(path.parts):
            load = self.own.setdefault(part.endpoint, Load())
            load.requests += sign
            load.leading += sign if index == 0 else 0
            load.cells += sign * tokens * len(part.layers)
            if not load.requests:
                del self.own[part.endpoint]
