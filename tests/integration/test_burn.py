"""The burn report with real processes: merged, and after an entry is replaced."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
from urllib.error import HTTPError
from urllib.request import Request, urlopen

import pytest
from prometheus_client.parser import text_string_to_metric_families

from lacewingcourse.core.burn_fleet import FleetBurn, Source
from lacewingcourse.core.configuration import (
    Change,
    Service,
    WorkClass,
)
from lacewingcourse.testing.caller import complete
from lacewingcourse.testing.deployment import (
    MODEL,
    SERVICE,
    Deployment,
    DeploymentOptions,
)
from lacewingcourse.testing.processes import wait_until
from lacewingcourse.testing.requests import put_json
from lacewingcourse.wire.client import new_http_client
from lacewingcourse.wire.codec import decode

#: Guard against a wait that never ends, seconds.
GUARD = 30.0
#: Requests of the traffic that end in each entry.
ENDS_OF_AN_ENTRY = 5
ROOMS = WorkClass("rooms", first_token=20.0, answer=2.0, completeness=0.99)
NOTES = WorkClass("notes", completeness=0.99)
TALLIES = WorkClass("tallies", answer=20.0)


@pytest.fixture(scope="module")
def deployment():
    """Two entries that summarise their counts often, and three classes of work."""
    variables = {"LACEWINGCOURSE_BURN_SUMMARY_INTERVAL": "0.2"}
    options = DeploymentOptions(entries=2, endpoints=2, entry_variables=variables)
    started = Deployment(options)
    try:
        started.up()
        publish_classes(started)
        yield started
    finally:
        started.down()


def readiness(entry) -> dict:
    with urlopen(entry.url + "/readyz", timeout=5) as response:
        return json.load(response)


def publish_classes(deployment) -> None:
    """Publish the classes and give the service one of them."""
    version = readiness(deployment.entries[0])["configuration_version"]
    service = Service(SERVICE, once=("POST /tallies",), work_class=TALLIES.name)
    changes = (
        Change("classes", ROOMS.name, work_class=ROOMS),
        Change("classes", NOTES.name, work_class=NOTES),
        Change("classes", TALLIES.name, work_class=TALLIES),
        Change("services", SERVICE, service=service),
    )
    document = {"base_version": version, "changes": changes}
    deployment.admin("POST", "/changes", document)
    wait_until(
        lambda: all(
            readiness(entry)["configuration_version"] > version
            for entry in deployment.entries
        ),
        GUARD,
        "the classes are not in force",
    )


def report(deployment, query: str = "") -> FleetBurn:
    """Return the report that the first entry gives to an administrator."""
    request = Request(
        deployment.entries[0].url + "/admin/v1/report/burn" + query,
        headers={"Authorization": f"Bearer {deployment.admin_token}"},
    )
    with urlopen(request, timeout=20) as response:
        return decode(response.read(), FleetBurn)


def line(found: FleetBurn, work_class: str, organisation: str | None = None):
    """Return the line of a class, or of an organisation in it."""
    (chosen,) = [
        each
        for each in found.lines
        if (each.work_class, each.organisation) == (work_class, organisation)
    ]
    return chosen


def call_service(deployment, entry) -> None:
    key = deployment.keys["regie"]
    request = Request(
        entry.url + f"/services/{SERVICE}/tallies",
        headers={"Authorization": f"Bearer {key}"},
    )
    with urlopen(request, timeout=10) as response:
        assert response.status == 200


async def complete_as(deployment, entry, organisation, work_class, max_tokens):
    """Ask for a completion of a class of work."""
    return await complete(
        new_http_client(),
        entry.url,
        deployment.keys[organisation],
        MODEL,
        "name the rooms",
        max_tokens,
        headers={"X-Work-Class": work_class.name},
    )


def ask(deployment, entry, organisation, max_tokens):
    """Ask for a completion of the class `notes` and return what the caller got."""
    return asyncio.run(complete_as(deployment, entry, organisation, NOTES, max_tokens))


def hang_engines(deployment, hang: bool) -> None:
    for pair in deployment.endpoints:
        put_json(f"{pair.engine.url}/faults", json.dumps({"hang": hang}).encode())


def answer_late(deployment) -> list:
    """Let each entry give one whole answer, later than its class allows."""

    async def call():
        hang_engines(deployment, True)
        asked = [
            asyncio.ensure_future(complete_as(deployment, entry, "regie", ROOMS, 3))
            for entry in deployment.entries
        ]
        loop = asyncio.get_running_loop()
        for entry in deployment.entries:
            while await loop.run_in_executor(None, streams_of, entry) == 0:
                await asyncio.sleep(0.05)
        await asyncio.sleep(ROOMS.answer + 0.1)
        hang_engines(deployment, False)
        return await asyncio.gather(*asked)

    return asyncio.run(call())


def streams_of(entry) -> int:
    with urlopen(entry.url + "/state", timeout=5) as response:
        return json.load(response)["streams"]


def leave_early(deployment, entry) -> None:
    """Read one event of a long answer and go away."""
    body = {"model": MODEL, "prompt": "a", "max_tokens": 4000, "stream": True}
    request = Request(
        entry.url + "/v1/completions",
        data=json.dumps(body).encode(),
        headers={
            "Authorization": f"Bearer {deployment.keys['regie']}",
            "Content-Type": "application/json",
            "X-Work-Class": NOTES.name,
        },
    )
    with urlopen(request, timeout=10) as response:
        assert response.readline().startswith(b"data: ")


@pytest.fixture(scope="module")
def traffic(deployment):
    """Requests that end in each way, through both entries."""
    assert all(result.whole for result in answer_late(deployment))
    for entry in deployment.entries:
        assert ask(deployment, entry, "blue-mahoe", 0).status == 422
        call_service(deployment, entry)
        leave_early(deployment, entry)
    for pair in deployment.endpoints:
        pair.engine.kill()
    for entry in deployment.entries:
        assert not ask(deployment, entry, "blue-mahoe", 3).whole
    wait_until(
        lambda: line(report(deployment), NOTES.name).rates[0].counts.caller_gone == 2,
        GUARD,
        "the callers that left are not counted",
    )


def check_counts(found: FleetBurn) -> None:
    """Check that a report holds all the traffic, each request once."""
    for each in [rate.counts for rate in line(found, ROOMS.name).rates]:
        assert (each.whole, each.ended) == (2, 2)
        assert (each.late, each.late_answer, each.late_first_token) == (2, 2, 0)
    for each in [rate.counts for rate in line(found, NOTES.name).rates]:
        assert (each.whole, each.incomplete, each.caller_gone) == (0, 2, 2)
        assert sum(each.kinds.values()) == 4
    assert line(found, ROOMS.name, "regie").rates[0].counts.whole == 2
    assert line(found, NOTES.name, "blue-mahoe").rates[0].counts.incomplete == 2
    assert line(found, "", "blue-mahoe").rates[0].counts.caller_fault == 2
    tallies = line(found, TALLIES.name).rates[0]
    assert (tallies.counts.whole, tallies.completeness, tallies.lateness) == (2, 0, 0)


def test_report_merges_all_entries(deployment, traffic):
    found = report(deployment)
    check_counts(found)
    assert {each.source for each in found.coverage} == {Source.COUNTERS}
    assert {each.instance for each in found.coverage} == {"entry-1", "entry-2"}
    rate = line(found, NOTES.name).rates[0]
    assert rate.completeness == pytest.approx(2 / (2 * 0.01))
    assert rate.lateness is None
    rate = line(found, ROOMS.name).rates[0]
    assert rate.completeness == 0
    assert rate.lateness == pytest.approx(2 / (2 * 0.05))
    chosen = report(deployment, "?class=rooms&organisation=regie")
    assert [each.organisation for each in chosen.lines] == ["regie"]


def test_report_is_for_administrators_only(deployment):
    with pytest.raises(HTTPError) as refused:
        urlopen(deployment.entries[0].url + "/admin/v1/report/burn", timeout=5)
    assert refused.value.code == 401
    with pytest.raises(HTTPError) as refused:
        put_json(deployment.entries[0].url + "/wire/burn", b"{}", "POST")
    assert refused.value.code == 403


def command(deployment, *arguments: str) -> subprocess.CompletedProcess:
    """Run the command as an operator of the first entry."""
    return subprocess.run(
        [sys.executable, "-m", "lacewingcourse.cli", *arguments],
        env={
            **os.environ,
            "LACEWINGCOURSE_ENTRY": deployment.entries[0].url,
            "LACEWINGCOURSE_TOKEN": deployment.admin_token,
        },
        capture_output=True,
        text=True,
        timeout=GUARD,
    )


def test_operator_reads_state_and_report(deployment, traffic, tmp_path):
    page = tmp_path / "burn.html"
    shown = command(deployment, "report", "burn", f"--html={page}")
    assert (shown.returncode, shown.stderr) == (0, "")
    assert "rooms" in shown.stdout and "Coverage" in shown.stdout
    assert page.read_text().startswith("<!doctype html>")
    state = json.loads(command(deployment, "state", "--json").stdout)
    assert state["readiness"]["configuration_version"] > 0
    assert state["models"][0]["least"] == 0
    assert "mapchat" in command(deployment, "state").stdout
    status = command(deployment, "status")
    assert status.returncode == 1
    assert "mapchat: no endpoint holds the layers 0..24" in status.stdout


def sample(processes, name: str, **labels: str) -> float:
    """Return the sum over processes of the samples that match."""
    total = 0.0
    for process in processes:
        with urlopen(process.url + "/metrics", timeout=5) as response:
            text = response.read().decode()
        for family in text_string_to_metric_families(text):
            for each in family.samples:
                if each.name == name and labels.items() <= each.labels.items():
                    total += each.value
    return total


def test_counters_agree_with_the_traffic(deployment, traffic):
    entries = deployment.entries
    name = "lacewingcourse_requests_total"
    assert sample(entries, name, work_class="rooms", result="whole") == 2
    assert sample(entries, name, work_class="tallies", result="whole") == 2
    assert sample(entries, name, result="caller_fault", kind="invalid_field") == 2
    spent = "lacewingcourse_burn_spent_total"
    assert sample(entries, spent, work_class="rooms", budget="lateness") == 2
    gaps = "lacewingcourse_time_between_tokens_seconds_count"
    assert sample(entries, gaps, work_class="rooms") >= 4
    agents = [pair.agent for pair in deployment.endpoints]
    sampled = sample(agents, "lacewingcourse_tokens_sampled_total")
    assert sampled >= sample(entries, "lacewingcourse_tokens_total")
    assert sample(agents, "lacewingcourse_engine_batch_items_sum") >= sampled


def test_killed_entrys_counts_come_from_the_log(deployment, traffic):
    log_url = deployment.platform["log_service"].url

    def summarised() -> bool:
        page = put_json(f"{log_url}/streams/burn/records?limit=1000", b"", "GET")
        summaries = [json.loads(each["body"]) for each in page["records"]]
        mine = [each for each in summaries if each["instance"] == "entry-2"]
        rows = [row for each in mine for row in each["rows"]]
        return sum(sum(row["numbers"][:7]) for row in rows) == ENDS_OF_AN_ENTRY

    wait_until(summarised, GUARD, "the second entry's counts are not in the log")
    deployment.entries[1].kill()
    found = report(deployment)
    check_counts(found)
    (gone,) = [each for each in found.coverage if each.instance == "entry-2"]
    assert gone.source is Source.LOG
    assert gone.reason and found.log_problem == ""
    put_json(f"{log_url}/faults", b'{"down": true}')
    found = report(deployment)
    (gone,) = [each for each in found.coverage if each.instance == "entry-2"]
    assert gone.source is Source.NOWHERE
    assert found.log_problem
    assert line(found, ROOMS.name).rates[0].counts.whole == 1
