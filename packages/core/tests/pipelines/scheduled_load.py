"""Plays arrivals through a scheduler against a counter of room, on virtual time."""

from __future__ import annotations

import heapq
from random import Random
from statistics import median

import attrs

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.pipelines.request_scheduler import RequestScheduler
from lacewingcourse.core.pipelines.scheduling import QueuedRequest, Started

#: Room in tokens, and tokens of an ordinary request.
ROOM, ORDINARY = 100_000, 1000
#: A tenth of the requests need this many times as much.
LARGE_FACTOR = 6
#: Mean seconds of an answer, and the seconds for which a request may wait.
ANSWER_SECONDS, WAIT = 2.0, 0.25
#: Organisations, and the share of the requests that the first one sends.
ORGANISATIONS, LARGEST_SHARE = 10, 0.7
#: Seconds before requests count, and for which they arrive in all.
WARM_UP, SECONDS = 5.0, 125.0


@attrs.define
class RoomCounter:
    """A source of room that only counts tokens."""

    free: int = ROOM

    def take(self, request: QueuedRequest, now: float) -> object | Refusal:
        if request.tokens > self.free:
            return Refusal(ErrorKind.OVERLOADED, "no room")
        self.free -= request.tokens
        return request.tokens


@attrs.define
class Played:
    """What became of the requests that count.

    Attributes:
        requests: All of them.
        started: Those that started, with the time.
        refused: Those that were refused, with the time.
        idle: Token-seconds of free room while requests waited.
        waiting_seconds: Seconds during which requests waited.
    """

    requests: list[QueuedRequest] = attrs.field(factory=list)
    started: dict[QueuedRequest, float] = attrs.field(factory=dict)
    refused: dict[QueuedRequest, float] = attrs.field(factory=dict)
    idle: float = 0.0
    waiting_seconds: float = 0.0

    def served(self, **wanted) -> float:
        """Return the share of the requests with some attributes that started."""
        found = [
            request
            for request in self.requests
            if all(getattr(request, name) == value for name, value in wanted.items())
        ]
        return sum(request in self.started for request in found) / len(found)

    def starts_a_second(self) -> float:
        return len(self.started) / (SECONDS - WARM_UP)

    def mean_idle_share(self) -> float:
        """Return the mean share of the room that is free while requests wait."""
        return self.idle / self.waiting_seconds / ROOM

    def median_refusal(self) -> float:
        """Return the median seconds from arrival to refusal."""
        return median(at - request.arrived_at for request, at in self.refused.items())


def requests_at(load: float, seed: int, ranks=(0, 1, 2)) -> list[QueuedRequest]:
    """Return arrivals that need a multiple of the room, in order of time."""
    rng = Random(seed)
    mean = ORDINARY * (0.9 + 0.1 * LARGE_FACTOR)
    rate = load * ROOM / ANSWER_SECONDS / mean
    now, found = 0.0, []
    while now < SECONDS:
        now += rng.expovariate(rate)
        small = rng.randrange(1, ORGANISATIONS)
        name = "large" if rng.random() < LARGEST_SHARE else f"small {small}"
        tokens = ORDINARY * (LARGE_FACTOR if rng.random() < 0.1 else 1)
        rank = rng.choice(ranks)
        found.append(
            QueuedRequest(str(len(found)), rank, name, tokens, now, now + WAIT)
        )
    return found


def play(requests: list[QueuedRequest], seed: int = 0) -> Played:
    """Drive a scheduler as an entry does: by arrivals, ends and its timer."""
    rng, room, played = Random(seed), RoomCounter(), Played()
    scheduler = RequestScheduler(room)
    ends: list[tuple[float, int]] = []
    pending, now, wake = list(reversed(requests)), 0.0, None

    while pending:
        before = now
        now = min(
            pending[-1].arrived_at,
            ends[0][0] if ends else float("inf"),
            wake if wake is not None else float("inf"),
        )
        if scheduler.size:
            played.idle += room.free * (now - before)
            played.waiting_seconds += now - before
        if ends and ends[0][0] == now:
            room.free += heapq.heappop(ends)[1]
            decisions = scheduler.room_changed(now)
        elif pending[-1].arrived_at == now:
            request = pending.pop()
            if now >= WARM_UP:
                played.requests.append(request)
            decisions = scheduler.arrive(request, now)
        else:
            decisions = scheduler.room_changed(now)
        for decision in decisions:
            request = decision.request
            if isinstance(decision, Started):
                end = now + rng.uniform(0.5, 1.5) * ANSWER_SECONDS
                heapq.heappush(ends, (end, request.tokens))
            if request.arrived_at >= WARM_UP:
                started = isinstance(decision, Started)
                (played.started if started else played.refused)[request] = now
        wake = scheduler.next_wake(now)
    return played
