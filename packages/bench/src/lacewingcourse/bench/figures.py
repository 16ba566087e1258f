"""Figures with their spread, and how they are printed."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence


@attrs.frozen
class Figure:
    """One measured quantity.

    Attributes:
        name: What was measured.
        unit: Its unit.
        median: Median of the values.
        low: First quartile.
        high: Third quartile.
        count: Values.
    """

    name: str
    unit: str
    median: float
    low: float
    high: float
    count: int


def figure(name: str, unit: str, values: Sequence[float]) -> Figure:
    """Return the figure of some values.

    Raises:
        ValueError: There are no values.
    """
    if not values:
        raise ValueError(f"{name}: nothing was measured")
    if len(values) == 1:
        return single(name, unit, values[0])
    low, median, high = statistics.quantiles(values, n=4, method="inclusive")
    return Figure(name, unit, median, low, high, len(values))


def single(name: str, unit: str, value: float) -> Figure:
    """Return the figure of one value."""
    return Figure(name, unit, value, value, value, 1)


@attrs.frozen
class Outcome:
    """What one run of a section gave.

    Attributes:
        section: Name of the section.
        figures: What was measured.
        text: Further tables, ready to print.
    """

    section: str
    figures: tuple[Figure, ...]
    text: str = ""


def table(outcome: Outcome) -> str:
    """Return an outcome as text."""
    lines = [f"== {outcome.section} =="]
    if outcome.figures:
        lines.append(f"{'':<52}{'median':>11}{'quartiles':>23}{'n':>6}")
    lines += [line(each) for each in outcome.figures]
    if outcome.text:
        lines.append(outcome.text)
    return "\n".join(lines)


def line(each: Figure) -> str:
    """Return a figure as one line."""
    spread = f"{number(each.low)} .. {number(each.high)}"
    name = f"{each.name} [{each.unit}]"
    return f"{name:<52}{number(each.median):>11}{spread:>23}{each.count:>6}"


def number(value: float) -> str:
    """Return a number with three or four digits."""
    if abs(value) >= 100:
        return f"{value:.0f}"
    if abs(value) >= 10:
        return f"{value:.1f}"
    if abs(value) >= 1:
        return f"{value:.2f}"
    return f"{value:.4f}"


def paired_table(labels: Sequence[str], runs: Sequence[Sequence[Outcome]]) -> str:
    """Return the medians of several runs of two versions side by side.

    Args:
        labels: Names of the versions.
        runs: For each version the outcomes of its runs.
    """
    names = [each.name for each in runs[0][0].figures]
    lines = [f"{'':<52}" + "".join(f"{label:>14}" for label in labels) + "  spreads"]
    for index, name in enumerate(names):
        values = [[run.figures[index].median for run in outcomes] for outcomes in runs]
        medians = "".join(f"{number(statistics.median(each)):>14}" for each in values)
        spreads = ", ".join(f"{number(min(v))}..{number(max(v))}" for v in values)
        lines.append(f"{name:<52}{medians}  {spreads}")
    return "\n".join(lines)
