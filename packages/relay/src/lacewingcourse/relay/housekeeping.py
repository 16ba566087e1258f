"""What an entry does a few times a second: forgetting, and noticing freezes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.relay.boot_clock import boot_time

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.peers import PeerTable
    from lacewingcourse.core.pipelines.permits import PermitIssuer
    from lacewingcourse.core.pipelines.retry_budget import RetryBudget
    from lacewingcourse.relay.beliefs import Beliefs
    from lacewingcourse.relay.connections import ConnectionPool

#: Seconds between two rounds.
PERIOD = 0.25
#: Seconds that this process must have been frozen for to doubt what it knows.
FREEZE = 0.5


@attrs.define
class Housekeeping:
    """Forgets what is over.

    Attributes:
        beliefs: What this entry believes.
        pool: Connections to endpoints.
        book: The other entries.
        budget: Repeats that are left.
        issuer: Permits that this entry has given out.
        clock: Returns the present time in seconds.
        on_thaw: Called with the seconds for which this process was frozen.
    """

    beliefs: Beliefs
    pool: ConnectionPool
    book: PeerTable
    budget: RetryBudget
    issuer: PermitIssuer
    clock: Callable[[], float]
    on_thaw: Callable[[float], None]

    async def run(self) -> None:
        """Keep house for ever."""
        asleep = seconds_asleep(self.clock())
        while True:
            now = self.clock()
            slept, asleep = seconds_asleep(now) - asleep, seconds_asleep(now)
            if slept > FREEZE:
                self.on_thaw(slept)
            self.forget(now)
            await asyncio.sleep(PERIOD)

    def forget(self, now: float) -> None:
        """Forget what is over, and count the entries that share the budget."""
        self.pool.expire(now)
        for peer in self.beliefs.loads.expire(now):
            self.beliefs.links.forget(peer)
        self.beliefs.suspects.expire(now)
        self.beliefs.speeds.expire(now)
        self.beliefs.crashes.expire(now)
        self.beliefs.send_limits.expire(self.beliefs.fleet.endpoints, now)
        self.beliefs.send_limits.sharing.entries = self.book.count(now)
        self.issuer.expire(now)
        self.budget.entries = max(self.book.count(now), self.budget.entries)
        self.budget.known_entries = 1 + len(self.book.peers)


def seconds_asleep(now: float) -> float:
    """Return the seconds that the loop's clock did not count, up to a constant.

    The loop's clock stands still while the machine is suspended; this one does not.

    Args:
        now: Present time of the loop's clock in seconds.
    """
    return boot_time() - now
