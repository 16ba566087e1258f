"""Measures how fast an accepted change is in force, and what passing it on costs."""

from __future__ import annotations

import argparse
import json
import re
import statistics
import time
from datetime import datetime
from urllib.error import HTTPError
from urllib.request import urlopen

import attrs
from prometheus_client.parser import text_string_to_metric_families

from lacewingcourse.testing.deployment import Deployment, DeploymentOptions
from lacewingcourse.testing.processes import wait_until
from lacewingcourse.testing.requests import put_json

#: Changes a second: ten times the mean of 19,000 a day.
PEAK_RATE = 2.2
#: Seconds between two changes at rest.
REST_INTERVAL = 1.0
#: Seconds of an outage of the log.
OUTAGE = 5.0
#: Agents of the smallest deployment: two endpoints and a plain service.
AGENTS = 3
#: A log line that says that a version is in force.
IN_FORCE = re.compile(r"^(\S+) INFO .* configuration in force version=(\d+)")
#: Metrics that are summed over all processes: name, labels.
COUNTERS = {
    "reads": ("lacewingcourse_log_operations_total", "read"),
    "appends": ("lacewingcourse_log_operations_total", "append"),
    "exchanges": ("lacewingcourse_configuration_exchanges_total", None),
    "bytes": ("lacewingcourse_configuration_exchange_bytes_total", None),
}


@attrs.frozen
class Accepted:
    """An accepted change.

    Attributes:
        version: The version that it made.
        at: When the operator got the answer, seconds since the epoch.
    """

    version: int
    at: float


def publish(deployment: Deployment, number: int) -> Accepted:
    """Publish a change and return when it was accepted."""
    target = {"answer": 1.0 + number}
    answer = deployment.admin("PUT", "/classes/measured", target)
    return Accepted(answer["version"], time.time())


def daemons(deployment: Deployment) -> list:
    """Return all entries and agents."""
    pairs = [*deployment.endpoints, deployment.service]
    return [*deployment.entries, *(pair.agent for pair in pairs)]


def counters(deployment: Deployment) -> dict[str, float]:
    """Return the sums of the counters over all processes."""
    sums = dict.fromkeys(COUNTERS, 0.0)
    for process in daemons(deployment):
        with urlopen(process.listen_url + "/metrics", timeout=30) as response:
            text = response.read().decode()
        for family in text_string_to_metric_families(text):
            for sample in family.samples:
                add_sample(sums, sample)
    return sums


def add_sample(sums: dict[str, float], sample) -> None:
    """Add a sample to the sum that it belongs to."""
    for name, (metric, operation) in COUNTERS.items():
        if sample.name != metric:
            continue
        stream = sample.labels.get("stream", "configuration")
        if stream == "configuration" and sample.labels.get("operation") == operation:
            sums[name] += sample.value


def in_force_times(deployment: Deployment) -> dict[int, list[float]]:
    """Return when each process put each version in force, from the log lines.

    A process that takes several versions at once names only the newest, so a version
    counts as in force when it or a later one is.
    """
    times: dict[int, list[float]] = {}
    for process in daemons(deployment):
        path = deployment.log_directory / f"{process.name}.log"
        seen = [IN_FORCE.match(line) for line in path.read_text().splitlines()]
        before = 0
        for match in filter(None, seen):
            moment = datetime.fromisoformat(match[1]).timestamp()
            for version in range(before + 1, int(match[2]) + 1):
                times.setdefault(version, []).append(moment)
            before = int(match[2])
    return times


def settle(deployment: Deployment, version: int) -> None:
    """Wait until every process has a version in force."""

    def all_have() -> bool:
        path = f"/rollouts/{version}?timeout=20"
        return not deployment.admin("GET", path)["lagging"]

    wait_until(all_have, 60.0, "a version does not reach all")


def report(deployment: Deployment, title: str, accepted: list[Accepted]) -> None:
    """Print the distribution of accepted to in force over changes and processes."""
    settle(deployment, accepted[-1].version)
    times = in_force_times(deployment)
    delays = sorted(
        max(0.0, moment - each.at)
        for each in accepted
        for moment in times[each.version]
    )
    last = [max(0.0, max(times[each.version]) - each.at) for each in accepted]
    print(
        f"{title}: {len(accepted)} changes, process delay ms"
        f" p50 {statistics.median(delays) * 1000:.0f}"
        f" p95 {delays[int(len(delays) * 0.95)] * 1000:.0f};"
        f" last process ms p50 {statistics.median(last) * 1000:.0f}"
        f" max {max(last) * 1000:.0f}",
        flush=True,
    )


def report_rates(title: str, before: dict, after: dict, seconds: float, nodes: int):
    """Print the rates of the counters."""
    rates = {name: (after[name] - before[name]) / seconds for name in COUNTERS}
    print(
        f"{title}: appends/s {rates['appends']:.2f}, reads/s {rates['reads']:.2f},"
        f" exchanges/s per node {2 * rates['exchanges'] / nodes:.2f},"
        f" body bytes/s per node {2 * rates['bytes'] / nodes:.0f}",
        flush=True,
    )


def run_phase(deployment: Deployment, title: str, interval: float, seconds: float):
    """Publish at a rate, and print delays and rates."""
    before, started = counters(deployment), time.monotonic()
    accepted = []
    while time.monotonic() - started < seconds:
        due = started + (len(accepted) + 1) * interval
        accepted.append(publish(deployment, len(accepted)))
        time.sleep(max(0.0, due - time.monotonic()))
    elapsed = time.monotonic() - started
    after = counters(deployment)
    nodes = len(daemons(deployment))
    report(deployment, title, accepted)
    report_rates(title, before, after, elapsed, nodes)


def run_outage(deployment: Deployment) -> None:
    """Take the log down, and print how soon a change is accepted and in force after."""
    url = deployment.platform["log_service"].url + "/faults"
    put_json(url, json.dumps({"down": True}).encode())
    time.sleep(OUTAGE)
    put_json(url, json.dumps({"down": False}).encode())
    back = time.time()
    while True:
        try:
            accepted = publish(deployment, 0)
            break
        except HTTPError:
            time.sleep(0.05)
    print(f"after an outage: accepted {(accepted.at - back) * 1000:.0f} ms later")
    report(deployment, "after an outage", [accepted])


def measure(processes: int, seconds: float) -> None:
    """Measure with a number of processes."""
    options = DeploymentOptions(entries=processes - AGENTS, endpoints=2)
    deployment = Deployment(options)
    try:
        deployment.up()
        print(f"-- {processes} processes", flush=True)
        settle(deployment, publish(deployment, 0).version)
        before, started = counters(deployment), time.monotonic()
        time.sleep(seconds)
        elapsed = time.monotonic() - started
        nodes = len(daemons(deployment))
        report_rates("no changes", before, counters(deployment), elapsed, nodes)
        run_phase(deployment, "at rest", REST_INTERVAL, seconds)
        run_phase(deployment, "peak", 1 / PEAK_RATE, seconds)
        run_outage(deployment)
    finally:
        deployment.down()


def main() -> None:
    """Measure with each number of processes that the arguments name."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--processes", default="10,50")
    parser.add_argument("--seconds", type=float, default=20.0)
    arguments = parser.parse_args()
    for processes in arguments.processes.split(","):
        measure(int(processes), arguments.seconds)


if __name__ == "__main__":
    main()
