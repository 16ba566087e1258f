"""Numbering of the events of a stream, and the position that it proves."""

from __future__ import annotations

from enum import Enum

import attrs

from lacewingcourse.core.pipelines.event_form import EventDefect

#: Events that must agree on a numbering before it is trusted, unless they count by one
#: from the start. A few wrong bytes may agree by chance. The events of a stream that
#: has counted regularly for so long are expected to go on like that.
MIN_REGULAR_EVENTS = 4


class EventOrder(Enum):
    """Order of an event whose position is larger than the one before.

    Attributes:
        NEXT: It is the next one.
        POSSIBLE: It is the next one unless its position is wrong, which the event or
            the end that follows will show.
    """

    NEXT = "next"
    POSSIBLE = "possible"


@attrs.define
class EventNumbering:
    """Tells which event is the next one, and whether an id proves what a caller has.

    A run that continues a stream begins after the position that it is given. If that
    position is not the end of the caller's copy, events are missing or come twice. An
    id that increases does not prove it, as a wrong byte may make it larger. The ids of
    all events together do: each is one step after the one before.

    Attributes:
        start: Position before the first event, None if it is unknown.
        last: Position of the last event, None before the first.
        step: Difference between the ids of two events, None until two are known. Zero
            after an event that is shorter than a step, which can only be the last.
        events: Number of events.
        is_regular: Whether each id has followed the one before by the same step.
        may_count_from_zero: Whether the first event may have the position zero.
    """

    start: int | None = 0
    last: int | None = None
    step: int | None = None
    events: int = 0
    is_regular: bool = True
    may_count_from_zero: bool = False

    @property
    def is_trusted(self) -> bool:
        """Whether a run may continue after the last event."""
        if not self.is_regular or self.events == 0:
            return False
        counts_from_start = self.last == self.start + self.events
        return counts_from_start or self.events >= MIN_REGULAR_EVENTS

    @property
    def is_established(self) -> bool:
        """Whether enough events agree on the step for the next one to be known."""
        return self.is_regular and self.events >= MIN_REGULAR_EVENTS

    def advance(self, position: int | EventDefect | None) -> bool:
        """Record an event if the stream counts by one and it is the next one.

        Args:
            position: Its position, or what it is instead of an event.

        Returns:
            Whether it was recorded.
        """
        if self.step != 1 or position != self.last + 1:
            return False
        self.last = position
        self.events += 1
        return True

    def order_of(self, position: int) -> EventOrder | EventDefect:
        """Return the order of an event, or why it cannot follow the last one.

        Where ids increase by no rule, whether events are missing cannot be told.

        Args:
            position: Its position.
        """
        if self.events == 0:
            return self._order_of_first(position)
        if position <= self.last:
            return EventDefect.NOT_RISING
        if not self.is_regular or self.step is None:
            return EventOrder.NEXT
        if position == self.last + self.step:
            return EventOrder.NEXT
        if self.is_established and position > self.last + self.step:
            return EventDefect.GAP
        return EventOrder.POSSIBLE

    def record(self, position: int) -> None:
        """Record that the caller has another event, the order of which is known."""
        if self.is_regular:
            self._learn(position)
        self.last = position
        self.events += 1

    def _order_of_first(self, position: int) -> EventOrder | EventDefect:
        """Return the order of the first event."""
        if self.start is None or position == self.start + 1:
            return EventOrder.NEXT
        is_zero = position == 0 and self.may_count_from_zero
        if position > self.start or is_zero:
            return EventOrder.POSSIBLE
        return EventDefect.NOT_RISING

    def _learn(self, position: int) -> None:
        """Learn the step from another event, or that there is none."""
        if self.start is None:
            self.is_regular = False
        elif self.events == 0:
            self.step = 1 if position == self.start + 1 else None
        elif self.step is None:
            self.step = position - self.last
            is_first_step = self.last - self.start in (0, self.step)
            self.is_regular = is_first_step and self.step > 0
        elif position != self.last + self.step:
            self.is_regular = (
                self.is_established and self.last < position < self.last + self.step
            )
            self.step = 0
