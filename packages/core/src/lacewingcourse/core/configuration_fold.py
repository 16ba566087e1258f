"""The fold: which records of the log are accepted, the same for every reader.

A record is accepted if it was based on the version in force and is valid. Therefore
each version has one winner, a record that stands in the log twice applies once, and
the decision needs nothing but the configuration before the record.
"""

from __future__ import annotations

import hashlib
from enum import Enum

import attrs

from lacewingcourse.core.configuration import Configuration, ConfigurationRecord
from lacewingcourse.core.configuration_validation import (
    apply_changes,
    check_changes,
    check_whole,
)
from lacewingcourse.core.errors import Refusal

#: Accepted records that a reader remembers.
HISTORY_LIMIT = 1000
#: Accepted records that a snapshot carries.
SNAPSHOT_HISTORY = 100


@attrs.frozen
class ConfigurationState:
    """The fold of the log up to an offset.

    Attributes:
        configuration: The configuration in force.
        lineage: Hash over the publish ids of all accepted records, in order.
        offset: Records before this offset are folded in.
        history: The newest accepted records, oldest first.
    """

    configuration: Configuration = attrs.field(factory=Configuration)
    lineage: str = ""
    offset: int = 0
    history: tuple[ConfigurationRecord, ...] = ()

    @property
    def version(self) -> int:
        """Version of the configuration in force."""
        return self.configuration.version

    def since(self, version: int) -> tuple[ConfigurationRecord, ...] | None:
        """Return the records accepted after a version; None if one is forgotten."""
        count = self.version - version
        if count <= 0:
            return ()
        if count > len(self.history):
            return None
        return self.history[-count:]

    def winner(self, version: int) -> ConfigurationRecord | None:
        """Return the record that made a version, or None if it is not known."""
        index = len(self.history) - 1 - (self.version - version)
        if version > self.version or index < 0:
            return None
        return self.history[index]


@attrs.frozen
class ConfigurationEntry:
    """A record of the log's stream: a change, or a snapshot of the fold.

    Attributes:
        change: The change, or None.
        snapshot: The fold as its writer has it, or None.
    """

    change: ConfigurationRecord | None = None
    snapshot: ConfigurationState | None = None


class Verdict(Enum):
    """What the fold makes of a record."""

    ACCEPTED = "accepted"
    REPEATED = "repeated"
    CONFLICT = "conflict"
    INVALID = "invalid"
    SNAPSHOT_CURRENT = "snapshot_current"
    SNAPSHOT_OLD = "snapshot_old"
    SNAPSHOT_WRONG = "snapshot_wrong"


@attrs.frozen
class Folded:
    """A state after a record.

    Attributes:
        state: The state after the record.
        verdict: What became of the record.
        refusal: Why the record is invalid, or None.
    """

    state: ConfigurationState
    verdict: Verdict
    refusal: Refusal | None = None


def fold_change(state: ConfigurationState, record: ConfigurationRecord) -> Folded:
    """Return the state after a change; the offset stays."""
    winner = state.winner(record.version)
    if winner is not None and winner.publish_id == record.publish_id:
        return Folded(state, Verdict.REPEATED)
    if record.base_version != state.version:
        return Folded(state, Verdict.CONFLICT)
    refusal = check_changes(state.configuration, record.changes)
    if refusal is not None:
        return Folded(state, Verdict.INVALID, refusal)
    accepted = attrs.evolve(
        state,
        configuration=apply_changes(state.configuration, record.changes),
        lineage=next_lineage(state.lineage, record.publish_id),
        history=(*state.history, record)[-HISTORY_LIMIT:],
    )
    return Folded(accepted, Verdict.ACCEPTED)


def next_lineage(lineage: str, publish_id: str) -> str:
    """Return the lineage after a record."""
    return hashlib.sha256(f"{lineage} {publish_id}".encode()).hexdigest()


def fold_snapshot(state: ConfigurationState, snapshot: ConfigurationState) -> Folded:
    """Judge a snapshot against the fold; it never changes the state."""
    if snapshot.version < state.version:
        return Folded(state, Verdict.SNAPSHOT_OLD)
    same = (
        snapshot.lineage == state.lineage
        and snapshot.configuration == state.configuration
    )
    return Folded(state, Verdict.SNAPSHOT_CURRENT if same else Verdict.SNAPSHOT_WRONG)


def fold_entry(state: ConfigurationState, entry: ConfigurationEntry) -> Folded:
    """Return the state after an entry of the stream; the offset stays."""
    if entry.change is not None:
        return fold_change(state, entry.change)
    if entry.snapshot is not None:
        return fold_snapshot(state, entry.snapshot)
    return Folded(state, Verdict.INVALID)


def snapshot_of(state: ConfigurationState) -> ConfigurationEntry:
    """Return the snapshot that stands for a state."""
    short = attrs.evolve(state, history=state.history[-SNAPSHOT_HISTORY:])
    return ConfigurationEntry(snapshot=short)


def usable_snapshot(
    snapshot: ConfigurationState, first_offset: int, offset: int, version: int
) -> bool:
    """Tell whether a reader that has lost records may start from a snapshot.

    Args:
        snapshot: The snapshot.
        first_offset: The oldest offset that the reader has read without a gap.
        offset: Where the snapshot stands in the log.
        version: Version that the reader has already.
    """
    covers_gap = first_offset <= snapshot.offset <= offset
    return (
        covers_gap
        and snapshot.version >= version
        and check_whole(snapshot.configuration) is None
    )
