"""Reads which agents are homes of keys from the log."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from loguru import logger

from lacewingcourse.core.errors import Refusal
from lacewingcourse.core.homes import HomeSettings, HomesRecord
from lacewingcourse.wire.codec import decode

if TYPE_CHECKING:
    from lacewingcourse.backing.log import LogClient
    from lacewingcourse.core.homes import HomesFold

#: Stream of the log that holds the homes.
HOMES_STREAM = "homes"


def home_settings(settings: Any) -> HomeSettings:
    """Return the limits of homes that a daemon's settings give."""
    return HomeSettings(
        tenure=settings.key_tenure,
        key_skew=settings.key_skew,
        instance_skew=settings.instance_skew,
        retention=settings.key_retention,
    )


class HomesReader:
    """Follows the stream of homes.

    Attributes:
        log: Client of the log service.
        fold: The homes in force.
        offset: Next offset to read.
        caught_up: Whether the end of the stream was reached once.
    """

    def __init__(self, log: LogClient, fold: HomesFold) -> None:
        self.log = log
        self.fold = fold
        self.offset = 0
        self.caught_up = False

    async def read(self, wait: float) -> bool:
        """Take the next page; tell whether the log answered.

        Args:
            wait: Seconds for which the log may hold a read that finds nothing.
        """
        hold = wait if self.caught_up else 0.0
        page = await self.log.read(HOMES_STREAM, self.offset, wait=hold)
        if isinstance(page, Refusal):
            return False
        if page.first_offset > self.offset:
            self.fold.restart()
            self.offset = page.first_offset
        for record in page.records:
            self.offset = record.offset + 1
            homes = decode(record.body.encode(), HomesRecord)
            if isinstance(homes, Refusal):
                logger.error("unreadable record", offset=record.offset)
                continue
            self.fold.take(homes)
        self.caught_up = self.caught_up or self.offset >= page.next_offset
        return True
