"""Idle timeout of callers' connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.http1connection import HTTP1Connection

#: Seconds for which connections are kept beyond the idle time granted to callers.
IDLE_MARGIN = 2.0
#: Idle timeout in seconds before the first configuration is in force.
DEFAULT_IDLE_TIMEOUT = 60.0
#: Seconds for which callers may still use the timeout of a replaced version. Nothing
#: tells which version a caller uses.
MAX_VERSION_LAG = 60.0


@attrs.frozen
class ReplacedTimeout:
    """The idle timeout of a replaced version.

    Attributes:
        seconds: Seconds for which a connection was allowed to stay idle.
        valid_until: Time until which connections may stay open under it, seconds.
    """

    seconds: float
    valid_until: float


@attrs.define
class IdleTimeout:
    """The idle timeout of callers' connections.

    Callers reuse a connection for as long as the version that they know allows. A
    shorter timeout must therefore not close connections that callers of an older
    version may still use.

    Attributes:
        current: Seconds that the version in force allows, None before the first one.
        replaced: Longer timeouts of versions that some callers may still use.
    """

    current: float | None = None
    replaced: list[ReplacedTimeout] = attrs.field(factory=list)

    def update(self, seconds: float, now: float) -> None:
        """Apply the timeout of a new version.

        Args:
            seconds: Its timeout.
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
    """Closes a connection if the head of a request does not arrive in time.

    Tornado reads the timeout when a connection becomes idle and keeps it, so a longer
    timeout of a new version would not reach connections that are already idle. This
    timer looks up the timeout in force before it closes a connection.
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
        """Cancel the timer because a head has arrived."""
        self._timer.cancel()

    def _check(self) -> None:
        """Close the connection if its timeout has expired, else check again then."""
        now = self._clock()
        left = self._since + self._idle.effective(now) - now
        loop = asyncio.get_running_loop()
        if left > 0:
            self._timer = loop.call_later(left, self._check)
            return
        # A head read in this iteration of the loop is delivered in the next one.
        self._timer = loop.call_soon(self._connection.close)
