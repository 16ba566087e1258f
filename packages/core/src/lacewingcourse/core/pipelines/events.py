"""Splitting of a server-sent event stream, and the seam between two of its runs."""

from __future__ import annotations

import re

import attrs

from lacewingcourse.core.pipelines.event_form import EventDefect, read_event
from lacewingcourse.core.pipelines.event_numbering import (
    EventNumbering,
    event_position,
    parse_position,
)

#: Bytes of an unfinished event beyond which the stream is taken not to consist of
#: events.
MAX_EVENT_BYTES = 1024 * 1024
#: End of an event: the end of its last line, and an empty line.
EVENT_END = re.compile(rb"\n\r?\n")
#: Bytes of that end that may have been received before the rest of it.
PARTIAL_END_BYTES = 2
#: Bytes of line ends.
LINE_ENDS = b"\r\n"
#: Failures of a run.
OVERSIZED_EVENT = "bytes that are no events"
NOT_THE_NEXT_EVENT = "an event that does not continue the stream"


@attrs.frozen
class UnsoundBytes:
    """Bytes of a run that are not the next event of its stream.

    Attributes:
        defect: What is wrong with them.
        data: The bytes.
        after: Identifier of the event before them, empty if it has none.
        forwarded: Number of events forwarded before them.
    """

    defect: EventDefect
    data: bytes
    after: str
    forwarded: int


@attrs.define
class EventSplitter:
    """Splits the bytes of a stream's runs into the events to pass on to its caller.

    The events of one run are passed on as they came: together they are the engine's
    response, whatever it holds. A run that continues after events that the caller has
    must go on with the next one. It may repeat the last ones, which are dropped.

    Attributes:
        last_id: Identifier of the last event that the caller has, empty if it has none.
        is_continuation: Whether the run continues after events that the caller has.
        pending: Bytes of an event that is not complete yet.
        forwarded: Number of events forwarded.
        dropped: Number of events dropped as repeats of an earlier run.
        failure: Why no more of the run can be forwarded, empty if it can.
        numbering: Numbering of the events forwarded.
        last_event: Last event forwarded, None before the first.
        repeated: Position of the last event that the run has repeated, None if none.
        forwarded_before: Number of events forwarded before the run.
        unsound: First bytes of the run that are not its next event, None if none.
    """

    last_id: str = ""
    is_continuation: bool = attrs.field()
    pending: bytes = b""
    forwarded: int = 0
    dropped: int = 0
    failure: str = ""
    numbering: EventNumbering = attrs.field()
    last_event: bytes | None = None
    repeated: int | None = None
    forwarded_before: int = 0
    unsound: UnsoundBytes | None = None

    @is_continuation.default
    def _continues_last_id(self) -> bool:
        return bool(self.last_id)

    @numbering.default
    def _numbering_after_last_id(self) -> EventNumbering:
        start = parse_position(self.last_id.encode()) if self.last_id else 0
        return EventNumbering(start)

    @classmethod
    def for_request(cls, resume_after: str) -> EventSplitter:
        """Return a splitter for a request whose caller has no event of the response.

        Args:
            resume_after: Identifier after which the caller asks for events, or empty.
        """
        return cls(resume_after, is_continuation=False)

    @property
    def is_continuable(self) -> bool:
        """Whether another run can continue after the events forwarded.

        Any run can if there are none.
        """
        return not self.forwarded or self.numbering.is_trusted

    @property
    def may_end(self) -> bool:
        """Whether the stream is complete if its run ends here."""
        if self.failure or self.pending.strip(LINE_ENDS):
            return False
        return self._is_at_end_of_copy

    def begin_run(self) -> None:
        """Prepare for the bytes of another run."""
        self.discard_pending()
        self.failure = ""
        self.repeated = None
        self.unsound = None
        self.forwarded_before = self.forwarded
        self.is_continuation = self.forwarded > 0

    def feed(self, data: bytes) -> bytes:
        """Add received bytes; return the complete events to forward."""
        if self.failure:
            return b""
        events = self._split(data)
        if len(self.pending) > MAX_EVENT_BYTES:
            self.failure = OVERSIZED_EVENT
            self._note(EventDefect.OVERSIZED, self.pending)
        if self.is_continuation:
            events = list(filter(self._accept, events))
        else:
            for event in events:
                self._note_defect(event)
                self._record(event, event_position(event))
        return b"".join(events)

    def discard_pending(self) -> None:
        """Drop the incomplete event of a run that broke off.

        Another run that continues the stream starts with a complete event.
        """
        self.pending = b""

    def _split(self, data: bytes) -> list[bytes]:
        """Add received bytes; return the events that they complete, as they came."""
        searched = max(0, len(self.pending) - PARTIAL_END_BYTES)
        received = self.pending + data
        events, start = [], 0
        for end in EVENT_END.finditer(received, searched):
            events.append(received[start : end.end()])
            start = end.end()
        self.pending = received[start:]
        return events

    def _accept(self, event: bytes) -> bool:
        """Return whether to forward an event of a continuation; record it if so."""
        if self.failure:
            return False
        position = event_position(event)
        if self._is_duplicate(position, event):
            self.repeated = position
            self.dropped += 1
            return False
        if self._is_at_end_of_copy and self.numbering.follows(position):
            self._record(event, position)
            return True
        self.failure = NOT_THE_NEXT_EVENT
        self._note(EventDefect.OUT_OF_PLACE, event)
        if self._has_new_events:
            # Where the run began is in doubt, and so are its events.
            self.numbering.is_regular = False
        return False

    def _is_duplicate(self, position: int | None, event: bytes) -> bool:
        """Return whether a continuation's event is one that the caller has."""
        last = self._last_position
        if position is None or last is None or self._has_new_events:
            return False
        if position > last:
            return False
        if self.repeated is not None:
            if position != self.repeated + (self.numbering.step or 1):
                return False
        # Only the content tells a repeated event from the next one with a wrong id.
        return position < last or self.last_event in (None, event)

    def _note_defect(self, event: bytes) -> None:
        """Note what is wrong with an event, if anything."""
        found = read_event(event)
        if isinstance(found, EventDefect):
            self._note(found, event)
        elif found is not None and self.numbering.is_regular:
            last = self._last_position
            if last is not None and self.numbering.events and found <= last:
                self._note(EventDefect.NOT_RISING, event)
            elif not self.numbering.follows(found):
                self._note(EventDefect.GAP, event)

    def _note(self, defect: EventDefect, data: bytes) -> None:
        """Keep the first bytes of the run that are not its next event."""
        if self.unsound is None:
            last = "" if self.numbering.last is None else str(self.numbering.last)
            self.unsound = UnsoundBytes(defect, data, last, self.forwarded)

    def _record(self, event: bytes, position: int | None) -> None:
        """Record an event that is forwarded."""
        self.numbering.record(position)
        self.forwarded += 1
        self.last_event = event
        if position is not None:
            self.last_id = str(position)

    @property
    def _has_new_events(self) -> bool:
        """Whether events of the run were forwarded."""
        return self.forwarded > self.forwarded_before

    @property
    def _last_position(self) -> int | None:
        """Position of the last event that the caller has, None if unknown."""
        return self.numbering.last if self.forwarded else self.numbering.start

    @property
    def _is_at_end_of_copy(self) -> bool:
        """Whether the run has repeated nothing, or all to the end of the copy."""
        return self._has_new_events or self.repeated in (None, self._last_position)
