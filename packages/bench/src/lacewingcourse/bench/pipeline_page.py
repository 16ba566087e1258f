"""The page with plots of the section `pipelines`."""

from __future__ import annotations

import io
from collections import defaultdict
from html import escape
from typing import TYPE_CHECKING

import attrs
from matplotlib import rc_context
from matplotlib.figure import Figure

if TYPE_CHECKING:
    from pathlib import Path

    from matplotlib.axes import Axes

    from lacewingcourse.bench.pipeline_play import Result

#: Inches of the plots of one fleet.
SIZE = (11.0, 3.6)
#: Salt of the identifiers in plots, so that the same figures give the same page.
SALT = "lacewingcourse"


@attrs.frozen
class Played:
    """A play of one choice under one load.

    Attributes:
        fleet: Name of the fleet.
        bound: Usual requests a second that the fleet can serve.
        level: Load as a multiple of the bound.
        choice: Name of the choice.
        result: What callers got.
    """

    fleet: str
    bound: float
    level: float
    choice: str
    result: Result


#: What is plotted: a title, and what is read from a play.
PLOTS = (
    ("served in time, share of the bound", lambda p: p.result.goodput / p.bound),
    ("refused", lambda p: p.result.refused),
    ("organisation served worst", lambda p: p.result.worst_organisation),
)


def page_of(played: list[Played]) -> str:
    """Return a page with the plots of each fleet."""
    fleets: dict[str, list[Played]] = defaultdict(list)
    for play in played:
        fleets[play.fleet].append(play)
    sections = "".join(_section(name, plays) for name, plays in fleets.items())
    title = "Choices of path, beside the bound"
    return (
        f"<!doctype html><html lang='en'><head><meta charset='utf-8'>"
        f"<title>{title}</title></head><body><h1>{title}</h1>{sections}</body></html>\n"
    )


def write_page(played: list[Played], path: Path) -> None:
    """Write the page, and the folder that it lies in."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(page_of(played))


def _section(fleet: str, plays: list[Played]) -> str:
    bound = plays[0].bound
    heading = f"<h2>{escape(fleet)}: bound of {bound:.1f} requests a second</h2>"
    return heading + _drawn(plays)


def _drawn(plays: list[Played]) -> str:
    """Return the plots of a fleet as an SVG element."""
    with rc_context({"svg.hashsalt": SALT}):
        figure = Figure(figsize=SIZE, layout="constrained")
        for axes, (title, value) in zip(
            figure.subplots(1, len(PLOTS)), PLOTS, strict=True
        ):
            _plot(axes, plays, title, value)
        stream = io.StringIO()
        figure.savefig(stream, format="svg", metadata={"Date": None})
    text = stream.getvalue()
    return text[text.index("<svg") :]


def _plot(axes: Axes, plays: list[Played], title: str, value) -> None:
    """Draw a line for each choice over the load."""
    lines: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for play in plays:
        lines[play.choice].append((play.level, value(play)))
    for choice, points in lines.items():
        axes.plot(*zip(*sorted(points), strict=True), marker="o", label=choice)
    axes.set_title(title)
    axes.set_xlabel("load, multiples of the bound")
    axes.set_ylim(bottom=0.0)
    axes.legend()
