"""Who has the duty of placing layers: one entry at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.relay.ports import Lease, Unavailable

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.ports import LeaseStore

#: Seconds after which a holder that nobody hears is replaced.
HOLDER_TIMEOUT = 2.0
#: Seconds that each further entry leaves to those before it to take over. A take-over
#: takes a read and a write of the store, and its news as long again.
TAKEOVER_DELAY_PER_RANK = 0.1


@attrs.define
class DutyHolder:
    """What this entry knows of who has the duty.

    Attributes:
        name: Name of this entry.
        store: Where the holder is agreed on.
        log: Log of decisions.
        clock: Returns the present time in seconds.
        rank: Returns how many live entries come before this one.
        is_leaving: Tells whether this entry is ending.
        on_change: Called when another holder is believed in.
        lease: Who has the duty, None if unknown.
        heard_at: When the holder was last heard by anybody, seconds.
        released: Fencing number of the last holder that gave the duty back.
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
        """Fencing number of the holder that is known, 0 for none."""
        return self.lease.fencing if self.lease is not None else 0

    def from_peer(
        self, holder: str, fencing: int, age: float = 0.0, released: int = 0
    ) -> None:
        """Take from another entry who has the duty.

        Args:
            holder: Name of the holder.
            fencing: Its fencing number, 0 if the other entry knows of none.
            age: Seconds since anybody heard the holder.
            released: Fencing number of the last holder that gave the duty back.
        """
        self.released = max(self.released, released)
        heard_at = self.clock() - age
        if fencing > self.fencing:
            self.accept_lease(Lease(holder, fencing), heard_at)
        elif fencing == self.fencing:
            self.heard_at = max(self.heard_at, heard_at)

    def holder_age(self) -> float:
        """Return the seconds since anybody heard the holder."""
        return 0.0 if self.held else self.clock() - self.heard_at

    def accept_lease(self, lease: Lease, heard_at: float) -> None:
        """Believe in a holder that was not known before."""
        self.lease = lease
        self.heard_at = heard_at
        self.on_change()

    def should_acquire(self) -> bool:
        """Tell whether this entry should take the duty, as far as is known here.

        The age of the holder's word travels with the news: most entries of a large
        deployment hear a holder of another zone through hubs only, and each for itself
        would take it to be dead. A record that is new to this entry is given the
        whole time, and entries take over in order of their ranks.
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
        """Take the duty unless somebody else has it by now."""
        found = await self.store.current()
        if isinstance(found, Unavailable):
            return
        # A record with this entry's own name is one of an earlier incarnation.
        other_holder = found is not None and found.holder != self.name
        if other_holder and found.fencing > self.fencing:
            self.accept_lease(found, self.clock())
        if not self.should_acquire():
            return
        acquired = await self.store.acquire(self.name, found)
        if isinstance(acquired, Lease):
            self.accept_lease(acquired, self.clock())
            self.log.log_event("duty_taken", fencing=acquired.fencing)

    def release(self) -> None:
        """Let another entry take the duty; until one does it stays here."""
        self.released = max(self.released, self.fencing)
