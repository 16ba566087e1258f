"""Whole events of a stream, and where it can be taken up again."""

from __future__ import annotations

import attrs

#: Bytes of an event beyond which a stream is given up as not one of events.
LONGEST_EVENT = 1024 * 1024


@attrs.define
class EventCutter:
    """Cuts the bytes of a stream into whole events.

    Attributes:
        pending: Bytes of an event that has not ended.
        last_id: Identifier of the last whole event passed on, empty before it.
        passed: Events passed on.
    """

    pending: bytes = b""
    last_id: str = ""
    passed: int = 0

    def feed(self, data: bytes) -> bytes:
        """Take bytes; return the whole events that may be passed on.

        An event whose identifier is not greater than the last one is dropped: a run
        that goes on elsewhere may repeat it.
        """
        self.pending += data
        end = self._end()
        if end < 0:
            return b""
        whole, self.pending = self.pending[:end], self.pending[end:]
        return b"".join(filter(self._takes, _split(whole)))

    def restart(self) -> None:
        """Drop an event that was cut in the middle, before another run goes on."""
        self.pending = b""

    @property
    def overgrown(self) -> bool:
        """Whether the pending bytes can be no event."""
        return len(self.pending) > LONGEST_EVENT

    def _end(self) -> int:
        """Return the end of the last whole event in the pending bytes, or -1."""
        plain = self.pending.rfind(b"\n\n")
        carriage = self.pending.rfind(b"\r\n\r\n")
        ends = [plain + 2 if plain >= 0 else -1, carriage + 4 if carriage >= 0 else -1]
        return max(ends)

    def _takes(self, event: bytes) -> bool:
        """Note an event; tell whether it is to be passed on."""
        found = event_id(event)
        if found is not None:
            if not _is_after(found, self.last_id):
                return False
            self.last_id = found
        self.passed += 1
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


def _split(whole: bytes) -> list[bytes]:
    """Return the events of a run of whole events, with their ends."""
    separator = b"\r\n\r\n" if b"\r\n\r\n" in whole else b"\n\n"
    parts = whole.split(separator)
    return [part + separator for part in parts if part]
