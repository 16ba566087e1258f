"""Whole events of a stream, and where it can be taken up again."""

from __future__ import annotations

import attrs

#: Bytes of an event beyond which a stream is given up as not one of events.
MAX_EVENT_BYTES = 1024 * 1024


@attrs.define
class EventSplitter:
    """Cuts the bytes of a stream into whole events.

    Attributes:
        pending: Bytes of an event that has not ended.
        last_id: Identifier of the last whole event passed on, empty before it.
        passed: Events passed on.
    """

    pending: bytes = b""
    last_id: str = ""
    forwarded: int = 0

    def feed(self, data: bytes) -> bytes:
        """Take bytes; return the whole events that may be passed on.

        An event whose identifier is not greater than the last one is dropped: a run
        that goes on elsewhere may repeat it.
        """
        self.pending += data
        end = self._end()
        if end < 0:
            return b""
        complete, self.pending = self.pending[:end], self.pending[end:]
        return b"".join(filter(self._accept, _split(complete)))

    def discard_pending(self) -> None:
        """Drop an event that was cut in the middle, before another run goes on."""
        self.pending = b""

    @property
    def oversized(self) -> bool:
        """Whether the pending bytes can be no event."""
        return len(self.pending) > MAX_EVENT_BYTES

    def _end(self) -> int:
        """Return the end of the last whole event in the pending bytes, or -1."""
        lf = self.pending.rfind(b"\n\n")
        crlf = self.pending.rfind(b"\r\n\r\n")
        ends = [lf + 2 if lf >= 0 else -1, crlf + 4 if crlf >= 0 else -1]
        return max(ends)

    def _accept(self, event: bytes) -> bool:
        """Note an event; tell whether it is to be passed on."""
        found = event_id(event)
        if found is not None:
            if not _is_after(found, self.last_id):
                return False
            self.last_id = found
        self.forwarded += 1
        return True


def event_id(event: bytes) -> str | None:
    """Return the identifier of an event, None if it has none."""
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin1")
    return None


def _is_after(found: str, last: str) -> bool:
    """Tell whether an identifier comes after another one."""
    if found.isdigit() and last.isdigit():
        return int(found) > int(last)
    return found != last


def _split(complete: bytes) -> list[bytes]:
    """Return the events of a run of whole events, with their ends."""
    separator = b"\r\n\r\n" if b"\r\n\r\n" in complete else b"\n\n"
    parts = complete.split(separator)
    return [part + separator for part in parts if part]
