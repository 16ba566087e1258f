"""Crowds of clients that don't behave, against an entry and an agent."""

from __future__ import annotations

import json
from contextlib import contextmanager
from urllib.error import HTTPError
from urllib.request import Request, urlopen

import pytest

from lacewingcourse.testing import crowd as crowds
from lacewingcourse.testing.crowd import Crowd
from lacewingcourse.testing.deployment import MODEL
from lacewingcourse.testing.footprint import MEBIBYTE, Footprint

pytestmark = pytest.mark.alone

#: Memory and descriptors of a process, and bytes of a body, in its settings.
MEMORY_MB, MAX_DESCRIPTORS, MAX_BODY = 160, 400, MEBIBYTE
#: Clients of a crowd, and of one that only connects.
MEMBERS, CONNECTIONS = 150, 600
#: Seconds that an answer may take.
TIMEOUT = 30.0
#: Request line and first headers of a crowd's requests; the key is no good one.
START = (
    b"POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer none\r\n"
)
#: What the members of a crowd send, by its name.
KINDS = {
    "short-length": lambda: crowds.with_length(START, MAX_BODY, MAX_BODY - 1),
    "over-announced": lambda: crowds.with_length(
        START, 200 * MAX_BODY, crowds.MAX_SENT_BYTES
    ),
    "over-sent": lambda: crowds.endless_chunks(START, 64 * 1024),
    "short-chunks": lambda: crowds.in_chunks(START, MAX_BODY, 64 * 1024, ends=False),
    "tiny-chunks": lambda: crowds.in_chunks(START, MAX_BODY, 1, ends=False),
    "many-fields": lambda: crowds.many_fields(START, 15 * 1024, MAX_BODY),
    "silent": crowds.silent,
}


@pytest.fixture
def deployment(start_deployment_once):
    """A deployment whose processes have narrow limits."""
    variables = {
        "LACEWINGCOURSE_MAX_BODY_BYTES": str(MAX_BODY),
        "LACEWINGCOURSE_MEMORY_MB": str(MEMORY_MB),
        "LACEWINGCOURSE_MAX_DESCRIPTORS": str(MAX_DESCRIPTORS),
    }
    return start_deployment_once(
        entries=1, endpoints=2, entry_variables=variables, agent_variables=variables
    )


@contextmanager
def watched(process):
    """Check that a process lives and stays within its limits meanwhile."""
    port = int(process.listen_url.rpartition(":")[2])
    with Footprint(process.pid, frozenset({port})) as footprint:
        yield
    print(
        f"peak {footprint.peak_bytes / MEBIBYTE:.0f} MB,"
        f" {footprint.peak_unread / MEBIBYTE:.0f} MB of them unread,"
        f" {footprint.peak_descriptors} descriptors"
    )
    assert process.alive()
    assert footprint.peak_bytes < MEMORY_MB * MEBIBYTE
    assert footprint.peak_descriptors < MAX_DESCRIPTORS


def is_ready(process) -> bool:
    """Return whether a process answers that it is ready."""
    try:
        with urlopen(process.listen_url + "/readyz", timeout=TIMEOUT) as response:
            return response.status == 200
    except OSError:
        return False


def status_of_completion(deployment) -> int:
    """Return the status of an ordinary request to the entry."""
    body = {"model": MODEL, "prompt": "a b", "max_tokens": 2}
    headers = {
        "Authorization": f"Bearer {deployment.keys['regie']}",
        "Content-Type": "application/json",
    }
    url = deployment.entries[0].listen_url + "/v1/completions"
    request = Request(url, json.dumps(body).encode(), headers)
    try:
        with urlopen(request, timeout=TIMEOUT) as response:
            return response.status
    except HTTPError as error:
        return error.code


@pytest.mark.parametrize("role", ["entry", "agent"])
@pytest.mark.parametrize("name", KINDS)
def test_crowd_leaves_a_process_within_its_limits(deployment, role, name):
    process = deployment.entries[0]
    if role == "agent":
        process = deployment.endpoints[0].agent
    gathered = Crowd(process.listen_url.removeprefix("http://"))
    with watched(process):
        for _ in range(CONNECTIONS if name == "silent" else MEMBERS):
            gathered.join(KINDS[name]())
        gathered.run()
        assert is_ready(process)
        assert status_of_completion(deployment) == 200
        gathered.leave()
        assert status_of_completion(deployment) == 200
