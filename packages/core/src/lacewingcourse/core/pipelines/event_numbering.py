"""Numbering of the events of a stream, and the position that it proves."""

from __future__ import annotations

import re

import attrs

#: An event's id that is a position: a decimal number as a 64-bit integer holds it.
POSITION = re.compile(rb"0|[1-9][0-9]{0,17}")
#: The usual form of an event, which needs no further look at its lines.
USUAL_EVENT = re.compile(rb"id: (%b)\ndata: [^\r\n]*\n\n" % POSITION.pattern)
#: Events that must agree on a numbering other than by one from the start, before it is
#: trusted. A few wrong bytes may agree by chance.
MIN_EVENTS_OF_OTHER_STEP = 4


@attrs.define
class EventNumbering:
    """Tells whether the last event's id names the end of what a caller has.

    A run that continues a stream begins after the position that it is given. If that
    position is not the end of the caller's copy, events are missing or come twice. An
    id that increases does not prove it, as a wrong byte may make it larger. The ids of
    all events together do: each is one step after the one before.

    Attributes:
        start: Position before the first event, None if it is unknown.
        last: Position of the last event, None before the first or without a number.
        step: Difference between the ids of two events, None until two are known. Zero
            after an event that is shorter than a step, which can only be the last.
        events: Number of events.
        is_regular: Whether each id has followed the one before.
    """

    start: int | None = 0
    last: int | None = None
    step: int | None = None
    events: int = 0
    is_regular: bool = True

    @property
    def is_trusted(self) -> bool:
        """Whether a run may continue after the last event."""
        if not self.is_regular or self.events == 0:
            return False
        counts_from_start = self.last == self.start + self.events
        return counts_from_start or self.events >= MIN_EVENTS_OF_OTHER_STEP

    def follows(self, position: int | None) -> bool:
        """Return whether an event with this position is the next one."""
        if position is None or self.start is None or not self.is_regular:
            return False
        if self.events == 0:
            return True
        advance = position - self.last
        if self.step is None:
            return advance > 0 and self.last - self.start in (0, advance)
        if advance == self.step:
            return advance > 0
        return 0 < advance < self.step and self.events >= MIN_EVENTS_OF_OTHER_STEP

    def record(self, position: int | None) -> None:
        """Record that the caller has another event."""
        if self.is_regular:
            self._advance(position)
        self.last = position
        self.events += 1

    def _advance(self, position: int | None) -> None:
        """Compare an event with the ones before."""
        if self.step == 1 and position == self.last + 1:
            return
        if not self.follows(position):
            self.is_regular = False
        elif self.events == 0:
            self.step = 1 if position == self.start + 1 else None
        elif self.step is None:
            self.step = position - self.last
        elif position - self.last != self.step:
            self.step = 0


def parse_position(identifier: bytes) -> int | None:
    """Return the position that an id names, None if it is no decimal number."""
    return int(identifier) if POSITION.fullmatch(identifier) else None


def event_position(event: bytes) -> int | None:
    """Return an event's position, None unless it has one id, a number, and data."""
    usual = USUAL_EVENT.fullmatch(event)
    if usual is not None:
        return int(usual[1])
    lines = event.splitlines()
    identifiers = [line[3:] for line in lines if line.startswith(b"id:")]
    if len(identifiers) != 1 or not any(line.startswith(b"data:") for line in lines):
        return None
    return parse_position(identifiers[0].removeprefix(b" "))
