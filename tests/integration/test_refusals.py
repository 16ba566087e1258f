"""A caller that is told `not_run` can rely on it, whatever arrives later."""

from __future__ import annotations

import json
import random
import threading
import time
from pathlib import Path
from urllib.error import HTTPError
from urllib.request import Request, urlopen

import pytest

from lacewingcourse.core.keys import mint_key
from lacewingcourse.testing.deployment import MODEL
from lacewingcourse.testing.processes import wait_until
from lacewingcourse.testing.reply import Reply
from lacewingcourse.testing.requests import put_json

RNG = random.Random(11)
GUARD = 30.0
CALLS = "/wire/call "
CALLS_AND_REVOCATIONS = "/wire/(call|revoke-call) "


@pytest.fixture(scope="module")
def deployment(start_deployment):
    return start_deployment(
        endpoints=2,
        layers=4,
        proxied=frozenset({"agent-*"}),
        entry_variables={
            "LACEWINGCOURSE_CALL_TIMEOUT": "1",
            "LACEWINGCOURSE_MESSAGE_TIMEOUT": "1",
        },
    )


@pytest.fixture
def agent_link(deployment):
    """The link of the fault proxy before the service's agent."""
    link = deployment.proxy("agent-tally-1")
    yield link
    link.clear()


def send(deployment, path: str, body: dict, key: str) -> Reply:
    """Send JSON and return the answer, also if it is a refusal."""
    request = Request(deployment.entries[0].url + path, data=json.dumps(body).encode())
    request.add_header("Content-Type", "application/json")
    request.add_header("Authorization", f"Bearer {deployment.keys['regie']}")
    if key:
        request.add_header("Idempotency-Key", key)
    try:
        with urlopen(request, timeout=GUARD * 2) as response:
            return Reply(response.status, dict(response.headers), json.load(response))
    except HTTPError as error:
        return Reply(error.code, dict(error.headers), json.load(error))


@pytest.fixture
def tally(deployment):
    """Return a function that sends a tally with a key."""

    def call(key: str) -> Reply:
        return send(deployment, "/services/tally/tallies", {"door": 1}, key)

    return call


@pytest.fixture
def service_faults(deployment):
    """Return a function that sets faults of the service; they are lifted at the end."""
    url = deployment.service.engine.listen_url + "/faults"

    def change(**faults):
        put_json(url, json.dumps(faults).encode())

    yield change
    change(hold=False, hold_answer=False)


def fresh_key() -> str:
    return mint_key(time.time(), RNG)


def runs(deployment, key: str) -> int:
    """Return how often the tally of a key took effect."""
    lines = Path(deployment.log_directory, "tallies.jsonl")
    text = lines.read_text() if lines.exists() else ""
    return sum(json.loads(line)["key"] == key for line in text.splitlines())


def forwards(deployment) -> int:
    """Return how many steps the engines have run."""
    return sum(
        put_json(pair.engine.listen_url + "/stats", None, "GET")["steps"]
        for pair in deployment.endpoints
    )


def wait_for_home(tally) -> None:
    """Wait until fresh keys are taken again."""
    wait_until(
        lambda: all(tally(fresh_key()).status == 201 for _ in range(16)),
        GUARD,
        "keys have no home",
    )


def test_late_call_never_starts_after_it_was_called_not_run(
    deployment, tally, agent_link
):
    key = fresh_key()
    agent_link.set(match=CALLS, hold=-1)
    refused = tally(key)
    agent_link.clear()
    assert agent_link.release() >= 1
    assert refused.outcome == "not_run"
    assert int(refused.headers["Retry-After"]) >= 1
    assert runs(deployment, key) == 0
    again = tally(key)
    assert again.status == 201
    assert "Idempotency-Replayed" not in again.headers
    assert runs(deployment, key) == 1


def test_late_copy_of_a_refused_call_never_starts(deployment, tally, agent_link):
    key = fresh_key()
    agent_link.set(match=CALLS, copy=1)
    deployment.service.engine.kill()
    refused = tally(key)
    deployment.restart(deployment.service.engine)
    agent_link.clear()
    agent_link.release()
    assert refused.outcome == "not_run"
    assert runs(deployment, key) == 0
    wait_for_home(tally)
    assert tally(key).status == 201
    assert runs(deployment, key) == 1


def test_call_whose_revocation_is_not_acknowledged_is_unknown(
    deployment, tally, agent_link
):
    key = fresh_key()
    agent_link.set(match=CALLS_AND_REVOCATIONS, hold=-1)
    refused = tally(key)
    agent_link.clear()
    agent_link.release(newest_first=True)
    assert refused.outcome == "unknown"
    assert runs(deployment, key) == 0


def test_late_copy_never_runs_under_another_incarnation(deployment, tally, agent_link):
    key = fresh_key()
    agent_link.set(match=CALLS, copy=1)
    assert tally(key).status == 201
    deployment.restart(deployment.service.agent)
    agent_link.clear()
    agent_link.release()
    wait_for_home(tally)
    assert tally(key).outcome in ("ran", "unknown")
    assert runs(deployment, key) == 1


def test_call_that_has_started_is_never_called_not_run(
    deployment, tally, service_faults
):
    key = fresh_key()
    service_faults(hold_answer=True)
    refused = tally(key)
    service_faults(hold_answer=False)
    assert refused.outcome == "unknown"
    wait_until(lambda: tally(key).status == 201, GUARD, "the answer is not stored")
    assert tally(key).headers["Idempotency-Replayed"] == "true"
    assert runs(deployment, key) == 1


def test_revoked_opening_of_a_stage_never_runs(deployment):
    before = forwards(deployment)
    links = [
        deployment.proxy(name) for name in ("agent-endpoint-1", "agent-endpoint-2")
    ]
    for link in links:
        link.set(match="/wire/open ", hold=-1)
    body = {"model": MODEL, "prompt": "a forecast note", "max_tokens": 4}
    results = []
    thread = threading.Thread(
        target=lambda: results.append(send(deployment, "/v1/completions", body, ""))
    )
    thread.start()
    thread.join(GUARD * 2)
    for link in links:
        link.clear()
        link.release()
    assert results[0].outcome == "not_run"
    assert forwards(deployment) == before
