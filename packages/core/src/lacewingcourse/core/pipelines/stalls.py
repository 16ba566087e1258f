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
MIN_SILENCE_SHARE = 0.3
MAX_SILENCE_SHARE = 0.6
#: Seconds that a route's pause counts as at the most; callers leave after two seconds
#: of silence whatever the route allows.
MAX_GAP = 0.3
#: Share of the objective without a first event after which a stream is looked at.
FIRST_EVENT_SHARE = 0.35
#: Seconds that an objective counts as at the most.
MAX_OBJECTIVE = 1.0
#: Share of the pause that its route allows, and times its own usual pause, after which
#: a stream's endpoints are asked if all others through one of them are silent too.
#: Several streams seldom pause together on an endpoint that lives.
EARLY_SHARE = 0.2
EARLY_FACTOR = 1.5
#: Streams that must have fallen silent together.
MIN_EARLY_STREAMS = 2
#: Seconds in which another stream must have been heard, or this entry itself may be
#: what stands still.
RECENT_ARRIVAL = 0.05
#: Weight of the newest pause in the usual one.
PAUSE_WEIGHT = 0.2
#: Seconds that are taken as the usual pause of a stream without any yet.
INITIAL_PAUSE = 0.04


@attrs.define(eq=False)
class WatchedStream:
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
    gap: float = MAX_GAP
    objective: float = MAX_OBJECTIVE
    pause: float = INITIAL_PAUSE
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
    def silence_timeout(self) -> float:
        """Seconds of silence after which it is looked at."""
        if not self.begun:
            return FIRST_EVENT_SHARE * min(self.objective, MAX_OBJECTIVE)
        gap = min(self.gap, MAX_GAP)
        least, most = MIN_SILENCE_SHARE * gap, MAX_SILENCE_SHARE * gap
        return min(most, max(least, SILENCE_FACTOR * self.pause))

    @property
    def early_timeout(self) -> float:
        """Seconds of silence after which it may be cut off."""
        least = EARLY_SHARE * min(self.gap, MAX_GAP)
        return max(least, EARLY_FACTOR * self.pause)


@attrs.frozen
class SuspectedStall:
    """A stream that may stand still.

    Attributes:
        watched: The stream.
        unheard: Parts of its path that nothing passed lately.
    """

    watched: WatchedStream
    silent_parts: tuple[Part, ...]


@attrs.define
class StallWatch:
    """Watches streams together: those through a dead endpoint fall silent at once.

    A stream that is silent while others pass through all its endpoints only waits for
    memory or its turn. Otherwise an endpoint that nothing passed may be dead or busy
    with a long prompt: each of them is asked whether it lives.

    Attributes:
        streams: The streams that are watched.
    """

    streams: set[WatchedStream] = attrs.field(factory=set)

    def begin(
        self,
        path: Path,
        now: float,
        gap: float = MAX_GAP,
        objective: float = MAX_OBJECTIVE,
    ) -> WatchedStream:
        """Watch a stream that was sent on a path.

        Args:
            path: The path.
            now: Present time in seconds.
            gap: Seconds that its route allows between two events.
            objective: Seconds in which its route wants the first event.
        """
        watched = WatchedStream(path, now, gap, objective)
        self.streams.add(watched)
        return watched

    def end(self, watched: WatchedStream) -> None:
        """Stop watching a stream."""
        self.streams.discard(watched)

    def silent(self, now: float) -> list[SuspectedStall]:
        """Return the streams that may stand still."""
        silent = [w for w in self.streams if now - w.progressed_at > w.silence_timeout]
        if not silent:
            return []
        arrivals = self._last_arrivals()
        found = []
        for watched in silent:
            since = now - watched.silence_timeout
            parts = watched.path.parts
            silent_parts = tuple(p for p in parts if arrivals[p.endpoint] < since)
            if silent_parts:
                found.append(SuspectedStall(watched, silent_parts))
        return found

    def cut_off(self, now: float) -> list[SuspectedStall]:
        """Return the streams that look cut off, with the parts not heard for them.

        These pass an endpoint through which several streams go, all of which fell
        silent, while others are heard. The endpoint may be any of those on their paths
        through which nothing passed lately.
        """
        begun = [watched for watched in self.streams if watched.begun]
        if not any(now - w.progressed_at < RECENT_ARRIVAL for w in begun):
            return []
        silent = {w for w in begun if now - w.progressed_at > w.early_timeout}
        if len(silent) < MIN_EARLY_STREAMS:
            return []
        through: dict[str, list[WatchedStream]] = {}
        for watched in begun:
            for part in watched.path.parts:
                through.setdefault(part.endpoint, []).append(watched)
        silent_parts = {
            endpoint
            for endpoint, streams in through.items()
            if silent.issuperset(streams)
        }
        dead = {e for e in silent_parts if len(through[e]) >= MIN_EARLY_STREAMS}
        found = [w for w in begun if w.path.uses(dead)]
        return [
            SuspectedStall(
                w, tuple(p for p in w.path.parts if p.endpoint in silent_parts)
            )
            for w in found
        ]

    def last_active(self, exclude: str) -> str | None:
        """Return the address that something passed last, None if there is none.

        Args:
            besides: An address that does not count.
        """
        active = [
            (watched.progressed_at, part.address)
            for watched in self.streams
            for part in watched.path.parts
            if part.address != exclude
        ]
        return max(active)[1] if active else None

    def _last_arrivals(self) -> dict[str, float]:
        """Return when something last passed through each endpoint."""
        arrivals: dict[str, float] = {}
        for watched in self.streams:
            for part in watched.path.parts:
                last = arrivals.get(part.endpoint, float("-inf"))
                arrivals[part.endpoint] = max(last, watched.progressed_at)
        return arrivals
