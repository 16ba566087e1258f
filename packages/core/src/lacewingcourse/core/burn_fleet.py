"""The burn report over all entries, and what it covers."""

from __future__ import annotations

from enum import Enum

import attrs

from lacewingcourse.core.burn_history import BurnSummary, HistoryMerge, RunHistory
from lacewingcourse.core.burn_report import (
    BurnLine,
    BurnMerge,
    EntryBurn,
    Selection,
    SeriesPoint,
    Speed,
)
from lacewingcourse.core.burn_windows import WINDOWS


class Source(Enum):
    """Where an entry's counts come from."""

    COUNTERS = "counters"
    LOG = "log"
    NOWHERE = "nowhere"


@attrs.frozen
class Coverage:
    """What a report knows of one run of an entry.

    Attributes:
        instance: Name of the instance.
        run: Which start of the process, or empty if not known.
        source: Where its counts come from.
        since: Begin of what is known, seconds since the epoch.
        until: End of what is known; what came later is lost or not reachable.
        observed: Seconds known of each window, in the order of `WINDOWS`.
        reason: Why it did not answer, or empty.
    """

    instance: str
    run: str
    source: Source
    since: float = 0.0
    until: float = 0.0
    observed: tuple[float, ...] = (0.0,) * len(WINDOWS)
    reason: str = ""


@attrs.frozen
class Unreachable:
    """A listed entry that did not answer.

    Attributes:
        instance: Name of the instance.
        reason: Why.
    """

    instance: str
    reason: str


@attrs.frozen
class FleetBurn:
    """The burn of all entries.

    Attributes:
        generated_at: When the report was made, seconds since the epoch.
        windows: Names of the windows.
        lines: Burn of every class, each followed by its organisations.
        series: Counts by class and bucket.
        coverage: What is known of each entry.
        list_problem: Why the instance list was not read, or empty.
        log_problem: Why the log was not read to its end, or empty.
    """

    generated_at: float
    windows: tuple[str, ...]
    lines: tuple[BurnLine, ...]
    series: tuple[SeriesPoint, ...]
    coverage: tuple[Coverage, ...]
    list_problem: str = ""
    log_problem: str = ""

    def fires(self, speed: Speed) -> bool:
        """Tell whether an alarm of a speed fires."""
        return any(alarm.speed is speed for line in self.lines for alarm in line.alarms)


def observed(since: float, until: float, now: float) -> tuple[float, ...]:
    """Return the seconds of a stretch that lie in each window."""
    return tuple(
        max(0.0, min(until, now) - max(since, now - window.length))
        for window in WINDOWS
    )


@attrs.define
class FleetMerge:
    """Builds the report over all entries.

    Attributes:
        now: The present time, seconds since the epoch.
        merge: Counts so far.
        coverage: What is known of each entry that answered.
        unreachable: Entries that did not answer.
        history: Takes the log's summaries; made when all entries have been asked.
    """

    now: float
    merge: BurnMerge = attrs.field(factory=BurnMerge)
    coverage: list[Coverage] = attrs.field(factory=list)
    unreachable: list[Unreachable] = attrs.field(factory=list)
    history: HistoryMerge | None = None

    def add(self, burn: EntryBurn) -> None:
        """Add what one entry counted."""
        self.merge.add(burn)
        times = observed(burn.since, burn.now, self.now)
        self.coverage.append(
            Coverage(
                burn.instance, burn.run, Source.COUNTERS, burn.since, burn.now, times
            )
        )

    def take(self, summary: BurnSummary) -> None:
        """Add a summary of the log."""
        if self.history is None:
            live = frozenset(each.run for each in self.coverage)
            self.history = HistoryMerge(self.merge, self.now, live)
        self.history.take(summary)

    def _recovered(self, run: RunHistory) -> Coverage:
        reasons = [
            each.reason for each in self.unreachable if each.instance == run.instance
        ]
        return Coverage(
            run.instance,
            run.run,
            Source.LOG,
            run.since,
            run.until,
            observed(run.since, run.until, self.now),
            "".join(reasons[:1]),
        )

    def report(
        self,
        list_problem: str = "",
        log_problem: str = "",
        chosen: Selection = Selection(),
    ) -> FleetBurn:
        """Return the report.

        Args:
            list_problem: Why the instance list was not read, or empty.
            log_problem: Why the log was not read to its end, or empty.
            chosen: Which lines are wanted.
        """
        runs = self.history.runs.values() if self.history else ()
        recovered = [self._recovered(run) for run in runs]
        known = {each.instance for each in recovered}
        missing = [
            Coverage(each.instance, "", Source.NOWHERE, reason=each.reason)
            for each in self.unreachable
            if each.instance not in known
        ]
        return FleetBurn(
            generated_at=self.now,
            windows=tuple(window.name for window in WINDOWS),
            lines=self.merge.lines(chosen),
            series=tuple(
                point
                for point in self.merge.points()
                if chosen.takes_class(point.work_class)
            ),
            coverage=(*self.coverage, *recovered, *missing),
            list_problem=list_problem,
            log_problem=log_problem,
        )
