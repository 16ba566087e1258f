"""The burn report as tables of text."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import TYPE_CHECKING

from lacewingcourse.cli.output import Table
from lacewingcourse.core.burn_fleet import Source
from lacewingcourse.core.burn_windows import WINDOWS

if TYPE_CHECKING:
    from lacewingcourse.core.burn_fleet import Coverage, FleetBurn
    from lacewingcourse.core.burn_report import BurnLine
    from lacewingcourse.core.burn_windows import Counts

#: Organisations of a class that are shown unless all are asked for.
SHOWN_ORGANISATIONS = 10
#: Shown for a class or organisation without a name.
NO_NAME = "(none)"
#: Place of the window of one hour in `WINDOWS`.
HOUR = 1


def tables(report: FleetBurn, limit: int | None) -> tuple[Table, ...]:
    """Return a report's tables.

    Args:
        report: The report.
        limit: Organisations that are shown of each class, or None for all.
    """
    return (burn_table(report, limit), kinds_table(report), coverage_table(report))


def rate_text(rate: float | None) -> str:
    """Return a burn rate for a person."""
    if rate is None:
        return "-"
    return f"{rate:.1f}" if rate < 9.95 else f"{rate:.0f}"


def time_text(seconds: float) -> str:
    """Return a moment for a person, in universal time."""
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%d %H:%M:%SZ")


def share_text(part: int, whole: int) -> str:
    """Return a share in per cent, rounded down so that 100 means all."""
    if not whole:
        return "-"
    return f"{int(part / whole * 1000) / 10:g} %"


def organisation_text(line: BurnLine) -> str:
    """Return whose burn a line shows."""
    if line.organisation is None:
        return "all"
    return line.organisation or NO_NAME


def alarms_text(line: BurnLine) -> str:
    """Return the fastest alarm of each budget of a line."""
    strongest = {alarm.budget: alarm.speed for alarm in reversed(line.alarms)}
    return ", ".join(
        f"{speed.value.upper()} {budget.value}" for budget, speed in strongest.items()
    )


def shown_lines(report: FleetBurn, limit: int | None) -> list[BurnLine]:
    """Return the lines of each class and of its worst organisations."""
    shown = []
    of_class = 0
    for line in report.lines:
        of_class = 0 if line.organisation is None else of_class + 1
        if limit is None or of_class <= limit:
            shown.append(line)
    return shown


def burn_table(report: FleetBurn, limit: int | None) -> Table:
    """Return the table of burn rates."""
    shown = shown_lines(report, limit)
    hidden = len(report.lines) - len(shown)
    headers = ("class", "organisation", "ended 1h", "whole 1h", "in time 1h")
    windows = " ".join(report.windows)
    headers += (f"incomplete {windows}", f"late {windows}", "alarms")
    notes = ["Burn rates: 1.0 spends the budget just as fast as it accrues."]
    if hidden:
        notes.append(f"{hidden} organisations that spent less are not shown.")
    rows = tuple(burn_row(line) for line in shown)
    title = f"Burn at {time_text(report.generated_at)}"
    return Table(title, headers, rows, tuple(notes))


def burn_row(line: BurnLine) -> tuple[str, ...]:
    """Return the cells of a line."""
    hour = line.rates[HOUR].counts
    return (
        line.work_class or NO_NAME,
        organisation_text(line),
        str(hour.ended),
        share_text(hour.whole, hour.requests),
        share_text(hour.timed - hour.late, hour.timed),
        " ".join(rate_text(rate.completeness).rjust(4) for rate in line.rates),
        " ".join(rate_text(rate.lateness).rjust(4) for rate in line.rates),
        alarms_text(line),
    )


def kinds_table(report: FleetBurn) -> Table:
    """Return the table of requests that were not whole, by error kind."""
    rows = []
    for line in report.lines:
        if line.organisation is not None:
            continue
        by_window = [rate.counts for rate in line.rates]
        for kind in sorted(set().union(*(counts.kinds for counts in by_window))):
            counted = tuple(str(counts.kinds.get(kind, 0)) for counts in by_window)
            rows.append((line.work_class or NO_NAME, f"kind {kind}", *counted))
        for name in ("partial", "ran", "unknown", "caller_gone"):
            rows.extend(result_row(line.work_class, name, by_window))
    headers = ("class", "not whole", *report.windows)
    notes = () if rows else ("Every answer was whole.",)
    return Table("Not whole", headers, tuple(rows), notes)


def result_row(
    work_class: str, name: str, by_window: list[Counts]
) -> list[tuple[str, ...]]:
    """Return a row for a result, or none if no request ended so."""
    numbers = [getattr(counts, name) for counts in by_window]
    if not any(numbers):
        return []
    cells = tuple(str(number) for number in numbers)
    return [(work_class or NO_NAME, f"result {name}", *cells)]


def coverage_table(report: FleetBurn) -> Table:
    """Return the table of what the report covers."""
    rows = tuple(coverage_row(each) for each in report.coverage)
    headers = ("entry", "counts from", "since", "until", *report.windows)
    return Table("Coverage", headers, rows, tuple(losses(report)))


def coverage_row(coverage: Coverage) -> tuple[str, ...]:
    """Return the cells of an entry's coverage."""
    if coverage.source is Source.NOWHERE:
        return (coverage.instance, "nowhere", *("-",) * (2 + len(WINDOWS)))
    shares = (
        f"{min(1.0, seconds / window.length) * 100:.0f} %"
        for seconds, window in zip(coverage.observed, WINDOWS, strict=True)
    )
    return (
        coverage.instance,
        coverage.source.value,
        time_text(coverage.since),
        time_text(coverage.until),
        *shares,
    )


def losses(report: FleetBurn) -> list[str]:
    """Return what a report lacks, a sentence each."""
    lost = []
    if report.list_problem:
        lost.append(
            "The instance list was not read, so only the asked entry answered: "
            + report.list_problem
        )
    if report.log_problem:
        lost.append(
            "The log was not read to its end, so the counts of replaced entries "
            f"are lost or partial: {report.log_problem}"
        )
    for each in report.coverage:
        lost.extend(loss_of(each))
    return lost


def loss_of(coverage: Coverage) -> list[str]:
    """Return what is lost of one entry's counts."""
    if coverage.source is Source.NOWHERE:
        return [f"{coverage.instance} did not answer ({coverage.reason}); not counted."]
    if coverage.source is Source.LOG:
        state = coverage.reason or "no longer listed"
        return [
            f"{coverage.instance} did not answer ({state}); the log has its counts "
            f"until {time_text(coverage.until)}, later ones are lost."
        ]
    return []
