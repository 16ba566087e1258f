"""Accepted configuration with real processes: in force everywhere, never reverting."""

from __future__ import annotations

import json
import time
from urllib.error import HTTPError
from urllib.request import urlopen

import pytest
from prometheus_client.parser import text_string_to_metric_families

from lacewingcourse.core.dissemination import reader_rank
from lacewingcourse.testing.deployment import Deployment, DeploymentOptions
from lacewingcourse.testing.processes import wait_until
from lacewingcourse.testing.requests import put_json

#: Guard against a wait that never ends, seconds.
GUARD = 40.0
#: Seconds for which the log keeps a record here.
RETENTION = 6.0


@pytest.fixture(scope="module")
def deployment():
    """Four entries over a log that drops records after a few seconds."""
    variables = {"LACEWINGCOURSE_LOG_RETENTION": str(RETENTION)}
    options = DeploymentOptions(
        entries=4,
        endpoints=2,
        entry_variables=variables,
        log_retention=RETENTION,
    )
    started = Deployment(options)
    try:
        started.up()
        yield started
    finally:
        started.down()


@pytest.fixture
def log_faults(deployment):
    """Return a function that switches the log's faults; all are off afterwards."""
    url = deployment.platform["log_service"].url

    def switch(**faults):
        put_json(f"{url}/faults", json.dumps(faults).encode())

    yield switch
    switch(down=False, delay=0, lose_answers=0)


def readiness(process):
    """Return the readiness that a process tells."""
    try:
        with urlopen(process.url + "/readyz", timeout=5) as response:
            return json.load(response)
    except HTTPError as error:
        return json.load(error)


def daemons(deployment):
    pairs = [*deployment.endpoints, deployment.service]
    return [*deployment.entries, *(pair.agent for pair in pairs)]


def versions(deployment):
    return {readiness(each)["configuration_version"] for each in daemons(deployment)}


def publish(deployment, seconds):
    """Publish a target and return the version that it made."""
    answer = deployment.admin("PUT", "/classes/quiet", {"answer": seconds})
    return answer["version"]


def target(deployment, entry):
    """Return the published target as an entry has it in force."""
    url = f"{entry.url}/admin/v1/classes/quiet"
    shown = put_json(url, None, "GET", deployment.admin_token)
    return shown["item"]["answer"]


def wait_everywhere(deployment, version):
    wait_until(
        lambda: versions(deployment) == {version},
        GUARD,
        f"version {version} is not in force everywhere",
    )


def first_offset(deployment):
    url = deployment.platform["log_service"].url
    page = put_json(f"{url}/streams/configuration/records", None, "GET")
    return page["first_offset"], page["next_offset"]


def wait_for_drop(deployment):
    """Wait until the log has dropped all that it holds now."""
    end = first_offset(deployment)[1]
    wait_until(
        lambda: first_offset(deployment)[0] >= end, GUARD, "the log drops nothing"
    )


def test_version_is_in_force_on_every_instance_and_in_its_metric(deployment):
    version = publish(deployment, 11)
    wait_everywhere(deployment, version)
    for process in daemons(deployment):
        with urlopen(process.url + "/metrics", timeout=5) as response:
            text = response.read().decode()
        assert f"lacewingcourse_configuration_version {float(version)}" in text


def test_retention_overtakes_a_quiet_setting_and_nothing_is_lost(deployment):
    version = publish(deployment, 12)
    wait_for_drop(deployment)
    entry = deployment.entries[0]
    deployment.restart(entry)
    assert readiness(entry)["configuration_version"] == version
    assert target(deployment, entry) == 12


def test_reader_that_starts_alone_recovers_from_the_snapshot(deployment):
    version = publish(deployment, 13)
    wait_for_drop(deployment)
    others = deployment.entries[1:]
    for entry in others:
        entry.pause()
    try:
        deployment.restart(deployment.entries[0])
        assert readiness(deployment.entries[0])["configuration_version"] == version
        assert target(deployment, deployment.entries[0]) == 13
    finally:
        for entry in others:
            entry.resume()


def test_start_during_an_outage_takes_the_newest_fold_of_peers(deployment, log_faults):
    version = publish(deployment, 14)
    wait_everywhere(deployment, version)
    log_faults(down=True)
    deployment.restart(deployment.entries[0])
    assert readiness(deployment.entries[0])["configuration_version"] == version
    assert target(deployment, deployment.entries[0]) == 14


def test_start_during_an_outage_without_peers_does_not_serve(deployment, log_faults):
    version = publish(deployment, 15)
    wait_everywhere(deployment, version)
    log_faults(down=True)
    first, *others = deployment.entries
    for entry in others:
        entry.pause()
    try:
        first.kill()
        first.start()
        wait_until(lambda: first.ready("/healthz"), GUARD, "the entry does not start")
        state = readiness(first)
        assert (state["ready"], state["reason"]) == (False, "no configuration yet")
        with pytest.raises(HTTPError, match="503"):
            target(deployment, first)
    finally:
        for entry in others:
            entry.resume()
    wait_until(first.ready, GUARD, "the entry takes no fold from its peers")
    assert target(deployment, first) == 15


def test_outage_longer_than_retention_loses_nothing(deployment, log_faults):
    version = publish(deployment, 16)
    wait_everywhere(deployment, version)
    log_faults(down=True)
    time.sleep(RETENTION + 1)  # the log shows nothing while it is down
    assert versions(deployment) == {version}
    log_faults(down=False)
    deployment.restart(deployment.entries[1])
    assert target(deployment, deployment.entries[1]) == 16
    wait_everywhere(deployment, publish(deployment, 17))


def test_paused_instances_catch_up_after_their_records_were_dropped(deployment):
    sleepers = [deployment.entries[2], deployment.endpoints[0].agent]
    for process in sleepers:
        process.pause()
    try:
        for seconds in range(20, 25):
            version = publish(deployment, seconds)
        wait_for_drop(deployment)
    finally:
        for process in sleepers:
            process.resume()
    wait_everywhere(deployment, version)
    assert target(deployment, deployment.entries[2]) == 24


def reads(process):
    """Return how often an entry has read the configuration from the log."""
    with urlopen(process.url + "/metrics", timeout=5) as response:
        families = text_string_to_metric_families(response.read().decode())
    return sum(
        sample.value
        for family in families
        for sample in family.samples
        if sample.name == "lacewingcourse_log_operations_total"
        and sample.labels["operation"] == "read"
        and sample.labels["stream"] == "configuration"
    )


def test_entry_beyond_the_readers_of_the_log_is_told_by_others(deployment):
    names = {entry.name: entry for entry in deployment.entries}
    (told,) = [
        entry for name, entry in names.items() if reader_rank(name, names) is None
    ]
    reader = next(entry for entry in deployment.entries if entry is not told)
    wait_until(told.ready, GUARD, "the entry is not ready")
    before = reads(told)
    url = f"{reader.url}/admin/v1/classes/quiet"
    answer = put_json(url, b'{"answer": 30}', "PUT", deployment.admin_token)
    wait_everywhere(deployment, answer["version"])
    assert target(deployment, told) == 30
    assert reads(told) == before
