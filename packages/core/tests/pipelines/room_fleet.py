"""Entries that share one room, in virtual time and without a network."""

from __future__ import annotations

import random
from collections import Counter
from heapq import heappop, heappush

import attrs

from lacewingcourse.core.pipelines.room_shares import RoomShares
from lacewingcourse.core.pipelines.room_sharing import (
    ROOM_SHARING_POLICIES,
)
from lacewingcourse.core.pipelines.scheduling import QueuedRequest

SERVICE = "rooms"
#: Requests per second that fill the room, and mean seconds that they take.
FULL_RATE, MEAN_TIME = 170.0, 2.0
#: Tokens of a usual request, and how many times larger a tenth of them is.
TOKENS, LARGE = 100, 6
ROOM = FULL_RATE * MEAN_TIME * TOKENS * (0.9 + 0.1 * LARGE)
#: Seconds for which a request waits, between its tries, and between rounds of gossip.
WAIT, RETRY_PERIOD, ROUND = 0.25, 0.03, 0.2
ZONE_SIZE = 17


@attrs.define(eq=False)
class Entry:
    """An entry with its queue."""

    name: str
    share: RoomShares
    hub: bool = False
    frozen_until: float = 0.0
    queue: list[QueuedRequest] = attrs.field(factory=list)


@attrs.define
class Outcome:
    """What became of a request."""

    request: QueuedRequest
    started: bool
    at: float


class RoomFleet:
    """Entries before a counter of free room."""

    def __init__(self, entries=5, delay=0.2, seed=1, policy="deployment"):
        self.rng = random.Random(seed)
        self.now, self.events, self.sequence = 0.0, [], 0
        self.free, self.use = ROOM, []
        self.outcomes: list[Outcome] = []
        make = ROOM_SHARING_POLICIES.get(policy)
        names = [f"entry-{number}" for number in range(entries)]
        self.entries = [Entry(n, RoomShares(lambda n=n: make(n))) for n in names]
        size = ZONE_SIZE if entries > ZONE_SIZE else 1
        self.zones = [
            self.entries[first : first + size] for first in range(0, entries, size)
        ]
        # A report passes at most three hops: member, hub, hub, member.
        self.hop = delay if size == 1 else delay / 3

    def later(self, delay, work, *arguments):
        self.sequence += 1
        heappush(self.events, (self.now + delay, self.sequence, work, arguments))

    def run(self, load, seconds=14.0):
        """Play arrivals at a multiple of what fills the room."""
        self.later(0.0, self.arrive, FULL_RATE * load)
        self.later(0.0, self.retry)
        for entry in self.entries:
            self.later(self.rng.random() * ROUND, self.gossip, entry)
        while self.events and self.events[0][0] < seconds:
            self.now, _, work, arguments = heappop(self.events)
            work(*arguments)
        return self

    def arrive(self, rate):
        self.later(self.rng.expovariate(rate), self.arrive, rate)
        rng, now = self.rng, self.now
        entry = rng.choice([e for e in self.entries if now >= e.frozen_until])
        large = rng.random() < 0.7
        organisation = "large" if large else f"small-{rng.randrange(9)}"
        tokens = TOKENS * (LARGE if rng.random() < 0.1 else 1)
        rank = rng.randrange(3)
        request = QueuedRequest(
            str(self.sequence), rank, organisation, tokens, now, now + WAIT
        )
        share = entry.share.of(SERVICE)
        share.record_arrival(request, now)
        if share.may_take(request, now):
            entry.queue.append(request)
            entry.queue.sort(key=lambda queued: (queued.rank, queued.arrived_at))
            self.start(entry)
        else:
            self.outcomes.append(Outcome(request, False, now))

    def start(self, entry):
        """Start what finds room at an entry, in order, and refuse what is too late."""
        share, now = entry.share.of(SERVICE), self.now
        if now < entry.frozen_until:
            return
        for request in list(entry.queue):
            if request.latest_start < now:
                entry.queue.remove(request)
                self.outcomes.append(Outcome(request, False, now))
            elif not share.has_precedence(request, now):
                continue
            elif request.tokens > self.free:
                share.record_shortage(request, now)
            else:
                share.record_start(request, now)
                entry.queue.remove(request)
                self.outcomes.append(Outcome(request, True, now))
                self.free -= request.tokens
                time = self.rng.expovariate(1 / MEAN_TIME)
                self.later(time, self.end, entry, request)

    def end(self, entry, request):
        self.free += request.tokens
        self.start(entry)

    def retry(self):
        self.later(RETRY_PERIOD, self.retry)
        self.use.append((self.now, 1 - self.free / ROOM))
        for entry in self.rng.sample(self.entries, len(self.entries)):
            self.start(entry)

    def gossip(self, entry):
        """Send the reports of an entry, by way of the hubs if there are zones."""
        self.later(ROUND, self.gossip, entry)
        entry.share.expire(self.now)
        if self.now < entry.frozen_until:
            return
        zone = next(zone for zone in self.zones if entry in zone)
        members = {member.name for member in zone}
        for hub in (zone[0] for zone in self.zones):
            if entry is zone[0] and hub is not entry:
                self.send(entry, hub, f"zone {entry.name}", members.__contains__)
        for member in zone[1:]:
            if entry is zone[0]:
                self.send(entry, member, "others", lambda key: key != member.name)
        if entry is not zone[0]:
            self.send(entry, zone[0], entry.name, lambda key: False)

    def send(self, sender, receiver, key, included):
        reports = sender.share.reports(included, self.now)
        self.later(self.hop, self.receive, receiver, key, reports)

    def receive(self, receiver, key, reports):
        if self.now >= receiver.frozen_until:
            receiver.share.from_peer(key, reports, self.now)

    def freeze(self, entry, at, seconds):
        """Stop an entry for a while: it starts nothing and exchanges no messages."""
        self.later(at - self.now, self._freeze, entry, seconds)

    def _freeze(self, entry, seconds):
        entry.frozen_until = self.now + seconds

    def served(self, since=4.0, skipped=(), **wanted):
        """Return the share of requests that were started, by their attributes."""
        counts = Counter(
            outcome.started
            for outcome in self.outcomes
            if outcome.request.arrived_at >= since
            and not any(a <= outcome.request.arrived_at < b for a, b in skipped)
            and all(getattr(outcome.request, n) in v for n, v in wanted.items())
        )
        return counts[True] / max(1, counts.total())

    def room_in_use(self, since=4.0):
        """Return the mean share of the room that was in use."""
        seen = [use for at, use in self.use if at >= since]
        return sum(seen) / len(seen)


SMALL = {f"small-{number}" for number in range(9)}
