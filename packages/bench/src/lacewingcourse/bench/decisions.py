"""Section `decisions`: processor time of one choice of route."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

from lacewingcourse.bench.figures import Outcome, figure
from lacewingcourse.bench.sections import SECTIONS
from lacewingcourse.core.endpoints import EndpointState
from lacewingcourse.core.routes import POLICIES, Fleet, RouteRequest
from lacewingcourse.testing.layout import plan_endpoints

if TYPE_CHECKING:
    from lacewingcourse.bench.sections import Options

#: Sizes of the fleet.
SIZES = (30, 300, 3500)
#: Batches of decisions, and decisions in each.
BATCHES = 7
DECISIONS = 100
LAYERS = 24
MICROSECONDS = 1_000_000


def fleet_of(size: int) -> Fleet:
    """Return endpoints as an entry knows them."""
    fleet = Fleet()
    for index, plan in enumerate(plan_endpoints(size, LAYERS)):
        fleet[plan.id] = EndpointState(
            id=plan.id,
            incarnation=f"incarnation-{index}",
            availability_zone=plan.availability_zone,
            agent_url=f"http://10.0.{index // 256}.{index % 256}:8000",
            model="mapchat",
            layers=plan.layers,
            step_time=0.01 * (1 + index % 8),
            running=index % 5,
        )
    return fleet


def cpu_per_decision(policy, fleet: Fleet, rng: random.Random) -> float:
    """Return the processor microseconds of one decision and its two notes."""
    started = time.process_time()
    request = RouteRequest("mapchat", LAYERS)
    for index in range(DECISIONS):
        route = policy.choose(fleet, request, rng, float(index))
        fleet.release(fleet.dispatch(route, request.prompt_length))
    return (time.process_time() - started) / DECISIONS * MICROSECONDS


@SECTIONS.register("decisions")
def decisions(options: Options) -> Outcome:
    """Measure each policy on fleets of three sizes."""
    rng = random.Random(options.seed)
    figures = []
    for name in options.policies or POLICIES.names():
        for size in SIZES:
            fleet = fleet_of(size)
            policy = POLICIES.get(name)()
            cpu_per_decision(policy, fleet, rng)
            values = [cpu_per_decision(policy, fleet, rng) for _ in range(BATCHES)]
            figures.append(figure(f"{name}, {size} endpoints", "us/decision", values))
    return Outcome("decisions", tuple(figures))
