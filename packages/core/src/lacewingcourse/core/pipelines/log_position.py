"""Position in a log that may come back from an older copy."""

from __future__ import annotations

import attrs

#: Epoch of a log that names none.
UNKNOWN_EPOCH = 0


@attrs.frozen(order=True)
class LogPosition:
    """A position in a log, ordered by the epoch first.

    Offsets go back when the log comes back from an older copy, and its epoch rises.

    Attributes:
        epoch: Epoch of the log to which the offset belongs.
        offset: Offset of the next record.
    """

    epoch: int
    offset: int


#: Position before anything was read.
LOG_START = LogPosition(UNKNOWN_EPOCH, 0)
