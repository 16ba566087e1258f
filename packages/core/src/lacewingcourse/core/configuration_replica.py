"""One process's copy of the configuration: from the log, from peers, from snapshots.

A replica never goes back to an older version. It takes records only without a gap; if
the log has dropped records that it has not seen, it waits for a peer's fold or for a
snapshot that covers the gap.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.configuration_fold import (
    ConfigurationState,
    Folded,
    Verdict,
    fold_change,
    fold_entry,
    usable_snapshot,
)
from lacewingcourse.core.messages import ConfigurationExchange

if TYPE_CHECKING:
    from lacewingcourse.core.configuration import ConfigurationRecord
    from lacewingcourse.core.configuration_fold import ConfigurationEntry

#: Verdicts on publications that a replica remembers.
VERDICT_LIMIT = 1000
#: Version that a replica without a configuration tells.
NO_VERSION = -1


@attrs.frozen
class StreamEntry:
    """A record of the stream as it was read.

    Attributes:
        offset: Its place in the stream.
        entry: What it holds, or None if it cannot be read.
        appended_at: When the log took it, seconds since the epoch.
    """

    offset: int
    entry: ConfigurationEntry | None
    appended_at: float


@attrs.frozen
class StreamPage:
    """Consecutive records of the stream.

    Attributes:
        first_offset: The oldest offset that the log still keeps.
        next_offset: The offset that the next append gets.
        entries: Records from the requested offset on.
    """

    first_offset: int
    next_offset: int
    entries: tuple[StreamEntry, ...]


@attrs.define
class Scan:
    """A search for a snapshot after records were lost.

    Attributes:
        start: First offset that was read.
        offset: The next offset to read.
        entries: What was read.
    """

    start: int
    offset: int
    entries: list[StreamEntry] = attrs.field(factory=list)


class ConfigurationReplica:
    """A copy of the configuration that only goes forward.

    Attributes:
        state: The newest fold that is known here.
        complete: Whether the state is the whole fold of some moment.
        scan: The search for a snapshot, or None if there is no gap.
        disputed: Whether the snapshot that the state came from was contradicted.
        read_at: When the end of the log was last known to be folded in, or None.
        snapshot_at: When the log took the newest correct snapshot, or None.
        verdicts: What became of the newest publications, by publish id.
        diverged: How often a peer of the same version had another lineage.
    """

    def __init__(self) -> None:
        self.state = ConfigurationState()
        self.complete = False
        self.scan: Scan | None = None
        self.disputed = False
        self.read_at: float | None = None
        self.snapshot_at: float | None = None
        self.verdicts: dict[str, Folded] = {}
        self.diverged = 0
        self._from_snapshot = False

    @property
    def version(self) -> int:
        """Version of the configuration in force."""
        return self.state.version

    @property
    def usable(self) -> bool:
        """Tell whether the process may serve with this configuration."""
        return self.complete and not self.disputed

    @property
    def read_offset(self) -> int:
        """The next offset to read."""
        return self.state.offset if self.scan is None else self.scan.offset

    def take_page(self, page: StreamPage, began: float) -> bool:
        """Fold a page of the log; return whether the version went forward.

        Args:
            page: Records from `read_offset` on.
            began: When the read was sent, seconds; what was appended before is in it.
        """
        before = self.version
        if page.first_offset > self.read_offset:
            self.scan = Scan(page.first_offset, page.first_offset)
        if self.scan is None:
            for entry in page.entries:
                self._take_entry(entry)
        else:
            self._search(page)
        if self.scan is None and self.state.offset >= page.next_offset:
            self.complete = True
            self.read_at = max(self.read_at or 0.0, began)
        return self.version > before

    def _take_entry(self, entry: StreamEntry) -> None:
        if entry.offset != self.state.offset:
            return
        if entry.entry is not None:
            self._fold(entry)
        self.state = attrs.evolve(self.state, offset=entry.offset + 1)

    def _fold(self, entry: StreamEntry) -> None:
        folded = fold_entry(self.state, entry.entry)
        self.state = folded.state
        if entry.entry.change is not None:
            self._remember(entry.entry.change, folded)
        if folded.verdict is Verdict.SNAPSHOT_CURRENT:
            self.snapshot_at = entry.appended_at
        if folded.verdict is Verdict.SNAPSHOT_WRONG and self._from_snapshot:
            self.disputed = True

    def _remember(self, record: ConfigurationRecord, folded: Folded) -> None:
        if folded.verdict is Verdict.REPEATED:
            return
        self.verdicts.setdefault(record.publish_id, folded)
        while len(self.verdicts) > VERDICT_LIMIT:
            del self.verdicts[next(iter(self.verdicts))]

    def _search(self, page: StreamPage) -> None:
        """Look for a snapshot to start from in what the log still keeps."""
        for entry in page.entries:
            if entry.offset == self.scan.offset:
                self.scan.entries.append(entry)
                self.scan.offset += 1
        for entry in self.scan.entries:
            snapshot = entry.entry.snapshot if entry.entry is not None else None
            if snapshot is not None and self._may_start_from(snapshot, entry.offset):
                self._start_from(snapshot)
                return

    def _may_start_from(self, snapshot: ConfigurationState, offset: int) -> bool:
        if snapshot.version == self.version and self.complete:
            if snapshot.lineage != self.state.lineage:
                return False
        return usable_snapshot(snapshot, self.scan.start, offset, self.version)

    def _start_from(self, snapshot: ConfigurationState) -> None:
        entries, self.scan = self.scan.entries, None
        self._from_snapshot = snapshot.version > self.version or not self.complete
        self.state = snapshot
        for entry in entries:
            self._take_entry(entry)

    def take_peer(self, exchange: ConfigurationExchange, now: float) -> bool:
        """Take what a peer knows; return whether the version went forward."""
        before = self.version
        if exchange.state is not None:
            self._adopt(exchange.state)
        elif self.complete:
            self._take_records(exchange)
        if self.complete and exchange.version == self.version:
            self._agree(exchange, now)
        return self.version > before

    def _adopt(self, state: ConfigurationState) -> None:
        newer = state.version > self.version
        if newer or (not self.usable and state.version >= self.version):
            self.state = state
            self.complete = True
            self.disputed = False
            self._from_snapshot = False

    def _take_records(self, exchange: ConfigurationExchange) -> None:
        state = self.state
        for record in exchange.records:
            state = fold_change(state, record).state
        if state.version != exchange.version:
            return
        if state.lineage != exchange.lineage:
            self.diverged += 1
            return
        self.state = state

    def _agree(self, exchange: ConfigurationExchange, now: float) -> None:
        """Take the offset and the times of a peer of the same version."""
        if exchange.lineage != self.state.lineage:
            self.diverged += 1
            return
        offset = max(self.state.offset, exchange.offset)
        self.state = attrs.evolve(self.state, offset=offset)
        if self.scan is not None and offset >= self.scan.start:
            self.scan = None
        if exchange.age is not None:
            self.read_at = max(self.read_at or 0.0, now - exchange.age)
        if exchange.snapshot_at is not None:
            self.snapshot_at = max(self.snapshot_at or 0.0, exchange.snapshot_at)

    def tell(
        self, now: float, known: int = NO_VERSION, relay: tuple[str, ...] = ()
    ) -> ConfigurationExchange:
        """Return what this replica tells a peer.

        Args:
            now: Present time, seconds.
            known: Version that the peer has; it gets what came after it.
            relay: URLs of those that the peer shall tell.
        """
        if not self.usable:
            return ConfigurationExchange(NO_VERSION, "", 0, relay=relay)
        records = self.state.since(known) if known >= 0 else None
        return ConfigurationExchange(
            version=self.version,
            lineage=self.state.lineage,
            offset=self.state.offset,
            age=None if self.read_at is None else now - self.read_at,
            snapshot_at=self.snapshot_at,
            records=records or (),
            state=self.state if records is None else None,
            relay=relay,
        )

    def snapshot_due(self, wall_time: float, interval: float, rank: int) -> bool:
        """Tell whether this process writes a snapshot now.

        Several writers at a time do no harm; later ranks wait longer, so that there
        is mostly one.

        Args:
            wall_time: Seconds since the epoch.
            interval: Seconds between two snapshots.
            rank: Rank of this process among the readers of the log.
        """
        if not self.usable or self.scan is not None or self.version == 0:
            return False
        base = self.snapshot_at
        if base is None and self.state.history:
            base = self.state.history[0].published_at
        if base is None:
            return True
        return wall_time - base > interval * (1 + rank / 4)
