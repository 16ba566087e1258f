"""Following the platform: configuration and directory of endpoints."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.fleet import EntryEffect
from lacewingcourse.relay.decoding import Undecodable
from lacewingcourse.relay.loop_watch import LoopWatch
from lacewingcourse.relay.ports import (
    DirectoryNews,
    EndpointEntry,
    Unavailable,
    UnreadableEntry,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.freshness import Freshness, PropagationBudget
    from lacewingcourse.core.pipelines.routing import RoutingTable
    from lacewingcourse.relay.beliefs import Beliefs
    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.peer_messages import FleetNews
    from lacewingcourse.relay.ports import (
        ConfigurationNews,
        ConfigurationSource,
        EndpointDirectory,
    )

#: Seconds between two reads of the directory at the most. The directory changes all
#: the time, so that reads that waited for a change would follow one another at once.
DIRECTORY_PERIOD = 0.5
#: Seconds between two looks at whether this entry has to read.
LOOK_PERIOD = 0.05
#: Origin of what this entry read itself, as log lines show it.
SOURCE = "store"
#: Endpoints that a line about those of another entry shows; a longer line may be cut by
#: the pipe that takes it.
MOST_SHOWN = 128
#: Unreadable entries that are remembered, so that each is told once. A listing holds
#: one record for each key, and the store's records of 400 MB bound their number.
MOST_TOLD = 256


@attrs.define
class ConfigurationFollower:
    """Keeps the newest accepted configuration in force.

    Attributes:
        source: Where it comes from.
        beliefs: Where it is put in force.
        log: Log of decisions.
        clock: Returns the present time in seconds.
        rank: Returns how many live entries come before this one.
        on_change: Called after another version was put in force.
        budget: How long each step on the way to all entries may take.
        freshness: How old the knowledge is.
        reachable: Whether the source answered last.
        in_step: Whether what is in force is what this entry read last, so that a read
            may go on from there.
        unreadable: Whether the newest version that was read cannot be decoded.
        draw: Returns a number from 0 to 1 that spreads the entries.
        on_read: Called with what each read brought.
    """

    source: ConfigurationSource
    beliefs: Beliefs
    log: DecisionLog
    clock: Callable[[], float]
    rank: Callable[[], int]
    on_change: Callable[[], None]
    budget: PropagationBudget
    freshness: Freshness = attrs.field()
    reachable: bool = True
    in_step: bool = False
    unreadable: bool = False
    draw: Callable[[], float] = lambda: 0.0
    on_read: Callable[[str], None] = lambda result: None

    @freshness.default
    def _unknown_age(self) -> Freshness:
        return self.budget.freshness()

    async def run(self) -> None:
        """Follow the source for ever."""
        while True:
            if self.freshness.due(self.rank(), self.clock()):
                await self.read()
            else:
                await asyncio.sleep(LOOK_PERIOD)

    async def read(self) -> None:
        """Read once, waiting for a change if the newest version is known."""
        sent_at = self.clock()
        if self.in_step:
            found = await self.source.next(self.budget.wait)
        else:
            found = await self.source.newest()
        now = self.clock()
        if isinstance(found, Unavailable):
            self.on_read("unavailable")
            self.freshness.failed(now, self.draw())
            self._lost(found)
            return
        self._log_read(found, now - sent_at, self.freshness.age(now))
        self._regained()
        self.in_step = not found.behind
        if found.table is not None:
            self.unreadable = isinstance(found.table, Undecodable)
        if self.unreadable:
            self.freshness.failed(now, self.draw())
        elif not found.behind:
            self.freshness.succeeded(now, sent_at + found.waited)
        if isinstance(found.table, Undecodable):
            self.refuse(found.table, SOURCE)
        elif found.table is not None:
            self.take(found.table, SOURCE)

    def take(self, table: RoutingTable, origin: str) -> None:
        """Put a version in force unless a newer one is."""
        if not self.beliefs.accept(table):
            return
        self.in_step = origin == SOURCE
        age = self.freshness.age(self.clock())
        self.log.belief(
            "configuration",
            version=table.version,
            origin=origin,
            age_ms=round(age * 1000, 1),
        )
        self.on_change()

    def _log_read(self, found: ConfigurationNews, took: float, age: float) -> None:
        """Count a read that was answered, and tell of one that brought something."""
        self.on_read(_result_of(found))
        if not found.records:
            return
        self.log.belief(
            "configuration_read",
            records=found.records,
            behind=found.behind,
            took_ms=round(took * 1000, 1),
            age_ms=round(age * 1000, 1),
        )

    def refuse(self, found: Undecodable, origin: str) -> None:
        """Tell of a version that cannot be read; what is in force stays."""
        self.log.belief("configuration_unreadable", reason=found.reason, origin=origin)

    def _lost(self, found: Unavailable) -> None:
        if self.reachable:
            self.reachable = False
            self.log.belief("configuration_source_lost", reason=found.reason)

    def _regained(self) -> None:
        if not self.reachable:
            self.reachable = True
            self.log.belief("configuration_source_regained")


def _result_of(found: ConfigurationNews) -> str:
    """Return what a read of the configuration brought, for the metrics."""
    if found.behind:
        return "behind"
    if isinstance(found.table, Undecodable):
        return "unreadable"
    return "version" if found.table is not None else "nothing"


@attrs.define
class DirectoryFollower:
    """Keeps what is believed of the endpoints up to date.

    Attributes:
        directory: Where they are listed.
        beliefs: Where they are kept.
        log: Log of decisions.
        clock: Returns the present time in seconds.
        boot_clock: Returns the present time in seconds, counting those for which the
            machine was suspended; `freshness` goes by it.
        rank: Returns how many live entries come before this one.
        on_change: Called after something changed that other entries must know.
        on_restart: Called with the id of an incarnation that a later one ended.
        on_unreadable: Called for each entry that names no endpoint to use.
        budget: How long each step on the way to all entries may take.
        position: How far the directory was read, None before a whole listing.
        freshness: How old the knowledge is.
        reachable: Whether the directory answered last.
        told: Unreadable entries that were logged, oldest first.
        watch: Notes what holds up the loop.
        draw: Returns a number from 0 to 1 that spreads the entries.
    """

    directory: EndpointDirectory
    beliefs: Beliefs
    log: DecisionLog
    clock: Callable[[], float]
    rank: Callable[[], int]
    on_change: Callable[[], None]
    on_restart: Callable[[str], None]
    on_unreadable: Callable[[], None]
    budget: PropagationBudget
    position: int | None = None
    freshness: Freshness = attrs.field()
    reachable: bool = True
    told: dict[UnreadableEntry, None] = attrs.field(factory=dict)
    watch: LoopWatch = attrs.field(factory=LoopWatch)
    draw: Callable[[], float] = lambda: 0.0
    boot_clock: Callable[[], float] = attrs.field()

    @freshness.default
    def _unknown_age(self) -> Freshness:
        return self.budget.freshness()

    @boot_clock.default
    def _loop_clock(self) -> Callable[[], float]:
        return self.clock

    @property
    def period(self) -> float:
        """Seconds between two reads, less what a look at it may be late."""
        return min(DIRECTORY_PERIOD, self.budget.wait) - LOOK_PERIOD

    async def run(self) -> None:
        """Follow the directory for ever."""
        while True:
            if self.freshness.due(self.rank(), self.boot_clock()):
                await self.poll()
            for endpoint in self.beliefs.fleet.expire(self.clock()):
                self.log.belief("endpoint_lapsed", endpoint=endpoint)
            await asyncio.sleep(LOOK_PERIOD)

    async def poll(self) -> None:
        """Read once what changed."""
        sent_at, boot_sent_at = self.clock(), self.boot_clock()
        news = await self.directory.poll(self.position)
        now, boot_now = self.clock(), self.boot_clock()
        fleet = self.beliefs.fleet
        if isinstance(news, Unavailable):
            if self.reachable:
                self.reachable = False
                self.log.belief("directory_lost", reason=news.reason)
            self.freshness.failed(boot_now, self.draw())
            return
        if not self.reachable:
            self.reachable = True
            self.log.belief("directory_regained", known_for=now - fleet.known_at)
        fleet.confirm(sent_at)
        revision = fleet.revision
        self.apply(news, now)
        self.freshness.succeeded(boot_now, boot_sent_at, self.period)
        if fleet.revision != revision:
            self.on_change()

    def from_peer(self, news: FleetNews, peer: str, time_on_way: float) -> None:
        """Take the endpoints that another entry knows, if it has read further.

        Args:
            news: What it told.
            peer: Its name.
            time_on_way: Seconds since it was asked.
        """
        if self.position is not None and news.position <= self.position:
            return
        now = self.clock()
        age = news.age + time_on_way
        entries = tuple(EndpointEntry(e.name, e) for e in news.endpoints)
        self.beliefs.fleet.confirm(now - age)
        with self.watch.section("endpoints from a peer"):
            changed = self.apply(
                DirectoryNews(True, entries, news.position), now, told=False
            )
        if changed:
            self.log.belief(
                "endpoints",
                origin=peer,
                position=news.position,
                changes=len(changed),
                layers={e.id: _range(e) for e in changed[:MOST_SHOWN]},
            )
        for endpoint, remaining in news.lapsed.items():
            self.beliefs.fleet.lapsed.setdefault(endpoint, now + remaining)
        self.freshness.confirm(self.boot_clock() - age)

    def apply(
        self, news: DirectoryNews, now: float, told: bool = True
    ) -> list[Endpoint]:
        """Take what the directory told; return the endpoints that changed.

        Args:
            news: What it told.
            now: Present time in seconds.
            told: Whether each change gets a line in the log. What came from another
                entry was told there.
        """
        fleet = self.beliefs.fleet
        changed: list[Endpoint] = []
        for entry in news.entries:
            if entry.endpoint is not None:
                if self._put(entry.endpoint, told):
                    changed.append(entry.endpoint)
            elif fleet.remove(entry.name, now):
                self.log.belief("endpoint_gone", endpoint=entry.name)
        for unreadable in news.unreadable:
            self._refuse(unreadable)
        if news.whole:
            listed = (*news.entries, *news.unreadable)
            fleet.keep_only({entry.name for entry in listed}, now)
        self.position = news.position
        return changed

    def _put(self, endpoint: Endpoint, told: bool) -> bool:
        """Take an entry that names an endpoint; tell whether it changed anything."""
        known = self.beliefs.fleet.current_incarnation(endpoint.name)
        recognised = self.beliefs.is_configured(endpoint)
        effect = self.beliefs.fleet.put(endpoint, recognised)
        changed = effect in (EntryEffect.CHANGED, EntryEffect.RESTARTED)
        if told and changed:
            self._tell(endpoint)
        if effect is EntryEffect.RESTARTED:
            self.log.belief("endpoint_restarted", endpoint=endpoint.id, ended=known.id)
            self.on_restart(known.id)
        return changed

    def _refuse(self, entry: UnreadableEntry) -> None:
        """Count an unreadable entry, and tell of it once."""
        self.on_unreadable()
        if entry in self.told:
            return
        self.log.belief("entry_unreadable", endpoint=entry.name, reason=entry.reason)
        self.told[entry] = None
        while len(self.told) > MOST_TOLD:
            del self.told[next(iter(self.told))]

    def _tell(self, endpoint: Endpoint) -> None:
        """Tell what is believed of an endpoint from now on."""
        self.log.belief(
            "endpoint",
            endpoint=endpoint.id,
            address=endpoint.address,
            zone=endpoint.zone,
            kind=endpoint.accelerator,
            leaving=endpoint.leaving,
            layers=_range(endpoint),
        )


def _range(endpoint: Endpoint) -> list[int] | None:
    """Return the layers that an endpoint holds as log lines show them."""
    layers = endpoint.layers
    return [layers.start, layers.end] if layers else None
