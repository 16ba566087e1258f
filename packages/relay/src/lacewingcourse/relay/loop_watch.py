"""Measures the lag of the event loop, and which work blocked it."""

from __future__ import annotations

import asyncio
import time
from contextlib import contextmanager
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

#: Seconds between two ticks of the timer.
PERIOD = 0.05
#: Lateness in seconds above which the longest work is reported. Callers accept pauses
#: of some hundred milliseconds, and a stream passes several entries and engines.
REPORTED_LATENESS = 0.05
#: Name of the section that is reported if no named one explains the delay.
UNNAMED_WORK = "other work"


@attrs.frozen
class Section:
    """A piece of work that ran without yielding to the event loop.

    Attributes:
        name: Name of the work.
        seconds: Its duration.
    """

    name: str
    seconds: float


@attrs.define
class LoopWatch:
    """Measures how late the event loop runs a periodic timer.

    Attributes:
        clock: Returns the present time in seconds.
        observe: Called with the lateness of each tick, seconds.
        on_late: Called with the lateness and the longest section if a tick was late.
        longest: The longest named section since the last tick.
        last_tick: Time of the last tick, seconds.
        processor_clock: Returns the processor time of this process in seconds.
        processor_seconds: Processor time of this process between the last two ticks.
            Less than the lateness of a tick shows that the machine, not the work, is
            the cause.
        previous_tick: Time of the tick before that, seconds. The loop has since handled
            every event that had arrived by then, however long it was blocked.
    """

    clock: Callable[[], float] = time.monotonic
    observe: Callable[[float], None] = lambda seconds: None
    on_late: Callable[[float, Section], None] = lambda seconds, section: None
    processor_clock: Callable[[], float] = time.process_time
    processor_seconds: float = 0.0
    longest: Section = Section(UNNAMED_WORK, 0.0)
    last_tick: float = attrs.field()
    previous_tick: float = attrs.field()

    @last_tick.default
    @previous_tick.default
    def _now(self) -> float:
        return self.clock()

    @contextmanager
    def section(self, name: str) -> Iterator[None]:
        """Measure the work in a `with` block as a named section."""
        since = self.clock()
        try:
            yield
        finally:
            seconds = self.clock() - since
            if seconds > self.longest.seconds:
                self.longest = Section(name, seconds)

    async def run(self) -> None:
        """Measure the lateness of periodic ticks until cancelled."""
        while True:
            expected, used = self.clock() + PERIOD, self.processor_clock()
            await asyncio.sleep(PERIOD)
            now = self.clock()
            self.processor_seconds = self.processor_clock() - used
            self.previous_tick, self.last_tick = self.last_tick, now
            self.record(now - expected)

    def record(self, late: float) -> None:
        """Record the lateness of a tick, and report the longest section if it was late.

        Args:
            late: Seconds by which the timer was late.
        """
        self.observe(max(0.0, late))
        if late > REPORTED_LATENESS:
            named = self.longest.seconds > late / 2
            section = self.longest if named else Section(UNNAMED_WORK, late)
            self.on_late(late, section)
        self.longest = Section(UNNAMED_WORK, 0.0)
