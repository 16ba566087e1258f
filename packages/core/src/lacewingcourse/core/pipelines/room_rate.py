"""Rate at which room becomes free while requests wait for it."""

from __future__ import annotations

import attrs

#: Seconds after which an observation counts half.
HALF_LIFE = 2.0
#: Seconds of shortage that must have been observed before a rate is known.
MIN_OBSERVED = 0.2
#: Longest step in seconds that counts, so that a suspended or jumping clock does not
#: look like a time in which no room became free.
MAX_STEP = 0.5


@attrs.define
class RoomRate:
    """Tokens a second that requests have taken while others waited for room.

    Attributes:
        started: Tokens of the requests that started during a shortage, by rank.
        seconds: Seconds of shortage.
        observed_at: Time of the last step, None before the first.
    """

    started: dict[int, float] = attrs.field(factory=dict)
    seconds: float = 0.0
    observed_at: float | None = None

    def advance(self, now: float, shortage: bool) -> None:
        """Age what was observed, and add the time since the last step.

        Args:
            now: Present time in seconds.
            shortage: Whether a request has waited for room since the last step.
        """
        last, self.observed_at = self.observed_at, now
        if last is None or now <= last:
            return
        step = min(now - last, MAX_STEP) if shortage else now - last
        kept = 0.5 ** (step / HALF_LIFE)
        self.seconds *= kept
        for rank in self.started:
            self.started[rank] *= kept
        if shortage:
            self.seconds += step

    def record_start(self, rank: int, tokens: int) -> None:
        """Record a request that has started during a shortage."""
        self.started[rank] = self.started.get(rank, 0.0) + tokens

    def total(self, expected: float) -> float | None:
        """Return the tokens a second that become free, None if not yet known.

        Args:
            expected: Tokens that are assumed besides those observed, so that a short
                time without a start does not count as a lasting standstill.
        """
        if self.seconds < MIN_OBSERVED:
            return None
        return (sum(self.started.values()) + expected) / self.seconds

    def left_for(self, rank: int, expected: float) -> float:
        """Return the tokens a second that more urgent ranks leave to a rank.

        Args:
            rank: The rank.
            expected: Tokens that are assumed besides those observed.
        """
        tokens = sum(n for other, n in self.started.items() if other >= rank)
        return (tokens + expected) / max(self.seconds, MIN_OBSERVED)
