"""Who reads the log and who tells whom of a new version."""

from __future__ import annotations

import hashlib
import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Sequence

#: Entries that read the log at rest.
LOG_READERS = 3
#: Entries that an entry tells of a new version.
FINGERS = 3
#: Agents that an entry or an agent tells of a new version; these tell others.
RELAY_BRANCHES = 3
#: Entries among which an agent looks for a newer version.
HOME_ENTRIES = 2


@attrs.frozen
class RelayBranch:
    """A receiver of a new version and those that it tells in its turn.

    Attributes:
        head: URL of the receiver.
        rest: URLs of those that it tells.
    """

    head: str
    rest: tuple[str, ...]


def ranked(names: Iterable[str]) -> list[str]:
    """Return names in an order that all processes agree on and nobody chose."""
    return sorted(names, key=lambda name: hashlib.sha256(name.encode()).digest())


def reader_rank(own: str, entries: Iterable[str]) -> int | None:
    """Return the rank of an entry among the readers of the log, None if it is none."""
    readers = ranked(entries)[:LOG_READERS]
    return readers.index(own) if own in readers else None


def stale_after(entries: int, check_interval: float) -> float:
    """Return the seconds after which nobody seems to read the log.

    Word of a read reaches all entries in about log2(entries) checks.
    """
    return check_interval * (2 + math.log2(max(entries, 1)))


def volunteers(entries: int, rng: random.Random) -> bool:
    """Decide whether an entry reads the log because nobody seems to.

    Of all entries that decide at a time, about as many volunteer as there are readers
    at rest, so that an outage of the log draws no crowd.
    """
    return rng.random() * max(entries, 1) < LOG_READERS


def fingers(own: str, entries: Iterable[str]) -> list[str]:
    """Return the entries that an entry tells of a new version.

    On the ring of all entries these stand at distances 1, k and k * k, where k is the
    third root of their number, so that a version reaches all in less than 3 * k hops,
    and a few entries that fail cut nobody off.
    """
    ring = sorted(set(entries) | {own})
    step = max(2, math.ceil(len(ring) ** (1 / FINGERS)))
    place = ring.index(own)
    found = []
    for exponent in range(FINGERS):
        name = ring[(place + step**exponent) % len(ring)]
        if name != own and name not in found:
            found.append(name)
    return found


def agents_of(own: str, entries: Iterable[str], agents: Iterable[str]) -> list[str]:
    """Return the agents that an entry tells of a new version: its even share."""
    ring = sorted(set(entries) | {own})
    ordered = sorted(agents)
    place, count = ring.index(own), len(ring)
    first = place * len(ordered) // count
    end = (place + 1) * len(ordered) // count
    return ordered[first:end]


def home_entries(agent: str, entries: Iterable[str]) -> list[str]:
    """Return the entries among which an agent looks for a newer version."""

    def weight(entry: str) -> bytes:
        return hashlib.sha256(f"{agent} {entry}".encode()).digest()

    return sorted(entries, key=weight)[:HOME_ENTRIES]


def relay_branches(urls: Sequence[str]) -> list[RelayBranch]:
    """Split receivers into branches of a tree."""
    branches = []
    for index in range(RELAY_BRANCHES):
        branch = urls[index::RELAY_BRANCHES]
        if branch:
            branches.append(RelayBranch(branch[0], tuple(branch[1:])))
    return branches
