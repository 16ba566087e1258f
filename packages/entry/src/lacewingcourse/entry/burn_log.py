"""Summaries of the entry's counts in the platform's log."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from lacewingcourse.core.burn_history import BurnSummary
from lacewingcourse.core.burn_windows import WINDOWS
from lacewingcourse.core.errors import Refusal
from lacewingcourse.wire.codec import decode, encode

if TYPE_CHECKING:
    import random

    from lacewingcourse.backing.log import LogClient, LogPage
    from lacewingcourse.core.burn_fleet import FleetMerge
    from lacewingcourse.core.burn_history import SummaryWriter

#: Stream of the log that holds the summaries.
BURN_STREAM = "burn"
#: Records of one read.
PAGE_RECORDS = 500
#: Reads for one report at the most.
MAX_PAGES = 100


class BurnLog:
    """Appends summaries to the log and reads those of other entries.

    Attributes:
        log: Client of the log service.
        writer: Counts on their way to the log.
        interval: Seconds between two summaries.
        rng: Spreads the entries' appends.
    """

    def __init__(
        self,
        log: LogClient,
        writer: SummaryWriter,
        interval: float,
        rng: random.Random,
    ) -> None:
        self.log = log
        self.writer = writer
        self.interval = interval
        self.rng = rng

    async def append_for_ever(self) -> None:
        """Append a summary at every interval, the first after a random part of it."""
        await asyncio.sleep(self.interval * self.rng.random())
        while True:
            await self.append()
            await asyncio.sleep(self.interval)

    async def append(self) -> bool:
        """Append what waits; tell whether the log took it, or nothing waited."""
        summary = self.writer.offer(time.time())
        if summary is None:
            return True
        result = await self.log.append(BURN_STREAM, encode(summary).decode())
        if isinstance(result, Refusal):
            return False
        self.writer.taken()
        return True

    async def close(self) -> None:
        """Append what is left before the process ends."""
        if await self.append():
            await self.append()

    async def recover(self, merge: FleetMerge) -> str:
        """Add the log's summaries to a report, newest first.

        Returns:
            Why the log was not read back through the longest window, or empty.
        """
        oldest = merge.now - WINDOWS[-1].length
        head = await self.log.read(BURN_STREAM, 0, limit=1)
        if isinstance(head, Refusal):
            return head.reason
        end = head.next_offset
        for _ in range(MAX_PAGES):
            if end <= head.first_offset:
                return ""
            start = max(head.first_offset, end - PAGE_RECORDS)
            page = await self.log.read(BURN_STREAM, start, limit=end - start)
            if isinstance(page, Refusal):
                return page.reason
            take_page(page, merge)
            if not page.records or page.records[0].appended_at < oldest:
                return ""
            end = start
        return f"more than {MAX_PAGES * PAGE_RECORDS} summaries"


def take_page(page: LogPage, merge: FleetMerge) -> None:
    """Add a page's summaries to a report; skip records that are none."""
    for record in page.records:
        summary = decode(record.body.encode(), BurnSummary)
        if not isinstance(summary, Refusal):
            merge.take(summary)
