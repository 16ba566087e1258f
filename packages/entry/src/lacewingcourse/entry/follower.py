"""Follows the configuration in the log."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from lacewingcourse.core.configuration import (
    Configuration,
    ConfigurationRecord,
    fold,
)
from lacewingcourse.core.errors import Refusal
from lacewingcourse.wire.codec import decode

if TYPE_CHECKING:
    from lacewingcourse.platform.log import LogClient

#: Stream of the log that holds the configuration.
CONFIGURATION_STREAM = "configuration"
#: Seconds for which the log may hold a read that finds nothing.
READ_WAIT = 2.0
#: Seconds before a failed read is repeated.
RETRY_INTERVAL = 0.5


class ConfigurationFollower:
    """Folds the log's records into the configuration in force.

    Attributes:
        log: Client of the log service.
        configuration: The configuration in force.
        offset: The next offset to read.
        caught_up: Whether the end of the log was reached once.
    """

    def __init__(self, log: LogClient) -> None:
        self.log = log
        self.configuration = Configuration()
        self.offset = 0
        self.caught_up = False

    async def follow(self) -> None:
        """Read the log for ever."""
        while True:
            page = await self.log.read(
                CONFIGURATION_STREAM, self.offset, wait=READ_WAIT
            )
            if isinstance(page, Refusal):
                await asyncio.sleep(RETRY_INTERVAL)
                continue
            self.take(page)

    def take(self, page) -> None:
        """Fold a page of records."""
        for record in page.records:
            self.offset = record.offset + 1
            change = decode(record.body.encode(), ConfigurationRecord)
            if isinstance(change, Refusal):
                logger.error("unreadable record", offset=record.offset)
                continue
            self.configuration = fold(self.configuration, change)
        self.caught_up = self.caught_up or self.offset >= page.next_offset
