"""The events that a caller has of a stream, and the seam between two of its runs."""

from __future__ import annotations

import attrs

from lacewingcourse.core.pipelines.event_form import (
    LINE_ENDS,
    EventDefect,
    parse_position,
    read_event,
)
from lacewingcourse.core.pipelines.event_numbering import EventNumbering, EventOrder
from lacewingcourse.core.pipelines.events import EventSplitter

#: Bytes of an unfinished event, or of comments before one, beyond which the stream is
#: taken not to consist of events.
MAX_EVENT_BYTES = 1024 * 1024
#: Comments and pairs of line ends in succession beyond which the same holds. Each of
#: them costs as much processor time as an event.
MAX_COMMENTS = 1000
#: Byte order mark, with which a stream may begin.
BYTE_ORDER_MARK = b"\xef\xbb\xbf"
#: Defects after which it is not known which events of the run have a wrong id.
CONTRADICTIONS = frozenset({EventDefect.NOT_RISING, EventDefect.GAP})


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


@attrs.frozen
class HeldEvent:
    """An event that is held back until the next one, or the end, shows its order.

    Attributes:
        position: Its position.
        data: Its bytes, and the comments before it.
    """

    position: int
    data: bytes


@attrs.define
class StreamCopy:
    """Decides which bytes of a stream's runs its caller gets.

    The caller gets sound events only, each in its place. At the first bytes of a run
    that are anything else the run has failed, and no more of it is forwarded. A run
    that continues after events that the caller has must go on with the next one. It
    may repeat the last ones, which are dropped.

    Attributes:
        resume_after: Identifier after which the caller asked for events, or empty.
        numbering: Numbering of the events forwarded.
        splitter: Splits the bytes of the run.
        is_continuation: Whether the run continues after events that the caller has.
        is_at_seam: Whether it does, and has had no new event yet.
        forwarded: Number of events forwarded.
        forwarded_before: Number of events forwarded before the run.
        dropped: Number of events dropped as repeats of an earlier run.
        unsound: First bytes of the run that are not its next event, None if none.
        last_event: Last event forwarded, None before the first.
        repeated: Position of the last event that the run has repeated, None if none.
        held: Event that is held back, None if none.
        comments: Comments and line ends that stand before the next event.
        comment_count: Number of them.
    """

    resume_after: str = ""
    numbering: EventNumbering = attrs.field()
    splitter: EventSplitter = attrs.field(factory=EventSplitter)
    is_continuation: bool = False
    is_at_seam: bool = False
    forwarded: int = 0
    forwarded_before: int = 0
    dropped: int = 0
    unsound: UnsoundBytes | None = None
    last_event: bytes | None = None
    repeated: int | None = None
    held: HeldEvent | None = None
    comments: bytearray = attrs.field(factory=bytearray)
    comment_count: int = 0

    @numbering.default
    def _numbering_after_resume_position(self) -> EventNumbering:
        after = self.resume_after
        if not after:
            return EventNumbering(may_count_from_zero=True)
        return EventNumbering(parse_position(after.encode()))

    @property
    def last_id(self) -> str:
        """Identifier of the last event that the caller has, empty if it has none."""
        return str(self.numbering.last) if self.forwarded else self.resume_after

    @property
    def failure(self) -> str:
        """Why no more of the run can be forwarded, empty if it can."""
        if self.unsound is None:
            return ""
        return f"not the next event: {self.unsound.defect.value}"

    @property
    def is_continuable(self) -> bool:
        """Whether another run can continue after the events forwarded.

        Any run can if there are none.
        """
        return not self.forwarded or self.numbering.is_trusted

    @property
    def has_new_events(self) -> bool:
        """Whether the run has events that the caller did not have before it."""
        return self.forwarded > self.forwarded_before or self.held is not None

    @property
    def may_end(self) -> bool:
        """Whether the stream is complete if its run ends here."""
        if self.unsound is not None or self._is_inside_event:
            return False
        return not self.is_continuation or self._is_at_end_of_copy

    @property
    def held_bytes(self) -> int:
        """Number of bytes received and neither forwarded nor dropped."""
        held = 0 if self.held is None else len(self.held.data)
        return len(self.splitter.pending) + len(self.comments) + held

    def begin_run(self) -> None:
        """Prepare for the bytes of another run."""
        self._discard()
        self.unsound = None
        self.repeated = None
        self.forwarded_before = self.forwarded
        self.is_continuation = self.is_at_seam = self.forwarded > 0

    def feed(self, data: bytes) -> bytes:
        """Add received bytes of the run; return the bytes to forward."""
        if self.unsound is not None:
            return b""
        found = []
        for event in self.splitter.split(data):
            position = read_event(event)
            is_doubted = self.is_at_seam or self.held or self.comments
            if not is_doubted and self.numbering.advance(position):
                self.forwarded += 1
                self.last_event = event
                found.append(event)
                continue
            found.append(self._take(event, position))
            if self.unsound is not None:
                break
        else:
            if len(self.splitter.pending) > MAX_EVENT_BYTES:
                self._fail(EventDefect.OVERSIZED, self.splitter.pending)
        return b"".join(found)

    def check_end(self) -> None:
        """Take a run that has ended as complete for failed if it ended in an event."""
        if self.unsound is None and self._is_inside_event:
            self._fail(EventDefect.TRUNCATED, self.splitter.pending)

    def finish(self) -> bytes:
        """Return what is left to forward of the run that completes the stream."""
        rest = self._forward_held() + self._with_comments(self.splitter.pending)
        self._discard()
        return rest

    @property
    def _is_inside_event(self) -> bool:
        """Whether the bytes received last are a part of an event or a comment."""
        pending = self.splitter.pending
        return bool(pending.strip(LINE_ENDS)) and not (
            pending.endswith(b"\n") and read_event(pending) is None
        )

    @property
    def _is_at_end_of_copy(self) -> bool:
        """Whether the run has repeated nothing, or all to the end of the copy."""
        return not self.is_at_seam or self.repeated in (None, self.numbering.last)

    def _take(self, event: bytes, position: int | EventDefect | None) -> bytes:
        """Take the next event of the run; return the bytes to forward.

        Args:
            event: Its bytes.
            position: Its position, what is wrong with it, or None for comments.
        """
        if isinstance(position, int):
            return self._take_event(event, position)
        if position is None:
            self.comments += event
            self.comment_count += 1
            too_many = self.comment_count > MAX_COMMENTS
            if too_many or len(self.comments) > MAX_EVENT_BYTES:
                self._fail(EventDefect.OVERSIZED, event)
            return b""
        is_first = not (self.forwarded or self.held or self.comments)
        if is_first and event.startswith(BYTE_ORDER_MARK):
            found = read_event(event.removeprefix(BYTE_ORDER_MARK))
            if not isinstance(found, EventDefect):
                return self._take(event, found)
        self._fail(position, event)
        return b""

    def _take_event(self, event: bytes, position: int) -> bytes:
        """Take an event of any numbering; return the bytes to forward."""
        if self.is_at_seam:
            if self._is_duplicate(position, event):
                self.repeated = position
                self.dropped += 1
                self._clear_comments()
                return b""
            if not self._is_at_end_of_copy:
                self._fail(EventDefect.OUT_OF_PLACE, event)
                return b""
        before = b""
        if self.held is not None:
            if self.numbering.is_established:
                self._fail(EventDefect.GAP, self.held.data)
                return b""
            if position <= self.held.position:
                self._fail(EventDefect.NOT_RISING, event)
                return b""
            before = self._forward_held()
        order = self.numbering.order_of(position)
        if order is EventOrder.NEXT:
            self.numbering.record(position)
            return before + self._with_comments(self._forward(event))
        must_be_next = self.is_continuation and not self.numbering.is_established
        if order is EventOrder.POSSIBLE and not must_be_next:
            self.held = HeldEvent(position, self._with_comments(event))
        elif self.is_continuation:
            self._fail(EventDefect.OUT_OF_PLACE, event)
        else:
            self._fail(order, event)
        return before

    def _is_duplicate(self, position: int, event: bytes) -> bool:
        """Return whether a continuation's event is one that the caller has."""
        last = self.numbering.last
        if position > last:
            return False
        if self.repeated is not None:
            if position != self.repeated + (self.numbering.step or 1):
                return False
        # Only the content tells a repeated event from the next one with a wrong id.
        return position < last or self.last_event == event

    def _forward(self, event: bytes) -> bytes:
        """Return an event that was recorded, as one that the caller has."""
        self.is_at_seam = False
        self.forwarded += 1
        self.last_event = event
        return event

    def _with_comments(self, event: bytes) -> bytes:
        """Return an event with the comments before it."""
        if not self.comments:
            return event
        event = bytes(self.comments) + event
        self._clear_comments()
        return event

    def _forward_held(self) -> bytes:
        """Return the bytes of the event held back, none if there is none."""
        if self.held is None:
            return b""
        held, self.held = self.held, None
        self.numbering.record(held.position)
        return self._forward(held.data)

    def _fail(self, defect: EventDefect, data: bytes) -> None:
        """Forward no more of the run because of some of its bytes."""
        last = self.numbering.last
        after = self.resume_after if last is None else str(last)
        self.unsound = UnsoundBytes(defect, data, after, self.forwarded)
        is_contradicted = defect in CONTRADICTIONS or (
            defect is EventDefect.OUT_OF_PLACE and not self.is_at_seam
        )
        if self.forwarded and is_contradicted:
            self.numbering.is_regular = False
        self._discard()

    def _discard(self) -> None:
        """Drop what was received and not forwarded."""
        self.splitter.discard()
        self.held = None
        self._clear_comments()

    def _clear_comments(self) -> None:
        """Drop the comments before the next event."""
        self.comments.clear()
        self.comment_count = 0
