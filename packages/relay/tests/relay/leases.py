"""A lease store that a test sets."""

from __future__ import annotations

from lacewingcourse.relay.ports import Lease


class Leases:
    """A lease store that a test sets."""

    def __init__(self, current, during_read=lambda: None) -> None:
        self.holder = current
        self.during_read = during_read
        self.taken: list[str] = []

    async def current(self):
        self.during_read()
        return self.holder

    async def acquire(self, holder, after):
        self.taken.append(holder)
        self.holder = Lease(holder, (after.fencing if after else 0) + 1)
        return self.holder
