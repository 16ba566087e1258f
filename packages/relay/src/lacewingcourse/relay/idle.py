"""How long connections of callers may stay idle, and the end of those that do."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.http1connection import HTTP1Connection

#: Seconds beyond the callers' idle time for which their connections are kept.
IDLE_MARGIN = 2.0
#: Seconds for which connections of callers may stay idle before it is configured.
DEFAULT_IDLE_TIMEOUT = 60.0
#: Seconds for which callers may go on by a version that was replaced. Nothing tells
#: which version one goes by.
MAX_VERSION_LAG = 60.0


@attrs.frozen
class ReplacedTimeout:
    """The idle time of a version that was replaced.

    Attributes:
        seconds: Seconds for which a connection was allowed to stay idle.
        counts_until: Time until which connections may stay open by it, seconds.
    """

    seconds: float
    valid_until: float


@attrs.define
class IdleTimeout:
    """How long connections of callers may stay idle.

    Callers reuse a connection as long as the version that they know allows, so a
    shorter time closes none that may still be used by an older version.

    Attributes:
        told: Seconds that the version in force allows, None before the first one.
        replaced: Longer times of versions that some callers may still go by.
    """

    current: float | None = None
    replaced: list[ReplacedTimeout] = attrs.field(factory=list)

    def update(self, seconds: float, now: float) -> None:
        """Take the time that a new version allows.

        Args:
            seconds: That time.
            now: Present time in seconds.
        """
        kept = [each for each in self.replaced if now < each.valid_until]
        if self.current is not None:
            until = now + MAX_VERSION_LAG + self.current + IDLE_MARGIN
            kept.append(ReplacedTimeout(self.current, until))
        self.replaced = [each for each in kept if each.seconds > seconds]
        self.current = seconds

    def effective(self, now: float) -> float:
        """Return the seconds after which an idle connection is closed."""
        if self.current is None:
            return DEFAULT_IDLE_TIMEOUT
        valid = [e.seconds for e in self.replaced if now < e.valid_until]
        return max([self.current, *valid]) + IDLE_MARGIN


class IdleTimer:
    """Closes a connection on which the head of a request does not come in time.

    The server of the library takes the time when a connection begins to wait and keeps
    to it, so a version with a longer one came too late for those that waited already.
    Here the time in force is looked at again before a connection is closed.
    """

    def __init__(
        self, connection: HTTP1Connection, idle: IdleTimeout, clock: Callable[[], float]
    ) -> None:
        self._connection = connection
        self._idle = idle
        self._clock = clock
        self._since = clock()
        self._timer: asyncio.Handle | None = None
        self._check()

    def stop(self) -> None:
        """Keep the connection, since a head has come."""
        self._timer.cancel()

    def _check(self) -> None:
        """Close the connection if its time is over, else look again when it will be."""
        now = self._clock()
        left = self._since + self._idle.effective(now) - now
        loop = asyncio.get_running_loop()
        if left > 0:
            self._timer = loop.call_later(left, self._check)
            return
        # A head that was read in this turn of the loop is told of in the next one.
        self._timer = loop.call_soon(self._connection.close)
