"""Endpoints, agents and entries that leave cut nothing off, with real processes."""

from __future__ import annotations

import json
import socket
from urllib.error import HTTPError
from urllib.parse import urlsplit
from urllib.request import Request, urlopen

import pytest

from lacewingcourse.backing.instances import InstanceState
from lacewingcourse.testing.caller import complete
from lacewingcourse.testing.deployment import MODEL, Deployment, DeploymentOptions
from lacewingcourse.testing.processes import wait_until
from lacewingcourse.testing.standins.model import expected_text

#: Tokens of an answer that ends within the bound of a drain.
SHORT = 40
#: Tokens of an answer that usually does not.
LONG = 400
#: Tokens of an answer that never does.
VERY_LONG = 3000
#: Seconds of a drain at the most.
DRAIN = {"LACEWINGCOURSE_DRAIN_TIMEOUT": "6"}
#: Seconds in which a process must have ended or a state be seen.
GUARD = 60.0


@pytest.fixture(scope="module")
def deployment():
    """Two entries, and three stages that are each held by two endpoints."""
    started = Deployment(
        DeploymentOptions(
            entries=2, endpoints=6, entry_variables=DRAIN, agent_variables=DRAIN
        )
    )
    try:
        started.up()
        yield started
    finally:
        started.down()


def state_of(process) -> dict:
    """Return the state page of an agent or entry."""
    with urlopen(process.url + "/state", timeout=10) as response:
        return json.load(response)


def used_endpoints(deployment) -> list:
    """Return the endpoints that run a stage now."""
    alive = [pair for pair in deployment.endpoints if pair.agent.alive()]
    return [pair for pair in alive if state_of(pair.agent)["running"]]


def ask(deployment, run, prompt, tokens, entry, moment=None):
    """Ask for an answer; call a function once when ten tokens are out."""

    def on_text(result):
        if result.token_count == 10 and moment is not None:
            moment()

    async def call(http):
        key = deployment.keys["regie"]
        return await complete(http, entry.url, key, MODEL, prompt, tokens, on_text)

    return run(call)


def refusal_of(deployment, entry) -> dict:
    """Return the refusal of a request that comes too late."""
    body = {"model": MODEL, "prompt": "late", "max_tokens": 1}
    key = deployment.keys["regie"]
    request = Request(
        entry.url + "/v1/completions",
        data=json.dumps(body).encode(),
        headers={"Authorization": f"Bearer {key}"},
    )
    with pytest.raises(HTTPError) as caught:
        urlopen(request, timeout=10)
    assert int(caught.value.headers["Retry-After"]) >= 1
    return json.load(caught.value)


def check_whole(deployment, result, prompt, tokens) -> None:
    layers = deployment.options.layers
    assert result.error == {}
    assert result.text == expected_text(MODEL, "1", layers, prompt, tokens)
    assert result.whole


def test_endpoint_leaving_by_the_list_finishes_but_takes_no_new_work(deployment, run):
    entry = deployment.entries[0]
    left = []

    def leave():
        left.append(used_endpoints(deployment)[0])
        deployment.list_instance(left[0], InstanceState.LEAVING)

    result = ask(deployment, run, "bread for the door", SHORT, entry, leave)
    check_whole(deployment, result, "bread for the door", SHORT)

    def known_as_leaving():
        shown = {each["id"]: each for each in state_of(entry)["endpoints"]}
        return shown[left[0].plan.id]["leaving"]

    wait_until(known_as_leaving, GUARD, "the entry does not know")
    seen = []
    for index in range(3):
        prompt = f"butter {index}"
        result = ask(
            deployment,
            run,
            prompt,
            SHORT,
            entry,
            lambda: seen.extend(used_endpoints(deployment)),
        )
        check_whole(deployment, result, prompt, SHORT)
    assert left[0] not in seen
    deployment.list_instance(left[0], InstanceState.LIVE)
    wait_until(lambda: not known_as_leaving(), GUARD, "the entry does not know")


@pytest.mark.parametrize("tokens", [SHORT, LONG])
def test_agent_that_ends_cuts_no_answer(deployment, run, tokens):
    entry = deployment.entries[0]
    ended = []

    def end():
        ended.append(used_endpoints(deployment)[0])
        ended[0].agent.terminate()

    prompt = f"milk for {tokens}"
    result = ask(deployment, run, prompt, tokens, entry, end)
    check_whole(deployment, result, prompt, tokens)
    assert ended[0].agent.wait(GUARD) == 0
    result = ask(deployment, run, "next", SHORT, entry)
    check_whole(deployment, result, "next", SHORT)
    ended[0].agent.start()
    wait_until(deployment.ready, GUARD, "not whole again")


@pytest.mark.parametrize("tokens", [SHORT, VERY_LONG])
def test_entry_that_ends_finishes_its_answers_or_says_so(deployment, run, tokens):
    entry = deployment.entries[1]
    address = urlsplit(entry.url)
    idle = socket.create_connection((address.hostname, address.port))
    idle.sendall(b"GET /healthz HTTP/1.1\r\nHost: entry\r\n\r\n")
    assert idle.recv(100).startswith(b"HTTP/1.1 200")
    refused = []

    def end():
        entry.terminate()
        wait_until(lambda: not entry.ready(), GUARD, "still ready")
        refused.append(refusal_of(deployment, entry))

    prompt = f"count for {tokens}"
    result = ask(deployment, run, prompt, tokens, entry, end)
    assert refused[0]["kind"] == "draining"
    assert refused[0]["outcome"] == "not_run"
    if tokens == SHORT:
        check_whole(deployment, result, prompt, tokens)
    else:
        assert result.error["kind"] == "draining"
        assert result.error["outcome"] == "partial"
        assert not result.done
    assert entry.wait(GUARD) == 0
    idle.close()
    entry.start()
    wait_until(deployment.ready, GUARD, "not whole again")
    wait_until(lambda: not used_endpoints(deployment), GUARD, "stages not released")
