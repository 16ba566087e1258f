"""Duties that one entry at a time has, each under a lease of its own."""

from __future__ import annotations

from typing import Protocol

from lacewingcourse.core.registry import Registry
from lacewingcourse.entry.host import Host


class HeldLeases(Protocol):
    """Which leases this entry holds."""

    def holds(self, duty: str) -> int | None:
        """Return the fencing number while this entry may act, else None."""


class DutyHost(Host, Protocol):
    """What a duty needs of the entry.

    Attributes:
        leases: Leases that it holds.
    """

    leases: HeldLeases


class Duty:
    """Work of the one entry that holds the duty's lease; variants override `step`.

    Attributes:
        name: Name in the registry, and of the lease.
        interval: Seconds between two steps.
        entry: The entry's daemon.
    """

    name = ""
    interval = 0.5

    def __init__(self, entry: DutyHost) -> None:
        self.entry = entry

    def number(self) -> int | None:
        """Return the fencing number while the lease is held, to be asked before
        each act, else None."""
        return self.entry.leases.holds(self.name)

    def begin(self) -> None:
        """Forget what an earlier time as holder has left."""

    async def step(self) -> None:
        """Do the next piece of work; the lease was held a moment ago."""
        raise NotImplementedError


DUTIES: Registry[type[Duty]] = Registry("duty")
