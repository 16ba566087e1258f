"""Splitting of a server-sent event stream, and the position to resume it from."""

from __future__ import annotations

import attrs

from lacewingcourse.core.pipelines.event_numbering import (
    EventNumbering,
    event_position,
    parse_position,
)

#: Bytes of an unfinished event beyond which the stream is taken not to consist of
#: events.
MAX_EVENT_BYTES = 1024 * 1024


@attrs.define
class EventSplitter:
    """Splits the bytes of a stream into complete events.

    Attributes:
        pending: Bytes of an event that is not complete yet.
        last_id: Identifier of the last event forwarded, empty before the first.
        forwarded: Number of events forwarded.
        dropped: Number of events dropped as repeats of an earlier run.
        numbering: Numbering of the events forwarded.
    """

    pending: bytes = b""
    last_id: str = ""
    forwarded: int = 0
    dropped: int = 0
    numbering: EventNumbering = attrs.field()

    @numbering.default
    def _numbering_after_last_id(self) -> EventNumbering:
        start = parse_position(self.last_id.encode()) if self.last_id else 0
        return EventNumbering(start)

    @property
    def is_continuable(self) -> bool:
        """Whether another run can continue after the events forwarded.

        Any run can if there are none.
        """
        return not self.forwarded or self.numbering.is_trusted

    def feed(self, data: bytes) -> bytes:
        """Add received bytes; return the complete events to forward.

        An event whose identifier does not follow the last one is dropped, since a run
        that continues on another endpoint may repeat it.
        """
        self.pending += data
        end = self._end()
        if end < 0:
            return b""
        complete, self.pending = self.pending[:end], self.pending[end:]
        return b"".join(filter(self._accept, _split(complete)))

    def discard_pending(self) -> None:
        """Drop the incomplete event of a run that broke off.

        Another run that continues the stream starts with a complete event.
        """
        self.pending = b""

    @property
    def oversized(self) -> bool:
        """Whether the pending bytes are too many for an event."""
        return len(self.pending) > MAX_EVENT_BYTES

    def _end(self) -> int:
        """Return the end of the last complete event in the pending bytes, or -1."""
        lf = self.pending.rfind(b"\n\n")
        crlf = self.pending.rfind(b"\r\n\r\n")
        ends = [lf + 2 if lf >= 0 else -1, crlf + 4 if crlf >= 0 else -1]
        return max(ends)

    def _accept(self, event: bytes) -> bool:
        """Tell whether an event is to be forwarded; record it if so."""
        found = event_id(event)
        if found is not None:
            if not _is_after(found, self.last_id):
                self.dropped += 1
                return False
            self.last_id = found
        self.forwarded += 1
        self.numbering.record(event_position(event))
        return True


def event_id(event: bytes) -> str | None:
    """Return the identifier of an event, None if it has none."""
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin1")
    return None


def _is_after(found: str, last: str) -> bool:
    """Tell whether an identifier follows another one; only numbers have an order."""
    if found.isdigit() and last.isdigit():
        return int(found) > int(last)
    return found != last


def _split(complete: bytes) -> list[bytes]:
    """Return the events in a sequence of complete events, each with its end."""
    separator = b"\r\n\r\n" if b"\r\n\r\n" in complete else b"\n\n"
    parts = complete.split(separator)
    return [part + separator for part in parts if part]
