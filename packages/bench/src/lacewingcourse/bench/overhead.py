"""Section `overhead`: what entry and agents add to the engines' own time."""

from __future__ import annotations

import asyncio
import itertools
import random
import statistics
import time
from typing import TYPE_CHECKING

import attrs
from tornado.curl_httpclient import CurlAsyncHTTPClient

from lacewingcourse.bench.direct import DirectCaller
from lacewingcourse.bench.figures import Outcome, figure
from lacewingcourse.bench.sections import SECTIONS
from lacewingcourse.bench.small import (
    ENDPOINTS,
    direct_chain,
    request_for,
    small_deployment,
)
from lacewingcourse.load.client import send
from lacewingcourse.testing.deployment import MODEL

if TYPE_CHECKING:
    from lacewingcourse.bench.sections import Options

#: Pairs of one direct and one routed answer.
PAIRS = 30
#: Pairs before them that are not counted.
WARM_UP = 3
TOKENS = 32
STEP_TIME = 0.004
PROMPT = "explain why the robot skipped under the bed"
MILLISECONDS = 1000


@attrs.define
class Timings:
    """Times of one way, milliseconds.

    Attributes:
        first: To the first token, by answer.
        between: Median between tokens, by answer.
        last: To the last token, by answer.
    """

    first: list[float] = attrs.field(factory=list)
    between: list[float] = attrs.field(factory=list)
    last: list[float] = attrs.field(factory=list)

    def add(self, started_at: float, times: list[float]) -> None:
        """Add one answer."""
        gaps = [later - sooner for sooner, later in itertools.pairwise(times)]
        self.first.append((times[0] - started_at) * MILLISECONDS)
        self.between.append(statistics.median(gaps) * MILLISECONDS)
        self.last.append((times[-1] - started_at) * MILLISECONDS)


@SECTIONS.register("overhead")
def overhead(options: Options) -> Outcome:
    """Measure the time that entry and agents add to a lone answer."""
    with small_deployment(options, ENDPOINTS, STEP_TIME) as deployment:
        direct, routed = asyncio.run(alternate(deployment, random.Random(options.seed)))
    figures = []
    parts = [("first token", "first"), ("per token", "between"), ("answer", "last")]
    for name, part in parts:
        straight, through = getattr(direct, part), getattr(routed, part)
        added = [b - a for a, b in zip(straight, through, strict=True)]
        figures.append(figure(f"{name}, engines alone", "ms", straight))
        figures.append(figure(f"{name}, through entry and agents", "ms", through))
        figures.append(figure(f"{name}, added", "ms", added))
    return Outcome("overhead", tuple(figures))


async def alternate(deployment, rng: random.Random) -> tuple[Timings, Timings]:
    """Run direct and routed answers in turn."""
    caller = DirectCaller()
    http = CurlAsyncHTTPClient(force_instance=True)
    direct, routed = Timings(), Timings()
    for index in range(WARM_UP + PAIRS):
        if index == WARM_UP:
            direct, routed = Timings(), Timings()
        prompt = f"{PROMPT} {index}"
        answer = await caller.answer(direct_chain(deployment, rng), prompt, TOKENS)
        direct.add(answer.started_at, answer.token_times)
        routed.add(*await routed_answer(http, deployment, prompt))
    return direct, routed


async def routed_answer(http, deployment, prompt) -> tuple[float, list[float]]:
    """Return when an answer was asked for and when its tokens came."""
    sample = request_for(deployment, prompt, TOKENS)
    sample.due_at = time.monotonic()
    await send(http, deployment.entries[0].url, MODEL, sample, 60.0)
    if not sample.whole:
        raise RuntimeError(f"an answer was not whole: {sample.kind}")
    times = list(itertools.accumulate(sample.gaps, initial=sample.first_at))
    return sample.due_at, times
