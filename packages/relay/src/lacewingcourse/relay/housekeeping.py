"""Periodic work of an entry: removes expired state and detects suspensions."""

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
    from lacewingcourse.relay.connections import ConnectionPool
    from lacewingcourse.relay.routing_state import RoutingState

#: Seconds between two rounds.
PERIOD = 0.25
#: Suspension of the machine in seconds above which earlier state counts as stale.
FREEZE_THRESHOLD = 0.5


@attrs.define
class Housekeeping:
    """Removes expired state, and reports suspensions of the machine.

    Attributes:
        routing_state: State that routing decisions read.
        pool: Connections to endpoints.
        book: The other entries.
        budget: Retry budget.
        issuer: Issuer of permits of this entry.
        clock: Returns the present time in seconds.
        on_thaw: Called with the seconds for which the machine was suspended.
        on_forgotten: Called with a prompt part whose refusal was forgotten.
        observe_room: Called with the present time in each round, to report how room is
            divided.
    """

    routing_state: RoutingState
    pool: ConnectionPool
    book: PeerTable
    budget: RetryBudget
    issuer: PermitIssuer
    clock: Callable[[], float]
    on_thaw: Callable[[float], None]
    on_forgotten: Callable[[str], None] = lambda part: None
    observe_room: Callable[[float], None] = lambda now: None

    async def run(self) -> None:
        """Run rounds until cancelled."""
        suspended = suspend_time(self.clock())
        while True:
            now = self.clock()
            frozen_for, suspended = suspend_time(now) - suspended, suspend_time(now)
            if frozen_for > FREEZE_THRESHOLD:
                self.on_thaw(frozen_for)
            self.expire(now)
            await asyncio.sleep(PERIOD)

    def expire(self, now: float) -> None:
        """Remove expired state, and count the entries that share the budget."""
        self.pool.expire(now)
        for peer in self.routing_state.loads.expire(now):
            self.routing_state.links.forget(peer)
        self.routing_state.suspects.expire(now)
        self.routing_state.speeds.expire(now)
        endpoints = self.routing_state.fleet.endpoints
        self.routing_state.answer_faults.keep_only(endpoints)
        self.routing_state.crashes.expire(now)
        for part in self.routing_state.parts.expire(now):
            self.on_forgotten(part)
        self.routing_state.send_limits.expire(endpoints, now)
        self.routing_state.backoffs.expire(now)
        self.routing_state.send_limits.sharing.entries = self.book.count(now)
        self.routing_state.room.expire(now)
        self.observe_room(now)
        self.issuer.expire(now)
        self.budget.entries = max(self.book.count(now), self.budget.entries)
        self.budget.known_entries = 1 + len(self.book.peers)


def suspend_time(now: float) -> float:
    """Return the seconds for which the machine was suspended, plus a constant.

    The loop's clock stands still while the machine is suspended; the boot clock does
    not.

    Args:
        now: Present time of the loop's clock in seconds.
    """
    return boot_time() - now
