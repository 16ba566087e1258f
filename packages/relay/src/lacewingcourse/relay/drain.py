"""Graceful shutdown: waits for open answers, then ends the requests that remain."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from lacewingcourse.relay.caller import CallerConnections, CallerExchange
    from lacewingcourse.relay.gateway import Gateway
    from lacewingcourse.relay.readiness import Readiness

#: Seconds after the shutdown request for which new connections may still arrive: the
#: balancer probes once a second and removes an instance after two failed probes.
BALANCER_DELAY = 3.2
#: Seconds between two checks for open requests.
POLL_INTERVAL = 0.05
#: Seconds, out of those reserved for the shutdown, in which requests already sent are
#: read and refused and the last answers are flushed.
FLUSH_TIMEOUT = 0.1


@attrs.define
class Drainer:
    """Drains the entry: ends when no request is open, at the latest at the deadline.

    Attributes:
        readiness: State and deadline of the drain.
        callers: Connections of callers.
        gateway: Ends requests that have no answer by the deadline.
        clock: Returns the present time in seconds.
        stop_listening: Called to refuse new connections from then on.
        close_idle: Called to close all connections except those of the given requests.
    """

    readiness: Readiness
    callers: CallerConnections
    gateway: Gateway
    clock: Callable[[], float]
    stop_listening: Callable[[], None] = lambda: None
    close_idle: Callable[[Collection[CallerExchange]], None] = (
        lambda open_requests: None
    )

    async def run(self) -> None:
        """Wait for open answers, and end those that remain at the deadline."""
        while not self._is_drained(self.clock()):
            await asyncio.sleep(POLL_INTERVAL)
        # There is no await after the check, so it has counted every accepted request.
        self.readiness.closed = True
        self.stop_listening()
        self._abort_open_requests()
        await self._flush()

    def _abort_open_requests(self) -> None:
        """End every open request.

        When the loop ends, its tasks are dropped. The caller of a dropped task would
        see its connection closed without an answer.
        """
        for caller in list(self.callers.open):
            self.gateway.abort(caller, self.clock())

    async def _flush(self) -> None:
        """Refuse requests that were already sent, and flush the last answers."""
        until = self.clock() + FLUSH_TIMEOUT
        while True:
            # The timer fires after all data read so far has been processed and before
            # more is read, so no connection with a received request is closed.
            await asyncio.sleep(POLL_INTERVAL)
            self._abort_open_requests()
            self.close_idle(self.callers.open)
            if not self.callers.open or self.clock() >= until:
                return

    def _is_drained(self, now: float) -> bool:
        """Return whether there is nothing left to wait for."""
        if now >= self.readiness.drain_deadline:
            return True
        elapsed = now - self.readiness.drain_started_at
        return elapsed > BALANCER_DELAY and not self.callers.open
