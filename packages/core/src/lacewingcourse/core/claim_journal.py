"""The journal of a book of keys: lines for the log, and what the log says of keys."""

from __future__ import annotations

from lacewingcourse.core.claim_records import (
    EntryState,
    JournalKind,
    JournalLine,
    JournalRecord,
    KeyEntry,
)


class ClaimJournal:
    """What an incarnation of a home writes to the log, and reads from it.

    Attributes:
        incarnation: Incarnation of the agent.
        entries: What the book knows of each key; changed by what is read.
        running: Keys of the book whose request has not ended.
        lines: Journal lines that are not yet in a record.
        journalled: Time up to which each incarnation's journal is complete.
        sequences: Number of the newest record that was read of each incarnation.
        sequence: Number of the newest record that was taken here.
    """

    def __init__(
        self,
        incarnation: str,
        entries: dict[str, KeyEntry],
        running: set[str],
    ) -> None:
        self.incarnation = incarnation
        self.entries = entries
        self.running = running
        self.lines: list[JournalLine] = []
        self.journalled: dict[str, float] = {}
        self.sequences: dict[str, int] = {}
        self.sequence = 0

    @property
    def written(self) -> bool:
        """Whether every record that was taken here has been read back."""
        return self.sequences.get(self.incarnation, 0) >= self.sequence

    def add(self, kind: JournalKind, entry: KeyEntry, now: float) -> None:
        """Note what happened to a key; the line waits for the next record."""
        self.lines.append(
            JournalLine(
                kind=kind,
                scope=entry.scope,
                claimant=entry.claimant,
                fingerprint=entry.fingerprint,
                minted_at=entry.minted_at,
                at=now,
                outcome=entry.outcome,
            )
        )

    def take_batch(self, limit: int, now: float) -> JournalRecord:
        """Return the next record of the journal.

        A record must have been read back from the log before the next one is taken.
        """
        lines = tuple(self.lines[:limit])
        del self.lines[:limit]
        complete_until = self.lines[0].at if self.lines else now
        self.sequence += 1
        return JournalRecord(self.incarnation, self.sequence, complete_until, lines)

    def fold(self, record: JournalRecord) -> list[str]:
        """Take the next record of the log; return claimants that now may run."""
        granted: list[str] = []
        if record.sequence <= self.sequences.get(record.incarnation, 0):
            return granted
        self.sequences[record.incarnation] = record.sequence
        for line in record.lines:
            if line.kind is JournalKind.CLAIMED:
                granted.extend(self._fold_claimed(line, record.incarnation))
            elif record.incarnation != self.incarnation:
                self._fold_ended(line)
        known = self.journalled.get(record.incarnation, 0.0)
        self.journalled[record.incarnation] = max(known, record.complete_until)
        return granted

    def _fold_claimed(self, line: JournalLine, incarnation: str) -> list[str]:
        """Take a claim of the log: the first one of a key wins."""
        entry = self.entries.get(line.scope)
        own = incarnation == self.incarnation
        if entry is not None and entry.state is EntryState.CLAIMING:
            if own and entry.claimant == line.claimant:
                entry.state = EntryState.RUNNING
                return [line.claimant]
            if not own:
                self._take_over(line)
        elif entry is None and not own:
            self._take_over(line)
        return []

    def _take_over(self, line: JournalLine) -> None:
        """Note a key that another home claimed first."""
        self.running.discard(line.scope)
        self.entries[line.scope] = KeyEntry(
            scope=line.scope,
            fingerprint=line.fingerprint,
            claimant=line.claimant,
            minted_at=line.minted_at,
            claimed_at=line.at,
            state=EntryState.ENDED,
        )

    def _fold_ended(self, line: JournalLine) -> None:
        """Take another home's word on how a key's request ended."""
        entry = self.entries.get(line.scope)
        if entry is None or entry.claimant != line.claimant:
            return
        if line.kind is JournalKind.RELEASED:
            del self.entries[line.scope]
            return
        entry.outcome = line.outcome
