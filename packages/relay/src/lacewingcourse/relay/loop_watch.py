"""How late the loop gets to its work, and what held it up."""

from __future__ import annotations

import asyncio
import time
from contextlib import contextmanager
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

#: Seconds between two looks.
PERIOD = 0.05
#: Seconds of lateness from which a line tells what ran. Callers accept pauses of some
#: hundred milliseconds, and a stream passes several entries and engines.
REPORTED_LATENESS = 0.05
#: Section that is told if no named one ran for long.
UNNAMED_WORK = "other work"


@attrs.frozen
class Section:
    """A piece of work that was not interrupted.

    Attributes:
        name: What it did.
        seconds: How long it took.
    """

    name: str
    seconds: float


@attrs.define
class LoopWatch:
    """Measures how late the loop wakes its own timer.

    Attributes:
        clock: Returns the present time in seconds.
        observe: Called with the lateness of each look, seconds.
        tell: Called with the lateness and the longest piece of work if it was late.
        longest: The longest named piece of work since the last look.
        last_look: When it last looked, seconds.
        previous_look: When it looked before that. The loop has handled since then
            whatever had come by that time, however long it was held up.
    """

    clock: Callable[[], float] = time.monotonic
    observe: Callable[[float], None] = lambda seconds: None
    on_late: Callable[[float, Section], None] = lambda seconds, section: None
    longest: Section = Section(UNNAMED_WORK, 0.0)
    last_tick: float = attrs.field()
    previous_tick: float = attrs.field()

    @last_tick.default
    @previous_tick.default
    def _now(self) -> float:
        return self.clock()

    @contextmanager
    def section(self, name: str) -> Iterator[None]:
        """Name the work done within."""
        since = self.clock()
        try:
            yield
        finally:
            seconds = self.clock() - since
            if seconds > self.longest.seconds:
                self.longest = Section(name, seconds)

    async def run(self) -> None:
        """Look for ever."""
        while True:
            expected = self.clock() + PERIOD
            await asyncio.sleep(PERIOD)
            now = self.clock()
            self.previous_tick, self.last_tick = self.last_tick, now
            self.record(now - expected)

    def record(self, late: float) -> None:
        """Take how late the timer was, seconds."""
        self.observe(max(0.0, late))
        if late > REPORTED_LATENESS:
            named = self.longest.seconds > late / 2
            section = self.longest if named else Section(UNNAMED_WORK, late)
            self.on_late(late, section)
        self.longest = Section(UNNAMED_WORK, 0.0)
