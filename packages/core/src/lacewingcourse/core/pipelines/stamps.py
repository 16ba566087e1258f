"""Bounds on when messages of other instances were composed, by the local clock."""

from __future__ import annotations

import attrs


@attrs.frozen
class Echo:
    """A time of the receiver's clock that a message returns to it.

    Attributes:
        stamp: The time that the receiver sent, seconds.
        held: Seconds from its arrival until the message was composed.
    """

    stamp: float
    held: float


@attrs.define
class StampTable:
    """Bounds the transit time of messages without comparing clocks.

    Instances send each other the time of their own clock. A message that returns such a
    time was composed no earlier than that time plus the seconds for which its sender
    held it. The time that the message spent on links and in queues thus counts towards
    the age of its content.

    Attributes:
        started_at: When this instance started, seconds; older stamps belong to an
            earlier process.
        received: Last stamp of each other instance and its time of arrival, seconds.
    """

    started_at: float
    received: dict[str, tuple[float, float]] = attrs.field(factory=dict)

    def receive(self, sender: str, stamp: float, now: float) -> None:
        """Record the stamp of a message.

        Args:
            sender: Name of the instance that sent it.
            stamp: Time of its clock, seconds.
            now: Present time in seconds.
        """
        self.received[sender] = (stamp, now)

    def echo(self, receiver: str, now: float) -> Echo | None:
        """Return the echo for a message, None if its receiver sent no stamp yet."""
        known = self.received.get(receiver)
        if known is None:
            return None
        stamp, received_at = known
        return Echo(stamp, now - received_at)

    def composed_at(self, echo: Echo | None, now: float) -> float | None:
        """Return the earliest time at which a message may have been composed.

        Args:
            echo: The echo in the message, None if it has none.
            now: Present time in seconds.

        Returns:
            Seconds, None if there is no valid echo.
        """
        if echo is None or echo.held < 0:
            return None
        if not self.started_at <= echo.stamp <= now:
            return None
        return min(now, echo.stamp + echo.held)

    def keep_only(self, names: set[str]) -> None:
        """Remove the stamps of all instances except some."""
        for name in self.received.keys() - names:
            del self.received[name]
