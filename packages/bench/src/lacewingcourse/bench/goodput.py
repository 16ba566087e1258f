"""Section `goodput`: answers within target as a share of the bound, by policy."""

from __future__ import annotations

import asyncio
import random
from contextlib import contextmanager
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.bench.figures import Figure, Outcome, single
from lacewingcourse.bench.fleet import (
    Bounds,
    bounds,
    longest_target,
    mix_of,
    plan_fleet,
    tokens_of,
)
from lacewingcourse.bench.fleet_deployment import FleetDeployment
from lacewingcourse.bench.machine import CpuMeter, CpuUse
from lacewingcourse.bench.sections import SECTIONS
from lacewingcourse.core.routes import BASELINES, POLICIES
from lacewingcourse.load.arrivals import ARRIVALS
from lacewingcourse.load.mix import plan
from lacewingcourse.load.report import report
from lacewingcourse.load.runner import LoadRunner, RunOptions

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lacewingcourse.bench.sections import Options
    from lacewingcourse.load.client import Sample
    from lacewingcourse.load.mix import Mix
    from lacewingcourse.load.report import GroupSummary, Report
    from lacewingcourse.load.runner import RunResult

#: Share of the longest target for which a level runs before it is measured.
WARM_UP = 0.5
#: Multiple of the longest target after which a caller goes away.
PATIENCE = 1.2
#: Times that a refused request comes back.
RESENDS = 2
#: Times that a refused caller of the burst comes back.
BURST_RESENDS = 8
#: Callers of the burst, as seconds of the bound.
BURST_SECONDS = 15.0
#: Refused callers of the burst come back until this multiple of its size.
BURST_HORIZON = 2.0
#: Requests in flight at the most.
IN_FLIGHT = 4000
#: Organisations below this part of an even share count as small.
SMALL = 0.7
#: Name of the burst among the levels.
BURST = "burst"


@attrs.frozen
class LevelResult:
    """What one policy came to at one load.

    Attributes:
        policy: Name of the policy.
        level: Multiple of the bound, or `burst`.
        share_of_bound: Tokens of answers in target, as a share of the bound.
        in_target: Share of the requests answered in target, whatever the try.
        report: All counts.
        cpu: Processor use of the groups of processes.
        seconds: From the first request to the last answer.
    """

    policy: str
    level: str
    share_of_bound: float
    in_target: float
    report: Report
    cpu: CpuUse
    seconds: float


@contextmanager
def fleet_deployment(options: Options) -> Iterator[FleetDeployment]:
    """Run the fleet with the version that is measured."""
    deployment = FleetDeployment(
        plan_fleet(options.scale), options.subject, options.scale
    )
    try:
        deployment.up()
        yield deployment
    finally:
        deployment.down()


def admission_of(policy: str) -> str:
    """Return the admission that a policy runs with: baselines have none."""
    return "none" if policy in BASELINES else "targets"


def run_options(
    deployment: FleetDeployment, mix: Mix, resends: int, horizon: float
) -> RunOptions:
    """Return how the bench sends requests."""
    return RunOptions(
        urls=tuple(each.url for each in deployment.entries),
        model=mix.model,
        patience=longest_target(deployment.scale) * PATIENCE,
        resends=resends,
        in_flight=IN_FLIGHT,
        horizon=horizon,
    )


def tokens_in_target(samples: list[Sample]) -> float:
    """Return the tokens of the answers in target."""
    return sum(
        tokens_of(sample.request.work_class) for sample in samples if sample.in_target
    )


@SECTIONS.register("goodput")
def goodput(options: Options) -> Outcome:
    """Measure every policy at every load, and in a burst."""
    policies = options.policies or tuple(POLICIES.names())
    results = []

    def keep(result: LevelResult) -> None:
        results.append(result)
        options.progress(result_line(result))

    with fleet_deployment(options) as deployment:
        found = bounds(deployment.fleet)
        mix = mix_of(deployment.keys, found, options.scale)
        for policy in policies:
            deployment.use_policy(policy, admission_of(policy))
            for level in options.levels:
                keep(run_level(options, deployment, mix, policy, level))
            keep(run_burst(options, deployment, mix, policy))
    return Outcome("goodput", tuple(figures_of(results)), text_of(results, found))


def run_level(options, deployment, mix, policy, level) -> LevelResult:
    """Run one policy at one load."""
    found = bounds(deployment.fleet)
    rng = random.Random(options.seed)
    warm_up = longest_target(options.scale) * WARM_UP
    seconds = options.seconds * options.scale
    rate = level * found.total_requests
    dues = ARRIVALS.get("poisson")(rate, warm_up + seconds, rng)
    runner = LoadRunner(run_options(deployment, mix, RESENDS, warm_up + seconds))
    meter = CpuMeter(deployment.groups())
    result = asyncio.run(runner.run_open(plan(mix, dues, rng)))
    cpu = meter.read()
    kept = measured(result, warm_up, warm_up + seconds)
    tokens = tokens_in_target(kept.samples) / seconds
    return level_result(policy, f"{level:g}", tokens / found.total_tokens, kept, cpu)


def measured(result: RunResult, start: float, end: float) -> RunResult:
    """Return the part of a run that was due within a window, seconds from start."""
    first, last = result.started_at + start, result.started_at + end
    samples = [each for each in result.samples if first <= each.due_at < last]
    return attrs.evolve(result, samples=samples)


def run_burst(options, deployment, mix, policy) -> LevelResult:
    """Let all callers ask at once; the refused come back when told."""
    found = bounds(deployment.fleet)
    rng = random.Random(options.seed)
    span = BURST_SECONDS * options.scale
    dues = ARRIVALS.get("burst")(found.total_requests, span, rng)
    runner = LoadRunner(
        run_options(deployment, mix, BURST_RESENDS, BURST_HORIZON * span)
    )
    meter = CpuMeter(deployment.groups())
    result = asyncio.run(runner.run_open(plan(mix, dues, rng)))
    cpu = meter.read()
    spent = result.ended_at - result.started_at
    tokens = tokens_in_target(result.samples) / spent
    return level_result(policy, BURST, tokens / found.total_tokens, result, cpu)


def level_result(policy, level, share, result: RunResult, cpu) -> LevelResult:
    """Return the result of a level."""
    made = report(result)
    answered = sum(each.in_target for each in result.samples)
    requests = sum(each.tries == 0 for each in result.samples)
    return LevelResult(
        policy=policy,
        level=level,
        share_of_bound=share,
        in_target=answered / max(requests, 1),
        report=made,
        cpu=cpu,
        seconds=result.ended_at - result.started_at,
    )


def figures_of(results: list[LevelResult]) -> list[Figure]:
    """Return the goodput of each result."""
    return [
        single(f"{each.policy} at {each.level}", "of bound", each.share_of_bound)
        for each in results
    ]


HEADER = (
    f"{'policy':<16}{'load':>6}{'goodput':>9}{'in target':>11}{'late':>7}"
    f"{'refused':>9}{'left':>6}{'cut':>5}{'lost':>6}{'p95 s':>8}"
    f"{'large':>7}{'small':>7}{'seconds':>9}"
)


def text_of(results: list[LevelResult], found: Bounds) -> str:
    """Return all results as tables."""
    rate, tokens = found.total_requests, found.total_tokens
    lines = [f"bound: {rate:.1f} requests/s, {tokens:.0f} tokens/s", HEADER]
    lines += [result_line(each) for each in results]
    lines += ["", "share of requests in target, by class:"]
    lines += [classes_line(each) for each in results]
    lines += ["", "refused by kind:"]
    lines += [refusals_line(each) for each in results]
    lines += ["", "processor use:"]
    for each in results:
        generator = f"load generator {each.report.generator_cpu:.2f}"
        label = f"{each.policy:<16}{each.level:>6}  "
        lines.append(f"{label}{each.cpu.text()}; {generator}")
    return "\n".join(lines)


def result_line(each: LevelResult) -> str:
    """Return a result as one line."""
    total = each.report.total
    large, small = organisation_shares(each.report.organisations)
    refused = sum(total.refused.values())
    return (
        f"{each.policy:<16}{each.level:>6}{each.share_of_bound:>9.2f}"
        f"{each.in_target:>11.2f}{total.late:>7}{refused:>9}"
        f"{total.left:>6}{total.cut:>5}{total.lost:>6}{total.answer.p95:>8.1f}"
        f"{large:>7.2f}{small:>7.2f}"
        f"{each.seconds:>9.1f}"
    )


def organisation_shares(groups: tuple[GroupSummary, ...]) -> tuple[float, float]:
    """Return the share in target of the largest organisation and of all small ones.

    The small ones have less than `SMALL` of an even share of the requests.
    """
    total = sum(group.requests for group in groups)
    even = total / max(len(groups), 1)
    small = [group for group in groups if group.requests < SMALL * even]
    largest = max(groups, key=lambda group: group.requests)
    requests = sum(group.requests for group in small)
    answered = sum(group.in_target for group in small)
    return largest.share_in_target, answered / max(requests, 1)


def classes_line(each: LevelResult) -> str:
    """Return the shares of the classes as one line."""
    shares = [
        f"{group.name} {group.share_in_target:.2f}" for group in each.report.classes
    ]
    return f"{each.policy:<16}{each.level:>6}  " + ", ".join(shares)


def refusals_line(each: LevelResult) -> str:
    """Return the refusals by kind as one line."""
    refused = each.report.total.refused
    kinds = [f"{kind} {count}" for kind, count in sorted(refused.items())]
    return f"{each.policy:<16}{each.level:>6}  " + (", ".join(kinds) or "none")
