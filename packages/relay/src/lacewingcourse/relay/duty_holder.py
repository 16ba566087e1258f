"""The lease of the placement duty, which one entry holds at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.relay.ports import Lease, Unavailable

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.ports import LeaseStore

#: Seconds without a message from the holder at any entry after which it is replaced.
HOLDER_TIMEOUT = 2.0
#: Seconds by which an entry delays its takeover for each entry of a lower rank. A
#: takeover reads and writes the store, and takes as long again to reach other entries.
TAKEOVER_DELAY_PER_RANK = 0.1


@attrs.define
class DutyHolder:
    """The lease of the duty as this entry knows it.

    Attributes:
        name: Name of this entry.
        store: Store of the lease.
        log: Decision log.
        clock: Returns the present time in seconds.
        rank: Returns how many live entries precede this one.
        is_leaving: Returns whether this entry is ending.
        on_change: Called when the known lease changes.
        lease: The lease, None if unknown.
        heard_at: When any entry last received a message from the holder, seconds.
        released: Fencing number of the last holder that released the duty.
    """

    name: str
    store: LeaseStore
    log: DecisionLog
    clock: Callable[[], float]
    rank: Callable[[], int]
    is_leaving: Callable[[], bool]
    on_change: Callable[[], None] = lambda: None
    lease: Lease | None = None
    heard_at: float = float("-inf")
    released: int = 0

    @property
    def held(self) -> bool:
        """Whether this entry has the duty."""
        return self.lease is not None and self.lease.holder == self.name

    @property
    def fencing(self) -> int:
        """Fencing number of the known holder, 0 if none is known."""
        return self.lease.fencing if self.lease is not None else 0

    def from_peer(
        self, holder: str, fencing: int, age: float = 0.0, released: int = 0
    ) -> None:
        """Apply what another entry knows of the lease.

        Args:
            holder: Name of the holder.
            fencing: Its fencing number, 0 if the other entry knows of no holder.
            age: Seconds since any entry received a message from the holder.
            released: Fencing number of the last holder that released the duty.
        """
        # A lease that nobody knows cannot have been released.
        if released <= max(fencing, self.fencing):
            self.released = max(self.released, released)
        heard_at = self.clock() - max(0.0, age)
        if fencing > self.fencing:
            self.accept_lease(Lease(holder, fencing), heard_at)
        elif fencing == self.fencing:
            self.heard_at = max(self.heard_at, heard_at)

    def holder_age(self) -> float:
        """Return the seconds since any entry received a message from the holder."""
        return 0.0 if self.held else self.clock() - self.heard_at

    def accept_lease(self, lease: Lease, heard_at: float) -> None:
        """Store a lease that was not known before."""
        self.lease = lease
        self.heard_at = heard_at
        self.on_change()

    def should_acquire(self) -> bool:
        """Return whether this entry should acquire the duty, by its own knowledge.

        Gossip messages carry the age of the holder's last message. In a large
        deployment most entries receive messages of a holder in another availability
        zone through hubs only; without the age each of them would consider the holder
        dead. A lease that this entry first reads in the store gets the whole timeout.
        Entries take over in order of rank.
        """
        if self.is_leaving() or self.held:
            return False
        if self.lease is None:
            return True
        delay = self.rank() * TAKEOVER_DELAY_PER_RANK
        if self.released < self.fencing:
            delay += HOLDER_TIMEOUT
        return self.holder_age() > delay

    async def acquire(self) -> None:
        """Acquire the duty unless another entry has acquired it meanwhile."""
        found = await self.store.current()
        if isinstance(found, Unavailable):
            return
        # A lease in this entry's own name was acquired by an earlier incarnation.
        held_by_other = found is not None and found.holder != self.name
        if held_by_other and found.fencing > self.fencing:
            self.accept_lease(found, self.clock())
        if not self.should_acquire():
            return
        acquired = await self.store.acquire(self.name, found)
        if isinstance(acquired, Lease):
            self.accept_lease(acquired, self.clock())
            self.log.log_event("duty_taken", fencing=acquired.fencing)

    def release(self) -> None:
        """Allow another entry to acquire the duty; this entry holds it until then."""
        self.released = max(self.released, self.fencing)
