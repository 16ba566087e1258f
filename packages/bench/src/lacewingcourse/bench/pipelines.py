"""The section `pipelines`: choices of path side by side, as shares of the bound."""

from __future__ import annotations

import random
from pathlib import Path
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.bench.figures import Outcome, single
from lacewingcourse.bench.pipeline_fleets import FleetPlan, read_plan
from lacewingcourse.bench.pipeline_page import Played, write_page
from lacewingcourse.bench.pipeline_play import CHOICES, Play
from lacewingcourse.bench.sections import SECTIONS
from lacewingcourse.core.pipelines.capacity import fleet_capacity
from lacewingcourse.core.pipelines.layout import plan_layout

if TYPE_CHECKING:
    from lacewingcourse.bench.pipeline_play import Result
    from lacewingcourse.bench.sections import Options

#: Fleets that are played.
FLEETS = Path("deploy/fleets")
#: Where the page with plots is written.
PAGE = Path("out/pipelines.html")


@SECTIONS.register("pipelines")
def pipelines(options: Options) -> Outcome:
    """Play each fleet with each choice at each load level."""
    figures, lines, played = [], [], []
    for path in sorted(FLEETS.glob("*.toml")):
        plan = read_plan(path)
        bound = bound_of(plan)
        figures.append(single(f"{path.stem}, bound", "requests/s", bound))
        lines.append(f"{'load':>6}  {'choice':<14}{HEADINGS}")
        for level in options.levels:
            for name in options.policies or CHOICES.names():
                rate, seconds = level * bound, options.seconds
                result = Play(plan, name, rate, seconds, options.seed).run()
                lines.append(f"{level:>6.2f}  {name:<14}{row_of(result, bound)}")
                played.append(Played(path.stem, bound, level, name, result))
            options.progress(f"{path.stem}: load {level} done")
    write_page(played, PAGE)
    lines.append(f"plots: {PAGE}")
    return Outcome("pipelines", tuple(figures), "\n".join(lines))


HEADINGS = "".join(
    f"{name:>11}"
    for name in ("of bound", "in time", "late", "refused", "stopped", "worst org")
)


def bound_of(plan: FleetPlan) -> float:
    """Return the usual requests a second that a fleet's layout can serve."""
    members = list(plan.endpoints)
    layers = {a.endpoint: a.layers for a in plan_layout(members, plan.shape)}
    placed = [attrs.evolve(e, layers=layers.get(e.id)) for e in members]
    bound = fleet_capacity(placed, plan.shape, random.Random(0))
    return bound.requests_per_second if bound else 0.0


def row_of(result: Result, bound: float) -> str:
    """Return a result as columns."""
    shares = (
        result.goodput / bound,
        result.in_time,
        result.late,
        result.refused,
    )
    shown = "".join(f"{share:>11.3f}" for share in shares)
    return f"{shown}{result.preempted:>11}{result.worst_organisation:>11.3f}"
