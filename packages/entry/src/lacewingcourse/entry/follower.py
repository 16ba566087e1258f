"""Follows the configuration in the log and among the other entries."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from loguru import logger

from lacewingcourse.backing.instances import InstanceRole
from lacewingcourse.core.configuration_fold import ConfigurationEntry, snapshot_of
from lacewingcourse.core.configuration_replica import StreamEntry, StreamPage
from lacewingcourse.core.dissemination import (
    agents_of,
    fingers,
    reader_rank,
    stale_after,
    volunteers,
)
from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.daemon.configuration import ConfigurationFollower
from lacewingcourse.wire.codec import decode, encode

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from lacewingcourse.backing.instances import Instance
    from lacewingcourse.backing.log import LogClient, LogPage
    from lacewingcourse.core.configuration import ConfigurationRecord
    from lacewingcourse.daemon.daemon import Daemon

#: Stream of the log that holds the configuration.
CONFIGURATION_STREAM = "configuration"
#: Seconds for which the log may hold a read that finds nothing.
READ_WAIT = 2.0
#: Seconds before the first repeat of a failed read; doubled at each further one.
RETRY_INTERVAL = 0.25
#: Seconds between two repeats of a failed read at the most.
MAX_RETRY_INTERVAL = 2.0
#: Snapshots within the time that the log keeps a record.
SNAPSHOTS_PER_RETENTION = 4


class EntryConfigurationFollower(ConfigurationFollower):
    """Reads the log if it is one of its few readers; else relies on other entries.

    Attributes:
        log: Client of the log service.
        members: Returns the instances that the platform's list shows.
        may_write: Tells whether this process may write snapshots; several writers at a
            time do no harm, so this only saves appends.
    """

    def __init__(
        self, daemon: Daemon, log: LogClient, members: Callable[[], Sequence[Instance]]
    ) -> None:
        super().__init__(daemon)
        self.log = log
        self.members = members
        self.may_write: Callable[[], bool] = lambda: True
        self._retry_interval = RETRY_INTERVAL

    def urls(self, role: InstanceRole) -> dict[str, str]:
        """Return the URLs of the other instances of a role by name."""
        own = self.daemon.settings.instance_id
        return {
            instance.id: instance.url
            for instance in self.members()
            if instance.role is role and instance.id != own
        }

    async def sources(self) -> Sequence[str]:
        if not self.replica.usable:
            urls = list(self.urls(InstanceRole.ENTRY).values())
            return self.rng.sample(urls, min(len(urls), 8))
        return self.receivers()

    def receivers(self) -> Sequence[str]:
        urls = self.urls(InstanceRole.ENTRY)
        return [urls[name] for name in fingers(self.daemon.settings.instance_id, urls)]

    def relayed(self) -> Sequence[str]:
        agents = self.urls(InstanceRole.ENDPOINT)
        entries = self.urls(InstanceRole.ENTRY)
        mine = agents_of(self.daemon.settings.instance_id, entries, agents)
        return [agents[name] for name in mine]

    def rank(self) -> int | None:
        """Return the rank among the readers of the log, None if not a reader."""
        own = self.daemon.settings.instance_id
        return reader_rank(own, {own, *self.urls(InstanceRole.ENTRY)})

    def reads_log(self) -> bool:
        """Tell whether to read the log now."""
        if self.rank() is not None or not self.replica.usable:
            return True
        entries = len(self.urls(InstanceRole.ENTRY)) + 1
        read_at = self.replica.read_at or 0.0
        age = self.daemon.now() - read_at
        if age < stale_after(entries, self.check_interval):
            return False
        return volunteers(entries, self.rng)

    async def follow_log(self) -> None:
        """Read the log for ever, as long as this entry is one of its readers."""
        while True:
            if not self.reads_log():
                await asyncio.sleep(self.check_interval)
                continue
            refusal = await self.read(READ_WAIT if self.replica.usable else 0.0)
            if refusal is not None:
                await asyncio.sleep(self._retry_interval)
                longer = self._retry_interval * 2
                self._retry_interval = min(longer, MAX_RETRY_INTERVAL)
                continue
            self._retry_interval = RETRY_INTERVAL
            await self._write_snapshot_if_due()

    async def read(self, wait: float = 0.0) -> Refusal | None:
        """Read one page of the log and fold it."""
        began = self.daemon.now()
        offset = self.replica.read_offset
        page = await self.log.read(CONFIGURATION_STREAM, offset, wait=wait)
        if isinstance(page, Refusal):
            return page
        if offset > self.replica.read_offset:
            return None
        if self.replica.take_page(stream_page(page), began):
            self.on_change()
        if self.replica.scan is not None and not page.records:
            reason = "records were dropped before they were read"
            return Refusal(ErrorKind.LOG_UNAVAILABLE, reason)
        return None

    async def catch_up(self) -> Refusal | None:
        """Read the log up to its present end; return a refusal if that failed."""
        started = self.daemon.now()
        while (self.replica.read_at or 0.0) < started:
            refusal = await self.read()
            if refusal is not None:
                return refusal
        return None

    async def append(self, record: ConfigurationRecord) -> int | Refusal:
        """Append a change to the log."""
        return await self._append(ConfigurationEntry(change=record))

    async def _append(self, entry: ConfigurationEntry) -> int | Refusal:
        return await self.log.append(CONFIGURATION_STREAM, encode(entry).decode())

    async def _write_snapshot_if_due(self) -> None:
        rank = self.rank()
        interval = self.daemon.settings.log_retention / SNAPSHOTS_PER_RETENTION
        if rank is None or not self.may_write():
            return
        if not self.replica.snapshot_due(time.time(), interval, rank):
            return
        appended = await self._append(snapshot_of(self.replica.state))
        if not isinstance(appended, Refusal):
            logger.info("snapshot written", version=self.replica.version)


def stream_page(page: LogPage) -> StreamPage:
    """Return a page of the log with its records decoded."""
    entries = []
    for record in page.records:
        entry = decode(record.body.encode(), ConfigurationEntry)
        if isinstance(entry, Refusal):
            logger.error("unreadable record", offset=record.offset)
            entry = None
        entries.append(StreamEntry(record.offset, entry, record.appended_at))
    return StreamPage(page.first_offset, page.next_offset, tuple(entries))
