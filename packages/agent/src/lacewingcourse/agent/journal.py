"""The home's journal in the log: follows homes and claims, writes in batches."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Protocol

import attrs
from loguru import logger

from lacewingcourse.agent.host import Host
from lacewingcourse.backing.homes import HOMES_STREAM, HomesReader, home_settings
from lacewingcourse.backing.log import LogClient
from lacewingcourse.core.claim_records import (
    ClaimSettings,
    EntryState,
    JournalRecord,
    Permission,
    refused,
    unavailable,
)
from lacewingcourse.core.claims import ADVICE, ClaimBook
from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.core.homes import HomesFold, HomesRecord, release
from lacewingcourse.core.keys import parse_key, scope_of
from lacewingcourse.wire.codec import decode, encode

if TYPE_CHECKING:
    from lacewingcourse.core.claim_records import Verdict
    from lacewingcourse.core.messages import Claim, Settle

#: Start of the name of each target's stream of claims.
CLAIMS_STREAM = "claims."
#: Seconds for which the log may hold a read that finds nothing.
READ_WAIT = 2.0
#: Seconds before a failed read or append is repeated.
RETRY_INTERVAL = 0.3
#: Lines of one record at the most.
BATCH_LINES = 500
#: Seconds between two records of a home that claims nothing.
BEAT_INTERVAL = 5.0
#: Seconds between two looks at what is past its time.
TEND_INTERVAL = 0.5
#: Seconds that a claim may wait until the home has learned its newest homes.
EPOCH_TIMEOUT = 1.5


class JournalHost(Host, Protocol):
    """What the journal of keys needs of the agent."""

    def endpoint_ready(self) -> bool:
        """Tell whether the endpoint answers."""


class Journal:
    """The claims of one agent's target and their way to and from the log.

    Attributes:
        agent: The agent's daemon.
        book: What is known of the keys.
        log: Client of the log service.
        homes: Follows the homes.
        offset: Next offset of the stream of claims.
        reads: Reads that reached the end of the stream of claims.
        waiting: Claims that wait for the log, by claimant.
        wake: Set when there is something to write.
        rehomed: Set when the homes or what was read of the claims changed.
        log_reads: Whether the last read of the log succeeded.
        log_appends: Whether the last append to the log succeeded.
        sent_epoch: Epoch of the newest table without this home that was appended.
    """

    def __init__(self, agent: JournalHost, target: str) -> None:
        settings = agent.settings
        self.agent = agent
        self.book = ClaimBook(
            target,
            agent.incarnation,
            ClaimSettings(
                prompt_window=settings.key_prompt_window,
                accept_window=settings.key_accept_window,
                answer_bytes=settings.answer_bytes,
                answer_time=settings.answer_time,
            ),
            home_settings(settings),
        )
        self.log = LogClient(settings.log_url)
        self.log.observe = agent.metrics.on_log
        self.homes = HomesReader(self.log, HomesFold())
        self.offset = 0
        self.reads = 0
        self.waiting: dict[str, asyncio.Future[None]] = {}
        self.wake = asyncio.Event()
        self.rehomed = asyncio.Event()
        self.log_reads = True
        self.log_appends = True
        self.sent_epoch = 0
        self._wall_offset = time.time() - agent.now()

    def wall(self) -> float:
        """Return seconds since the epoch, on a clock that never goes back."""
        return self._wall_offset + self.agent.now()

    @property
    def stream(self) -> str:
        """Name of the stream of claims."""
        return CLAIMS_STREAM + self.book.target

    def start(self) -> None:
        """Start the background tasks."""
        self.agent.supervise(self._follow_homes)
        self.agent.supervise(self._follow_claims)
        self.agent.spawn(self._write())
        self.agent.supervise(self._tend)

    async def claim(self, claim: Claim, leased: bool = False) -> Verdict:
        """Decide about a claim; waits for the log where the key needs it."""
        await self._learn_epoch(claim)
        await self._await_time(claim)
        verdict = self.book.claim(claim, self.wall(), leased)
        if verdict.permission is Permission.GRANTED:
            self.wake.set()
        if verdict.permission is Permission.LOGGING:
            return await self._confirm(claim, verdict)
        if verdict.permission is Permission.JOINED and leased:
            return await self._confirm(claim, verdict)
        if verdict.permission is Permission.JOINED:
            reason = "a copy of the call runs"
            kind = ErrorKind.KEY_IN_PROGRESS
            return refused(verdict.scope, Refusal(kind, reason, Outcome.UNKNOWN))
        return verdict

    async def _await_time(self, claim: Claim) -> None:
        """Wait until the time of a key has come if that is in a moment."""
        key = parse_key(claim.key)
        if isinstance(key, Refusal) or key.minted_at is None:
            return
        ahead = key.minted_at - self.wall()
        if 0 < ahead <= self.agent.settings.instance_skew:
            await asyncio.sleep(ahead)

    async def _learn_epoch(self, claim: Claim) -> None:
        """Wait a moment if the claim's sender knows newer homes than this agent."""
        deadline = self.agent.now() + EPOCH_TIMEOUT
        while self.agent.now() < deadline:
            if self._knows(claim.epoch):
                return
            try:
                async with asyncio.timeout(deadline - self.agent.now()):
                    await self.rehomed.wait()
            except TimeoutError:
                return

    def _knows(self, epoch: int) -> bool:
        """Tell whether homes and journal have been read as far as an epoch."""
        table = self.book.table
        known = table is not None and table.epoch >= epoch
        return known and self.book.held() <= self.book.readable

    async def _confirm(self, claim: Claim, verdict: Verdict) -> Verdict:
        """Wait until the log has decided about a claim, or give it back."""
        entry = self.book.entry_of(verdict.scope, claim.claimant)
        if entry.state is EntryState.CLAIMING:
            self.wake.set()
            future = self.waiting.setdefault(claim.claimant, asyncio.Future())
            await asyncio.wait([future], timeout=self.agent.settings.claim_timeout)
            self.waiting.pop(claim.claimant, None)
        entry = self.book.entry_of(verdict.scope, claim.claimant)
        if entry is None:
            return self.book.claim(claim, self.wall())
        if entry.state is EntryState.RUNNING:
            return attrs.evolve(verdict, permission=Permission.GRANTED)
        if entry.state is EntryState.ENDED:
            return self.book.claim(claim, self.wall())
        self.settle(verdict.scope, claim.claimant, Outcome.NOT_RUN, None)
        return refused(verdict.scope, unavailable(ADVICE))

    def settle(
        self, scope: str, claimant: str, outcome: Outcome, answer: str | None
    ) -> bool:
        """Note how a claimed request ended."""
        known = self.book.settle(scope, claimant, outcome, answer, self.wall())
        self.wake.set()
        return known

    def take_settle(self, message: Settle) -> bool:
        """Take an entry's word on a claim that it was granted."""
        claim = message.claim
        claimant = claim.claimant
        if claim.incarnation != self.book.incarnation:
            return False
        scope = scope_of(claim.organisation, claim.target, claim.key)
        if message.outcome is None:
            return self.book.renew(scope, claimant, self.wall())
        return self.settle(scope, claimant, message.outcome, message.answer)

    def _announce(self) -> None:
        """Wake all that wait for a change."""
        self.rehomed.set()
        self.rehomed = asyncio.Event()

    async def _follow_homes(self) -> None:
        while True:
            if not await self.homes.read(READ_WAIT):
                await asyncio.sleep(RETRY_INTERVAL)
                continue
            self._assign()

    def _assign(self) -> None:
        """Take the homes in force."""
        table = self.homes.fold.table(self.book.target)
        if table is None or table is self.book.table:
            return
        before = self.book.held()
        self.book.table = table
        if self.book.held() != before:
            logger.info("home of shards", count=len(self.book.held()))
            self.wake.set()
        self._announce()

    async def _follow_claims(self) -> None:
        while True:
            if not self.book.held():
                await self._changed()
                continue
            held = self.book.held()
            wait = READ_WAIT if held <= self.book.readable else 0.0
            page = await self.log.read(self.stream, self.offset, wait=wait)
            self._note_log(reads=not isinstance(page, Refusal))
            if isinstance(page, Refusal):
                await asyncio.sleep(RETRY_INTERVAL)
                continue
            self._take(page)
            if self.offset >= page.next_offset:
                self.reads += 1
                self.book.readable |= held
            self._announce()

    async def _changed(self) -> None:
        await self.rehomed.wait()

    def _take(self, page) -> None:
        """Fold a page of the claims."""
        if page.first_offset > self.offset and page.records:
            self.book.log_keeps_from = page.records[0].appended_at
        self.offset = max(self.offset, page.first_offset)
        for record in page.records:
            self.offset = record.offset + 1
            lines = decode(record.body.encode(), JournalRecord)
            if isinstance(lines, Refusal):
                logger.error("unreadable record", offset=record.offset)
                continue
            for claimant in self.book.fold(lines):
                self._release_waiting([claimant])

    def _release_waiting(self, claimants: list[str]) -> None:
        """Wake claims that wait for the log."""
        for claimant in claimants:
            future = self.waiting.pop(claimant, None)
            if future is not None and not future.done():
                future.set_result(None)

    def _note_log(self, reads: bool | None = None, appends: bool | None = None) -> None:
        """Note whether the log answers."""
        if reads is not None:
            self.log_reads = reads
        if appends is not None:
            self.log_appends = appends
        answers = self.log_reads and self.log_appends
        if answers != self.book.log_answers:
            logger.info("log answers", answers=answers)
        self.book.log_answers = answers

    async def _write(self) -> None:
        """Write the journal for ever, one record at a time."""
        while True:
            try:
                async with asyncio.timeout(BEAT_INTERVAL):
                    await self.wake.wait()
            except TimeoutError:
                pass
            self.wake.clear()
            if not self.book.held() and not self.book.lines:
                continue
            record = self.book.take_batch(BATCH_LINES, self.wall())
            await self._append(record)
            if self.book.lines:
                self.wake.set()
            await asyncio.sleep(self.agent.settings.journal_interval)

    async def _append(self, record: JournalRecord) -> None:
        """Append a record and wait until it is read back.

        A record whose answer was lost is looked for before it is appended again, and
        its sequence number makes a second copy harmless.
        """
        body = encode(record).decode()
        while not self._written(record):
            result = await self.log.append(self.stream, body)
            if isinstance(result, Refusal) and result.outcome is Outcome.NOT_RUN:
                self._note_log(appends=False)
                self._release_waiting(list(self.waiting))
                await asyncio.sleep(RETRY_INTERVAL)
                continue
            self._note_log(appends=True)
            await self._read_back(record)

    def _written(self, record: JournalRecord) -> bool:
        known = self.book.journal.sequences.get(record.incarnation, 0)
        return known >= record.sequence

    async def _read_back(self, record: JournalRecord) -> None:
        """Wait until a record was seen, or a later read to the end lacks it."""
        before = self.reads
        while not self._written(record) and self.reads < before + 2:
            if not self.book.held():
                await self._read_once()
                continue
            await self._changed()

    async def _read_once(self) -> None:
        """Read the claims although this agent is no home any more."""
        page = await self.log.read(self.stream, self.offset)
        if isinstance(page, Refusal):
            await asyncio.sleep(RETRY_INTERVAL)
            return
        self._take(page)
        if self.offset >= page.next_offset:
            self.reads += 1

    async def _tend(self) -> None:
        """Forget what is old; give the shards up when the endpoint is leaving."""
        unready_since: float | None = None
        while True:
            await asyncio.sleep(TEND_INTERVAL)
            self.book.forget(self.wall())
            now = self.agent.now()
            if self.agent.endpoint_ready():
                unready_since = None
            elif unready_since is None:
                unready_since = now
            lost = unready_since is not None and (
                now - unready_since > self.agent.settings.handover_after
            )
            table = self.book.table
            sent = table is not None and table.epoch < self.sent_epoch
            self.book.yielding = self.agent.leaving or lost or sent
            if self.book.yielding and self.quiet:
                await self._hand_over()

    @property
    def quiet(self) -> bool:
        """Whether no request runs and the whole journal is in the log."""
        book = self.book
        written = book.journal.written
        return not book.running and not book.lines and written

    async def _hand_over(self) -> None:
        """Give all shards up, exactly, in the log.

        From the append on, nothing is claimed until the table's fate is known.
        """
        record = self.homes.fold.records.get(self.book.target)
        if record is None or not self.book.held():
            return
        table = release(record.table, self.book.incarnation, self.wall())
        record_id = f"{self.book.incarnation}/{table.epoch}"
        following = HomesRecord(record_id, record.record_id, table)
        self.sent_epoch = table.epoch
        result = await self.log.append(HOMES_STREAM, encode(following).decode())
        if isinstance(result, Refusal) and result.outcome is Outcome.NOT_RUN:
            self.sent_epoch = 0
