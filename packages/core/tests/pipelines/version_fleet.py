"""Entries that read versions and tell one another, with a clock and links of a test."""

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

#: Seconds that a message or a call takes at the most where nothing is wrong.
MAX_MESSAGE_DELAY = 0.005
#: Seconds between two rounds of news, and between two looks whether to read.
GOSSIP_PERIOD = 0.2
READ_CHECK_PERIOD = 0.05
#: Seconds in which a call of the source must be answered, besides what it may wait.
CALL_TIMEOUT = 1.0
#: Seconds in which another entry must answer.
PEER_TIMEOUT = 0.6
#: Seconds in which entries find one another before versions come.
SETTLE_TIME = 4.0


@attrs.frozen
class News:
    """What an entry tells another one.

    Attributes:
        sender: Its name.
        version: Version that it knows.
        age: Seconds since it knew that to be the newest.
        reads: Whether the source answers it.
        peers: Seconds since it heard each other entry, by name.
        stamp: Time of its clock.
        echo: Time of the receiver's clock that it carries back.
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
        book: What it knows of the others.
        freshness: How old its version is known to be.
        stamps: When what others tell was composed.
        version: Version in force.
        known: When each version was in force, seconds.
        is_cut: Whether the source gives it no answer.
        is_up: Whether it runs.
        frozen_until: When it goes on, seconds.
        lateness: Seconds by which it gets to its work late at the most.
        loss: Seconds by which its messages come late at the most.
        reachable: Whether the source answered its last read.
        position: Version that it read last itself.
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
        """Whether nothing is wrong with it."""
        impaired = (
            self.is_disconnected
            or self.frozen_until
            or self.max_scheduling_delay
            or self.max_extra_delay
        )
        return self.is_up and not impaired


class VersionFleet:
    """Entries before a source of versions.

    Attributes:
        now: Present time in seconds.
        standing: Entries that read however new their knowledge is.
        entries: The entries by name.
        acknowledged: When each version was acknowledged, seconds.
        reads: Reads of the source so far.
    """

    def __init__(
        self, zones: dict[str, int], bound: float, seed: int, standing_readers: int = 1
    ) -> None:
        """Make entries that know one another.

        Args:
            zones: Entries of each availability zone.
            bound: Seconds within which a version must be in force.
            seed: Source of all draws.
            standing: Entries that read however new their knowledge is.
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
        """Let something happen at some time."""
        heapq.heappush(self.events, (time, next(self.order), call))

    def run_until(self, until: float) -> None:
        """Play until some time."""
        while self.events[0][0] <= until:
            self.now, _, call = heapq.heappop(self.events)
            call()
        self.now = until

    def run_on(
        self, entry: VersionEntry, time: float, call: Callable[[], None]
    ) -> None:
        """Let an entry do something at some time, or as soon as it gets to it."""
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
        """Let entries find one another."""
        self.run_until(SETTLE_TIME)

    def in_read_order(self) -> list[VersionEntry]:
        """Return the entries in the order in which they read."""

        def rank(entry: VersionEntry) -> int:
            return entry.peer_table.reader_rank(self.now, entry.reachable)

        return sorted(self.entries.values(), key=rank)

    def publish(self) -> None:
        """Let the operator publish a version, which is acknowledged at once."""
        self.acknowledged[len(self.acknowledged)] = self.now

    def publish_burst(self, gap: float, seconds: float) -> None:
        """Publish a version each few seconds for some time.

        Args:
            gap: Seconds between two versions at the most.
            seconds: For how long they come.
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
        """Let an entry read if it is its turn, and look again later."""
        rank = entry.peer_table.reader_rank(self.now, entry.reachable)
        if entry.freshness.due(max(0, rank + 1 - self.standing_readers), self.now):
            self.read(entry)
        else:
            self.run_on(
                entry, self.now + READ_CHECK_PERIOD, lambda: self.check_read(entry)
            )

    def read(self, entry: VersionEntry) -> None:
        """Let an entry read, waiting for a version that it does not know."""
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
        """Let the source answer if there is a version, or if it has waited enough."""
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
        """Return the version that the source gives an entry."""
        return self.newest

    def known_at(self, sent_at: float, waited: float) -> float:
        """Return when what a read brought was the newest.

        Args:
            sent_at: When the read was sent, seconds.
            waited: Seconds for which the source waited in vain.
        """
        return sent_at + waited

    def composed_at(self, entry: VersionEntry, news: News) -> float | None:
        """Return when an entry takes news to have been composed."""
        return entry.stamps.composed_at(news.echo, self.now)

    def on_failed_read(self, entry: VersionEntry) -> None:
        """Let an entry note that a read was not answered."""
        entry.reachable = False
        entry.freshness.failed(self.now, self.rng.random())
        self.check_read(entry)

    def apply_version(self, entry: VersionEntry, version: int) -> None:
        """Put a version in force unless a newer one is, and tell it at once."""
        if version > entry.version:
            entry.version = version
            entry.known[version] = self.now
            self.send_news(entry, urgent=True)

    def gossip(self, entry: VersionEntry) -> None:
        """Let an entry speak with others, and again in the next round."""
        self.send_news(entry, urgent=False)
        self.run_on(entry, self.now + GOSSIP_PERIOD, lambda: self.gossip(entry))

    def send_news(self, entry: VersionEntry, urgent: bool) -> None:
        """Let an entry speak with those whose turn it is."""
        for peer in entry.peer_table.gossip_targets(self.now, urgent):
            other = self.entries[peer.name]
            news = self.news(entry, other)
            arrives = self.now + self.delay(entry, other)
            self.run_on(
                other, arrives, lambda o=other, n=news: self.receive(o, n, True)
            )

    def news(self, entry: VersionEntry, receiver: VersionEntry) -> News:
        """Return what an entry tells another one now."""
        reported = entry.peer_table.peers_to_report(receiver.zone, self.now)
        return News(
            entry.name,
            entry.version,
            entry.freshness.age(self.now),
            entry.reachable,
            {peer.name: self.now - peer.heard_at for peer in reported},
            self.now,
            entry.stamps.echo(receiver.name, self.now),
        )

    def receive(self, entry: VersionEntry, news: News, asked: bool) -> None:
        """Let an entry take news, and answer them if it was asked."""
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
        """Let an entry fetch the version of another one."""
        sent_at = self.now
        there = self.now + self.delay(entry, sender)

        def answer() -> None:
            version = sender.version
            back = self.now + self.delay(entry, sender)
            if back < sent_at + PEER_TIMEOUT:
                self.run_on(entry, back, lambda: self.apply_version(entry, version))

        self.run_on(sender, there, answer)

    def max_lag(self, entry: VersionEntry) -> float:
        """Return the seconds that a version needed at the most to come into force."""
        worst, pending = 0.0, 0
        for version in sorted(entry.known):
            for missed in range(pending + 1, version + 1):
                worst = max(worst, entry.known[version] - self.acknowledged[missed])
            pending = version
        for missed in range(pending + 1, self.newest + 1):
            worst = max(worst, self.now - self.acknowledged[missed])
        return worst

    def healthy_lag(self) -> float:
        """Return the worst lag of the entries with which nothing is wrong."""
        healthy = [entry for entry in self.entries.values() if entry.is_healthy]
        return max(self.max_lag(entry) for entry in healthy)
