"""Capacity of a fleet with its layers in place, by simulated routing of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import Refusal
from lacewingcourse.core.pipelines.choice import Demand, PathChooser
from lacewingcourse.core.pipelines.cooperative import run_to_completion
from lacewingcourse.core.pipelines.links import LinkUsage
from lacewingcourse.core.pipelines.load import LoadTable
from lacewingcourse.core.pipelines.path import candidate_paths

if TYPE_CHECKING:
    from collections.abc import Generator

    from lacewingcourse.core.pipelines.choice import RandomSource
    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.path import Path
    from lacewingcourse.core.pipelines.shape import EngineShape

#: Choices of a path between two yields.
CHOICES_PER_STEP = 32


@attrs.frozen
class FleetCapacity:
    """Capacity of a fleet for requests of mean length, with all memory in use.

    Attributes:
        requests: Number of requests that fit at once.
        tokens: Tokens of their prompts and answers at their ends.
        requests_per_second: Requests that end per second.
        first_event_ms: Milliseconds to the first token on the fastest path when idle.
        idle_token_ms: Milliseconds between tokens on that path when idle.
        full_token_ms: Mean milliseconds between tokens with all memory in use.
        paths: Number of candidate paths.
    """

    requests: int
    tokens: int
    requests_per_second: float
    first_event_ms: float
    idle_token_ms: float
    full_token_ms: float
    paths: int


@attrs.define
class RoundRobin:
    """Deterministic `RandomSource` that takes equally good paths in turn.

    Attributes:
        count: Number of choices so far.
    """

    count: int = 0

    def choice(self, found: list[Path]) -> Path:
        """Return one of some paths, the next one at the next call."""
        self.count += 1
        return found[self.count % len(found)]

    def sample(self, found: list[Path], count: int) -> list[Path]:
        """Return a run of some paths; it starts at a position that choices advance."""
        start = self.count % len(found)
        return (found[start:] + found[:start])[:count]


def fleet_capacity(
    endpoints: list[Endpoint], shape: EngineShape, rng: RandomSource
) -> FleetCapacity | None:
    """Return the capacity of endpoints, None if no path covers every layer.

    The fleet is filled with requests of mean length by the path choice that serves
    callers. The result is therefore the capacity under this path choice, not an upper
    bound for every possible router.

    Args:
        endpoints: Endpoints with their layers.
        shape: Published performance figures of their engines.
        rng: Source of choices among equally good paths.
    """
    return run_to_completion(search_fleet_capacity(endpoints, shape, rng))


def search_fleet_capacity(
    endpoints: list[Endpoint], shape: EngineShape, rng: RandomSource
) -> Generator[None, None, FleetCapacity | None]:
    """Compute the capacity of endpoints, see `fleet_capacity`.

    Yields at points where it may be interrupted.

    Args:
        endpoints: Endpoints with their layers.
        shape: Published performance figures of their engines.
        rng: Source of choices among equally good paths.
    """
    paths = candidate_paths(endpoints, shape)
    if not paths:
        return None
    demand = Demand(shape.usual_prompt, shape.usual_answer)
    chooser = PathChooser(shape, {e.id: e for e in endpoints}, LoadTable(), LinkUsage())
    taken = yield from _fill_with_requests(chooser, paths, demand, rng)
    times = [chooser.predicted_ms(path, demand, now=0.0) for path in taken]
    return FleetCapacity(
        requests=len(taken),
        tokens=len(taken) * demand.tokens,
        requests_per_second=sum(1000.0 / time for time in times),
        first_event_ms=_prefill_ms(chooser, paths[0], demand) + paths[0].token_ms,
        idle_token_ms=paths[0].token_ms,
        full_token_ms=sum(times) / max(1, len(times)) / demand.answer_tokens,
        paths=len(paths),
    )


def _fill_with_requests(
    chooser: PathChooser, paths: list[Path], demand: Demand, rng: RandomSource
) -> Generator[None, None, list[Path]]:
    """Add requests until no path has capacity; return the path of each request."""
    taken: list[Path] = []
    while True:
        path = chooser.choose(paths, demand, (), rng, now=0.0)
        if isinstance(path, Refusal):
            return taken
        chooser.loads.begin(path, demand.tokens)
        taken.append(path)
        if len(taken) % CHOICES_PER_STEP == 0:
            yield


def _prefill_ms(chooser: PathChooser, path: Path, demand: Demand) -> float:
    """Return the milliseconds of a prompt's prefill on an idle path."""
    total = 0.0
    for part in path.parts:
        accelerator = chooser.shape.accelerators[
            chooser.endpoints[part.endpoint].accelerator
        ]
        span = len(part.layers)
        total += chooser.shape.prefill_ms(accelerator, span, demand.prompt_tokens)
    return total
