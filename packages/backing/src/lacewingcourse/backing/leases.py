"""Reads the lease stream of the log into a table."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import Refusal
from lacewingcourse.core.leases import LEASE_STREAM, LeaseRecord
from lacewingcourse.wire.codec import decode

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.backing.log import LogClient
    from lacewingcourse.core.leases import LeaseTable


@attrs.frozen
class ReadLease:
    """A record that was read.

    Attributes:
        record: The record.
        valid: Whether the table took it.
    """

    record: LeaseRecord
    valid: bool


@attrs.frozen
class LeasePage:
    """What one read brought.

    Attributes:
        leases: The records in order.
        at_end: Whether the end of the stream was reached.
    """

    leases: tuple[ReadLease, ...]
    at_end: bool


async def read_leases(
    log: LogClient, table: LeaseTable, clock: Callable[[], float], wait: float = 0.0
) -> LeasePage | Refusal:
    """Read the next records into a table.

    Args:
        log: Client of the log service.
        table: Fold over the stream.
        clock: Returns the present time in seconds.
        wait: Seconds for which the log may hold the answer if there is none.
    """
    page = await log.read(LEASE_STREAM, table.next_offset, wait=wait)
    if isinstance(page, Refusal):
        return page
    table.skip_to(page.first_offset)
    leases = []
    for entry in page.records:
        record = decode(entry.body.encode(), LeaseRecord)
        if isinstance(record, Refusal):
            table.next_offset = entry.offset + 1
            continue
        valid = table.apply(entry.offset, record, clock())
        leases.append(ReadLease(record, valid))
    return LeasePage(tuple(leases), table.next_offset >= page.next_offset)
