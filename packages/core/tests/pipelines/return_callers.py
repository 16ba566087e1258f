"""Callers beyond the room of a deployment, who are refused and return.

Entries share a room counter, in virtual time. Requests start in the order of their
ranks over all entries, those that are due before newcomers of their rank: sharing of
room is not what is tested here. Several entries tell each other their rates, as late as
all else.
"""

from __future__ import annotations

import random
from collections import defaultdict
from heapq import heappop, heappush
from itertools import count

import attrs

from lacewingcourse.core.pipelines.bookings import Arrival
from lacewingcourse.core.pipelines.event_rate import EventRate
from lacewingcourse.core.pipelines.return_schedule import Place, ReturnSchedule
from lacewingcourse.core.pipelines.scheduling import QueuedRequest
from lacewingcourse.core.pipelines.suspects import ObservationScope

ANSWER = 2.0  # seconds
WAIT = 0.25  # seconds
TIMEOUT = 20.0  # seconds
ROOM = 120  # answers at a time
ROUND = 0.2  # seconds between two messages of an entry


@attrs.define(eq=False)
class Caller:
    """A caller, and what came of its request."""

    name: str
    rank: int
    abusive: bool
    first_at: float
    repeats: int = 0
    place: Place | None = None
    returned: bool = False
    served_at: float | None = None
    entry: int = 0
    queued: QueuedRequest | None = None
    rng: random.Random = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        # Of its own, so that the same callers come whatever others do.
        self.rng = random.Random(self.name)


@attrs.define
class Overload:
    """Callers of a deployment at some times its room.

    Attributes:
        load: Arrivals relative to the answers that the room allows.
        entries: Number of entries.
        delay: Seconds for which messages between entries are on their way.
        abusive: Share of callers that may ignore their time of return.
        abuse: Whether these do: each repeats three times at once.
        skew: Greatest error of callers in keeping their time, seconds.
    """

    load: float
    entries: int = 1
    delay: float = 0.2
    abusive: float = 0.0
    abuse: bool = True
    skew: float = 0.02
    seconds: float = 40.0
    seed: int = 1
    callers: list[Caller] = attrs.field(factory=list)
    waiting: list[Caller] = attrs.field(factory=list)
    free: int = ROOM
    events: list = attrs.field(factory=list)
    ends: EventRate = attrs.field(factory=EventRate)
    arrivals: list[EventRate] = attrs.field(
        factory=lambda: [EventRate() for _ in range(3)]
    )
    numbers: count = attrs.field(factory=count)
    rng: random.Random = attrs.field(init=False)
    schedules: list[ReturnSchedule] = attrs.field(init=False)

    def at(self, when: float, action, *arguments) -> None:
        heappush(self.events, (when, next(self.numbers), action, arguments))

    def run(self) -> Overload:
        """Play all callers to their ends."""
        self.rng = random.Random(self.seed)
        self.schedules = [ReturnSchedule(self.entries) for _ in range(self.entries)]
        if self.entries > 1:
            for schedule in self.schedules:
                schedule.deployment_rate = lambda _, now: self.ends.rate(now)
                schedule.urgent_demand = lambda _, rank, now: sum(
                    self.arrivals[other].rate(now) for other in range(rank)
                )
        rate, when = self.load * ROOM / ANSWER, 0.0
        while when < self.seconds:
            rank = self.rng.randrange(3)
            is_abusive = self.rng.random() < self.abusive
            name = f"{self.rng.getrandbits(32):08x}"
            self.callers.append(Caller(name, rank, is_abusive, when))
            self.at(when, self.arrive, self.callers[-1])
            when += self.rng.expovariate(rate)
        for entry in range(self.entries):
            self.at(self.rng.random() * ROUND, self.gossip, entry)
        while self.events:
            now, _, action, arguments = heappop(self.events)
            action(now, *arguments)
        return self

    def gossip(self, now: float, sender: int) -> None:
        reports = self.schedules[sender].table.reports(now, ObservationScope.OWN)
        for schedule in self.schedules if reports else ():
            if schedule is not self.schedules[sender]:
                self.at(now + self.delay, self.receive, schedule, reports)
        if now < self.seconds + TIMEOUT:
            self.at(now + ROUND, self.gossip, sender)

    def receive(self, now: float, schedule: ReturnSchedule, reports: dict) -> None:
        assert schedule.table.from_peer(reports, self.delay, now, True) == ""

    def arrive(self, now: float, caller: Caller) -> None:
        if caller.served_at is not None or caller in self.waiting:
            return
        caller.entry = caller.rng.randrange(self.entries)
        arrival = self.schedules[caller.entry].record_arrival(
            "s", caller.rank, caller.name, now
        )
        caller.queued = QueuedRequest(
            caller.name, caller.rank, "o", 1, now, now + WAIT, False, False
        )
        caller.queued.due = arrival is Arrival.DUE
        if arrival is not Arrival.EARLY:
            self.at(now + self.delay, self.arrivals[caller.rank].record)
        if self.free and not self.waiting:
            self.start(now, caller)
        elif arrival is Arrival.EARLY:
            self.refuse(now, caller)
        else:
            self.waiting.append(caller)
            self.at(now + WAIT, self.expire, caller, caller.queued)

    def start(self, now: float, caller: Caller) -> None:
        self.free -= 1
        caller.served_at = now
        self.at(now + ANSWER * caller.rng.uniform(0.5, 1.5), self.end, caller)

    def end(self, now: float, caller: Caller) -> None:
        self.free += 1
        self.schedules[caller.entry].record_end("s", caller.name, now)
        self.at(now + self.delay, self.ends.record)
        if self.waiting:
            first = min(self.waiting, key=lambda caller: self.order(now, caller))
            self.waiting.remove(first)
            self.start(now, first)

    def order(self, now: float, caller: Caller) -> tuple:
        """Return the place of a caller among those that wait."""
        is_early = self.schedules[caller.entry].is_early(caller.name, now)
        queued = caller.queued
        return is_early, queued.rank, not queued.due, queued.arrived_at

    def expire(self, now: float, caller: Caller, queued: QueuedRequest) -> None:
        if caller in self.waiting and caller.queued is queued:
            self.waiting.remove(caller)
            self.refuse(now, caller)

    def refuse(self, now: float, caller: Caller) -> None:
        left = caller.first_at + TIMEOUT - now
        place = self.schedules[caller.entry].book(
            caller.queued, caller.name, left, now, caller.rng.random(), "s"
        )
        if caller.abusive and self.abuse:
            caller.repeats += 1
            if caller.repeats <= 3:
                self.at(now + 0.05, self.arrive, caller)
        elif isinstance(place, Place) and not caller.returned:
            assert place.seconds <= left / 3
            caller.place, caller.returned = place, True
            skew = caller.rng.uniform(-self.skew, self.skew)
            self.at(now + place.seconds + skew, self.arrive, caller)

    def kept(self, rank: int | None = None) -> float:
        """Return the share that is served of those that return at their time."""
        booked = [
            c for c in self.callers if c.place and (rank is None or c.rank == rank)
        ]
        return sum(c.served_at is not None for c in booked) / len(booked)

    def served(self, abusive: bool = False) -> float:
        """Return the share of callers that are served."""
        callers = [c for c in self.callers if c.abusive == abusive]
        return sum(c.served_at is not None for c in callers) / len(callers)

    def mean_return(self) -> dict[int, float]:
        """Return the mean seconds until callers may return, by rank."""
        seconds = defaultdict(list)
        for caller in self.callers:
            if caller.place is not None:
                seconds[caller.rank].append(caller.place.seconds)
        return {rank: sum(s) / len(s) for rank, s in seconds.items()}
