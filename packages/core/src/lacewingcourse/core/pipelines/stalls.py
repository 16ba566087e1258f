"""Detection of streams that stall because an endpoint on their path does."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from lacewingcourse.core.pipelines.path import Part, Path

#: Multiple of its usual pause after which a silent stream is checked. A check probes
#: endpoints; a busy endpoint answers the probe, and nothing else happens.
SILENCE_FACTOR = 2.0
#: Bounds of the silence after which a stream is checked, as shares of the gap that its
#: route allows between two events. The rest must suffice for the probe and for
#: processing the prompt on another path.
MIN_SILENCE_SHARE = 0.3
MAX_SILENCE_SHARE = 0.6
#: Upper bound in seconds for the gap of a route in these rules. Callers leave after two
#: seconds of silence whatever the route allows.
MAX_GAP = 0.3
#: Share of its objective after which a stream without a first event is checked.
FIRST_EVENT_SHARE = 0.35
#: Upper bound in seconds for an objective in these rules.
MAX_OBJECTIVE = 1.0
#: Early check of endpoints through which all streams are silent: the silence needed of
#: each stream, as a share of its route's gap and as a multiple of its usual pause.
#: Several streams rarely pause together on an endpoint that is alive.
EARLY_SHARE = 0.2
EARLY_FACTOR = 1.5
#: Streams through an endpoint that must be silent together for an early check.
MIN_EARLY_STREAMS = 2
#: Seconds in which another stream must have received an event; otherwise this entry
#: itself may have stalled.
RECENT_ARRIVAL = 0.05
#: Weight of the newest pause in the moving average.
PAUSE_WEIGHT = 0.2
#: Seconds assumed as the usual pause of a stream before its first one.
INITIAL_PAUSE = 0.04


@attrs.define(eq=False)
class WatchedStream:
    """A stream that forwards events.

    Attributes:
        path: Its path.
        progressed_at: When its last event arrived, or when it was sent if none has,
            seconds.
        gap: Seconds that its route allows between two events.
        objective: Seconds in which its route wants the first event.
        pause: Moving average of the pauses between its events, seconds.
        begun: Whether an event has arrived.
    """

    path: Path
    progressed_at: float
    gap: float = MAX_GAP
    objective: float = MAX_OBJECTIVE
    pause: float = INITIAL_PAUSE
    begun: bool = False

    def progress(self, now: float) -> None:
        """Record the arrival of events."""
        if not self.begun:
            self.begun = True
            self.progressed_at = now
            return
        newest = now - self.progressed_at
        self.pause += PAUSE_WEIGHT * (newest - self.pause)
        self.progressed_at = now

    @property
    def silence_timeout(self) -> float:
        """Seconds of silence after which it is checked."""
        if not self.begun:
            return FIRST_EVENT_SHARE * min(self.objective, MAX_OBJECTIVE)
        gap = min(self.gap, MAX_GAP)
        least, most = MIN_SILENCE_SHARE * gap, MAX_SILENCE_SHARE * gap
        return min(most, max(least, SILENCE_FACTOR * self.pause))

    @property
    def early_timeout(self) -> float:
        """Seconds of silence after which it may take part in an early check."""
        least = EARLY_SHARE * min(self.gap, MAX_GAP)
        return max(least, EARLY_FACTOR * self.pause)


@attrs.frozen
class SuspectedStall:
    """A stream that may have stalled.

    Attributes:
        watched: The stream.
        silent_parts: Parts of its path through which no stream received events
            recently.
    """

    watched: WatchedStream
    silent_parts: tuple[Part, ...]


@attrs.define
class StallWatch:
    """Compares streams: those through a dead endpoint fall silent at the same time.

    A silent stream only waits for memory or its turn if others receive events through
    all its endpoints. Otherwise an endpoint without events may be dead or busy with a
    long prompt, and each of these is probed.

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
        """Return the streams that may have stalled."""
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
        """Return the streams that appear cut off, with the parts to probe.

        These use an endpoint that several streams pass through, all of them silent,
        while other streams receive events. The cause may be any endpoint on their paths
        all of whose streams are silent.
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
        silent_endpoints = {
            endpoint
            for endpoint, streams in through.items()
            if silent.issuperset(streams)
        }
        dead = {e for e in silent_endpoints if len(through[e]) >= MIN_EARLY_STREAMS}
        found = [w for w in begun if w.path.uses(dead)]
        return [
            SuspectedStall(
                w, tuple(p for p in w.path.parts if p.endpoint in silent_endpoints)
            )
            for w in found
        ]

    def last_active(self, exclude: str) -> str | None:
        """Return the address through which events came last, None if there is none.

        Args:
            exclude: An address to leave out.
        """
        active = [
            (watched.progressed_at, part.address)
            for watched in self.streams
            for part in watched.path.parts
            if part.address != exclude
        ]
        return max(active)[1] if active else None

    def _last_arrivals(self) -> dict[str, float]:
        """Return the time of the last event through each endpoint."""
        arrivals: dict[str, float] = {}
        for watched in self.streams:
            for part in watched.path.parts:
                last = arrivals.get(part.endpoint, float("-inf"))
                arrivals[part.endpoint] = max(last, watched.progressed_at)
        return arrivals
