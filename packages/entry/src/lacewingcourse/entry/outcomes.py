"""The one place where the end of every caller's request is recorded."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from lacewingcourse.core.burn_ends import AnswerMeter, Result, result_of
from lacewingcourse.core.burn_history import SummaryWriter
from lacewingcourse.core.burn_report import BurnMerge, burn_from, collect
from lacewingcourse.core.burn_windows import BurnBook
from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal

if TYPE_CHECKING:
    from lacewingcourse.core.burn_ends import RequestEnd
    from lacewingcourse.core.burn_report import EntryBurn
    from lacewingcourse.core.configuration import WorkClass
    from lacewingcourse.entry.metrics import EntryMetrics

#: What is recorded of a request that ended without answer or refusal.
NO_END = Refusal(ErrorKind.INTERNAL, "ended without an answer", Outcome.UNKNOWN)
#: What is recorded of a request whose caller went away.
GONE = Refusal(ErrorKind.CALLER_GONE, "", Outcome.UNKNOWN)


class Outcomes:
    """Counts how requests end.

    Attributes:
        instance: Name of the entry.
        run: Which start of the process this is.
        metrics: Counters of the entry.
        book: Counts over the sliding windows.
        writer: Counts on their way to the log.
    """

    def __init__(self, instance: str, run: str, metrics: EntryMetrics) -> None:
        self.instance = instance
        self.run = run
        self.metrics = metrics
        self.book = BurnBook(since=time.time())
        self.writer = SummaryWriter(instance, run, since=time.time())

    def begin(self, now: float) -> RequestRecord:
        """Return the record of a request that has arrived."""
        return RequestRecord(self, now)

    def add(self, end: RequestEnd, meter: AnswerMeter) -> None:
        """Count a request's end."""
        pair = self.book.add(end, time.time())
        self.writer.add(pair, end)
        self.metrics.on_end(end, meter)

    async def burn(self) -> EntryBurn:
        """Return what this entry counted; other work goes on meanwhile."""
        merge = BurnMerge()
        now = time.time()
        for _ in collect(self.book, merge, now):
            await asyncio.sleep(0)
        return burn_from(merge, self.book, self.instance, self.run, now)


class RequestRecord:
    """One request from its arrival to its end.

    Attributes:
        outcomes: Where the end is counted.
        meter: Measures the answer.
        organisation: Whose request it is, or empty while not known.
        target: Model or plain service, or empty while not known.
        refusal: Why the answer is not whole, or None.
        whole: Whether the whole answer was sent.
        closed: Whether the end has been counted.
    """

    def __init__(self, outcomes: Outcomes, now: float) -> None:
        self.outcomes = outcomes
        self.meter = AnswerMeter(now)
        self.organisation = ""
        self.target = ""
        self.refusal: Refusal | None = None
        self.whole = False
        self.closed = False

    def describe(self, work_class: WorkClass | None, target: str) -> None:
        """Note what was asked for; the targets of now hold to the end."""
        self.meter.work_class = work_class
        self.target = target

    def refuse(self, refusal: Refusal) -> None:
        """Note that the caller gets a refusal, instead of or within its answer."""
        self.refusal = self.refusal or refusal

    def gone(self) -> None:
        """Note that the caller went away before the end of its answer."""
        if not self.whole:
            self.refuse(GONE)

    def close(self, now: float) -> None:
        """Count the end, once."""
        if self.closed or not (self.target or self.refusal):
            return
        self.closed = True
        refusal = self.refusal
        if refusal is None and not self.whole:
            refusal = NO_END
        result = Result.WHOLE if refusal is None else result_of(refusal)
        kind = refusal.kind if refusal else None
        end = self.meter.end(self.organisation, self.target, result, kind, now)
        self.outcomes.add(end, self.meter)
