"""Section `throughput`: answers and tokens a second with and without an entry."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from typing import TYPE_CHECKING

from lacewingcourse.bench.direct import DirectCaller
from lacewingcourse.bench.figures import Outcome, figure
from lacewingcourse.bench.machine import CpuMeter
from lacewingcourse.bench.sections import SECTIONS
from lacewingcourse.bench.small import ENDPOINTS, direct_chain, small_deployment
from lacewingcourse.load.mix import ClassLoad, Mix, OrganisationLoad, plan
from lacewingcourse.load.runner import LoadRunner, RunOptions
from lacewingcourse.testing.deployment import MODEL

if TYPE_CHECKING:
    from lacewingcourse.bench.sections import Options

#: Callers that ask one answer after the other.
CALLERS = 24
#: Rounds of each way.
ROUNDS = 4
TOKENS = 16
STEP_TIME = 0.004
#: Share of the section's seconds that one round of one way takes.
ROUND_SHARE = 0.3
PROMPT = "draft the forecast note for the kitchen"


@SECTIONS.register("throughput")
def throughput(options: Options) -> Outcome:
    """Measure closed-loop throughput through one entry and without it."""
    with small_deployment(options, ENDPOINTS, STEP_TIME) as deployment:
        return asyncio.run(measure(options, deployment))


async def measure(options: Options, deployment) -> Outcome:
    """Run both ways in turn."""
    seconds = options.seconds * ROUND_SHARE
    meter = CpuMeter(
        {
            "entry": [each.pid for each in deployment.entries],
            "agents": [each.agent.pid for each in deployment.endpoints],
            "engines": [each.engine.pid for each in deployment.endpoints],
        }
    )
    direct, routed, generator = [], [], []
    for index in range(ROUNDS):
        direct.append(await direct_rate(deployment, seconds))
        rate, cpu = await routed_rate(deployment, seconds, index)
        routed.append(rate)
        generator.append(cpu)
    figures = []
    for name, rates in (("engines alone", direct), ("through one entry", routed)):
        answers = [rate / TOKENS for rate in rates]
        figures.append(figure(f"answers, {name}", "1/s", answers))
        figures.append(figure(f"tokens, {name}", "1/s", rates))
    ratios = [b / a for a, b in zip(direct, routed, strict=True)]
    figures.append(figure("through one entry / engines alone", "", ratios))
    figures.append(figure("load generator, routed", "cores", generator))
    text = "both ways together: " + meter.read().text()
    return Outcome("throughput", tuple(figures), text)


async def direct_rate(deployment, seconds: float) -> float:
    """Return tokens a second of callers that drive the engines themselves."""
    caller = DirectCaller()
    rng = random.Random(CALLERS)
    started_at = time.monotonic()
    end_at = started_at + seconds
    counts = [0] * CALLERS

    async def ask(index: int) -> None:
        while time.monotonic() < end_at:
            chain = direct_chain(deployment, rng)
            await caller.answer(chain, f"{PROMPT} {index}", TOKENS)
            counts[index] += TOKENS

    await asyncio.gather(*(ask(index) for index in range(CALLERS)))
    return sum(counts) / (time.monotonic() - started_at)


async def routed_rate(deployment, seconds: float, seed: int) -> tuple[float, float]:
    """Return tokens a second through the entry, and the load generator's cores."""
    name, key = next(iter(deployment.keys.items()))
    work = ClassLoad(prompt="fixed:7", answer=f"fixed:{TOKENS}")
    mix = Mix(MODEL, (work,), (OrganisationLoad(name, key),))
    runner = LoadRunner(RunOptions((deployment.entries[0].url,), MODEL, resends=0))
    requests = plan(mix, itertools.repeat(0.0), random.Random(seed))
    result = await runner.run_closed(requests, CALLERS, seconds)
    spent = result.ended_at - result.started_at
    tokens = sum(sample.tokens for sample in result.samples if sample.whole)
    return tokens / spent, result.cpu_seconds / spent
