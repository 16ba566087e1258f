"""What the log keeps of the counts, so that a replaced entry's are not lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.burn_report import BurnMerge
from lacewingcourse.core.burn_windows import NUMBERS, WINDOWS, Counts, Pair

if TYPE_CHECKING:
    from lacewingcourse.core.burn_ends import RequestEnd

#: Rows of a summary; the pairs that spent least are summed up a class.
MAX_SUMMARY_ROWS = 32
#: Kinds of a row that a summary names.
MAX_SUMMARY_KINDS = 6
#: Numbers of `Counts` in the order in which a summary holds them.
SUMMARY_NUMBERS = NUMBERS


@attrs.frozen
class SummaryRow:
    """Counts of one pair, without the names of the numbers, to be short.

    Attributes:
        work_class: Name of the class of work.
        organisation: Name of the organisation.
        numbers: Numbers of `Counts` in the order of `SUMMARY_NUMBERS`.
        kinds: The commonest error kinds and their counts.
    """

    work_class: str
    organisation: str
    numbers: tuple[float, ...]
    kinds: dict[str, int]


@attrs.frozen
class BurnSummary:
    """What one entry counted in a stretch of time, as a record of the log.

    Attributes:
        instance: Name of the instance.
        run: Which start of the process it was.
        number: Place among the run's summaries, from 0; the same in every copy.
        since: Begin of the stretch, seconds since the epoch.
        until: End of the stretch, seconds since the epoch.
        rows: Counts by pair.
    """

    instance: str
    run: str
    number: int
    since: float
    until: float
    rows: tuple[SummaryRow, ...]


def summary_row(pair: Pair, counts: Counts) -> SummaryRow:
    """Return counts in the form of a summary."""
    common = sorted(counts.kinds.items(), key=lambda item: (-item[1], item[0]))
    numbers = tuple(round(getattr(counts, name), 6) for name in SUMMARY_NUMBERS)
    kinds = dict(common[:MAX_SUMMARY_KINDS])
    return SummaryRow(pair.work_class, pair.organisation, numbers, kinds)


def counts_of(row: SummaryRow) -> Counts:
    """Return the counts of a summary's row."""
    floats = ("allowed_incomplete", "allowed_late")
    numbers = {
        name: number if name in floats else int(number)
        for name, number in zip(SUMMARY_NUMBERS, row.numbers, strict=True)
    }
    return Counts(**numbers, kinds=dict(row.kinds))


@attrs.define
class SummaryWriter:
    """Collects counts for the log; a summary stays the same until it is taken.

    An append whose answer was lost may have taken effect, so the same summary is
    offered again, under the same number, and readers drop copies. Counts that come
    meanwhile go into the next one.

    Attributes:
        instance: Name of the instance.
        run: Which start of the process this is.
        since: Begin of the stretch that is being counted, seconds since the epoch.
        number: Number of the next summary.
        counts: Counts of the stretch by pair.
        pending: A summary that the log has not yet taken, or None.
    """

    instance: str
    run: str
    since: float
    number: int = 0
    counts: dict[Pair, Counts] = attrs.field(factory=dict)
    pending: BurnSummary | None = None

    def add(self, pair: Pair, end: RequestEnd) -> None:
        """Count a request's end."""
        self.counts.setdefault(pair, Counts()).add(end)

    def offer(self, now: float) -> BurnSummary | None:
        """Return what the log should take now, or None if there is nothing.

        Args:
            now: The present time, seconds since the epoch.
        """
        if self.pending is None and self.counts:
            self.pending = self._summary(now)
            self.counts = {}
            self.number += 1
            self.since = now
        return self.pending

    def _summary(self, now: float) -> BurnSummary:
        merge = BurnMerge()
        for pair, counts in self.counts.items():
            merge.add_counts(pair, len(WINDOWS) - 1, counts)
        rows = tuple(
            summary_row(Pair(row.work_class, row.organisation), row.windows[-1])
            for row in merge.rows(MAX_SUMMARY_ROWS)
        )
        return BurnSummary(self.instance, self.run, self.number, self.since, now, rows)

    def taken(self) -> None:
        """Note that the log has taken the offered summary."""
        self.pending = None


@attrs.frozen
class RunHistory:
    """What the log holds of a run that no longer answers.

    Attributes:
        instance: Name of the instance.
        run: Which start of the process it was.
        since: Begin of its oldest summary in the longest window, seconds since the
            epoch.
        until: End of its newest summary; what it counted afterwards is lost.
    """

    instance: str
    run: str
    since: float
    until: float


@attrs.define
class HistoryMerge:
    """Adds summaries of runs that no longer answer to a merge.

    A stretch counts in each window that its end lies in, so a window's begin is
    blurred by a summary's length.

    Attributes:
        merge: Where the counts go.
        now: The present time, seconds since the epoch.
        live: Runs that answer for themselves.
        seen: Run and number of each summary that was taken.
        runs: What was found, by run.
    """

    merge: BurnMerge
    now: float
    live: frozenset[str]
    seen: set[tuple[str, int]] = attrs.field(factory=set)
    runs: dict[str, RunHistory] = attrs.field(factory=dict)

    def take(self, summary: BurnSummary) -> None:
        """Add a summary unless its run answers for itself or it is a copy."""
        key = (summary.run, summary.number)
        if summary.run in self.live or key in self.seen:
            return
        if summary.until <= self.now - WINDOWS[-1].length:
            return
        self.seen.add(key)
        self._note(summary)
        for row in summary.rows:
            self._add(Pair(row.work_class, row.organisation), summary, counts_of(row))

    def _note(self, summary: BurnSummary) -> None:
        """Note what stretch of a run is known."""
        known = self.runs.get(summary.run)
        since, until = summary.since, summary.until
        if known is not None:
            since, until = min(since, known.since), max(until, known.until)
        self.runs[summary.run] = RunHistory(summary.instance, summary.run, since, until)

    def _add(self, pair: Pair, summary: BurnSummary, counts: Counts) -> None:
        """Add a pair's counts to each window that the stretch ends in."""
        for index, window in enumerate(WINDOWS):
            if summary.until <= self.now - window.length:
                continue
            self.merge.add_counts(pair, index, counts)
            start = summary.until // window.bucket * window.bucket
            self.merge.add_point(pair.work_class, window.name, start, counts)
