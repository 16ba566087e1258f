"""Competes for the leases of all duties and does those that it holds."""

from __future__ import annotations

import asyncio
import secrets
from functools import partial
from typing import TYPE_CHECKING, Protocol

import attrs
from loguru import logger
from prometheus_client import Counter, Gauge

from lacewingcourse.backing.leases import read_leases
from lacewingcourse.core.errors import Refusal
from lacewingcourse.core.leases import LEASE_STREAM, LeaseCandidate, LeaseTable
from lacewingcourse.entry import placement_duty  # noqa: F401
from lacewingcourse.entry.duties import DUTIES
from lacewingcourse.entry.host import Host
from lacewingcourse.wire.codec import encode

if TYPE_CHECKING:
    from lacewingcourse.backing.log import LogClient
    from lacewingcourse.core.leases import LeaseRecord
    from lacewingcourse.entry.duties import Duty
    from lacewingcourse.entry.metrics import EntryMetrics

#: Seconds for which the log may hold a read that finds nothing.
READ_WAIT = 2.0
#: Seconds before a failed read is repeated.
RETRY_INTERVAL = 0.3
#: Seconds between two looks whether a record is due.
DECIDE_INTERVAL = 0.1


class LeaseHost(Host, Protocol):
    """What leases need of the entry.

    Attributes:
        metrics: Counters of the process.
        stopping: Set when the process has been asked to end.
    """

    metrics: EntryMetrics
    stopping: asyncio.Event


@attrs.frozen
class HeldLease:
    """A lease as the state page shows it.

    Attributes:
        duty: What it is for.
        holder: Who holds it, as the log has it.
        number: Its fencing number.
        mine: Whether this entry may act on it now.
    """

    duty: str
    holder: str
    number: int
    mine: bool


class LeaseHolder:
    """This entry's part in the leases of all duties.

    Attributes:
        entry: The entry's daemon.
        log: Client of the log service.
        table: Fold over the lease stream.
        caught_up: Whether the end of the stream was reached once.
        candidates: This entry's part by duty.
        duties: The work by duty.
    """

    def __init__(self, entry: LeaseHost, log: LogClient) -> None:
        self.entry = entry
        self.log = log
        self.table = LeaseTable()
        self.caught_up = False
        holder = f"{entry.settings.instance_id}.{secrets.token_hex(6)}"
        duration = entry.settings.lease_duration
        self.candidates = {
            name: LeaseCandidate(self.table, name, holder, duration)
            for name in DUTIES.names()
        }
        self.duties: dict[str, Duty] = {
            name: DUTIES.get(name)(entry) for name in DUTIES.names()
        }
        registry = entry.metrics.registry
        self.held = Gauge(
            "lacewingcourse_lease_held",
            "Whether this entry holds the lease of a duty",
            ["duty"],
            registry=registry,
        )
        self.records = Counter(
            "lacewingcourse_lease_records",
            "Lease records written, by action",
            ["duty", "action"],
            registry=registry,
        )

    def start(self) -> None:
        """Start the background tasks."""
        self.entry.supervise(self._read_for_ever)
        self.entry.supervise(self._decide_for_ever)
        for duty in self.duties.values():
            self.entry.supervise(partial(self._work_for_ever, duty))

    def holds(self, duty: str) -> int | None:
        """Return the fencing number while this entry may act, else None."""
        return self.candidates[duty].holds(self.entry.now())

    def shown(self) -> tuple[HeldLease, ...]:
        """Return the leases as the state page shows them."""
        leases = [state.lease for state in self.table.duties.values() if state.lease]
        return tuple(
            HeldLease(
                lease.duty,
                lease.holder,
                lease.number,
                lease.duty in self.candidates
                and self.holds(lease.duty) == lease.number,
            )
            for lease in leases
        )

    async def _read_for_ever(self) -> None:
        while True:
            page = await read_leases(self.log, self.table, self.entry.now, READ_WAIT)
            if isinstance(page, Refusal):
                await asyncio.sleep(RETRY_INTERVAL)
                continue
            for read in page.leases:
                candidate = self.candidates.get(read.record.duty)
                if candidate is not None:
                    candidate.on_read(read.record, read.valid, self.entry.now())
            self.caught_up = self.caught_up or page.at_end

    async def _decide_for_ever(self) -> None:
        while True:
            await asyncio.sleep(DECIDE_INTERVAL)
            if not self.caught_up or self.entry.stopping.is_set():
                continue
            for candidate in self.candidates.values():
                record = candidate.decide(self.entry.now())
                if record is not None:
                    self.entry.spawn(self._append(record))

    async def _append(self, record: LeaseRecord) -> None:
        """Write a record; whether it stands is learned by reading only."""
        self.records.labels(record.duty, record.action.value).inc()
        await self.log.append(LEASE_STREAM, encode(record).decode())

    async def _work_for_ever(self, duty: Duty) -> None:
        """Do a duty while its lease is held."""
        held = False
        while True:
            await asyncio.sleep(duty.interval)
            number = self.holds(duty.name)
            if (number is not None) != held:
                held = number is not None
                self.held.labels(duty.name).set(held)
                logger.info("lease", duty=duty.name, held=held, number=number)
                if held:
                    duty.begin()
            if held:
                await duty.step()

    async def release(self) -> None:
        """Let others take the leases at once."""
        for candidate in self.candidates.values():
            record = candidate.release(self.entry.now())
            if record is not None:
                await self._append(record)
