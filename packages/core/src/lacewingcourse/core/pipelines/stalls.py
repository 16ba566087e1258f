"""Which streams stand still because an endpoint on their path does."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from lacewingcourse.core.pipelines.path import Path

#: Times its usual pause after which a silent stream is looked at.
SILENCE_FACTOR = 3.5
#: Seconds of the shortest and the longest silence after which one is looked at.
LEAST_SILENCE = 0.09
MOST_SILENCE = 0.16
#: Weight of the newest pause in the usual one.
PAUSE_WEIGHT = 0.2
#: Seconds that are taken as the usual pause of a stream without any yet.
FIRST_PAUSE = 0.04


@attrs.define(eq=False)
class Watched:
    """A stream that passes events on.

    Attributes:
        path: Its path.
        progressed_at: When its last event arrived, seconds.
        pause: Its usual pause between two arrivals, seconds.
        stalled: Whether it was found to stand still.
    """

    path: Path
    progressed_at: float
    pause: float = FIRST_PAUSE
    stalled: bool = False

    def progress(self, now: float) -> None:
        """Note an arrival."""
        newest = now - self.progressed_at
        self.pause += PAUSE_WEIGHT * (newest - self.pause)
        self.progressed_at = now

    @property
    def patience(self) -> float:
        """Seconds of silence after which it is looked at."""
        return min(MOST_SILENCE, max(LEAST_SILENCE, SILENCE_FACTOR * self.pause))


@attrs.frozen
class Stall:
    """A stream that stands still.

    Attributes:
        watched: The stream.
        suspects: Endpoints on its path through which nothing passes.
    """

    watched: Watched
    suspects: tuple[str, ...]


@attrs.define
class StallWatch:
    """Watches streams together: those through a dead endpoint fall silent at once.

    A stream that is silent while others pass through all its endpoints only waits for
    memory or its turn, and is left alone.

    Attributes:
        streams: The streams that are watched.
    """

    streams: set[Watched] = attrs.field(factory=set)

    def begin(self, path: Path, now: float) -> Watched:
        """Watch a stream whose first event has arrived."""
        watched = Watched(path, now)
        self.streams.add(watched)
        return watched

    def end(self, watched: Watched) -> None:
        """Stop watching a stream."""
        self.streams.discard(watched)

    def check(self, now: float) -> list[Stall]:
        """Return the streams that have been found to stand still just now."""
        silent = [
            watched
            for watched in self.streams
            if not watched.stalled and now - watched.progressed_at > watched.patience
        ]
        if not silent:
            return []
        passed = self._last_passed()
        found = []
        for watched in silent:
            suspects = tuple(
                part.endpoint
                for part in watched.path.parts
                if now - passed[part.endpoint] > watched.patience
            )
            if suspects:
                watched.stalled = True
                found.append(Stall(watched, suspects))
        return found

    def _last_passed(self) -> dict[str, float]:
        """Return when something last passed through each endpoint."""
        passed: dict[str, float] = {}
        for watched in self.streams:
            for part in watched.path.parts:
                last = passed.get(part.endpoint, float("-inf"))
                passed[part.endpoint] = max(last, watched.progressed_at)
        return passed
