"""Follows which agents are homes of keys, and proposes homes where one is missing."""

from __future__ import annotations

import asyncio
import secrets
import time
from typing import TYPE_CHECKING, Protocol

from loguru import logger

from lacewingcourse.backing.homes import HOMES_STREAM, HomesReader, home_settings
from lacewingcourse.backing.log import LogClient
from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.homes import HomesFold, HomesRecord, propose
from lacewingcourse.core.keys import model_target, scope_of, service_target, shard_of
from lacewingcourse.entry.host import Host
from lacewingcourse.wire.codec import encode

if TYPE_CHECKING:
    from lacewingcourse.core.endpoints import EndpointState
    from lacewingcourse.core.homes import Shard
    from lacewingcourse.entry.directory import Directory
    from lacewingcourse.entry.metrics import EntryMetrics

#: Seconds for which the log may hold a read that finds nothing.
READ_WAIT = 2.0
#: Seconds before a failed read is repeated.
RETRY_INTERVAL = 0.3
#: Seconds between two looks whether a home is missing, at the least and the most.
PROPOSE_INTERVALS = (0.3, 0.6)
#: Seconds for which the first homes wait until every listed endpoint has answered.
SETTLE_TIME = 5.0
#: Random bytes of a record's name.
RECORD_ID_BYTES = 8


class HomeHost(Host, Protocol):
    """What the homes of keys need of the entry.

    Attributes:
        directory: What is known of the endpoints.
        metrics: Counters of the process.
    """

    directory: Directory
    metrics: EntryMetrics


class HomeKeeper:
    """The homes of keys as one entry sees them.

    Attributes:
        entry: The entry's daemon.
        log: Client of the log service.
        reader: Follows the stream of homes.
        changed: Set and replaced whenever homes may have changed.
        log_answers: Whether the last read of the log succeeded.
        started_at: When the process started, seconds.
    """

    def __init__(self, entry: HomeHost) -> None:
        self.entry = entry
        self.log = LogClient(entry.settings.log_url)
        self.log.observe = entry.metrics.on_log
        self.reader = HomesReader(self.log, HomesFold())
        self.changed = asyncio.Event()
        self.log_answers = False
        self.started_at = entry.now()

    def start(self) -> None:
        """Start the background tasks."""
        self.entry.supervise(self._follow)
        self.entry.supervise(self._propose_for_ever)

    def targets(self) -> dict[str, list[EndpointState]]:
        """Return the endpoints of each service and model that is configured."""
        configuration = self.entry.configuration
        found = {service_target(name): [] for name in configuration.services}
        found |= {model_target(name): [] for name in configuration.models}
        for endpoint in self.entry.directory.endpoints.values():
            if endpoint.service:
                target = service_target(endpoint.service)
            else:
                target = model_target(endpoint.model)
            if target in found:
                found[target].append(endpoint)
        return found

    def complete(self) -> bool:
        """Tell whether every key of every target has a home."""
        tables = [self.reader.fold.table(target) for target in self.targets()]
        return all(table is not None and table.all_held() for table in tables)

    def shard(self, target: str, organisation: str, key: str) -> Shard | Refusal:
        """Return the shard of a key if it has a home."""
        table = self.reader.fold.table(target)
        if table is None:
            return no_home("the homes of the keys are not known yet")
        shard = table.shards[shard_of(scope_of(organisation, target, key))]
        if shard.home is None:
            return no_home("the key has no home at present")
        return shard

    async def wait_for_change(self, timeout: float) -> None:
        """Wait until homes may have changed, unless the log cannot tell."""
        if not self.log_answers:
            return
        try:
            async with asyncio.timeout(timeout):
                await self.changed.wait()
        except TimeoutError:
            pass

    async def _follow(self) -> None:
        while True:
            before = dict(self.reader.fold.records)
            self.log_answers = await self.reader.read(READ_WAIT)
            if not self.log_answers:
                await asyncio.sleep(RETRY_INTERVAL)
                continue
            if self.reader.fold.records != before:
                self.changed.set()
                self.changed = asyncio.Event()

    async def _propose_for_ever(self) -> None:
        while True:
            await asyncio.sleep(self.entry.rng.uniform(*PROPOSE_INTERVALS))
            if not self.reader.caught_up or not self._settled():
                continue
            for target, endpoints in self.targets().items():
                await self._propose(target, endpoints)

    def _settled(self) -> bool:
        """Tell whether the endpoints are known well enough for the first homes."""
        directory = self.entry.directory
        if self.entry.now() - self.started_at > SETTLE_TIME:
            return True
        return bool(directory.instances) and set(directory.instances) <= set(
            directory.endpoints
        )

    async def _propose(self, target: str, endpoints: list[EndpointState]) -> None:
        """Append the next homes of a target if something has to change."""
        current = self.reader.fold.records.get(target)
        table = propose(
            current.table if current else None,
            target,
            endpoints,
            self.entry.directory.gone,
            time.time(),
            home_settings(self.entry.settings),
        )
        if table is None:
            return
        base_id = current.record_id if current else ""
        record = HomesRecord(secrets.token_hex(RECORD_ID_BYTES), base_id, table)
        logger.info("proposing homes", target=target, epoch=table.epoch)
        await self.log.append(HOMES_STREAM, encode(record).decode())


def no_home(reason: str) -> Refusal:
    """Return the refusal of a key that nobody can claim at present."""
    return Refusal(ErrorKind.CLAIM_UNAVAILABLE, reason, retry_after=1.0)
