"""Ends requests whose time has passed, and reports crowds of clients."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.client_memory import Shortage, Stage
    from lacewingcourse.relay.client_stream import Clients

#: Seconds between two rounds.
PERIOD = 0.2
#: Seconds without a connection given up after which a shortage counts as over.
CALM_TIME = 5.0


@attrs.define
class ShortagePeriod:
    """A time in which clients had to be given up.

    Attributes:
        since: When it began, seconds.
        last: When a client was given up last, seconds.
        closed: Clients given up.
    """

    since: float
    last: float
    closed: int = 0


@attrs.define
class ClientMonitor:
    """Checks the connections of clients regularly.

    Attributes:
        groups: The connections by whose they are: callers, others.
        log_event: Logs an event with its fields.
        count: Called with the group, the cause and the stage of each client that is
            given up.
        clock: Returns the present time in seconds.
        periods: The shortages that last, by group and what is short.
    """

    groups: dict[str, Clients]
    log_event: Callable[..., None]
    count: Callable[[str, str, str], None]
    clock: Callable[[], float]
    periods: dict[tuple[str, Shortage], ShortagePeriod] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        for group, clients in self.groups.items():
            clients.on_closed = self._observer(group)

    async def run(self) -> None:
        """Run rounds until cancelled."""
        while True:
            now = self.clock()
            for clients in self.groups.values():
                clients.check(now)
            self.report_ends(now)
            await asyncio.sleep(PERIOD)

    def observe(self, group: str, shortage: Shortage, stage: Stage) -> None:
        """Report a client that is given up; log the first one of a shortage.

        Args:
            group: Whose connection it is.
            shortage: What is short.
            stage: How far its request had come.
        """
        now = self.clock()
        self.count(group, shortage.value, stage.value)
        period = self.periods.get((group, shortage))
        if period is None:
            period = self.periods[group, shortage] = ShortagePeriod(now, now)
            self.log_event("clients_crowded", **self._fields(group, shortage))
        period.last = now
        period.closed += 1

    def report_ends(self, now: float) -> None:
        """Log the shortages that are over.

        Args:
            now: Present time in seconds.
        """
        for (group, shortage), period in list(self.periods.items()):
            if now - period.last >= CALM_TIME:
                del self.periods[group, shortage]
                self.log_event(
                    "clients_calm",
                    **self._fields(group, shortage),
                    closed=period.closed,
                    lasted_ms=round((period.last - period.since) * 1000),
                )

    def _observer(self, group: str) -> Callable[[Shortage, Stage], None]:
        return lambda shortage, stage: self.observe(group, shortage, stage)

    def _fields(self, group: str, shortage: Shortage) -> dict[str, Any]:
        """Return the fields of a line about a shortage, with what decided it."""
        memory = self.groups[group].memory
        return {
            "group": group,
            "cause": shortage.value,
            "held": memory.held,
            "memory_limit": memory.limits.memory,
            "connections": len(memory.uses),
            "connection_limit": memory.limits.connections,
        }
