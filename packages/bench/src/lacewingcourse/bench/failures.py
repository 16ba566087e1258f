"""Section `failures`: goodput after an endpoint or an availability zone dies."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.bench.figures import Figure, Outcome, single
from lacewingcourse.bench.fleet import bounds, longest_target, mix_of, tokens_of
from lacewingcourse.bench.goodput import (
    RESENDS,
    admission_of,
    fleet_deployment,
    run_options,
)
from lacewingcourse.bench.sections import SECTIONS
from lacewingcourse.core.registry import Registry
from lacewingcourse.core.routes import POLICIES
from lacewingcourse.load.arrivals import ARRIVALS
from lacewingcourse.load.mix import plan
from lacewingcourse.load.runner import LoadRunner
from lacewingcourse.testing.deployment import START_TIMEOUT
from lacewingcourse.testing.layout import ZONES
from lacewingcourse.testing.processes import wait_until

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.bench.fleet_deployment import FleetDeployment
    from lacewingcourse.bench.sections import Options
    from lacewingcourse.load.client import Sample

#: Load during a failure, as a multiple of the bound of the whole fleet.
LOAD = 1.0
#: Seconds before scaling: of the window that goodput is averaged over.
WINDOW = 3.0
#: Steps of the window, seconds before scaling.
STEP = 0.25
#: Share of the new bound that counts as recovered.
RECOVERED = 0.95
#: Seconds of load after the kill, as a multiple of the longest target.
AFTER = 2.0
#: Seconds of load before the kill, as a multiple of the longest target.
BEFORE = 1.0
#: The endpoint that dies: the fastest kind in the middle of the model.
ENDPOINT = 19

FAILURES: Registry[Callable] = Registry("failure")


@FAILURES.register("endpoint")
def endpoint_dies(deployment: FleetDeployment) -> list[int]:
    """Kill one endpoint; return the indices of the dead."""
    deployment.kill_endpoint(ENDPOINT)
    return [ENDPOINT]


@FAILURES.register("zone")
def zone_dies(deployment: FleetDeployment) -> list[int]:
    """Kill an availability zone; return the indices of the dead."""
    deployment.kill_zone(ZONES[-1])
    return deployment.indices_in(ZONES[-1])


@attrs.frozen
class FailureResult:
    """How goodput went on after a failure.

    Attributes:
        policy: Name of the policy.
        failure: What died.
        before: Goodput before, as a share of the whole fleet's bound.
        lowest: Lowest goodput after, as a share of the new bound.
        after: Goodput of the last window, as a share of the new bound.
        to_bound: Seconds until goodput was at 95 % of the new bound, or None.
        to_former: Seconds until it was at 95 % of its former share of the bound.
        cut: Answers that began and did not end whole.
    """

    policy: str
    failure: str
    before: float
    lowest: float
    after: float
    to_bound: float | None
    to_former: float | None
    cut: int


@attrs.frozen
class GoodputCurve:
    """Goodput in windows that end at regular moments.

    Attributes:
        ends: Ends of the windows, seconds from the kill.
        rates: Tokens a second of answers in target that ended in the window.
    """

    ends: tuple[float, ...]
    rates: tuple[float, ...]

    def reached(self, rate: float) -> float | None:
        """Return the end of the first window after the kill at a rate, or None.

        The window must lie wholly after the lowest point, so that answers from
        before the kill do not count as recovery.
        """
        after = [
            (end, r) for end, r in zip(self.ends, self.rates, strict=True) if end > 0
        ]
        lowest = min(range(len(after)), key=lambda index: after[index][1])
        if after[lowest][1] >= rate:
            return 0.0
        for end, found in after[lowest:]:
            if found >= rate:
                return end
        return None


def curve(
    samples: list[Sample], killed_at: float, start: float, end: float, scale: float
) -> GoodputCurve:
    """Return goodput in sliding windows between two moments, seconds from the kill."""
    done = sorted(
        (sample.ended_at - killed_at, tokens_of(sample.request.work_class))
        for sample in samples
        if sample.in_target
    )
    window, step = WINDOW * scale, STEP * scale
    count = int((end - start - window) / step)
    ends = tuple(start + window + index * step for index in range(count + 1))
    rates = tuple(
        sum(tokens for at, tokens in done if stop - window < at <= stop) / window
        for stop in ends
    )
    return GoodputCurve(ends, rates)


@SECTIONS.register("failures")
def failures(options: Options) -> Outcome:
    """Let an endpoint, then an availability zone die under each policy."""
    policies = options.policies or tuple(POLICIES.names())
    results = []
    with fleet_deployment(options) as deployment:
        for policy in policies:
            for failure in FAILURES.names():
                deployment.use_policy(policy, admission_of(policy))
                results.append(run_failure(options, deployment, policy, failure))
                options.progress(result_line(results[-1]))
                revive(deployment, failure)
    return Outcome("failures", tuple(figures_of(results)), text_of(results))


def revive(deployment: FleetDeployment, failure: str) -> None:
    """Bring back what died."""
    if failure == "zone":
        deployment.revive_zone(ZONES[-1])
    else:
        deployment.revive_endpoint(ENDPOINT)
    wait_until(deployment.ready, START_TIMEOUT, "the endpoints are not back")


def run_failure(options, deployment, policy, failure) -> FailureResult:
    """Run one policy through one failure."""
    whole = bounds(deployment.fleet)
    mix = mix_of(deployment.keys, whole, options.scale)
    rng = random.Random(options.seed)
    target = longest_target(options.scale)
    before, after = BEFORE * target, AFTER * target
    dues = ARRIVALS.get("poisson")(LOAD * whole.total_requests, before + after, rng)
    runner = LoadRunner(run_options(deployment, mix, RESENDS, before + after))

    async def run():
        load = asyncio.ensure_future(runner.run_open(plan(mix, dues, rng)))
        await asyncio.sleep(before)
        killed_at = time.monotonic()
        dead = await asyncio.to_thread(FAILURES.get(failure), deployment)
        return await load, killed_at, dead

    result, killed_at, dead = asyncio.run(run())
    left = [each for i, each in enumerate(deployment.fleet) if i not in dead]
    new = bounds(left).total_tokens
    found = curve(result.samples, killed_at, -before, after, options.scale)
    return summary(policy, failure, found, whole.total_tokens, new, result.samples)


def summary(policy, failure, found, whole, new, samples) -> FailureResult:
    """Return how goodput went on."""
    pairs = list(zip(found.ends, found.rates, strict=True))
    before = [rate for end, rate in pairs if end <= 0][-1] / whole
    after = [rate for end, rate in pairs if end > 0]
    return FailureResult(
        policy=policy,
        failure=failure,
        before=before,
        lowest=min(after) / new,
        after=after[-1] / new,
        to_bound=found.reached(RECOVERED * new),
        to_former=found.reached(RECOVERED * min(before, 1.0) * new),
        cut=sum(sample.cut for sample in samples),
    )


def figures_of(results: list[FailureResult]) -> list[Figure]:
    """Return the recovery times that there are."""
    return [
        single(f"{each.policy}, {each.failure}, to former share", "s", each.to_former)
        for each in results
        if each.to_former is not None
    ]


def text_of(results: list[FailureResult]) -> str:
    """Return all results as a table."""
    header = f"{'policy':<16}{'failure':<10}{'before':>8}{'lowest':>8}{'after':>8}"
    lines = [header + f"{'95% bound':>12}{'95% former':>12}{'cut':>5}"]
    return "\n".join([*lines, *(result_line(each) for each in results)])


def result_line(each: FailureResult) -> str:
    """Return a result as one line."""
    return (
        f"{each.policy:<16}{each.failure:<10}{each.before:>8.2f}"
        f"{each.lowest:>8.2f}{each.after:>8.2f}"
        f"{seconds(each.to_bound):>12}{seconds(each.to_former):>12}{each.cut:>5}"
    )


def seconds(value: float | None) -> str:
    """Return a recovery time as text."""
    return "never" if value is None else f"{value:.1f} s"
