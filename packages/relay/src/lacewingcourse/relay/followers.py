"""Following the platform: configuration and directory of endpoints."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.relay.ports import Unavailable

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.routing import RoutingTable
    from lacewingcourse.relay.beliefs import Beliefs
    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.ports import (
        ConfigurationSource,
        DirectoryNews,
        EndpointDirectory,
    )

#: Seconds between two reads of the directory. An endpoint that leaves must get no
#: new work two seconds after its entry says so; half of that is left for the way.
DIRECTORY_PERIOD = 0.4
#: Seconds after which a source that gave no answer is asked again.
RETRY_PERIOD = 0.25


@attrs.define
class ConfigurationFollower:
    """Keeps the newest accepted configuration in force.

    Attributes:
        source: Where it comes from.
        beliefs: Where it is put in force.
        log: Log of decisions.
        clock: Returns the present time in seconds.
        on_change: Called after another version was put in force.
        reachable: Whether the source answered last.
    """

    source: ConfigurationSource
    beliefs: Beliefs
    log: DecisionLog
    clock: Callable[[], float]
    on_change: Callable[[], None]
    reachable: bool = True

    async def run(self) -> None:
        """Follow the source for ever."""
        known = False
        while True:
            found = await (self.source.next() if known else self.source.newest())
            if isinstance(found, Unavailable):
                self._lost(found)
                await asyncio.sleep(RETRY_PERIOD)
                continue
            self._regained()
            known = True
            self.beliefs.confirmed_at = self.clock()
            if found is not None:
                self.take(found, "store")

    def take(self, table: RoutingTable, origin: str) -> None:
        """Put a version in force unless a newer one is."""
        if not self.beliefs.accept(table):
            return
        self.log.belief("configuration", version=table.version, origin=origin)
        self.on_change()

    def _lost(self, found: Unavailable) -> None:
        if self.reachable:
            self.reachable = False
            self.log.belief("configuration_source_lost", reason=found.reason)

    def _regained(self) -> None:
        if not self.reachable:
            self.reachable = True
            self.log.belief("configuration_source_regained")


@attrs.define
class DirectoryFollower:
    """Keeps what is believed of the endpoints up to date.

    Attributes:
        directory: Where they are listed.
        beliefs: Where they are kept.
        log: Log of decisions.
        clock: Returns the present time in seconds.
        position: How far the directory was read, None before a whole listing.
    """

    directory: EndpointDirectory
    beliefs: Beliefs
    log: DecisionLog
    clock: Callable[[], float]
    position: int | None = None

    async def run(self) -> None:
        """Follow the directory for ever."""
        while True:
            await self.poll()
            await asyncio.sleep(DIRECTORY_PERIOD)

    async def poll(self) -> None:
        """Read once what changed."""
        news = await self.directory.poll(self.position)
        now = self.clock()
        fleet = self.beliefs.fleet
        if isinstance(news, Unavailable):
            if fleet.away_since is None:
                self.log.belief("directory_lost", reason=news.reason)
            fleet.directory_away(now)
            return
        if fleet.away_since is not None:
            self.log.belief("directory_regained", away=now - fleet.away_since)
        fleet.directory_back(now)
        self.apply(news, now)
        for endpoint in fleet.expire(now):
            self.log.belief("endpoint_lapsed", endpoint=endpoint)

    def apply(self, news: DirectoryNews, now: float) -> None:
        """Take what the directory told."""
        fleet = self.beliefs.fleet
        for entry in news.entries:
            if entry.endpoint is None:
                if fleet.remove(entry.id, now):
                    self.log.belief("endpoint_gone", endpoint=entry.id)
            elif fleet.put(entry.endpoint):
                self._tell(entry.endpoint)
        if news.whole:
            fleet.keep_only({entry.id for entry in news.entries}, now)
        self.position = news.position

    def _tell(self, endpoint) -> None:
        layers = endpoint.layers
        self.log.belief(
            "endpoint",
            endpoint=endpoint.id,
            address=endpoint.address,
            zone=endpoint.zone,
            leaving=endpoint.leaving,
            layers=[layers.start, layers.end] if layers else None,
        )
