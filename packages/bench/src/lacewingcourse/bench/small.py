"""The small deployment that the sections about time and speed use."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from lacewingcourse.bench.direct import EngineAddress
from lacewingcourse.core.layers import LayerRange
from lacewingcourse.load.client import Sample
from lacewingcourse.load.mix import ClassLoad, OrganisationLoad, PlannedRequest
from lacewingcourse.testing.deployment import Deployment, DeploymentOptions

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator, Mapping

    from lacewingcourse.bench.sections import Options

#: Layers of the model.
LAYERS = 24
#: Endpoints of the sections about speed: three stages, two copies of each.
ENDPOINTS = 6


@contextmanager
def small_deployment(
    options: Options,
    endpoints: int,
    step_time: float,
    entry_variables: Mapping[str, str] | None = None,
) -> Iterator[Deployment]:
    """Run a deployment with one entry and the version that is measured."""
    variables = options.subject.variables()
    deployment = Deployment(
        DeploymentOptions(
            entries=1,
            endpoints=endpoints,
            layers=LAYERS,
            step_time=step_time,
            entry_variables={**variables, **(entry_variables or {})},
            agent_variables=variables,
        )
    )
    try:
        deployment.up()
        yield deployment
    finally:
        deployment.down()


def direct_chain(deployment: Deployment, rng: random.Random) -> list[EngineAddress]:
    """Return engines, drawn at random, that together hold every layer once."""
    chain: list[EngineAddress] = []
    layer = 0
    while layer < LAYERS:
        holders = [
            pair
            for pair in deployment.endpoints
            if pair.plan.layers.first <= layer < pair.plan.layers.end
        ]
        holder = rng.choice(holders)
        end = holder.plan.layers.end
        chain.append(EngineAddress(holder.engine.url, LayerRange(layer, end)))
        layer = end
    return chain


def request_for(deployment: Deployment, prompt: str, max_tokens: int) -> Sample:
    """Return a sample of one request of the first organisation, not yet due."""
    name, key = next(iter(deployment.keys.items()))
    organisation = OrganisationLoad(name, key)
    planned = PlannedRequest(0.0, organisation, ClassLoad(), prompt, max_tokens)
    return Sample(planned, 0.0)
