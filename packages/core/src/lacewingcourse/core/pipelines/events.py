"""Splitting of the bytes of a server-sent event stream at the ends of its events."""

from __future__ import annotations

import re

import attrs

#: End of an event: the end of its last line, and an empty line.
EVENT_END = re.compile(rb"\n\r?\n")
#: Bytes of that end that may have been received before the rest of it.
PARTIAL_END_BYTES = 2


@attrs.define
class EventSplitter:
    """Splits received bytes after each empty line, whatever they hold.

    Attributes:
        pending: Bytes of an event that is not complete yet.
    """

    pending: bytes = b""

    def split(self, data: bytes) -> list[bytes]:
        """Add received bytes; return the events that they complete, as they came."""
        searched = max(0, len(self.pending) - PARTIAL_END_BYTES)
        received = self.pending + data
        events, start = [], 0
        for end in EVENT_END.finditer(received, searched):
            events.append(received[start : end.end()])
            start = end.end()
        self.pending = received[start:]
        return events

    def discard(self) -> None:
        """Drop the incomplete event of a run that broke off."""
        self.pending = b""
