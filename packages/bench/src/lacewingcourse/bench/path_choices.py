"""Section `choices`: what the deployed decisions cost as the fleet grows."""

from __future__ import annotations

import random
import time
from pathlib import Path
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.bench.figures import Figure, Outcome, figure, single
from lacewingcourse.bench.pipeline_fleets import read_plan
from lacewingcourse.bench.sections import SECTIONS
from lacewingcourse.core.errors import Refusal
from lacewingcourse.core.pipelines.choice import PATH_SAMPLE_SIZE, Demand, PathChooser
from lacewingcourse.core.pipelines.layout import search_layout
from lacewingcourse.core.pipelines.links import LinkUsage
from lacewingcourse.core.pipelines.load import LoadTable
from lacewingcourse.core.pipelines.path import candidate_paths

if TYPE_CHECKING:
    from lacewingcourse.bench.sections import Options
    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.path import Path as EndpointPath
    from lacewingcourse.core.pipelines.shape import EngineShape

#: Fleet that is repeated, 33 endpoints in three availability zones.
FLEET = Path("deploy/fleets/three-halls.toml")
#: Repetitions: 132, 990 and 3,498 endpoints.
REPETITIONS = (4, 30, 106)
#: Batches of choices, and choices in each.
BATCHES = 7
CHOICES_A_BATCH = 100
#: Share of a fleet's requests that run while choices are measured.
USUAL_FILL = 0.5
MICROSECONDS = 1_000_000
MILLISECONDS = 1_000


def repeated(endpoints: tuple[Endpoint, ...], times: int) -> list[Endpoint]:
    """Return endpoints over and over, each time in zones of their own."""
    return [
        attrs.evolve(
            endpoint,
            id=f"{endpoint.id}-{number}",
            name=f"{endpoint.id}-{number}",
            address=f"{endpoint.id}-{number}:1",
            zone=f"{endpoint.zone}-{number}",
        )
        for number in range(times)
        for endpoint in endpoints
    ]


@attrs.frozen
class SearchCost:
    """What a search of a layout took.

    Attributes:
        endpoints: The endpoints with their layers.
        seconds: Processor time in all.
        longest_step: Processor time of its longest step without a yield.
    """

    endpoints: list[Endpoint]
    seconds: float
    longest_step: float


def measured_search(endpoints: list[Endpoint], shape: EngineShape) -> SearchCost:
    """Search a layout and measure its steps."""
    search = search_layout(endpoints, shape)
    started = last = time.process_time()
    longest = 0.0
    while True:
        try:
            next(search)
        except StopIteration as end:
            layers = {each.endpoint: each.layers for each in end.value}
            placed = [attrs.evolve(e, layers=layers.get(e.id)) for e in endpoints]
            return SearchCost(placed, time.process_time() - started, longest)
        now = time.process_time()
        longest, last = max(longest, now - last), now


def filled_rate(chooser: PathChooser, paths: list[EndpointPath], rng) -> float:
    """Fill a fleet with usual requests; return how many it serves in a second."""
    demand = Demand(chooser.shape.usual_prompt, chooser.shape.usual_answer)
    taken = []
    while True:
        path = chooser.choose(paths, demand, (), rng, 0.0)
        if isinstance(path, Refusal):
            break
        chooser.loads.begin(path, demand.tokens)
        taken.append(path)
    times = [chooser.predicted_ms(path, demand, 0.0) for path in taken]
    return sum(MILLISECONDS / each for each in times)


def choice_times(chooser: PathChooser, paths: list[EndpointPath], rng) -> list[float]:
    """Return the processor microseconds of a choice, by batches."""
    demand = Demand(chooser.shape.usual_prompt, chooser.shape.usual_answer)
    found = []
    for _ in range(BATCHES):
        started = time.process_time()
        for _ in range(CHOICES_A_BATCH):
            chooser.choose(paths, demand, (), rng, 0.0)
        seconds = time.process_time() - started
        found.append(seconds / CHOICES_A_BATCH * MICROSECONDS)
    return found


def half_full(chooser: PathChooser, paths: list[EndpointPath], rng) -> PathChooser:
    """Let about half of the requests run that fit."""
    demand = Demand(chooser.shape.usual_prompt, chooser.shape.usual_answer)
    while True:
        path = chooser.choose(paths, demand, (), rng, 0.0, USUAL_FILL)
        if isinstance(path, Refusal):
            return chooser
        chooser.loads.begin(path, demand.tokens)


def figures_of(times: int, seed: int) -> list[Figure]:
    """Return the figures of one size of the fleet."""
    plan = read_plan(FLEET)
    endpoints = repeated(plan.endpoints, times)
    size = f"{len(endpoints)} endpoints"
    found = measured_search(endpoints, plan.shape)
    started = time.process_time()
    paths = candidate_paths(found.endpoints, plan.shape)
    candidates = time.process_time() - started
    known = {endpoint.id: endpoint for endpoint in found.endpoints}
    figures = [
        single(f"layout, {size}", "s of processor", found.seconds),
        single(f"longest step of it, {size}", "ms", found.longest_step * MILLISECONDS),
        single(f"candidate paths, {size}", "ms", candidates * MILLISECONDS),
    ]
    rates = {}
    for name, sample_size in (("drawn", PATH_SAMPLE_SIZE), ("all", len(paths))):
        rng = random.Random(seed)
        chooser = PathChooser(plan.shape, known, LoadTable(), LinkUsage())
        chooser.sample_size = sample_size
        half_full(chooser, paths, rng)
        values = choice_times(chooser, paths, rng)
        figures.append(figure(f"choice, {name}, {size}", "us", values))
        rates[name] = filled_rate(chooser, paths, rng)
    share = rates["drawn"] / rates["all"]
    figures.append(single(f"rate, drawn of all, {size}", "share", share))
    return figures


@SECTIONS.register("choices")
def choices(options: Options) -> Outcome:
    """Measure layout, candidates and choices at three sizes of the fleet."""
    figures: list[Figure] = []
    for times in REPETITIONS:
        figures += figures_of(times, options.seed)
        options.progress(f"{times} times {FLEET.stem}: done")
    return Outcome("choices", tuple(figures))
