"""Stand-in for the platform's log service."""

from __future__ import annotations

import asyncio
import time

import attrs

from lacewingcourse.platform.log import Append, Appended, LogPage, LogRecord
from lacewingcourse.testing.standins.server import StandinHandler

#: Records of one page at the most.
PAGE_LIMIT = 1000


@attrs.frozen
class LogFaults:
    """Faults of the log service.

    Attributes:
        down: Whether every request is refused.
        delay: Seconds before each answer.
        lose_answers: Appends whose answer is lost after their effect.
    """

    down: bool = False
    delay: float = 0.0
    lose_answers: int = 0


@attrs.define
class Stream:
    """One stream of the log.

    Attributes:
        first: Offset of the oldest record that is kept.
        records: Records that are kept.
        grown: Set and replaced at each append.
    """

    first: int = 0
    records: list[LogRecord] = attrs.field(factory=list)
    grown: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def next(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)


@attrs.define
class LogService:
    """State of the log service.

    Attributes:
        retention: Seconds for which a record is kept.
        faults: Faults in force.
        streams: Streams by name.
    """

    retention: float
    faults: LogFaults = attrs.field(factory=LogFaults)
    streams: dict[str, Stream] = attrs.field(factory=dict)

    def stream(self, name: str) -> Stream:
        """Return a stream without the records that are past retention."""
        stream = self.streams.setdefault(name, Stream())
        oldest = time.time() - self.retention
        while stream.records and stream.records[0].appended_at < oldest:
            stream.records.pop(0)
            stream.first += 1
        return stream

    def append(self, name: str, body: str) -> int:
        """Append a record and return its offset."""
        stream = self.stream(name)
        offset = stream.next
        stream.records.append(LogRecord(offset, body, time.time()))
        stream.grown.set()
        stream.grown = asyncio.Event()
        return offset


class RecordsHandler(StandinHandler):
    """Appends and reads records."""

    async def prepare(self) -> None:
        if self.standin.faults.delay:
            await asyncio.sleep(self.standin.faults.delay)
        if self.standin.faults.down:
            self.set_status(503)
            self.finish()

    def post(self, name: str) -> None:
        request = self.message(Append)
        if request is None:
            return
        offset = self.standin.append(name, request.body)
        if self.standin.faults.lose_answers > 0:
            left = self.standin.faults.lose_answers - 1
            self.standin.faults = attrs.evolve(self.standin.faults, lose_answers=left)
            self.request.connection.stream.close()
            return
        self.reply(Appended(offset))

    async def get(self, name: str) -> None:
        offset = int(self.get_argument("from", "0"))
        limit = min(int(self.get_argument("limit", "100")), PAGE_LIMIT)
        wait = float(self.get_argument("wait", "0"))
        stream = self.standin.stream(name)
        if wait and offset >= stream.next:
            try:
                await asyncio.wait_for(stream.grown.wait(), wait)
            except TimeoutError:
                pass
        if self.standin.faults.down:
            self.set_status(503)
            self.finish()
            return
        stream = self.standin.stream(name)
        start = max(offset - stream.first, 0)
        records = tuple(stream.records[start : start + limit])
        self.reply(LogPage(stream.first, stream.next, records))


LOG_ROUTES = [(r"/streams/([A-Za-z0-9._-]+)/records", RecordsHandler)]
