"""The most that a fleet of stand-ins can answer: maximum flow over its layers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.bound import LayerCapacity, max_flow

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lacewingcourse.testing.standins.engine_host import EngineSpec


@attrs.frozen
class Demand:
    """The mean request of a mix.

    Attributes:
        prompt: Tokens of the prompt.
        answer: Tokens of the answer.
    """

    prompt: float
    answer: float


def capacity(spec: EngineSpec, demand: Demand) -> float:
    """Return the requests a second that an engine passes with full steps.

    A request needs one place in a step for its prompt and one for each further
    token; each position adds its own time.
    """
    places = demand.answer
    positions = demand.prompt + demand.answer - 1
    seconds = places * spec.step_time / spec.batch_items
    return 1.0 / (seconds + positions * spec.item_time)


def max_flow_bound(specs: Iterable[EngineSpec], layers: int, demand: Demand) -> float:
    """Return the requests a second that pass all layers."""
    capacities = [LayerCapacity(spec.layers, capacity(spec, demand)) for spec in specs]
    return max_flow(capacities, layers).total
