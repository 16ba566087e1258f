"""Callers that leave or read slowly, and entries that die, with real processes."""

from __future__ import annotations

import json
import socket
from urllib.parse import urlsplit
from urllib.request import Request, urlopen

import pytest

from lacewingcourse.testing.caller import complete
from lacewingcourse.testing.deployment import MODEL, Deployment, DeploymentOptions
from lacewingcourse.testing.processes import wait_until
from lacewingcourse.testing.standins.model import expected_text

#: Tokens of an answer that nobody reads to its end.
ENDLESS = 30000
#: Seconds in which a state must be seen.
GUARD = 60.0


@pytest.fixture(scope="module")
def deployment():
    """Two entries and two stages, each held by two endpoints."""
    settings = {"LACEWINGCOURSE_ORPHAN_TIMEOUT": "2"}
    started = Deployment(
        DeploymentOptions(entries=2, endpoints=4, agent_variables=settings)
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


def running(deployment) -> int:
    """Return how many stages are open."""
    return sum(state_of(pair.agent)["running"] for pair in deployment.endpoints)


def open_stream(deployment, entry, tokens: int) -> socket.socket:
    """Ask for a streamed answer and return the connection after its first bytes."""
    address = urlsplit(entry.url)
    body = json.dumps(
        {"model": MODEL, "prompt": "why", "max_tokens": tokens, "stream": True}
    )
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connection.connect((address.hostname, address.port))
    connection.sendall(
        f"POST /v1/completions HTTP/1.1\r\nHost: entry\r\n"
        f"Authorization: Bearer {deployment.keys['regie']}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
    )
    assert connection.recv(200).startswith(b"HTTP/1.1 200")
    return connection


def test_stages_end_when_the_caller_goes_away(deployment):
    connection = open_stream(deployment, deployment.entries[0], ENDLESS)
    assert running(deployment) > 0
    connection.close()
    wait_until(lambda: running(deployment) == 0, GUARD, "stages are still open")
    assert state_of(deployment.entries[0])["streams"] == 0


def test_others_are_served_while_a_caller_reads_nothing(deployment, run):
    connection = open_stream(deployment, deployment.entries[0], ENDLESS)

    async def ask(http):
        entry = deployment.entries[0]
        return await complete(
            http, entry.url, deployment.keys["regie"], MODEL, "bread", 40
        )

    result = run(ask)
    layers = deployment.options.layers
    assert result.text == expected_text(MODEL, "1", layers, "bread", 40)
    connection.close()
    wait_until(lambda: running(deployment) == 0, GUARD, "stages are still open")


def test_stop_text_that_spans_tokens_ends_the_answer(deployment):
    layers = deployment.options.layers
    words = expected_text(MODEL, "1", layers, "stop here", 12).split()
    stop = f"{words[6]} {words[7][:2]}"
    body = {"model": MODEL, "prompt": "stop here", "max_tokens": 12, "stop": [stop]}
    request = Request(
        deployment.entries[0].url + "/v1/completions",
        data=json.dumps(body).encode(),
        headers={"Authorization": f"Bearer {deployment.keys['regie']}"},
    )
    with urlopen(request, timeout=30) as response:
        choice = json.load(response)["choices"][0]
    assert choice["finish_reason"] == "stop"
    assert choice["text"] == " ".join(words[:6]) + " "
    wait_until(lambda: running(deployment) == 0, GUARD, "stages are still open")


def test_stages_end_when_their_entry_is_gone(deployment):
    entry = deployment.entries[1]
    connection = open_stream(deployment, entry, ENDLESS)
    assert running(deployment) > 0
    entry.kill()
    connection.close()
    wait_until(lambda: running(deployment) == 0, GUARD, "stages are still open")
    entry.start()
    wait_until(deployment.ready, GUARD, "not whole again")
