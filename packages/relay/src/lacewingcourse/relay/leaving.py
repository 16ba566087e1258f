"""The end of the entry: its last answers, and the ends of what has none by then."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.relay.caller import CallerConnections
    from lacewingcourse.relay.gateway import Gateway
    from lacewingcourse.relay.readiness import Readiness

#: Seconds after the request to end for which new connections may still come: the
#: balancer asks once a second and takes an instance out after two misses.
BALANCER_DELAY = 3.2
#: Seconds between two looks at what is still open.
LOOK_PERIOD = 0.05
#: Seconds of those kept for the end in which the last answers may be written out.
WRITING_TIME = 0.1


@attrs.define
class Departure:
    """Ends the entry when callers need it no more, in time at the latest.

    Attributes:
        readiness: Until when answers may take.
        callers: The connections of callers.
        gateway: Ends requests that have no answer by then.
        clock: Returns the present time in seconds.
    """

    readiness: Readiness
    callers: CallerConnections
    gateway: Gateway
    clock: Callable[[], float]

    async def carry_out(self) -> None:
        """Wait for the callers' answers, and end what has none in time."""
        while not self._is_over(self.clock()):
            await asyncio.sleep(LOOK_PERIOD)
        # With the loop ends every task, and a caller whose task is merely dropped sees
        # its connection closed without a word.
        for caller in list(self.callers.open):
            self.gateway.cut_short(caller, self.clock())
        await self._write_out()

    async def _write_out(self) -> None:
        """Wait a moment for answers that have not left this process."""
        until = self.readiness.last + WRITING_TIME
        while self.callers.open and self.clock() < until:
            await asyncio.sleep(LOOK_PERIOD)

    def _is_over(self, now: float) -> bool:
        """Tell whether nothing is waited for any more."""
        if now >= self.readiness.last:
            return True
        waited = now - self.readiness.leaving_since
        return waited > BALANCER_DELAY and not self.callers.open
