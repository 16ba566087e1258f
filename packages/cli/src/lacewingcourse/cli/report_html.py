"""The burn report as one page that needs nothing else."""

from __future__ import annotations

from html import escape
from typing import TYPE_CHECKING

from lacewingcourse.cli import report_text
from lacewingcourse.cli.report_plots import burn_plot, requests_plot
from lacewingcourse.core.burn_report import Speed

if TYPE_CHECKING:
    from lacewingcourse.cli.output import Table
    from lacewingcourse.core.burn_fleet import FleetBurn
    from lacewingcourse.core.burn_report import BurnLine, SeriesPoint

STYLE = """
:root { color-scheme: light; }
body { font: 15px/1.45 system-ui, sans-serif; color: #1c2430; background: #f5f6f8;
  margin: 0 auto; padding: 1.5rem; max-width: 1180px; }
h1 { font-size: 1.5rem; margin: 0; }
h2 { font-size: 1.15rem; margin: 0; }
.when { color: #5b6675; margin: .2rem 0 1.2rem; }
section { background: #fff; border: 1px solid #dfe3e8; border-radius: 8px;
  padding: 1rem 1.2rem; margin: 0 0 1.2rem; }
.head { display: flex; align-items: center; gap: .8rem; flex-wrap: wrap; }
.badge { border-radius: 1rem; padding: .1rem .7rem; font-size: .85rem;
  font-weight: 600; }
.ok { background: #e1f3e6; color: #17663a; }
.slow { background: #fff0cc; color: #7a5200; }
.fast { background: #fbdcdc; color: #951c1c; }
.plots { display: grid; grid-template-columns: 1fr 1fr; gap: 1rem; margin: .8rem 0; }
.plots svg { width: 100%; height: auto; }
.scroll { overflow-x: auto; }
table { border-collapse: collapse; font-size: .86rem;
  font-variant-numeric: tabular-nums; }
th, td { padding: .28rem .55rem; border-bottom: 1px solid #e7eaee; text-align: right;
  white-space: nowrap; }
th { color: #5b6675; font-weight: 600; }
th:nth-child(-n+2):not(.group), td:nth-child(-n+2) { text-align: left; }
th.group { text-align: center; border-left: 4px solid #fff; background: #f5f6f8; }
tr.all td { font-weight: 600; }
td.hot { background: #fbdcdc; color: #951c1c; font-weight: 600; }
td.warm { background: #fff0cc; color: #7a5200; }
.note { color: #5b6675; font-size: .88rem; margin: .5rem 0 0; }
@media (max-width: 760px) { .plots { grid-template-columns: 1fr; } }
"""

#: Burn rate from which a cell is marked strongly.
HOT_RATE = 10.0


def page_of(report: FleetBurn) -> str:
    """Return a report as an HTML page without outside resources."""
    classes = [line for line in report.lines if line.organisation is None]
    if not classes:
        classes = list({line.work_class: line for line in report.lines}.values())
    classes.sort(key=urgency)
    sections = [class_section(report, line) for line in classes]
    if not sections:
        sections = ["<section><p>No request has ended yet.</p></section>"]
    parts = [
        "<!doctype html>",
        '<html lang="en"><head><meta charset="utf-8">',
        '<meta name="viewport" content="width=device-width, initial-scale=1">',
        f"<title>Burn report</title><style>{STYLE}</style></head><body>",
        "<h1>Burn report</h1>",
        f'<p class="when">Made {report_text.time_text(report.generated_at)}. '
        "A burn rate of 1 spends a class's budget just as fast as it accrues.</p>",
        *sections,
        table_section(report_text.coverage_table(report)),
        "</body></html>",
    ]
    return "\n".join(parts)


def class_section(report: FleetBurn, line: BurnLine) -> str:
    """Return the section of one class of work."""
    name = line.work_class or "Requests without a class of work"
    points = [point for point in report.series if point.work_class == line.work_class]
    lines = [each for each in report.lines if each.work_class == line.work_class]
    parts = [
        f'<section><div class="head"><h2>{escape(name)}</h2>{badge(line)}</div>',
        plots(points, report.generated_at, name),
        burn_cells(report, lines),
        kind_note(line),
        "</section>",
    ]
    return "\n".join(parts)


def urgency(line: BurnLine) -> tuple:
    """Return a sort key that puts classes first whose budgets burn fastest."""
    speeds = {alarm.speed for alarm in line.alarms}
    return (Speed.FAST not in speeds, Speed.SLOW not in speeds, not line.work_class)


def badge(line: BurnLine) -> str:
    """Return the state of a class in a few words."""
    if not any(rate.counts.allowed_incomplete for rate in line.rates):
        return '<span class="badge">no targets</span>'
    if not line.alarms:
        return '<span class="badge ok">no alarm</span>'
    texts = []
    for alarm in line.alarms:
        speed = alarm.speed.value
        text = f"{speed} burn of {alarm.budget.value}"
        texts.append(f'<span class="badge {speed}">{text}</span>')
    return "".join(texts)


def plots(points: list[SeriesPoint], now: float, name: str) -> str:
    """Return the plots of one class side by side."""
    drawn = (requests_plot(points, now, name), burn_plot(points, now, name))
    return f'<div class="plots">{"".join(drawn)}</div>'


def burn_cells(report: FleetBurn, lines: list[BurnLine]) -> str:
    """Return the burn rates of a class and its worst organisations."""
    shown = lines[: report_text.SHOWN_ORGANISATIONS + 1]
    rows = [f"<tr{row_class(line)}>{line_cells(line)}</tr>" for line in shown]
    table = f"<table>{burn_heads(report)}{''.join(rows)}</table>"
    hidden = len(lines) - len(shown)
    note = f'<p class="note">{hidden} more organisations spent less.</p>'
    return f'<div class="scroll">{table}</div>' + (note if hidden else "")


def burn_heads(report: FleetBurn) -> str:
    """Return the two header rows of a table of burn rates."""
    span = len(report.windows)
    groups = (
        '<th colspan="2"></th><th class="group" colspan="3">last hour</th>'
        f'<th class="group" colspan="{span}">burn rate, incomplete</th>'
        f'<th class="group" colspan="{span}">burn rate, late</th>'
    )
    titles = ["organisation", "alarms", "ended", "whole", "in time"]
    titles += [*report.windows, *report.windows]
    heads = "".join(f"<th>{title}</th>" for title in titles)
    return f"<tr>{groups}</tr><tr>{heads}</tr>"


def row_class(line: BurnLine) -> str:
    """Return the attribute that sets off the row of a whole class."""
    return ' class="all"' if line.organisation is None else ""


def line_cells(line: BurnLine) -> str:
    """Return the cells of one line, marking what burns."""
    cells = report_text.burn_row(line)
    names = (cells[1], cells[-1], *cells[2:5])
    texts = [f"<td>{escape(cell)}</td>" for cell in names]
    rates = [rate.completeness for rate in line.rates]
    rates += [rate.lateness for rate in line.rates]
    texts += [
        f'<td class="{heat(rate)}">{report_text.rate_text(rate)}</td>' for rate in rates
    ]
    return "".join(texts)


def heat(rate: float | None) -> str:
    """Return how strongly a burn rate is marked."""
    if rate is None or rate <= 1.0:
        return ""
    return "hot" if rate >= HOT_RATE else "warm"


def kind_note(line: BurnLine) -> str:
    """Return why requests of the last hour were not whole."""
    counts = line.rates[report_text.HOUR].counts
    if not counts.kinds:
        return '<p class="note">Last hour: every answer was whole.</p>'
    order = sorted(counts.kinds.items(), key=lambda item: -item[1])
    texts = ", ".join(f"{escape(kind)} {count}" for kind, count in order)
    ends = f"{counts.unknown} unknown, {counts.partial} partial"
    gone = f"{counts.caller_gone} callers went away"
    return f'<p class="note">Last hour, not whole: {texts}. {ends}; {gone}.</p>'


def table_section(table: Table) -> str:
    """Return a table of text as a section."""
    heads = "".join(f"<th>{escape(each)}</th>" for each in table.headers)
    rows = [
        "<tr>" + "".join(f"<td>{escape(cell)}</td>" for cell in row) + "</tr>"
        for row in table.rows
    ]
    notes = [f'<p class="note">{escape(note)}</p>' for note in table.notes]
    body = f"<table><tr>{heads}</tr>{''.join(rows)}</table>"
    return (
        f'<section><h2>{escape(table.title)}</h2><div class="scroll">{body}</div>'
        f"{''.join(notes)}</section>"
    )
