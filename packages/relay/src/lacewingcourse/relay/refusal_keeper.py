"""Keeps refusals of prompt parts in the platform's store, for entries that restart."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.relay.ports import StoredRefusal, Unavailable

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.prompt_parts import PartHistory
    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.ports import RefusalStore

#: Seconds between two attempts to read or write while the store is unavailable.
RETRY_PERIOD = 1.0


@attrs.define
class RefusalKeeper:
    """Reads the stored refusals once, and stores those that this entry makes.

    Attributes:
        store: The store.
        parts: Refusals of this entry.
        log: Decision log.
        clock: Returns the present time in seconds.
        pending: Parts whose refusal was made or cleared and not stored yet.
        wake: Set when a part is pending.
    """

    store: RefusalStore
    parts: PartHistory
    log: DecisionLog
    clock: Callable[[], float]
    pending: set[str] = attrs.field(factory=set)
    wake: asyncio.Event = attrs.field(factory=asyncio.Event)

    def on_change(self, part: str) -> None:
        """Store the refusal of a part, or remove one that was cleared."""
        self.pending.add(part)
        self.wake.set()

    async def run(self) -> None:
        """Read the stored refusals, then store changes until cancelled."""
        while not await self.load():
            await asyncio.sleep(RETRY_PERIOD)
        while True:
            await self.wake.wait()
            self.wake.clear()
            while not await self.store_pending():
                await asyncio.sleep(RETRY_PERIOD)

    async def load(self) -> bool:
        """Adopt the stored refusals; return whether the store answered."""
        found = await self.store.stored()
        if isinstance(found, Unavailable):
            self.log.log_event("refusals_unavailable", reason=found.reason)
            return False
        for stored in found:
            if self.parts.restore(
                stored.part, stored.count, stored.companions, self.clock()
            ):
                self.log.log_event(
                    "part_refused",
                    part=stored.part,
                    origin="store",
                    count=stored.count,
                )
        return True

    async def store_pending(self) -> bool:
        """Store what is pending; return whether the store accepted all of it."""
        for part in sorted(self.pending):
            self.pending.discard(part)
            refusal = self.parts.refused.get(part)
            if refusal is None:
                failed = await self.store.remove(part)
            else:
                companions = sorted(refusal.companions)
                stored = StoredRefusal(part, refusal.count, companions)
                failed = await self.store.store_refusal(stored)
            if failed is not None:
                self.pending.add(part)
                self.log.log_event("refusals_unavailable", reason=failed.reason)
                return False
        return True
