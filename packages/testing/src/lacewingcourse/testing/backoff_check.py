"""Counts what an endpoint gets from entries that it asked for a delay."""

from __future__ import annotations

import attrs

#: Seconds after a rejection from which its delay must be kept.
REACTION_TIME = 0.5
#: Requests that may reach an endpoint within a delay.
ALLOWANCE = 2


@attrs.frozen
class Breach:
    """A delay within which an endpoint got too many requests.

    Attributes:
        entry: The entry that sent them.
        rejected_at: When the endpoint asked for the delay, seconds.
        count: Requests that reached it within the delay.
    """

    entry: str
    rejected_at: float
    count: int


@attrs.define
class BackoffCheck:
    """Tells whether entries keep the delays that an endpoint asks for.

    Attributes:
        delay: The delay that it asks for, seconds.
        rejections: When it asked for it, seconds, with the entry that it asked.
        arrivals: When requests reached it, seconds, with the entry that sent each.
    """

    delay: float
    rejections: list[tuple[float, str]] = attrs.field(factory=list)
    arrivals: list[tuple[float, str]] = attrs.field(factory=list)

    def breaches(self) -> list[Breach]:
        """Return the delays within which too many requests arrived."""
        found = []
        for rejected_at, entry in self.rejections:
            start, end = rejected_at + REACTION_TIME, rejected_at + self.delay
            count = sum(
                start < at < end and sender == entry for at, sender in self.arrivals
            )
            if count > ALLOWANCE:
                found.append(Breach(entry, rejected_at, count))
        return found
