"""Section `decisions`: processor time of one choice of route."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

from lacewingcourse.bench.figures import Outcome, figure
from lacewingcourse.bench.sections import SECTIONS
from lacewingcourse.core.endpoints import EndpointState
from lacewingcourse.core.routes import POLICIES, usable
from lacewingcourse.testing.layout import plan_endpoints

if TYPE_CHECKING:
    from lacewingcourse.bench.sections import Options

#: Sizes of the fleet.
SIZES = (30, 300, 3500)
#: Batches of decisions, and decisions in each.
BATCHES = 7
DECISIONS = 40
LAYERS = 24
MICROSECONDS = 1_000_000


def fleet_of(size: int) -> list[EndpointState]:
    """Return endpoints as an entry knows them."""
    return [
        EndpointState(
            id=plan.id,
            incarnation=f"incarnation-{index}",
            availability_zone=plan.availability_zone,
            agent_url=f"http://10.0.{index // 256}.{index % 256}:8000",
            model="mapchat",
            layers=plan.layers,
            step_time=0.01 * (1 + index % 8),
            running=index % 5,
        )
        for index, plan in enumerate(plan_endpoints(size, LAYERS))
    ]


def cpu_per_decision(policy, endpoints, rng: random.Random) -> float:
    """Return the processor microseconds of one decision, the filter included."""
    started = time.process_time()
    for index in range(DECISIONS):
        candidates = usable(endpoints, "mapchat")
        policy.choose(candidates, LAYERS, rng, float(index))
    return (time.process_time() - started) / DECISIONS * MICROSECONDS


@SECTIONS.register("decisions")
def decisions(options: Options) -> Outcome:
    """Measure each policy on fleets of three sizes."""
    rng = random.Random(options.seed)
    figures = []
    for name in options.policies or POLICIES.names():
        for size in SIZES:
            endpoints = fleet_of(size)
            policy = POLICIES.get(name)()
            cpu_per_decision(policy, endpoints, rng)
            values = [cpu_per_decision(policy, endpoints, rng) for _ in range(BATCHES)]
            figures.append(figure(f"{name}, {size} endpoints", "us/decision", values))
    return Outcome("decisions", tuple(figures))
