"""Leases on a log stream: who may act on a duty, and until when.

A record states how far its writer had read the stream (`seen`). It is valid only if
no record of the same duty stands between that point and its own place, so every
reader decides alike, without a clock, which of two racing writers was first. The
offset of the record that acquires a lease is the lease's fencing number.
"""

from __future__ import annotations

from enum import Enum

import attrs

#: Stream of the log that holds the leases.
LEASE_STREAM = "leases"
#: Relative error of any two instances' clocks at the most.
MAX_DRIFT = 0.01
#: Part of a lease's duration after which its holder renews it.
RENEW_AFTER = 1 / 3
#: Part of a lease's duration after which an unanswered record is written again.
REPEAT_AFTER = 1 / 3


class LeaseAction(Enum):
    """What a record does to a lease."""

    ACQUIRE = "acquire"
    RENEW = "renew"
    RELEASE = "release"


@attrs.frozen
class LeaseRecord:
    """A record of the lease stream.

    Attributes:
        record_id: Name of the record, unique for all time.
        duty: What the lease is for.
        action: What the record does.
        holder: Who wrote it: one start of one instance.
        seen: Offset up to which the writer had read the stream.
        number: Fencing number of the lease, -1 where it is acquired.
        duration: Seconds for which the lease lasts.
    """

    record_id: str
    duty: str
    action: LeaseAction
    holder: str
    seen: int
    number: int
    duration: float


@attrs.frozen
class Lease:
    """The lease of a duty as the log has it.

    Attributes:
        duty: What it is for.
        holder: Who holds it.
        number: Its fencing number.
    """

    duty: str
    holder: str
    number: int


@attrs.define
class DutyState:
    """What a reader knows of one duty.

    Attributes:
        lease: The lease last acquired, or None.
        last_offset: Offset of the duty's last record, valid or not.
        wait_until: When the last lease has surely lapsed, on the reader's clock.
        highest: Highest fencing number of any valid record.
    """

    lease: Lease | None = None
    last_offset: int = -1
    wait_until: float = 0.0
    highest: int = -1


def lapse_wait(duration: float) -> float:
    """Return the seconds that another instance waits out a lease.

    The holder counts `duration` from before it sent its record, the waiter counts
    from when it read the record. The waiter's clock may be fast and the holder's
    slow, each by `MAX_DRIFT`.
    """
    return duration * (1 + MAX_DRIFT) / (1 - MAX_DRIFT)


@attrs.define
class LeaseTable:
    """Fold over the lease stream.

    Attributes:
        base: The oldest offset that could be read.
        next_offset: The offset to read next.
        duties: What is known by duty.
    """

    base: int = 0
    next_offset: int = 0
    duties: dict[str, DutyState] = attrs.field(factory=dict)

    def duty(self, name: str) -> DutyState:
        """Return what is known of a duty."""
        return self.duties.setdefault(name, DutyState())

    def skip_to(self, offset: int) -> None:
        """Go on at an offset because the log no longer keeps those before it."""
        if offset > self.next_offset:
            self.base = self.next_offset = offset

    def apply(self, offset: int, record: LeaseRecord, now: float) -> bool:
        """Take the next record.

        Any record makes others wait, also an invalid one: a writer that reads the
        log from another point may take it for valid.

        Args:
            offset: Its place in the stream.
            record: The record.
            now: Present time of the reader in seconds.

        Returns:
            Whether the record is valid.
        """
        state = self.duty(record.duty)
        valid = record.seen >= self.base and state.last_offset < record.seen
        valid = valid and self._fits(state, record)
        self.next_offset = offset + 1
        state.last_offset = offset
        until = now + lapse_wait(record.duration)
        state.wait_until = max(state.wait_until, until)
        if valid:
            self._take(state, offset, record, now)
        return valid

    def _fits(self, state: DutyState, record: LeaseRecord) -> bool:
        """Tell whether a renewal or a release comes from the lease's holder."""
        if record.action is LeaseAction.ACQUIRE:
            return True
        if state.lease is None:
            return state.highest < 0 and record.number < self.base
        known = (state.lease.holder, state.lease.number)
        return known == (record.holder, record.number)

    def _take(
        self, state: DutyState, offset: int, record: LeaseRecord, now: float
    ) -> None:
        """Change the lease by a valid record."""
        if record.action is LeaseAction.RELEASE:
            state.lease = None
            state.wait_until = now
            return
        acquired = record.action is LeaseAction.ACQUIRE
        number = offset if acquired else record.number
        state.lease = Lease(record.duty, record.holder, number)
        state.highest = max(state.highest, number)

    def highest_number(self, duty: str) -> int:
        """Return the number below which no lease of a duty is in force.

        A lease older than the oldest kept record, and not renewed since, has lapsed.
        """
        return max(self.duty(duty).highest, self.base if self.base > 0 else -1)


@attrs.define
class LeaseCandidate:
    """One instance's part in the lease of one duty.

    The append's answer plays no part: the lease is held once its record was read
    back, so a lost answer and a lost record are told apart by the log alone.

    Attributes:
        table: Fold over the lease stream, shared by the duties.
        duty: What the lease is for.
        holder: Name of this start of this instance.
        duration: Seconds for which a lease lasts.
        number: Fencing number of the lease held last, or -1.
        deadline: When this instance stops acting, on its own clock.
        sent: When own records were sent, by their names.
        last_sent: When the last record was sent.
        records_made: Own records so far.
    """

    table: LeaseTable
    duty: str
    holder: str
    duration: float
    number: int = -1
    deadline: float = 0.0
    sent: dict[str, float] = attrs.field(factory=dict)
    last_sent: float | None = None
    records_made: int = 0

    def holds(self, now: float) -> int | None:
        """Return the fencing number while this instance may act, else None."""
        if self.number < 0 or now >= self.deadline:
            return None
        return self.number

    def decide(self, now: float) -> LeaseRecord | None:
        """Return the record to append now, or None.

        Args:
            now: Present time in seconds; the lease counts from here.
        """
        mine = self._mine()
        waited = self.last_sent is None or now >= self.last_sent + (
            self.duration * (RENEW_AFTER if mine else REPEAT_AFTER)
        )
        if not waited:
            return None
        if mine:
            return self._record(LeaseAction.RENEW, now)
        if now < self.table.duty(self.duty).wait_until:
            return None
        return self._record(LeaseAction.ACQUIRE, now)

    def release(self, now: float) -> LeaseRecord | None:
        """Stop acting, and return the record that says so, or None."""
        if self.holds(now) is None:
            return None
        self.deadline = now
        return self._record(LeaseAction.RELEASE, now)

    def on_read(self, record: LeaseRecord, valid: bool, now: float) -> None:
        """Note a record of the duty after the table has taken it."""
        sent_at = self.sent.pop(record.record_id, None)
        if not valid:
            return
        if sent_at is None or record.action is LeaseAction.RELEASE:
            self.deadline = min(self.deadline, now)
            return
        self.number = self.table.duty(self.duty).lease.number
        self.deadline = max(self.deadline, sent_at + self.duration)

    def _mine(self) -> bool:
        """Tell whether the log's last lease of the duty is this instance's."""
        lease = self.table.duty(self.duty).lease
        return lease is not None and lease.holder == self.holder

    def _record(self, action: LeaseAction, now: float) -> LeaseRecord:
        """Return a new record and note when it is sent."""
        self.records_made += 1
        record = LeaseRecord(
            record_id=f"{self.holder}:{self.duty}:{self.records_made}",
            duty=self.duty,
            action=action,
            holder=self.holder,
            seen=self.table.next_offset,
            number=-1 if action is LeaseAction.ACQUIRE else self.number,
            duration=self.duration,
        )
        self.sent = {
            name: at for name, at in self.sent.items() if now < at + self.duration
        }
        self.sent[record.record_id] = now
        self.last_sent = now
        return record
