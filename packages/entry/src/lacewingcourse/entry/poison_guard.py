"""Keeps entries of one mind about requests that crash their endpoints.

Strikes and clearances go to the other entries directly, so that they count while the
log is down, and to the log, so that an entry that starts later learns the verdicts.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Protocol

import attrs
from loguru import logger

from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.core.messages import TokenBatchReply
from lacewingcourse.core.poison import (
    SOLO_CRASHES,
    STRIKE_KEPT,
    Clearance,
    PoisonBook,
    PoisonNotice,
    Standing,
    Strike,
    fingerprint_of,
)
from lacewingcourse.entry.host import Host
from lacewingcourse.wire import paths
from lacewingcourse.wire.codec import decode, encode

if TYPE_CHECKING:
    from lacewingcourse.backing.log import LogClient, LogRecord
    from lacewingcourse.core.messages import Trouble
    from lacewingcourse.core.stream_request import StreamRequest
    from lacewingcourse.entry.directory import Directory

#: Stream of the log that holds the notices.
POISON_STREAM = "poison"
#: Seconds between two reads of that stream.
READ_INTERVAL = 5.0
#: Notices that wait for the log at the most; the oldest are dropped.
MAX_WAITING = 1000
#: Notices of one append at the most.
APPEND_LIMIT = 100


class PoisonHost(Host, Protocol):
    """What the guard against crashing requests needs of the entry.

    Attributes:
        directory: What is known of the endpoints.
    """

    directory: Directory


class PoisonGuard:
    """What this entry holds of requests, and what it tells the others.

    Attributes:
        entry: The entry's daemon.
        log: Client of the log service.
        book: Strikes and verdicts.
        waiting: Notices that are not yet in the log.
        offset: The next offset to read.
    """

    def __init__(self, entry: PoisonHost, log: LogClient) -> None:
        self.entry = entry
        self.log = log
        self.book = PoisonBook()
        self.waiting: list[PoisonNotice] = []
        self.offset = 0

    def standing(self, fingerprint: str) -> Standing:
        """Return what is held of a request."""
        return self.book.standing(fingerprint, self.entry.now())

    def fingerprint(self, request: StreamRequest) -> str:
        """Return what identifies a request's content."""
        model = self.entry.configuration.models.get(request.model)
        version = model.version if model is not None else ""
        return fingerprint_of(request.model, version, request.prompt)

    def refusal_of(self, request: StreamRequest) -> Refusal | None:
        """Return why a request is never run again, or None."""
        if self._standing_of(request) is not Standing.POISON:
            return None
        reason = f"the same request crashed {SOLO_CRASHES} endpoints that ran it alone"
        kind = ErrorKind.REQUEST_CRASHES_ENDPOINTS
        return Refusal(kind, reason, Outcome.RAN)

    def judge(self, request: StreamRequest, trouble: Trouble) -> Refusal | None:
        """Note an agent's word of a crash; return why the request ends, or None."""
        if not trouble.crash:
            return None
        self.strike(
            Strike(
                fingerprint=self.fingerprint(request),
                endpoint=trouble.endpoint,
                incarnation=trouble.crash,
                solo=trouble.solo,
                newcomer=trouble.newcomer,
            )
        )
        return self.refusal_of(request)

    def suspects(self, request: StreamRequest) -> bool:
        """Tell whether a request may only run alone."""
        return self._standing_of(request) is Standing.SUSPECT

    def _standing_of(self, request: StreamRequest) -> Standing:
        """Return what is held of a request; no prompt is hashed without records."""
        if not self.book.records:
            return Standing.CLEAN
        return self.standing(self.fingerprint(request))

    def crashed(self, request: StreamRequest) -> frozenset[str]:
        """Return the endpoints that crashed while they ran a request alone."""
        fingerprint = self.fingerprint(request)
        return self.book.crashed_endpoints(fingerprint, self.entry.now())

    def strike(self, strike: Strike) -> Standing:
        """Note a crash that this entry heard of and tell the others."""
        before = self.standing(strike.fingerprint)
        standing = self.book.strike(strike, self.entry.now())
        if standing is not before:
            logger.warning(
                "standing of a request changed",
                fingerprint=strike.fingerprint,
                standing=standing.value,
            )
        self._tell(PoisonNotice(strikes=(strike,)))
        return standing

    def clear(self, fingerprint: str) -> None:
        """Note that a suspect ran alone past the place of its crash."""
        clearance = Clearance(fingerprint)
        self.book.clear(clearance, self.entry.now())
        self._tell(PoisonNotice(clearances=(clearance,)))

    def take(self, notice: PoisonNotice) -> None:
        """Take another entry's word."""
        self.book.merge(notice, self.entry.now())

    def _tell(self, notice: PoisonNotice) -> None:
        """Send a notice to the other entries and queue it for the log."""
        self.waiting.append(notice)
        del self.waiting[:-MAX_WAITING]
        for url in self.entry.directory.entry_urls():
            if url != self.entry.settings.advertised_url:
                self.entry.spawn(self._send(url, notice))

    async def _send(self, url: str, notice: PoisonNotice) -> None:
        timeout = self.entry.settings.message_timeout
        await self.entry.peers.send(url, paths.POISON, notice, TokenBatchReply, timeout)

    async def follow(self) -> None:
        """Append what waits and read what others appended, for ever."""
        while True:
            await self._append()
            await self._read()
            self.book.forget(self.entry.now())
            await asyncio.sleep(READ_INTERVAL)

    async def _append(self) -> None:
        """Append waiting notices as one record; a repeated one does no harm."""
        if not self.waiting:
            return
        batch = self.waiting[:APPEND_LIMIT]
        joined = PoisonNotice(
            strikes=tuple(strike for notice in batch for strike in notice.strikes),
            clearances=tuple(each for notice in batch for each in notice.clearances),
        )
        offset = await self.log.append(POISON_STREAM, encode(joined).decode())
        if not isinstance(offset, Refusal):
            del self.waiting[: len(batch)]

    async def _read(self) -> None:
        """Read records up to the end of the stream."""
        while True:
            page = await self.log.read(POISON_STREAM, self.offset)
            if isinstance(page, Refusal) or not page.records:
                return
            for record in page.records:
                self._fold(record)

    def _fold(self, record: LogRecord) -> None:
        """Take the notices of one record, as old as the log says they are."""
        self.offset = record.offset + 1
        notice = decode(record.body.encode(), PoisonNotice)
        if isinstance(notice, Refusal):
            logger.error("unreadable notice", offset=record.offset)
            return
        age = max(0.0, time.time() - record.appended_at)
        if age > STRIKE_KEPT:
            return
        self.take(aged(notice, age))


def aged(notice: PoisonNotice, age: float) -> PoisonNotice:
    """Return a notice as told some seconds later."""
    return PoisonNotice(
        strikes=tuple(
            attrs.evolve(strike, age=strike.age + age) for strike in notice.strikes
        ),
        clearances=tuple(
            attrs.evolve(each, age=each.age + age) for each in notice.clearances
        ),
    )
