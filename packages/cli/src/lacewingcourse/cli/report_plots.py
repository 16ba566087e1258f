"""Plots of the burn report as inline SVG."""

from __future__ import annotations

import io
from typing import TYPE_CHECKING

from matplotlib import rc_context
from matplotlib.figure import Figure

from lacewingcourse.core.burn_report import FAST_RATE, SLOW_RATE, rate_of
from lacewingcourse.core.burn_windows import WINDOWS

if TYPE_CHECKING:
    from matplotlib.axes import Axes

    from lacewingcourse.core.burn_report import SeriesPoint
    from lacewingcourse.core.burn_windows import Counts, Window

#: Window of the plot of requests, by 5 minutes.
REQUESTS_WINDOW = WINDOWS[1]
#: Window of the plot of burn rates, by 30 minutes.
BURN_WINDOW = WINDOWS[2]
#: Burn rate that a plot shows at the most.
TOP_RATE = 30.0
#: Colours by result, bottom of the bar first.
COLOURS = {
    "whole, in time": "#4c9f70",
    "whole, late": "#e0b13c",
    "refused": "#5b7fb9",
    "partial or ran": "#c8643c",
    "unknown": "#8d2f3c",
}
INK = "#1c2430"


def parts_of(counts: Counts) -> tuple[int, ...]:
    """Return counts by the results of `COLOURS`."""
    return (
        counts.whole - counts.late,
        counts.late,
        counts.refused,
        counts.partial + counts.ran,
        counts.unknown,
    )


def of_window(points: list[SeriesPoint], window: Window) -> list[SeriesPoint]:
    """Return the points of one window."""
    return [point for point in points if point.window == window.name]


def middle(point: SeriesPoint, window: Window, now: float, unit: float) -> float:
    """Return where a bucket is drawn: units before the present, below zero."""
    return (point.start + window.bucket / 2 - now) / unit


def new_axes(title: str, label: str) -> Axes:
    """Return empty axes in a figure of their own."""
    figure = Figure(figsize=(6.2, 3.0), layout="constrained")
    axes = figure.add_subplot()
    axes.set_title(title, loc="left", fontsize=10, color=INK)
    axes.set_xlabel(label, fontsize=9)
    axes.tick_params(labelsize=8.5)
    axes.spines[["top", "right"]].set_visible(False)
    return axes


def requests_plot(points: list[SeriesPoint], now: float, name: str) -> str:
    """Return the requests of the last hour by result, as SVG."""
    window = REQUESTS_WINDOW
    axes = new_axes("Requests in 5 minutes, by result", "minutes before the report")
    chosen = of_window(points, window)
    places = [middle(point, window, now, 60) for point in chosen]
    parts = [parts_of(point.counts) for point in chosen]
    bottoms = [0] * len(chosen)
    for index, (result, colour) in enumerate(COLOURS.items()):
        heights = [part[index] for part in parts]
        if not any(heights):
            continue
        width = window.bucket / 60 * 0.82
        axes.bar(places, heights, width, bottoms, label=result, color=colour)
        bottoms = [low + high for low, high in zip(bottoms, heights, strict=True)]
    axes.set_xlim(-window.length / 60 - 3, 1)
    axes.set_ylim(0, max(bottoms, default=1) * 1.25 or 1)
    axes.yaxis.get_major_locator().set_params(integer=True)
    return svg_of(axes, "requests " + name)


def burn_plot(points: list[SeriesPoint], now: float, name: str) -> str:
    """Return the burn rates of the last six hours, as SVG."""
    window = BURN_WINDOW
    title = f"Burn rate in 30 minutes, drawn up to {TOP_RATE:g}"
    axes = new_axes(title, "hours before the report")
    chosen = of_window(points, window)
    places = [middle(point, window, now, 3600) for point in chosen]
    rates = [rate_of(window.name, point.counts) for point in chosen]
    curves = {
        "completeness": ("#8d2f3c", "o", [rate.completeness for rate in rates]),
        "lateness": ("#b07d12", "s", [rate.lateness for rate in rates]),
    }
    top = SLOW_RATE
    for label, (colour, marker, values) in curves.items():
        drawn = [None if each is None else min(each, TOP_RATE) for each in values]
        known = [each for each in drawn if each is not None]
        if not known:
            continue
        top = max(top, *known)
        heights = [float("nan") if each is None else each for each in drawn]
        axes.plot(
            places, heights, color=colour, marker=marker, label=label, markersize=4
        )
    axes.axhline(SLOW_RATE, color="#6b7686", linewidth=1, linestyle="--")
    axes.text(
        *(-window.length / 3600 - 0.2, SLOW_RATE), "budget", fontsize=8, va="bottom"
    )
    if top >= FAST_RATE / 2:
        axes.axhline(FAST_RATE, color="#951c1c", linewidth=1, linestyle=":")
        axes.text(
            *(-window.length / 3600 - 0.2, FAST_RATE), "fast", fontsize=8, va="bottom"
        )
    axes.set_xlim(-window.length / 3600 - 0.3, 0.3)
    axes.set_ylim(0, top * 1.3)
    return svg_of(axes, "burn " + name)


def svg_of(axes: Axes, salt: str) -> str:
    """Return a figure as SVG to be put into a page.

    Args:
        axes: Axes of the figure.
        salt: Makes the ids of this figure differ from others' in the page.
    """
    if axes.get_legend_handles_labels()[0]:
        axes.legend(fontsize=8, frameon=False, ncols=5, loc="upper right")
    text = io.StringIO()
    with rc_context({"svg.fonttype": "none", "svg.hashsalt": salt}):
        axes.figure.savefig(text, format="svg", metadata={"Date": None})
    whole = text.getvalue()
    return whole[whole.index("<svg") :]
