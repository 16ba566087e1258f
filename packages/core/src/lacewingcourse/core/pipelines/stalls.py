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
#: Seconds without a first event after which a stream is looked at. Reading a usual
#: prompt takes 30 to 60 milliseconds on an idle path, several times that on a busy one.
FIRST_SILENCE = 0.3
#: Seconds of silence, and times its usual pause, after which a stream is taken to be
#: cut off if all others through one of its endpoints are silent as well.
EARLY_SILENCE = 0.1
EARLY_FACTOR = 4.0
#: Streams that must have fallen silent together.
EARLY_STREAMS = 2
#: Seconds in which another stream must have been heard, or this entry itself may be
#: what stands still.
HEARD = 0.05
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
        begun: Whether an event has arrived.
    """

    path: Path
    progressed_at: float
    pause: float = FIRST_PAUSE
    begun: bool = False

    def progress(self, now: float) -> None:
        """Note an arrival."""
        if not self.begun:
            self.begun = True
            self.progressed_at = now
            return
        newest = now - self.progressed_at
        self.pause += PAUSE_WEIGHT * (newest - self.pause)
        self.progressed_at = now

    @property
    def patience(self) -> float:
        """Seconds of silence after which it is looked at."""
        if not self.begun:
            return FIRST_SILENCE
        return min(MOST_SILENCE, max(LEAST_SILENCE, SILENCE_FACTOR * self.pause))

    @property
    def early_patience(self) -> float:
        """Seconds of silence after which it may be cut off."""
        return max(EARLY_SILENCE, EARLY_FACTOR * self.pause)


@attrs.define
class StallWatch:
    """Watches streams together: those through a dead endpoint fall silent at once.

    A stream that is silent while others pass through all its endpoints only waits for
    memory or its turn. One whose endpoints are all silent may stand behind a long
    prompt or a dead endpoint: its first endpoint is asked which.

    Attributes:
        streams: The streams that are watched.
    """

    streams: set[Watched] = attrs.field(factory=set)

    def begin(self, path: Path, now: float) -> Watched:
        """Watch a stream that was sent on a path."""
        watched = Watched(path, now)
        self.streams.add(watched)
        return watched

    def end(self, watched: Watched) -> None:
        """Stop watching a stream."""
        self.streams.discard(watched)

    def silent(self, now: float) -> list[Watched]:
        """Return the streams that may stand still."""
        silent = [w for w in self.streams if now - w.progressed_at > w.patience]
        if not silent:
            return []
        passed = self._last_passed()
        return [
            watched
            for watched in silent
            if any(
                now - passed[part.endpoint] > watched.patience
                for part in watched.path.parts
            )
        ]

    def cut_off(self, now: float) -> list[tuple[Watched, set[str]]]:
        """Return the streams that look cut off, with the endpoints not heard for them.

        These pass an endpoint through which several streams go, all of which fell
        silent, while others are heard. The endpoint may be any of those on their paths
        through which nothing passed lately.
        """
        begun = [watched for watched in self.streams if watched.begun]
        if not any(now - w.progressed_at < HEARD for w in begun):
            return []
        silent = {w for w in begun if now - w.progressed_at > w.early_patience}
        if len(silent) < EARLY_STREAMS:
            return []
        through: dict[str, list[Watched]] = {}
        for watched in begun:
            for part in watched.path.parts:
                through.setdefault(part.endpoint, []).append(watched)
        unheard = {
            endpoint
            for endpoint, streams in through.items()
            if silent.issuperset(streams)
        }
        dead = {e for e in unheard if len(through[e]) >= EARLY_STREAMS}
        found = [w for w in begun if w.path.uses(dead)]
        return [
            (w, {p.endpoint for p in w.path.parts if p.endpoint in unheard})
            for w in found
        ]

    def _last_passed(self) -> dict[str, float]:
        """Return when something last passed through each endpoint."""
        passed: dict[str, float] = {}
        for watched in self.streams:
            for part in watched.path.parts:
                last = passed.get(part.endpoint, float("-inf"))
                passed[part.endpoint] = max(last, watched.progressed_at)
        return passed
