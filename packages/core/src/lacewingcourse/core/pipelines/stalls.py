"""Which streams stand still because an endpoint on their path does."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from lacewingcourse.core.pipelines.path import Part, Path

#: Times its usual pause after which a silent stream is looked at. To look asks
#: endpoints whether they live; a busy one answers and nothing else happens.
SILENCE_FACTOR = 2.0
#: Shares of the pause that its route allows which are the shortest and the longest
#: silence after which a stream is looked at. What is left has to hold the question and
#: the reading of the prompt on another path.
LEAST_SILENCE = 0.3
MOST_SILENCE = 0.6
#: Seconds that a route's pause counts as at the most; callers leave after two seconds
#: of silence whatever the route allows.
LONGEST_GAP = 0.3
#: Share of the objective without a first event after which a stream is looked at.
FIRST_SILENCE = 0.35
#: Seconds that an objective counts as at the most.
LONGEST_OBJECTIVE = 1.0
#: Share of the pause that its route allows, and times its own usual pause, after which
#: a stream's endpoints are asked if all others through one of them are silent too.
#: Several streams seldom pause together on an endpoint that lives.
EARLY_SILENCE = 0.2
EARLY_FACTOR = 1.5
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
        gap: Seconds that its route allows between two events.
        objective: Seconds in which its route wants the first event.
        pause: Its usual pause between two arrivals, seconds.
        begun: Whether an event has arrived.
    """

    path: Path
    progressed_at: float
    gap: float = LONGEST_GAP
    objective: float = LONGEST_OBJECTIVE
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
            return FIRST_SILENCE * min(self.objective, LONGEST_OBJECTIVE)
        gap = min(self.gap, LONGEST_GAP)
        least, most = LEAST_SILENCE * gap, MOST_SILENCE * gap
        return min(most, max(least, SILENCE_FACTOR * self.pause))

    @property
    def early_patience(self) -> float:
        """Seconds of silence after which it may be cut off."""
        least = EARLY_SILENCE * min(self.gap, LONGEST_GAP)
        return max(least, EARLY_FACTOR * self.pause)


@attrs.frozen
class Silence:
    """A stream that may stand still.

    Attributes:
        watched: The stream.
        unheard: Parts of its path that nothing passed lately.
    """

    watched: Watched
    unheard: tuple[Part, ...]


@attrs.define
class StallWatch:
    """Watches streams together: those through a dead endpoint fall silent at once.

    A stream that is silent while others pass through all its endpoints only waits for
    memory or its turn. Otherwise an endpoint that nothing passed may be dead or busy
    with a long prompt: each of them is asked whether it lives.

    Attributes:
        streams: The streams that are watched.
    """

    streams: set[Watched] = attrs.field(factory=set)

    def begin(
        self,
        path: Path,
        now: float,
        gap: float = LONGEST_GAP,
        objective: float = LONGEST_OBJECTIVE,
    ) -> Watched:
        """Watch a stream that was sent on a path.

        Args:
            path: The path.
            now: Present time in seconds.
            gap: Seconds that its route allows between two events.
            objective: Seconds in which its route wants the first event.
        """
        watched = Watched(path, now, gap, objective)
        self.streams.add(watched)
        return watched

    def end(self, watched: Watched) -> None:
        """Stop watching a stream."""
        self.streams.discard(watched)

    def silent(self, now: float) -> list[Silence]:
        """Return the streams that may stand still."""
        silent = [w for w in self.streams if now - w.progressed_at > w.patience]
        if not silent:
            return []
        passed = self._last_passed()
        found = []
        for watched in silent:
            since = now - watched.patience
            parts = watched.path.parts
            unheard = tuple(p for p in parts if passed[p.endpoint] < since)
            if unheard:
                found.append(Silence(watched, unheard))
        return found

    def cut_off(self, now: float) -> list[Silence]:
        """Return the streams that look cut off, with the parts not heard for them.

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
            Silence(w, tuple(p for p in w.path.parts if p.endpoint in unheard))
            for w in found
        ]

    def last_heard(self, besides: str) -> str | None:
        """Return the address that something passed last, None if there is none.

        Args:
            besides: An address that does not count.
        """
        heard = [
            (watched.progressed_at, part.address)
            for watched in self.streams
            for part in watched.path.parts
            if part.address != besides
        ]
        return max(heard)[1] if heard else None

    def _last_passed(self) -> dict[str, float]:
        """Return when something last passed through each endpoint."""
        passed: dict[str, float] = {}
        for watched in self.streams:
            for part in watched.path.parts:
                last = passed.get(part.endpoint, float("-inf"))
                passed[part.endpoint] = max(last, watched.progressed_at)
        return passed
