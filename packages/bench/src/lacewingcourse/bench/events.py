"""Section `events`: processor time that an entry spends on checking a stream."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from lacewingcourse.bench.figures import Outcome, figure
from lacewingcourse.bench.sections import SECTIONS
from lacewingcourse.core.pipelines.stream_copy import StreamCopy

if TYPE_CHECKING:
    from lacewingcourse.bench.sections import Options

#: Batches of streams, streams in each, and events in each stream.
BATCHES = 15
STREAMS = 200
EVENTS = 60
#: Events that are received at once.
EVENTS_AT_ONCE = (1, 4)
MICROSECONDS = 1_000_000


def cpu_per_event(chunks: list[bytes]) -> float:
    """Return the processor microseconds of one event of a stream."""
    started = time.process_time()
    for _ in range(STREAMS):
        copy = StreamCopy()
        for chunk in chunks:
            copy.feed(chunk)
    return (time.process_time() - started) / STREAMS / EVENTS * MICROSECONDS


@SECTIONS.register("events")
def events(options: Options) -> Outcome:
    """Measure streams whose events are received one by one and several at once."""
    sent = [
        b"id: %d\ndata: some tokens of an answer %d\n\n" % (n, n)
        for n in range(1, EVENTS + 1)
    ]
    figures = []
    for size in EVENTS_AT_ONCE:
        starts = range(0, EVENTS, size)
        chunks = [b"".join(sent[start : start + size]) for start in starts]
        cpu_per_event(chunks)
        values = [cpu_per_event(chunks) for _ in range(BATCHES)]
        figures.append(figure(f"events, {size} at once", "us/event", values))
    return Outcome("events", tuple(figures))
