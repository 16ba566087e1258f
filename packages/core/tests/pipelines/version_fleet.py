"""Simulated entries that read and exchange versions, on a virtual clock."""

from __future__ import annotations

import heapq
from itertools import count
from random import Random
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.freshness import PropagationBudget
from lacewingcourse.core.pipelines.peers import PeerTable
from lacewingcourse.core.pipelines.stamps import Echo, StampTable

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.freshness import Freshness

#: Seconds that a message or a call takes at most without faults.
MAX_MESSAGE_DELAY = 0.005
#: Seconds between two gossip rounds, and between two checks whether a read is due.
GOSSIP_PERIOD = 0.2
READ_CHECK_PERIOD = 0.05
#: Seconds in which the source must answer a call, in addition to its wait.
CALL_TIMEOUT = 1.0
#: Seconds in which another entry must answer.
PEER_TIMEOUT = 0.6
#: Seconds in which entries discover each other before versions are published.
SETTLE_TIME = 4.0


@attrs.frozen
class News:
    """State that an entry sends to another one.

    Attributes:
        sender: Its name.
        version: Version that it knows.
        age: Seconds since that was known to be the newest.
        reads: Whether the source answers it.
        peers: Seconds since the last message of each other entry, by name.
        stamp: Time of its clock, seconds.
        echo: Time of the receiver's clock that the message returns.
    """

    sender: str
    version: int
    age: float
    reads: bool
    peers: dict[str, float]
    stamp: float
    echo: Echo | None


@attrs.define
class VersionEntry:
    """One entry.

    Attributes:
        name: Its name.
        zone: Its availability zone.
        peer_table: The other entries.
        freshness: Age of its version.
        stamps: Bounds on when messages were composed.
        version: Version in force.
        known: When each version came into force, seconds.
        is_disconnected: Whether the source does not answer it.
        is_up: Whether it runs.
        frozen_until: End of a freeze, seconds.
        max_scheduling_delay: Seconds by which its work starts late at most.
        max_extra_delay: Seconds by which its messages are late at most.
        reachable: Whether the source answered its last read.
        position: Version of its last own read.
    """

    name: str
    zone: str
    peer_table: PeerTable
    freshness: Freshness
    stamps: StampTable
    version: int = 0
    known: dict[int, float] = attrs.field(factory=dict)
    is_disconnected: bool = False
    is_up: bool = True
    frozen_until: float = 0.0
    max_scheduling_delay: float = 0.0
    max_extra_delay: float = 0.0
    reachable: bool = True
    position: int = 0

    @property
    def is_healthy(self) -> bool:
        """Whether it has no fault."""
        impaired = (
            self.is_disconnected
            or self.frozen_until
            or self.max_scheduling_delay
            or self.max_extra_delay
        )
        return self.is_up and not impaired


class VersionFleet:
    """Entries that read from a source of versions.

    Attributes:
        now: Present time in seconds.
        standing_readers: Entries that read regardless of the age of their knowledge.
        entries: The entries by name.
        acknowledged: When each version was acknowledged, seconds.
        reads: Number of reads of the source.
    """

    def __init__(
        self, zones: dict[str, int], bound: float, seed: int, standing_readers: int = 1
    ) -> None:
        """Create entries that know each other.

        Args:
            zones: Number of entries by availability zone.
            bound: Seconds within which a version must be in force.
            seed: Seed of the random numbers.
            standing_readers: Entries that read regardless of the age of their
                knowledge.
        """
        self.standing_readers = standing_readers
        self.rng = Random(seed)
        self.now = 0.0
        self.budget = PropagationBudget(bound)
        self.acknowledged: dict[int, float] = {0: 0.0}
        self.reads = 0
        self.events: list = []
        self.order = count()
        self.entries: dict[str, VersionEntry] = {}
        for zone, number in zones.items():
            for index in range(number):
                self.add(f"{zone}-{index:02}", zone)
        for entry in self.entries.values():
            for other in self.entries.values():
                entry.peer_table.record_message(
                    other.name, other.name, False, 0.0, other.zone
                )
            self.schedule(
                self.rng.uniform(0, GOSSIP_PERIOD), lambda e=entry: self.gossip(e)
            )
            self.schedule(
                self.rng.uniform(0, READ_CHECK_PERIOD),
                lambda e=entry: self.check_read(e),
            )

    def add(self, name: str, zone: str) -> None:
        """Add an entry."""
        peer_table, freshness = PeerTable(name, zone), self.budget.freshness()
        self.entries[name] = VersionEntry(
            name, zone, peer_table, freshness, StampTable(0.0)
        )

    def schedule(self, time: float, call: Callable[[], None]) -> None:
        """Schedule a call."""
        heapq.heappush(self.events, (time, next(self.order), call))

    def run_until(self, until: float) -> None:
        """Run the simulation until a time."""
        while self.events[0][0] <= until:
            self.now, _, call = heapq.heappop(self.events)
            call()
        self.now = until

    def run_on(
        self, entry: VersionEntry, time: float, call: Callable[[], None]
    ) -> None:
        """Schedule a call on an entry; it runs late on a slow or frozen one."""
        late = self.rng.uniform(0, entry.max_scheduling_delay)

        def begin() -> None:
            if not entry.is_up:
                return
            if self.now < entry.frozen_until:
                self.schedule(entry.frozen_until, call)
            else:
                call()

        self.schedule(time + late, begin)

    def delay(self, *entries: VersionEntry) -> float:
        """Return the seconds that a message from or to some entries takes."""
        lost = sum(self.rng.uniform(0, entry.max_extra_delay) for entry in entries)
        return self.rng.uniform(0.0005, MAX_MESSAGE_DELAY) + lost

    def settle(self) -> None:
        """Run until the entries have discovered each other."""
        self.run_until(SETTLE_TIME)

    def in_read_order(self) -> list[VersionEntry]:
        """Return the entries in the order in which they read."""

        def rank(entry: VersionEntry) -> int:
            return entry.peer_table.reader_rank(self.now, entry.reachable)

        return sorted(self.entries.values(), key=rank)

    def publish(self) -> None:
        """Publish a version, which is acknowledged at once."""
        self.acknowledged[len(self.acknowledged)] = self.now

    def publish_burst(self, gap: float, seconds: float) -> None:
        """Schedule versions in quick succession.

        Args:
            gap: Seconds between two versions at most.
            seconds: Duration of the burst.
        """
        at, end = self.now, self.now + seconds
        while at < end:
            self.schedule(at, self.publish)
            at += self.rng.uniform(0.3, 1.0) * gap

    @property
    def newest(self) -> int:
        """The newest version."""
        return len(self.acknowledged) - 1

    def check_read(self, entry: VersionEntry) -> None:
        """Make an entry read if a read is due, otherwise check again later."""
        rank = entry.peer_table.reader_rank(self.now, entry.reachable)
        if entry.freshness.due(max(0, rank + 1 - self.standing_readers), self.now):
            self.read(entry)
        else:
            self.run_on(
                entry, self.now + READ_CHECK_PERIOD, lambda: self.check_read(entry)
            )

    def read(self, entry: VersionEntry) -> None:
        """Make an entry read, waiting for a version that it does not know."""
        self.reads += 1
        sent_at = self.now
        until = sent_at + self.budget.wait
        if entry.is_disconnected:
            failed_at = until + CALL_TIMEOUT
            self.run_on(entry, failed_at, lambda: self.on_failed_read(entry))
            return
        there = self.now + self.delay(entry)
        self.schedule(there, lambda: self.answer(entry, sent_at, until))

    def answer(self, entry: VersionEntry, sent_at: float, until: float) -> None:
        """Make the source answer once there is a new version or the wait is over."""
        if self.newest == entry.version and self.now < until:
            again = min(until, self.now + MAX_MESSAGE_DELAY)
            self.schedule(again, lambda: self.answer(entry, sent_at, until))
            return
        waited = until - sent_at if self.newest == entry.version else 0.0
        version = self.read_version(entry)
        back = self.now + self.delay(entry)

        def take() -> None:
            if back > until + CALL_TIMEOUT:
                self.on_failed_read(entry)
                return
            entry.reachable = True
            entry.freshness.succeeded(self.now, self.known_at(sent_at, waited))
            self.apply_version(entry, version)
            self.check_read(entry)

        self.run_on(entry, back, take)

    def read_version(self, entry: VersionEntry) -> int:
        """Return the version that a read by an entry returns."""
        return self.newest

    def known_at(self, sent_at: float, waited: float) -> float:
        """Return when the result of a read was the newest version.

        Args:
            sent_at: When the read was sent, seconds.
            waited: Seconds for which the source waited without a new version.
        """
        return sent_at + waited

    def composed_at(self, entry: VersionEntry, news: News) -> float | None:
        """Return the composition time that an entry assumes for news."""
        return entry.stamps.composed_at(news.echo, self.now)

    def on_failed_read(self, entry: VersionEntry) -> None:
        """Record that a read of an entry was not answered."""
        entry.reachable = False
        entry.freshness.failed(self.now, self.rng.random())
        self.check_read(entry)

    def apply_version(self, entry: VersionEntry, version: int) -> None:
        """Put a version in force unless a newer one is, and report it at once."""
        if version > entry.version:
            entry.version = version
            entry.known[version] = self.now
            self.send_news(entry, urgent=True)

    def gossip(self, entry: VersionEntry) -> None:
        """Run a gossip round of an entry, and schedule the next one."""
        self.send_news(entry, urgent=False)
        self.run_on(entry, self.now + GOSSIP_PERIOD, lambda: self.gossip(entry))

    def send_news(self, entry: VersionEntry, urgent: bool) -> None:
        """Send news of an entry to its gossip targets."""
        for peer in entry.peer_table.gossip_targets(self.now, urgent):
            other = self.entries[peer.name]
            news = self.news(entry, other)
            arrives = self.now + self.delay(entry, other)
            self.run_on(
                other, arrives, lambda o=other, n=news: self.receive(o, n, True)
            )

    def news(self, entry: VersionEntry, receiver: VersionEntry) -> News:
        """Return the news that an entry sends to another one now."""
        reported = entry.peer_table.peers_to_report(receiver.zone, self.now)
        return News(
            entry.name,
            entry.version,
            entry.freshness.age(self.now),
            entry.reachable,
            {peer.name: self.now - peer.last_message_at for peer in reported},
            self.now,
            entry.stamps.echo(receiver.name, self.now),
        )

    def receive(self, entry: VersionEntry, news: News, asked: bool) -> None:
        """Make an entry process news; it answers a request.

        Args:
            entry: The receiver.
            news: The news.
            asked: Whether the sender expects an answer.
        """
        sender = self.entries[news.sender]
        peer_table = entry.peer_table
        peer_table.record_message(
            sender.name, sender.name, False, self.now, sender.zone, reads=news.reads
        )
        for name, age in news.peers.items():
            peer_table.record_report(name, name, self.entries[name].zone, age, self.now)
        entry.stamps.receive(news.sender, news.stamp, self.now)
        if news.version == entry.version:
            composed_at = self.composed_at(entry, news)
            if composed_at is not None:
                entry.freshness.confirm(composed_at - news.age)
        elif news.version > entry.version:
            self.fetch(entry, sender)
        if asked:
            answer = self.news(entry, sender)
            arrives = self.now + self.delay(entry, sender)
            self.run_on(sender, arrives, lambda: self.receive(sender, answer, False))

    def fetch(self, entry: VersionEntry, sender: VersionEntry) -> None:
        """Make an entry fetch the version of another one."""
        sent_at = self.now
        there = self.now + self.delay(entry, sender)

        def answer() -> None:
            version = sender.version
            back = self.now + self.delay(entry, sender)
            if back < sent_at + PEER_TIMEOUT:
                self.run_on(entry, back, lambda: self.apply_version(entry, version))

        self.run_on(sender, there, answer)

    def max_lag(self, entry: VersionEntry) -> float:
        """Return the largest delay in seconds between acknowledgement and effect."""
        worst, pending = 0.0, 0
        for version in sorted(entry.known):
            for missed in range(pending + 1, version + 1):
                worst = max(worst, entry.known[version] - self.acknowledged[missed])
            pending = version
        for missed in range(pending + 1, self.newest + 1):
            worst = max(worst, self.now - self.acknowledged[missed])
        return worst

    def healthy_lag(self) -> float:
        """Return the largest lag of the entries without a fault."""
        healthy = [entry for entry in self.entries.values() if entry.is_healthy]
        return max(self.max_lag(entry) for entry in healthy)
