"""Answers go on when links fail in mid-answer, with real processes and the proxy."""

from __future__ import annotations

import json
import threading
from urllib.request import urlopen

import pytest

from lacewingcourse.testing.caller import complete
from lacewingcourse.testing.deployment import MODEL
from lacewingcourse.testing.processes import wait_until
from lacewingcourse.testing.standins.model import expected_text

#: Tokens of an answer.
TOKENS = 40
#: Tokens after which the failure is brought about.
TOKENS_BEFORE = 10
#: Seconds for which an entry is out of reach.
OUTAGE = 1.0
#: Seconds in which a deployment must be whole again.
GUARD = 60.0
#: Messages between agents.
HOPS = "^POST /wire/hops"


@pytest.fixture(scope="module")
def shared_deployment(start_deployment):
    """Two stages, each held by two endpoints, all behind the fault proxy."""
    return start_deployment(
        endpoints=4, proxied=frozenset({"agent-endpoint-*", "entry-1"})
    )


@pytest.fixture
def deployment(shared_deployment):
    """The deployment, without faults at the start and mended at the end."""
    yield shared_deployment
    for pair in shared_deployment.endpoints:
        link = shared_deployment.proxy(f"agent-{pair.plan.id}")
        link.clear()
        link.release()
    wait_until(shared_deployment.ready, GUARD, "not whole again")


def used_endpoints(deployment) -> list:
    """Return the endpoints that run a stage now, first stage first."""
    used = []
    for pair in deployment.endpoints:
        with urlopen(pair.agent.listen_url + "/state", timeout=10) as response:
            if json.load(response)["running"]:
                used.append(pair)
    return sorted(used, key=lambda pair: pair.plan.layers)


def check_answer(deployment, run, prompt: str, fail) -> None:
    """Ask for an answer, bring a failure about, and check that it is right."""
    failed = []

    def on_text(result):
        if result.token_count == TOKENS_BEFORE:
            failed.append(True)
            fail()

    async def call(http):
        entry = deployment.entries[0]
        key = deployment.keys["regie"]
        url = entry.listen_url
        return await complete(http, url, key, MODEL, prompt, TOKENS, on_text)

    result = run(call)
    layers = deployment.options.layers
    assert failed
    assert result.error == {}
    assert result.text == expected_text(MODEL, "1", layers, prompt, TOKENS)
    assert result.whole


@pytest.mark.parametrize("stage", [0, 1])
@pytest.mark.parametrize(
    "faults",
    [
        {"cut": True},
        {"drop": "both"},
        {"delay": 0.1},
        {"duplicate": 10, "match": HOPS},
        {"lose_answers": 1, "match": HOPS},
        {"lose_requests": 1, "match": HOPS},
        {"copy": 3, "match": HOPS},
    ],
    ids=lambda faults: "-".join(sorted(faults.keys() - {"match"})),
)
def test_answer_goes_on_after_a_link_fails(deployment, run, faults, stage):
    def fail():
        pair = used_endpoints(deployment)[stage]
        deployment.proxy(f"agent-{pair.plan.id}").set(**faults)

    check_answer(deployment, run, f"bread {sorted(faults)} {stage}", fail)


def test_answer_goes_on_after_its_entry_was_out_of_reach(deployment, run):
    link = deployment.proxy("entry-1")

    def fail():
        link.set(cut=True)
        threading.Timer(OUTAGE, link.clear).start()

    check_answer(deployment, run, "milk", fail)
