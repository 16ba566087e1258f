"""Followers of the platform: of the configuration and of the directory of endpoints."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.fleet import EntryEffect
from lacewingcourse.relay.decoding import Undecodable
from lacewingcourse.relay.loop_watch import LoopWatch
from lacewingcourse.relay.ports import (
    DirectoryUpdate,
    EndpointEntry,
    Unavailable,
    UnreadableEntry,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.freshness import Freshness, PropagationBudget
    from lacewingcourse.core.pipelines.log_position import LogPosition
    from lacewingcourse.core.pipelines.routing import RoutingTable
    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.peer_messages import FleetSnapshot
    from lacewingcourse.relay.ports import (
        ConfigurationSource,
        ConfigurationUpdate,
        EndpointDirectory,
    )
    from lacewingcourse.relay.routing_state import RoutingState

#: Maximum number of seconds between two reads of the directory. It changes all the
#: time, so reads that waited for a change would follow one another at once.
DIRECTORY_PERIOD = 0.5
#: Seconds between two checks whether this entry has to read.
CHECK_PERIOD = 0.05
#: Origin in log lines of what this entry read from the store itself.
STORE_ORIGIN = "store"
#: Endpoints shown in the log line about those received from another entry. The pipe
#: that takes the line may cut a longer one.
MAX_LOGGED_ENDPOINTS = 128
#: Unreadable entries that are remembered, so that each is logged once. A listing holds
#: one record for each key, and the store's records of 400 MB bound their number.
MAX_REMEMBERED_UNREADABLE = 256


@attrs.define
class ConfigurationFollower:
    """Keeps the newest accepted configuration in force.

    Attributes:
        source: Source of the configuration.
        routing_state: State that holds the version in force.
        log: Decision log.
        clock: Returns the present time in seconds.
        rank: Returns the number of live entries that read before this one.
        on_change: Called after another version was put in force.
        budget: How long each step of the propagation to all entries may take.
        freshness: Age of the configuration, and when to read it.
        reachable: Whether the source answered the last read.
        in_sync: Whether the version in force is the one that this entry read last, so
            that the next read may continue from there.
        unreadable: Whether the newest version that was read cannot be decoded.
        jitter: Returns a number from 0 to 1 that spreads the retries of entries.
        on_read: Called with the result of each read.
    """

    source: ConfigurationSource
    routing_state: RoutingState
    log: DecisionLog
    clock: Callable[[], float]
    rank: Callable[[], int]
    on_change: Callable[[], None]
    budget: PropagationBudget
    freshness: Freshness = attrs.field()
    reachable: bool = True
    in_sync: bool = False
    unreadable: bool = False
    jitter: Callable[[], float] = lambda: 0.0
    on_read: Callable[[str], None] = lambda result: None

    @freshness.default
    def _initial_freshness(self) -> Freshness:
        return self.budget.freshness()

    async def run(self) -> None:
        """Follow the source until cancelled."""
        while True:
            if self.freshness.due(self.rank(), self.clock()):
                await self.read()
            else:
                await asyncio.sleep(CHECK_PERIOD)

    async def read(self) -> None:
        """Read once; wait for a change if the newest version is known."""
        sent_at = self.clock()
        if self.in_sync:
            update = await self.source.next(self.budget.wait)
        else:
            update = await self.source.newest()
        now = self.clock()
        if isinstance(update, Unavailable):
            self.on_read("unavailable")
            self.freshness.failed(now, self.jitter())
            self._note_unavailable(update)
            return
        self._log_read(update, now - sent_at, self.freshness.age(now))
        self._note_available()
        self.in_sync = not update.behind
        if update.table is not None:
            self.unreadable = isinstance(update.table, Undecodable)
        if self.unreadable:
            self.freshness.failed(now, self.jitter())
        elif not update.behind:
            self.freshness.succeeded(now, sent_at + update.waited)
        if isinstance(update.table, Undecodable):
            self.log_unreadable(update.table, STORE_ORIGIN)
        elif update.table is not None:
            self.apply(update.table, STORE_ORIGIN)

    def apply(self, table: RoutingTable, origin: str) -> None:
        """Put a version in force if it is newer than the present one."""
        if not self.routing_state.accept(table):
            return
        self.in_sync = origin == STORE_ORIGIN
        age = self.freshness.age(self.clock())
        self.log.log_event(
            "configuration",
            version=table.version,
            origin=origin,
            age_ms=round(age * 1000, 1),
        )
        self.on_change()

    def _log_read(self, update: ConfigurationUpdate, took: float, age: float) -> None:
        """Count an answered read, and log it if it returned records."""
        self.on_read(_read_result(update))
        if not update.records:
            return
        self.log.log_event(
            "configuration_read",
            records=update.records,
            behind=update.behind,
            took_ms=round(took * 1000, 1),
            age_ms=round(age * 1000, 1),
        )

    def log_unreadable(self, error: Undecodable, origin: str) -> None:
        """Log a version that cannot be decoded; the one in force stays."""
        self.log.log_event(
            "configuration_unreadable", reason=error.reason, origin=origin
        )

    def _note_unavailable(self, error: Unavailable) -> None:
        if self.reachable:
            self.reachable = False
            self.log.log_event("configuration_source_lost", reason=error.reason)

    def _note_available(self) -> None:
        if not self.reachable:
            self.reachable = True
            self.log.log_event("configuration_source_regained")


def _read_result(update: ConfigurationUpdate) -> str:
    """Return the result of a read of the configuration for the metrics."""
    if update.behind:
        return "behind"
    if isinstance(update.table, Undecodable):
        return "unreadable"
    return "version" if update.table is not None else "nothing"


@attrs.define
class DirectoryFollower:
    """Keeps the known endpoints up to date.

    Attributes:
        directory: Directory that lists the endpoints.
        routing_state: State that holds the endpoints.
        log: Decision log.
        clock: Returns the present time in seconds.
        boot_clock: Returns the present time in seconds, including the time for which
            the machine was suspended; `freshness` uses it.
        rank: Returns the number of live entries that read before this one.
        on_change: Called after a change that other entries must know.
        on_restart: Called with the id of an incarnation that a later one replaced.
        on_unreadable: Called for each entry that describes no usable endpoint.
        budget: How long each step of the propagation to all entries may take.
        position: Position up to which the directory was read, None before a whole
            listing.
        freshness: Age of the known endpoints, and when to read the directory.
        reachable: Whether the directory answered the last read.
        logged_unreadable: Unreadable entries that were logged, oldest first.
        watch: Measures the sections of work that block the event loop.
        jitter: Returns a number from 0 to 1 that spreads the retries of entries.
    """

    directory: EndpointDirectory
    routing_state: RoutingState
    log: DecisionLog
    clock: Callable[[], float]
    rank: Callable[[], int]
    on_change: Callable[[], None]
    on_restart: Callable[[str], None]
    on_unreadable: Callable[[], None]
    budget: PropagationBudget
    position: LogPosition | None = None
    freshness: Freshness = attrs.field()
    reachable: bool = True
    logged_unreadable: dict[UnreadableEntry, None] = attrs.field(factory=dict)
    watch: LoopWatch = attrs.field(factory=LoopWatch)
    jitter: Callable[[], float] = lambda: 0.0
    boot_clock: Callable[[], float] = attrs.field()

    @freshness.default
    def _initial_freshness(self) -> Freshness:
        return self.budget.freshness()

    @boot_clock.default
    def _loop_clock(self) -> Callable[[], float]:
        return self.clock

    @property
    def period(self) -> float:
        """Seconds between two reads, less the time by which a check may be late."""
        return min(DIRECTORY_PERIOD, self.budget.wait) - CHECK_PERIOD

    async def run(self) -> None:
        """Follow the directory until cancelled."""
        while True:
            if self.freshness.due(self.rank(), self.boot_clock()):
                await self.poll()
            for endpoint in self.routing_state.fleet.expire(self.clock()):
                self.log.log_event("endpoint_lapsed", endpoint=endpoint)
            await asyncio.sleep(CHECK_PERIOD)

    async def poll(self) -> None:
        """Read the changes once."""
        sent_at, boot_sent_at = self.clock(), self.boot_clock()
        update = await self.directory.poll(self.position)
        now, boot_now = self.clock(), self.boot_clock()
        fleet = self.routing_state.fleet
        if isinstance(update, Unavailable):
            if self.reachable:
                self.reachable = False
                self.log.log_event("directory_lost", reason=update.reason)
            self.freshness.failed(boot_now, self.jitter())
            return
        if not self.reachable:
            self.reachable = True
            self.log.log_event("directory_regained", known_for=now - fleet.known_at)
        fleet.confirm(sent_at)
        revision = fleet.revision
        self.apply(update, now)
        self.freshness.succeeded(boot_now, boot_sent_at, self.period)
        if fleet.revision != revision:
            self.on_change()

    def from_peer(
        self, snapshot: FleetSnapshot, peer: str, transit_time: float
    ) -> None:
        """Apply the endpoints of another entry if it has read further.

        Args:
            snapshot: Its endpoints.
            peer: Its name.
            transit_time: Seconds since they were requested.
        """
        position = snapshot.log_position
        if self.position is not None and position <= self.position:
            return
        now = self.clock()
        age = snapshot.age + transit_time
        entries = tuple(EndpointEntry(e.name, e) for e in snapshot.endpoints)
        self.routing_state.fleet.confirm(now - age)
        with self.watch.section("endpoints from a peer"):
            changed = self.apply(
                DirectoryUpdate(True, entries, position),
                now,
                log_changes=False,
            )
        if changed:
            self.log.log_event(
                "endpoints",
                origin=peer,
                position=snapshot.position,
                epoch=snapshot.epoch,
                changes=len(changed),
                layers={e.id: _layer_bounds(e) for e in changed[:MAX_LOGGED_ENDPOINTS]},
            )
        for endpoint, remaining in snapshot.lapsed.items():
            self.routing_state.fleet.lapsed.setdefault(endpoint, now + remaining)
        self.freshness.confirm(self.boot_clock() - age)

    def apply(
        self, update: DirectoryUpdate, now: float, log_changes: bool = True
    ) -> list[Endpoint]:
        """Apply an update of the directory; return the endpoints that changed.

        Args:
            update: The update.
            now: Present time in seconds.
            log_changes: Whether each change is logged. Changes received from another
                entry are in the log of that entry.
        """
        fleet = self.routing_state.fleet
        self._check_epoch(update.position, now)
        changed: list[Endpoint] = []
        for entry in update.entries:
            try:
                if entry.endpoint is not None:
                    if self._update_endpoint(entry.endpoint, log_changes):
                        changed.append(entry.endpoint)
                elif fleet.remove(entry.name, now):
                    self.log.log_event("endpoint_gone", endpoint=entry.name)
            except Exception as error:
                # The position has to go on, or the same entry would be read for ever.
                self.log.failed(error, f"directory entry {entry.name}")
        for unreadable in update.unreadable:
            self._note_unreadable(unreadable)
        if update.whole:
            listed = (*update.entries, *update.unreadable)
            fleet.keep_only({entry.name for entry in listed}, now)
        self.position = update.position
        return changed

    def _check_epoch(self, position: LogPosition, now: float) -> None:
        """Give endpoints time to register again if the directory is an older copy."""
        if self.position is None or self.position.epoch == position.epoch:
            return
        self.routing_state.fleet.directory_restored(now)
        self.log.log_event(
            "directory_restored",
            epoch=position.epoch,
            position=position.offset,
            epoch_before=self.position.epoch,
            position_before=self.position.offset,
        )

    def _update_endpoint(self, endpoint: Endpoint, log_changes: bool) -> bool:
        """Apply an entry that describes an endpoint; return whether it changed."""
        known = self.routing_state.fleet.current_incarnation(endpoint.name)
        recognised = self.routing_state.is_configured(endpoint)
        effect = self.routing_state.fleet.put(endpoint, recognised)
        changed = effect in (EntryEffect.CHANGED, EntryEffect.RESTARTED)
        if log_changes and changed:
            self._log_endpoint(endpoint)
        if effect is EntryEffect.RESTARTED:
            self.log.log_event(
                "endpoint_restarted", endpoint=endpoint.id, ended=known.id
            )
            self.on_restart(known.id)
        return changed

    def _note_unreadable(self, entry: UnreadableEntry) -> None:
        """Count an unreadable entry, and log it once."""
        self.on_unreadable()
        if entry in self.logged_unreadable:
            return
        self.log.log_event("entry_unreadable", endpoint=entry.name, reason=entry.reason)
        self.logged_unreadable[entry] = None
        while len(self.logged_unreadable) > MAX_REMEMBERED_UNREADABLE:
            del self.logged_unreadable[next(iter(self.logged_unreadable))]

    def _log_endpoint(self, endpoint: Endpoint) -> None:
        """Log what is known of an endpoint from now on."""
        self.log.log_event(
            "endpoint",
            endpoint=endpoint.id,
            address=endpoint.address,
            zone=endpoint.zone,
            kind=endpoint.accelerator,
            leaving=endpoint.leaving,
            layers=_layer_bounds(endpoint),
        )


def _layer_bounds(endpoint: Endpoint) -> list[int] | None:
    """Return the bounds of the layers that an endpoint holds, for log lines."""
    layers = endpoint.layers
    return [layers.start, layers.end] if layers else None
