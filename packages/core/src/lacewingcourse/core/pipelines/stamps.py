"""When messages of other instances were composed, by this instance's own clock."""

from __future__ import annotations

import attrs


@attrs.frozen
class Echo:
    """A time of the receiver's clock that a message carries back to it.

    Attributes:
        stamp: The time, which the receiver sent, seconds.
        held: Seconds from its arrival until the message was composed.
    """

    stamp: float
    held: float


@attrs.define
class StampTable:
    """Bounds the time on the way of messages without comparing clocks.

    Instances send one another the time by their own clock. A message that carries it
    back was composed no sooner than that time plus the seconds for which its sender had
    held it, so the wait of the message on links and in queues counts as age of what it
    tells.

    Attributes:
        started_at: When this instance started, seconds; older stamps are of another
            process.
        received: Last stamp of each other instance, and when it came.
    """

    started_at: float
    received: dict[str, tuple[float, float]] = attrs.field(factory=dict)

    def receive(self, sender: str, stamp: float, now: float) -> None:
        """Note the stamp of a message.

        Args:
            sender: Name of the instance that sent it.
            stamp: Time of its clock, seconds.
            now: Present time in seconds.
        """
        self.received[sender] = (stamp, now)

    def echo(self, receiver: str, now: float) -> Echo | None:
        """Return what a message carries back, None if its receiver was not heard."""
        known = self.received.get(receiver)
        if known is None:
            return None
        stamp, received_at = known
        return Echo(stamp, now - received_at)

    def composed_at(self, echo: Echo | None, now: float) -> float | None:
        """Return the earliest time at which a message may have been composed.

        Args:
            echo: What it carries back, None for nothing.
            now: Present time in seconds.

        Returns:
            Seconds, None if that is not known.
        """
        if echo is None or echo.held < 0:
            return None
        if not self.started_at <= echo.stamp <= now:
            return None
        return min(now, echo.stamp + echo.held)

    def keep_only(self, names: set[str]) -> None:
        """Forget the stamps of all but some instances."""
        for name in self.received.keys() - names:
            del self.received[name]
