"""Section `slopes`: what each stream, endpoint, token and change costs a process."""

from __future__ import annotations

import asyncio
import hashlib
import itertools
import random
import time
import tracemalloc
from functools import partial
from typing import TYPE_CHECKING
from urllib.request import urlopen

import attrs

from lacewingcourse.bench.capacity import (
    STAGES,
    WATCHED,
    Slopes,
    capacity_table,
    needs,
    slopes_of,
)
from lacewingcourse.bench.decisions import fleet_of
from lacewingcourse.bench.figures import Figure, Outcome, single
from lacewingcourse.bench.machine import cpu_seconds, resident_bytes
from lacewingcourse.bench.messages import message_figures, wire_size
from lacewingcourse.bench.sections import SECTIONS
from lacewingcourse.bench.small import (
    ENDPOINTS,
    request_for,
    run_and_leave,
    small_deployment,
)
from lacewingcourse.core.configuration import (
    Change,
    Organisation,
)
from lacewingcourse.core.subsets import silence_allowed
from lacewingcourse.entry.directory import LIST_INTERVAL
from lacewingcourse.load.client import send
from lacewingcourse.load.mix import ClassLoad, Mix, OrganisationLoad, plan
from lacewingcourse.load.runner import LoadRunner, RunOptions
from lacewingcourse.testing.deployment import MODEL, put_json
from lacewingcourse.testing.processes import wait_until
from lacewingcourse.wire import paths

if TYPE_CHECKING:
    from lacewingcourse.bench.sections import Options
    from lacewingcourse.testing.deployment import Deployment

STEP_TIME = 0.002
#: Seconds over which processes are watched at rest.
REST = 6.0
#: Callers of the runs that cost processor time: few, and so many that messages
#: are batched.
CALLERS, CROWD = 16, 96
#: Endpoints of the deployment whose entry is compared with the small one at rest.
MANY_ENDPOINTS = 18
#: Tokens of a short and of a long answer.
SHORT, LONG = 1, 33
#: Streams that run while memory is read, and the tokens they are asked for.
STREAMS, ENDLESS = 300, 5000
#: Seconds in which all of them should have begun.
STREAMS_TIMEOUT = 30.0
#: Changes of configuration, and organisations in one of them.
CHANGES, ORGANISATIONS = 100, 1000
#: Seconds in which changes must be in force.
FORCE_TIMEOUT = 60.0
#: Sizes of the fleet between which memory is compared.
SMALL_FLEET, LARGE_FLEET = 30, 3500
MICROSECONDS = 1_000_000
KILOBYTE = 1024
#: Every request starts at once, so that the callers' number is that of the streams.
ENTRY_VARIABLES = {
    "LACEWINGCOURSE_ADMISSION": "none",
}
#: Which figure is which slope.
SLOPE_NAMES = {
    "entry_token": f"cpu: entry, a token, {CROWD} callers",
    "entry_request": "cpu: entry, a request",
    "entry_change": "cpu: entry, a change published through it",
    "entry_endpoint": "rest: entry, an endpoint it knows",
    "entry_stream": "memory: entry, a stream",
    "entry_known": "memory: entry, an endpoint it knows",
    "entry_organisation": "memory: entry, an organisation",
    "entry_start": "memory: entry after start",
    "agents_token": f"cpu: agents of 3 stages, a token, {CROWD} callers",
    "agents_request": "cpu: agents of 3 stages, a request",
    "agent_rest": "rest: agent",
    "agent_stage": "memory: agent, a stage of a stream",
    "agent_start": "memory: agent after start",
    "status_bytes": "message: status, question and answer",
    "instance_bytes": "instance list: an instance",
}


@attrs.frozen
class Spent:
    """Processor seconds of the roles.

    Attributes:
        entry: Of the entry.
        agents: Of all agents of the model together.
    """

    entry: float
    agents: float

    def since(self, before: Spent) -> Spent:
        """Return what was spent since another reading."""
        return Spent(self.entry - before.entry, self.agents - before.agents)


def spent(deployment: Deployment) -> Spent:
    """Read the processor time so far."""
    agents = sum(cpu_seconds(pair.agent.pid) for pair in deployment.endpoints)
    return Spent(cpu_seconds(deployment.entries[0].pid), agents)


@SECTIONS.register("slopes")
def slopes(options: Options) -> Outcome:
    """Measure what docs/CAPACITY.md is worked out from."""
    figures = message_figures()
    with small_deployment(options, ENDPOINTS, STEP_TIME, ENTRY_VARIABLES) as deployment:
        figures += status_size(deployment)
        figures += resident(deployment)
        few = rest_cost(deployment)
        figures += work_cost(options, deployment)
        figures += stream_memory(deployment)
        figures += configuration_cost(deployment)
    with small_deployment(options, MANY_ENDPOINTS, STEP_TIME) as deployment:
        many = rest_cost(deployment)
    figures += [*few, many[0], endpoint_slope(few[0], many[0])]
    figures += endpoint_memory()
    slopes_found = Slopes(
        **slopes_of(figures, SLOPE_NAMES),
        polls=1.0 / silence_allowed(WATCHED),
        reads=1.0 / LIST_INTERVAL,
    )
    text = capacity_table(needs(slopes_found))
    return Outcome("slopes", tuple(figures), text)


def status_size(deployment: Deployment) -> list[Figure]:
    """Return the bytes of a question for an agent's status and its answer."""
    with urlopen(deployment.endpoints[0].agent.url + "/state", timeout=5) as response:
        size = len(response.read()) + len(str(response.headers))
    question = wire_size(paths.STATUS, {})
    return [single("message: status, question and answer", "bytes", question + size)]


def resident(deployment: Deployment) -> list[Figure]:
    """Return the memory of fresh processes."""
    entry = resident_bytes(deployment.entries[0].pid)
    agent = resident_bytes(deployment.endpoints[0].agent.pid)
    return [
        single("memory: entry after start", "MB", entry / KILOBYTE**2),
        single("memory: agent after start", "MB", agent / KILOBYTE**2),
    ]


def rest_cost(deployment: Deployment) -> list[Figure]:
    """Return the processor time of processes without work."""
    before = spent(deployment)
    time.sleep(REST)
    used = spent(deployment).since(before)
    share = used.entry / REST * 100
    agent = used.agents / REST * 100 / len(deployment.endpoints)
    known = len(deployment.endpoints) + 1
    return [
        single(f"rest: entry that knows {known} endpoints", "% of a core", share),
        single("rest: agent", "% of a core", agent),
    ]


def endpoint_slope(few: Figure, many: Figure) -> Figure:
    """Return what one more known endpoint costs an entry at rest."""
    added = (many.median - few.median) / (MANY_ENDPOINTS - ENDPOINTS)
    return single("rest: entry, an endpoint it knows", "% of a core", added)


def work_cost(options: Options, deployment: Deployment) -> list[Figure]:
    """Return the processor time of a request and of a token, from two lengths."""
    seconds = options.seconds / 2
    run_closed(deployment, SHORT, 1.0, CALLERS)
    short, requests = run_closed(deployment, SHORT, seconds, CALLERS)
    figures = []
    for callers in (CALLERS, CROWD):
        long, answers = run_closed(deployment, LONG, seconds, callers)
        roles = (
            ("entry", short.entry / requests, long.entry / answers),
            ("agents of 3 stages", short.agents / requests, long.agents / answers),
        )
        for role, one, many in roles:
            token = (many - one) / (LONG - SHORT) * MICROSECONDS
            label = f"cpu: {role}, a token, {callers} callers"
            figures.append(single(label, "us", token))
            if callers == CALLERS:
                request = one * MICROSECONDS - token
                figures.append(single(f"cpu: {role}, a request", "us", request))
    return figures


def run_closed(
    deployment, tokens: int, seconds: float, callers: int
) -> tuple[Spent, int]:
    """Run a closed loop; return what it cost and how many answers it gave."""
    name, key = next(iter(deployment.keys.items()))
    work = ClassLoad(answer=f"fixed:{tokens}")
    mix = Mix(MODEL, (work,), (OrganisationLoad(name, key),))
    urls = (deployment.entries[0].url,)
    runner = LoadRunner(RunOptions(urls, MODEL, resends=0))
    requests = plan(mix, itertools.repeat(0.0), random.Random(tokens))
    before = spent(deployment)
    result = asyncio.run(runner.run_closed(requests, callers, seconds))
    used = spent(deployment).since(before)
    return used, max(1, sum(sample.whole for sample in result.samples))


def stream_memory(deployment: Deployment) -> list[Figure]:
    """Return the memory of a stream that runs, per role."""
    found = run_and_leave(partial(hold_streams, deployment=deployment))
    wait_until(
        lambda: not streams_of(deployment), FORCE_TIMEOUT, "callers have not left"
    )
    return found


def streams_of(deployment: Deployment) -> int:
    """Return the answers in flight at the entry."""
    return put_json(deployment.entries[0].url + "/state", None, "GET")["streams"]


async def hold_streams(http, deployment: Deployment) -> list[Figure]:
    """Open many streams and read the memory while they run."""
    entry = deployment.entries[0]
    agents = [pair.agent.pid for pair in deployment.endpoints]
    before = resident_bytes(entry.pid)
    agents_before = sum(map(resident_bytes, agents))
    samples = [
        request_for(deployment, f"note {number}", ENDLESS) for number in range(STREAMS)
    ]
    tasks = [
        asyncio.ensure_future(send(http, entry.url, MODEL, sample, 120.0))
        for sample in samples
    ]
    deadline = time.monotonic() + STREAMS_TIMEOUT
    while not all(sample.tokens or sample.kind for sample in samples):
        if time.monotonic() > deadline:
            break
        await asyncio.sleep(0.1)
    running = sum(sample.tokens > 0 and not sample.kind for sample in samples)
    entry_bytes = (resident_bytes(entry.pid) - before) / running
    stage_bytes = (sum(map(resident_bytes, agents)) - agents_before) / running
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    per_stage = stage_bytes / STAGES
    return [
        single("memory: entry, a stream", "KB", entry_bytes / KILOBYTE),
        single("memory: agent, a stage of a stream", "KB", per_stage / KILOBYTE),
    ]


def configuration_cost(deployment: Deployment) -> list[Figure]:
    """Return what changes of configuration and organisations cost the entry."""
    entry = deployment.entries[0]
    version = version_in_force(deployment)
    before = spent(deployment)
    for index in range(CHANGES):
        publish(deployment, version + index, [f"changed-{index}"])
    wait_for_version(deployment, version + CHANGES)
    used = spent(deployment).since(before).entry
    memory = resident_bytes(entry.pid)
    names = [f"many-{index}" for index in range(ORGANISATIONS)]
    publish(deployment, version + CHANGES, names)
    wait_for_version(deployment, version + CHANGES + 1)
    grown = (resident_bytes(entry.pid) - memory) / ORGANISATIONS / KILOBYTE
    change = used / CHANGES * MICROSECONDS
    return [
        single("cpu: entry, a change published through it", "us", change),
        single("memory: entry, an organisation", "KB", grown),
    ]


def version_in_force(deployment: Deployment) -> int:
    """Return the entry's version of the configuration."""
    state = put_json(deployment.entries[0].url + "/readyz", None, "GET")
    return state["configuration_version"]


def wait_for_version(deployment: Deployment, version: int) -> None:
    """Wait until a version is in force."""
    wait_until(
        lambda: version_in_force(deployment) >= version,
        FORCE_TIMEOUT,
        f"version {version} is not in force",
    )


def publish(deployment: Deployment, base_version: int, names: list[str]) -> None:
    """Publish a change that registers organisations."""
    changes = [
        Change(
            "organisations",
            name,
            organisation=Organisation(
                name, (hashlib.sha256(name.encode()).hexdigest(),)
            ),
        )
        for name in names
    ]
    document = {"base_version": base_version, "changes": changes}
    deployment.admin("POST", "/changes", document)


def endpoint_memory() -> list[Figure]:
    """Return the memory of an endpoint in the decision library."""
    tracemalloc.start()
    try:
        fleet_of(SMALL_FLEET)
        before, _ = tracemalloc.get_traced_memory()
        fleet = fleet_of(LARGE_FLEET)
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    size = (after - before) / len(fleet) / KILOBYTE
    return [single("memory: entry, an endpoint it knows", "KB", size)]
