"""Log lines of records in the platform's store that cannot be read."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.relay.decoding import shortened

if TYPE_CHECKING:
    from lacewingcourse.relay.decisions import DecisionLog

#: Records that are remembered, so that each is logged once.
MAX_REMEMBERED = 256


@attrs.define
class UnreadableRecords:
    """Logs each record that cannot be read once; the others are used.

    The clients of the store are made before the log of the entry that uses them.

    Attributes:
        log: Decision log, None before the entry is made.
        logged: Topics, keys and reasons that were logged, oldest first.
    """

    log: DecisionLog | None = None
    logged: dict[tuple[str, str, str], None] = attrs.field(factory=dict)

    def note(self, topic: str, key: str, reason: str) -> None:
        """Log a record unless it was logged before.

        Args:
            topic: Topic of the record.
            key: Its key, empty if that cannot be read either.
            reason: What is wrong with it.
        """
        record = (topic, shortened(key), reason)
        if self.log is None or record in self.logged:
            return
        self.log.log_event(
            "record_unreadable", topic=topic, key=shortened(key), reason=reason
        )
        self.logged[record] = None
        while len(self.logged) > MAX_REMEMBERED:
            del self.logged[next(iter(self.logged))]
