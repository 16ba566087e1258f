"""What a fleet with its layers in place can serve, by the figures of its engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import Refusal
from lacewingcourse.core.pipelines.choice import Demand, PathChooser
from lacewingcourse.core.pipelines.interruption import finish
from lacewingcourse.core.pipelines.links import LinkUsage
from lacewingcourse.core.pipelines.load import LoadTable
from lacewingcourse.core.pipelines.path import candidate_paths

if TYPE_CHECKING:
    from collections.abc import Generator

    from lacewingcourse.core.pipelines.choice import RandomSource
    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.path import Path
    from lacewingcourse.core.pipelines.shape import EngineShape

#: Choices between two interruptions.
CHOICES_PER_STEP = 32


@attrs.frozen
class FleetCapacity:
    """What a fleet can serve of usual requests, with all memory taken.

    Attributes:
        requests: Requests that fit at once.
        tokens: Tokens of prompts and answers that these hold at their ends.
        requests_per_second: Requests that end in a second.
        first_event_ms: Milliseconds to a first token on an idle fastest path.
        idle_token_ms: Milliseconds between tokens there.
        full_token_ms: Mean milliseconds between tokens with all memory taken.
        paths: Candidate paths.
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
    """A source of draws without chance: equal choices are taken in turn.

    Attributes:
        count: Draws so far.
    """

    count: int = 0

    def choice(self, found: list[Path]) -> Path:
        """Return one of some equally good paths."""
        self.count += 1
        return found[self.count % len(found)]

    def sample(self, found: list[Path], count: int) -> list[Path]:
        """Return some of them, others at the next draw."""
        start = self.count % len(found)
        return (found[start:] + found[:start])[:count]


def fleet_capacity(
    endpoints: list[Endpoint], shape: EngineShape, rng: RandomSource
) -> FleetCapacity | None:
    """Return what endpoints can serve, None if no path holds every layer.

    The fleet is filled with usual requests by the same decisions that serve callers,
    so the bound is one of these decisions on these figures, not of any router.

    Args:
        endpoints: Endpoints with their layers.
        shape: Published figures of their engines.
        rng: Source of draws among equal paths.
    """
    return finish(search_fleet_capacity(endpoints, shape, rng))


def search_fleet_capacity(
    endpoints: list[Endpoint], shape: EngineShape, rng: RandomSource
) -> Generator[None, None, FleetCapacity | None]:
    """Find what endpoints can serve, see `fleet_bound`.

    Yields where it may be interrupted.
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
    """Put requests on paths until none fits; return the path of each."""
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
    """Return the milliseconds in which an idle path reads a prompt."""
    total = 0.0
    for part in path.parts:
        accelerator = chooser.shape.accelerators[
            chooser.endpoints[part.endpoint].accelerator
        ]
        span = len(part.layers)
        total += chooser.shape.prefill_ms(accelerator, span, demand.prompt_tokens)
    return total
