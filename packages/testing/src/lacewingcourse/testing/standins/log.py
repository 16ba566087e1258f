"""Stand-in for the platform's log service."""

from __future__ import annotations

import asyncio
import time

import attrs

from lacewingcourse.backing.log import Append, Appended, LogPage, LogRecord
from lacewingcourse.testing.standins.server import StandinHandler
from lacewingcourse.wire.codec import encode

#: Records of one page at the most.
PAGE_LIMIT = 1000


@attrs.frozen
class LogFaults:
    """Faults of the log service.

    Attributes:
        down: Whether every request is refused.
        delay: Seconds before each answer.
        lose_answers: Appends whose answer is lost after their effect.
        lose_requests: Appends that get no answer and have no effect.
        appends_per_second: Appends taken a second; more are refused; 0 is no limit.
    """

    down: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    lose_requests: int = 0
    appends_per_second: float = 0.0


@attrs.frozen
class Retention:
    """How long records of a stream are kept.

    Attributes:
        age: Seconds, or None for the log's own.
        count: Records, or None for any number.
    """

    age: float | None = None
    count: int | None = None


@attrs.define
class StreamStats:
    """What was asked of a stream.

    Attributes:
        appends: Records appended.
        append_bytes: Their bytes.
        reads: Pages read.
        read_records: Records handed out.
        read_bytes: Bytes of the pages.
    """

    appends: int = 0
    append_bytes: int = 0
    reads: int = 0
    read_records: int = 0
    read_bytes: int = 0


@attrs.define
class AppendRate:
    """A token bucket of one second for appends."""

    tokens: float = 0.0
    filled_at: float = 0.0

    def take(self, rate: float, now: float) -> bool:
        """Tell whether one more append is taken."""
        grown = (now - self.filled_at) * rate
        self.tokens = min(rate, self.tokens + grown)
        self.filled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@attrs.define
class Stream:
    """One stream of the log.

    Attributes:
        first: Offset of the oldest record that is kept.
        records: Records that are kept.
        grown: Set and replaced at each append.
        retention: How long records are kept.
        stats: What was asked of the stream.
    """

    first: int = 0
    records: list[LogRecord] = attrs.field(factory=list)
    grown: asyncio.Event = attrs.field(factory=asyncio.Event)
    retention: Retention = attrs.field(factory=Retention)
    stats: StreamStats = attrs.field(factory=StreamStats)

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
        rate: Limits the appends a second.
    """

    retention: float
    faults: LogFaults = attrs.field(factory=LogFaults)
    streams: dict[str, Stream] = attrs.field(factory=dict)
    rate: AppendRate = attrs.field(factory=AppendRate)

    def stream(self, name: str) -> Stream:
        """Return a stream without the records that are past retention."""
        stream = self.streams.setdefault(name, Stream())
        age = stream.retention.age
        oldest = time.time() - (self.retention if age is None else age)
        gone = 0
        while gone < len(stream.records) and stream.records[gone].appended_at < oldest:
            gone += 1
        if stream.retention.count is not None:
            gone = max(gone, len(stream.records) - stream.retention.count)
        if gone:
            del stream.records[:gone]
            stream.first += gone
        return stream

    def append(self, name: str, body: str) -> int:
        """Append a record and return its offset."""
        stream = self.stream(name)
        offset = stream.next
        stream.stats.appends += 1
        stream.stats.append_bytes += len(body)
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
        limit = self.standin.faults.appends_per_second
        if limit and not self.standin.rate.take(limit, time.monotonic()):
            self.set_status(503)
            self.finish()
            return
        if self._loses("lose_requests"):
            return
        offset = self.standin.append(name, request.body)
        if not self._loses("lose_answers"):
            self.reply(Appended(offset))

    def _loses(self, fault: str) -> bool:
        """Close the connection if a counted fault hits; tell whether it did."""
        left = getattr(self.standin.faults, fault)
        if left <= 0:
            return False
        self.standin.faults = attrs.evolve(self.standin.faults, **{fault: left - 1})
        self.request.connection.stream.close()
        return True

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
        body = encode(LogPage(stream.first, stream.next, records))
        stream.stats.reads += 1
        stream.stats.read_records += len(records)
        stream.stats.read_bytes += len(body)
        self.set_header("Content-Type", "application/json")
        self.finish(body)


class RetentionHandler(StandinHandler):
    """Sets how long records of a stream are kept."""

    def put(self, name: str) -> None:
        retention = self.message(Retention)
        if retention is None:
            return
        self.standin.stream(name).retention = retention
        self.reply(retention)


class StatsHandler(StandinHandler):
    """Tells what was asked of each stream."""

    def get(self) -> None:
        streams = self.standin.streams
        self.reply({name: stream.stats for name, stream in streams.items()})


LOG_ROUTES = [
    (r"/streams/([A-Za-z0-9._-]+)/records", RecordsHandler),
    (r"/streams/([A-Za-z0-9._-]+)/retention", RetentionHandler),
    (r"/stats", StatsHandler),
]
