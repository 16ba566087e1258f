"""What processes tell each other of the configuration."""

from __future__ import annotations

import attrs

from lacewingcourse.core.configuration import ConfigurationRecord
from lacewingcourse.core.configuration_fold import ConfigurationState


@attrs.frozen
class ConfigurationExchange:
    """Any process to any other: what it knows of the configuration, and the reply.

    Attributes:
        version: Version in force at the sender, -1 if it has none.
        lineage: Hash over all accepted records at the sender.
        offset: Records of the log before this offset are folded in.
        age: Seconds since the end of the log was folded in, or None.
        snapshot_at: When the log took the newest snapshot, seconds since the epoch.
        records: Accepted records that the receiver seems to lack, in order.
        state: The whole state, if records would not do.
        relay: URLs of processes that the receiver shall tell in its turn.
    """

    version: int
    lineage: str
    offset: int
    age: float | None = None
    snapshot_at: float | None = None
    records: tuple[ConfigurationRecord, ...] = ()
    state: ConfigurationState | None = None
    relay: tuple[str, ...] = ()
