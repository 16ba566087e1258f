"""The end of the entry: its last answers, and the ends of what has none by then."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from lacewingcourse.relay.caller import CallerConnections, CallerExchange
    from lacewingcourse.relay.gateway import Gateway
    from lacewingcourse.relay.readiness import Readiness

#: Seconds after the request to end for which new connections may still come: the
#: balancer asks once a second and takes an instance out after two misses.
BALANCER_DELAY = 3.2
#: Seconds between two looks at what is still open.
POLL_INTERVAL = 0.05
#: Seconds of those kept for the end in which what callers have sent is read and
#: refused, and the last answers are written out.
FLUSH_TIMEOUT = 0.1


@attrs.define
class Drainer:
    """Ends the entry when callers need it no more, in time at the latest.

    Attributes:
        readiness: Until when answers may take.
        callers: The connections of callers.
        gateway: Ends requests that have no answer by then.
        clock: Returns the present time in seconds.
        stop_listening: Called to refuse new connections from then on.
        close_idle: Called to close all connections but those of some requests.
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
        """Wait for the callers' answers, and end what has none in time."""
        while not self._is_drained(self.clock()):
            await asyncio.sleep(POLL_INTERVAL)
        # With no wait since the look, nothing was taken that it did not count.
        self.readiness.closed = True
        self.stop_listening()
        self._abort_open_requests()
        await self._flush()

    def _abort_open_requests(self) -> None:
        """End what has no end.

        With the loop ends every task, and a caller whose task is merely dropped sees
        its connection closed without a word.
        """
        for caller in list(self.callers.open):
            self.gateway.abort(caller, self.clock())

    async def _flush(self) -> None:
        """Refuse what callers have sent, and wait for answers to leave this process."""
        until = self.clock() + FLUSH_TIMEOUT
        while True:
            # A timer wakes this up once all that was read has been told, and before
            # more is read: no connection is closed on which a request was read.
            await asyncio.sleep(POLL_INTERVAL)
            self._abort_open_requests()
            self.close_idle(self.callers.open)
            if not self.callers.open or self.clock() >= until:
                return

    def _is_drained(self, now: float) -> bool:
        """Tell whether nothing is waited for any more."""
        if now >= self.readiness.drain_deadline:
            return True
        waited = now - self.readiness.drain_started_at
        return waited > BALANCER_DELAY and not self.callers.open
