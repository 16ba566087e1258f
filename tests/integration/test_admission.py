"""Admission with real processes: targets, shares, bounds and truthful refusals."""

from __future__ import annotations

import asyncio
import json
import secrets
import time
from collections import Counter
from urllib.request import urlopen

import pytest
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from lacewingcourse.core.configuration import Change, ConfigurationRecord, WorkClass
from lacewingcourse.platform.log import Append
from lacewingcourse.testing.caller import complete
from lacewingcourse.testing.deployment import (
    MODEL,
    Deployment,
    DeploymentOptions,
    put_json,
)
from lacewingcourse.testing.processes import wait_until
from lacewingcourse.testing.standins.model import expected_text
from lacewingcourse.wire.client import fetch
from lacewingcourse.wire.codec import encode

#: Guard against a wait that never ends, seconds.
GUARD = 30.0
#: Streams that an agent takes at one time.
MAX_STREAMS = 6
NAMING = WorkClass("naming", first_token=3.0)
IMPOSSIBLE = WorkClass("impossible", first_token=0.001)
#: Kinds of refusals that admission gives.
ADMISSION_KINDS = {"deadline_unreachable", "organisation_over_share", "overloaded"}


@pytest.fixture(scope="module")
def deployment():
    """One entry before two slow endpoints that take few streams."""
    options = DeploymentOptions(
        endpoints=2,
        step_time=0.03,
        agent_variables={"LACEWINGCOURSE_MAX_STREAMS": str(MAX_STREAMS)},
    )
    started = Deployment(options)
    try:
        started.up()
        publish_classes(started, NAMING, IMPOSSIBLE)
        yield started
    finally:
        started.down()


def configuration_version(deployment) -> int:
    with urlopen(deployment.entries[0].url + "/readyz", timeout=5) as response:
        return json.load(response)["configuration_version"]


def publish_classes(deployment, *classes: WorkClass) -> None:
    """Publish classes of work and wait until they are in force."""
    version = configuration_version(deployment)
    changes = tuple(Change("classes", each.name, work_class=each) for each in classes)
    record = ConfigurationRecord(
        secrets.token_hex(16), version, "test", time.time(), changes
    )
    url = deployment.platform["log_service"].url
    append = Append(encode(record).decode())
    put_json(f"{url}/streams/configuration/records", append, "POST")
    wait_until(
        lambda: configuration_version(deployment) > version,
        GUARD,
        "the classes are not in force",
    )


def ask_many(deployment, requests: list[tuple[str, str, int]]) -> list:
    """Ask for completions at once: organisation, class of work, tokens."""

    async def call():
        http = CurlAsyncHTTPClient(force_instance=True, max_clients=500)
        return await asyncio.gather(
            *(
                complete(
                    http,
                    deployment.entries[0].url,
                    deployment.keys[organisation],
                    MODEL,
                    f"name room {index}",
                    tokens,
                    headers={"X-Work-Class": name} if name else {},
                )
                for index, (organisation, name, tokens) in enumerate(requests)
            )
        )

    return asyncio.run(call())


def check_truth(deployment, results: list, tokens: int) -> Counter:
    """Check that each answer is whole and right, or truly refused; count them."""
    counts = Counter()
    layers = deployment.options.layers
    for index, result in enumerate(results):
        if result.whole:
            prompt = f"name room {index}"
            assert result.text == expected_text(MODEL, "1", layers, prompt, tokens)
            counts["whole"] += 1
            continue
        assert result.error["outcome"] == "not_run"
        assert result.error["kind"] in ADMISSION_KINDS
        assert result.text == ""
        counts[result.error["kind"]] += 1
    return counts


def test_target_beyond_reach_is_refused_at_once_and_says_when_to_return(deployment):
    warm_up = ask_many(deployment, [("regie", "", 4)])
    assert warm_up[0].whole
    wait_until(lambda: fresh_steps(deployment), GUARD, "no endpoint has told its speed")

    async def ask():
        body = {"model": MODEL, "prompt": "croissants", "max_tokens": 4}
        request = HTTPRequest(
            deployment.entries[0].url + "/v1/completions",
            method="POST",
            body=json.dumps(body),
            headers={
                "Authorization": f"Bearer {deployment.keys['regie']}",
                "X-Work-Class": IMPOSSIBLE.name,
            },
        )
        return await fetch(CurlAsyncHTTPClient(force_instance=True), request)

    response = asyncio.run(ask())
    problem = json.loads(response.body)
    assert response.code == 503
    assert (problem["kind"], problem["outcome"]) == ("deadline_unreachable", "not_run")
    assert int(response.headers["Retry-After"]) >= 1


def fresh_steps(deployment) -> bool:
    """Tell whether every endpoint that the entry knows has fresh estimates."""
    with urlopen(deployment.entries[0].url + "/state", timeout=5) as response:
        endpoints = json.load(response)["endpoints"]
    models = [each for each in endpoints if each["model"]]
    if not all(each["load"]["fresh"] for each in models):
        ask_many(deployment, [("regie", "", 4)] * 4)
        return False
    return True


def test_wake_up_is_answered_whole_or_refused_and_shares_are_kept(deployment):
    large = [("blue-mahoe", NAMING.name, 20)] * 90
    small = [("regie", NAMING.name, 20)] * 6
    results = ask_many(deployment, large + small)
    counts = check_truth(deployment, results, 20)
    assert counts["whole"] >= MAX_STREAMS
    assert counts.total() == 96
    whole_small = sum(result.whole for result in results[90:])
    whole_large = sum(result.whole for result in results[:90])
    assert whole_small / 6 >= whole_large / 90


def test_work_without_class_waits_its_turn_beyond_the_agents_bound(deployment):
    results = ask_many(deployment, [("regie", "", 8)] * (5 * MAX_STREAMS))
    counts = check_truth(deployment, results, 8)
    assert counts["whole"] > 2 * MAX_STREAMS
