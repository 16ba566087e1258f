"""Section `recovery`: time from a kill to the next token of the answers it hit."""

from __future__ import annotations

import asyncio
import itertools
import json
import time
from typing import TYPE_CHECKING
from urllib.request import urlopen

from tornado.curl_httpclient import CurlAsyncHTTPClient

from lacewingcourse.bench.figures import Outcome, figure
from lacewingcourse.bench.sections import SECTIONS
from lacewingcourse.bench.small import request_for, small_deployment
from lacewingcourse.core.registry import Registry
from lacewingcourse.load.client import send
from lacewingcourse.testing.deployment import MODEL
from lacewingcourse.testing.processes import WaitTimeout

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.bench.sections import Options
    from lacewingcourse.load.client import Sample

#: Answers that run when a stage dies.
ANSWERS = 6
#: Kills of each kind.
KILLS = 4
#: Tokens asked for; the callers leave before all have come.
TOKENS = 5000
#: Tokens of the slowest answer that are out before the kill.
TOKENS_BEFORE = 10
#: Tokens after the kill by which an answer certainly runs again.
TOKENS_AFTER = 8
#: Seconds after which an answer counts as lost.
NEXT_TOKEN_TIMEOUT = 30.0
STEP_TIME = 0.004
#: Seconds in which an endpoint must be known again.
READY_TIMEOUT = 30.0
#: The two copies of the first stage, as indices of endpoints.
COPIES = (0, 2)
MILLISECONDS = 1000

KILL_KINDS: Registry[Callable] = Registry("kind of kill")


@KILL_KINDS.register("engine")
def kill_engine(pair) -> None:
    """Kill the endpoint's engine."""
    pair.engine.kill()


@KILL_KINDS.register("agent")
def kill_agent(pair) -> None:
    """Kill the endpoint's agent."""
    pair.agent.kill()


@KILL_KINDS.register("both")
def kill_both(pair) -> None:
    """Kill engine and agent, as when an instance dies."""
    pair.agent.kill()
    pair.engine.kill()


@KILL_KINDS.register("frozen")
def freeze_both(pair) -> None:
    """Stop engine and agent without closing their connections."""
    pair.agent.pause()
    pair.engine.pause()


@SECTIONS.register("recovery")
def recovery(options: Options) -> Outcome:
    """Measure the recovery time for each kind of kill."""
    figures = []
    cut = 0
    with small_deployment(options, 4, STEP_TIME) as deployment:
        for kind in KILL_KINDS.names():
            times: list[float] = []
            for standby, active in itertools.islice(itertools.cycle(turns()), KILLS):
                found, lost = run_one_kill(deployment, kind, active, standby)
                times += found
                cut += lost
            figures.append(figure(f"{kind} lost, kill to next token", "ms", times))
            figures.append(
                figure(f"{kind} lost, longest of the answers", "ms", [max(times)])
            )
    return Outcome("recovery", tuple(figures), f"answers that never went on: {cut}")


def turns() -> list[tuple[int, int]]:
    """Return standby and active copy, each in either part."""
    return [COPIES, COPIES[::-1]]


def run_one_kill(deployment, kind, active, standby) -> tuple[list[float], int]:
    """Run one kill on a loop of its own; the callers leave at its end."""
    loop = asyncio.new_event_loop()
    http = None

    async def run():
        nonlocal http
        http = CurlAsyncHTTPClient(force_instance=True)
        return await one_kill(http, deployment, kind, active, standby)

    try:
        return loop.run_until_complete(run())
    finally:
        http.close()
        loop.close()


async def one_kill(http, deployment, kind, active, standby) -> tuple[list[float], int]:
    """Kill the copy that all answers use.

    Returns:
        Milliseconds to the next token of each answer, and how many never got one.
    """
    take_down(deployment.endpoints[standby])
    await until_known(deployment, [active])
    samples = [
        request_for(deployment, f"name room {number} on the scan", TOKENS)
        for number in range(ANSWERS)
    ]
    url = deployment.entries[0].url
    tasks = [
        asyncio.ensure_future(send(http, url, MODEL, sample, 60.0))
        for sample in samples
    ]
    while min(sample.tokens for sample in samples) < TOKENS_BEFORE:
        await asyncio.sleep(0.001)
    bring_up(deployment.endpoints[standby])
    await until_known(deployment, [active, standby])
    killed_at = time.monotonic()
    KILL_KINDS.get(kind)(deployment.endpoints[active])
    times = await next_tokens(samples, killed_at)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    take_down(deployment.endpoints[active])
    return [value * MILLISECONDS for value in times], len(samples) - len(times)


async def next_tokens(samples: list[Sample], killed_at: float) -> list[float]:
    """Return the seconds from the kill to each answer's next token.

    Tokens that were under way at the kill are let through first: the next token
    is the one behind the longest gap that ends after the kill.
    """
    deadline = killed_at + NEXT_TOKEN_TIMEOUT
    seen = [sample.tokens for sample in samples]
    while time.monotonic() < deadline:
        going = [
            sample.kind or sample.tokens >= before + TOKENS_AFTER
            for sample, before in zip(samples, seen, strict=True)
        ]
        if all(going):
            break
        await asyncio.sleep(0.005)
    pairs = zip(samples, seen, strict=True)
    return [
        recovery_of(sample, killed_at)
        for sample, before in pairs
        if sample.tokens >= before + TOKENS_AFTER
    ]


def recovery_of(sample: Sample, killed_at: float) -> float:
    """Return the seconds from the kill to the token behind the longest gap."""
    times = list(itertools.accumulate(sample.gaps, initial=sample.first_at))
    gaps = [
        (later - sooner, later)
        for sooner, later in itertools.pairwise(times)
        if later > killed_at
    ]
    return max(gaps)[1] - killed_at


def take_down(pair) -> None:
    """End an endpoint and its agent for the time being."""
    pair.agent.kill()
    pair.engine.kill()


def bring_up(pair) -> None:
    """Start an endpoint and its agent again."""
    pair.engine.start()
    pair.agent.start()


async def until_known(deployment, indices: list[int]) -> None:
    """Wait until the entry knows just these copies as ready."""
    wanted = {deployment.endpoints[index].plan.id for index in indices}
    copies = {deployment.endpoints[index].plan.id for index in COPIES}
    deadline = time.monotonic() + READY_TIMEOUT
    while await asyncio.to_thread(ready_endpoints, deployment) & copies != wanted:
        if time.monotonic() > deadline:
            raise WaitTimeout("the entry does not know the copies")
        await asyncio.sleep(0.02)


def ready_endpoints(deployment) -> set[str]:
    """Return the endpoints that the entry takes for ready."""
    with urlopen(deployment.entries[0].url + "/state", timeout=5) as response:
        state = json.load(response)
    return {each["id"] for each in state["endpoints"] if each["ready"]}
