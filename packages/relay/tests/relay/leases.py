"""A lease store in memory whose content a test sets."""

from __future__ import annotations

from lacewingcourse.relay.ports import Lease


class Leases:
    """A lease store in memory.

    Attributes:
        lease: The present lease, or what a read returns instead.
        during_read: Called during each read.
        taken: Names of the holders that acquired the duty, in order.
    """

    def __init__(self, current, during_read=lambda: None) -> None:
        self.lease = current
        self.during_read = during_read
        self.taken: list[str] = []

    async def current(self):
        self.during_read()
        return self.lease

    async def acquire(self, holder, after):
        self.taken.append(holder)
        self.lease = Lease(holder, (after.fencing if after else 0) + 1)
        return self.lease
