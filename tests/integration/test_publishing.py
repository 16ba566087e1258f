"""Publishing with real processes: races, lost answers, outages, roles, the commands."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import threading
from concurrent.futures import ThreadPoolExecutor
from importlib.resources import files
from urllib.error import HTTPError
from urllib.request import Request, urlopen

import pytest
from jsonschema import Draft202012Validator
from openapi_spec_validator import validate

from lacewingcourse.entry.admin_api import ADMIN_ROUTES, PREFIX
from lacewingcourse.testing.deployment import Deployment, DeploymentOptions
from lacewingcourse.testing.processes import wait_until
from lacewingcourse.testing.requests import put_json

#: Guard against a wait that never ends, seconds.
GUARD = 30.0
OPENAPI = json.loads(files("lacewingcourse.entry").joinpath("openapi.json").read_text())


class Answer:
    """Status and document of an answer, checked against the OpenAPI document."""

    def __init__(self, status, document):
        self.status = status
        self.document = document


def described(path):
    """Return the path of the OpenAPI document that a path belongs to."""
    parts = path.partition("?")[0].split("/")
    for template in OPENAPI["paths"]:
        names = template.split("/")
        if len(names) == len(parts) and all(
            name.startswith("{") or name == part for name, part in zip(names, parts)
        ):
            return OPENAPI["paths"][template]
    raise AssertionError(f"{path} is not described")


def resolved(node):
    """Return what a node of the OpenAPI document refers to."""
    while "$ref" in node:
        target = OPENAPI
        for name in node["$ref"].removeprefix("#/").split("/"):
            target = target[name]
        node = target
    return node


def check_answer(method, path, status, content_type, document):
    """Check an answer against its description."""
    described_answer = resolved(
        described(path)[method.lower()]["responses"][f"{status}"]
    )
    schema = described_answer["content"][content_type]["schema"]
    whole = {**schema, "components": OPENAPI["components"]}
    Draft202012Validator(whole).validate(document)


@pytest.fixture(scope="module")
def deployment():
    """Two entries and two agents that the tests share."""
    started = Deployment(DeploymentOptions(entries=2, endpoints=2))
    try:
        started.up()
        yield started
    finally:
        started.down()


@pytest.fixture
def ask(deployment):
    """Return a function that asks the admin API and checks the answer's form."""

    def ask_entry(method, path, document=None, base="*", token=None, entry=0):
        body = None if document is None else json.dumps(document).encode()
        headers = {"Authorization": f"Bearer {token or deployment.admin_token}"}
        if base is not None:
            headers["If-Match"] = str(base)
        url = deployment.entries[entry].url + PREFIX + path
        request = Request(url, data=body, method=method, headers=headers)
        try:
            with urlopen(request, timeout=GUARD) as response:
                answer = Answer(response.status, json.load(response))
                kind = response.headers.get_content_type()
        except HTTPError as error:
            answer = Answer(error.code, json.load(error))
            kind = error.headers.get_content_type()
        check_answer(method, path, answer.status, kind, answer.document)
        return answer

    return ask_entry


@pytest.fixture
def log_faults(deployment):
    """Return a function that switches the log's faults; all are off afterwards."""
    url = deployment.platform["log_service"].url

    def switch(**faults):
        put_json(f"{url}/faults", json.dumps(faults).encode())

    yield switch
    switch(down=False, delay=0, lose_answers=0)


@pytest.fixture
def log_records(deployment):
    """Return a function that lists the publish ids that stand in the log."""
    url = deployment.platform["log_service"].url

    def records():
        listed = put_json(f"{url}/streams/configuration/records", None, "GET")
        bodies = [json.loads(each["body"]) for each in listed["records"]]
        return [each["change"]["publish_id"] for each in bodies if each.get("change")]

    return records


def version(ask, entry=0):
    return ask("GET", "/version", entry=entry).document["version"]


def run_command(deployment, *arguments, entry=0):
    """Run an operator's command."""
    variables = {
        **os.environ,
        "LACEWINGCOURSE_ENTRY": deployment.entries[entry].url,
        "LACEWINGCOURSE_TOKEN": deployment.admin_token,
    }
    return subprocess.run(
        [sys.executable, "-m", "lacewingcourse.cli", *arguments],
        env=variables,
        capture_output=True,
        text=True,
        timeout=GUARD,
    )


def test_openapi_document_is_valid_and_describes_every_route():
    validate(OPENAPI)
    templates = {template for template in OPENAPI["paths"]}
    assert len(templates) == len(ADMIN_ROUTES)
    for pattern, handler in ADMIN_ROUTES:
        methods = {
            method.lower()
            for method in ("GET", "PUT", "POST", "DELETE")
            if getattr(handler, method.lower()).__name__ == method.lower()
        }
        found = [
            template
            for template in templates
            if set(OPENAPI["paths"][template]) == methods
        ]
        assert found, f"{pattern} {methods} is not described"


def test_of_racing_operators_one_wins_and_the_other_sees_what_changed(ask):
    base = version(ask)
    barrier = threading.Barrier(4)

    def publish(index):
        barrier.wait()
        document = {"first_token": 1.0 + index}
        return ask("PUT", "/classes/raced", document, f'"{base}"', entry=index % 2)

    with ThreadPoolExecutor(4) as pool:
        answers = list(pool.map(publish, range(4)))
    won = [each for each in answers if each.status == 200]
    lost = [each for each in answers if each.status == 409]
    assert len(won) == 1
    assert len(lost) == 3
    won_id = won[0].document["publish_id"]
    assert won[0].document["version"] == base + 1
    for each in lost:
        assert each.document["changed"][0]["publish_id"] == won_id
        assert each.document["outcome"] == "not_run"


def test_answer_lost_after_its_effect_publishes_once(ask, log_faults, log_records):
    before = version(ask)
    log_faults(lose_answers=1)
    answer = ask("PUT", "/classes/lost", {"answer": 9})
    assert answer.document["answer"] == "accepted"
    assert answer.document["version"] == before + 1
    assert log_records().count(answer.document["publish_id"]) == 1
    again = ask("GET", f"/publications/{answer.document['publish_id']}", entry=1)
    assert again.document["answer"] == "accepted"


def test_outage_is_not_published_and_changes_nothing(ask, log_faults, log_records):
    before = version(ask)
    log_faults(down=True)
    answer = ask("PUT", "/classes/outage", {"answer": 9})
    assert answer.status == 503
    assert answer.document["answer"] == "not_published"
    publish_id = answer.document["publish_id"]
    log_faults(down=False)
    assert publish_id not in log_records()
    accepted = ask("PUT", "/classes/outage", {"answer": 8}, f'"{before}"')
    assert accepted.document["version"] == before + 1
    told = ask("GET", f"/publications/{publish_id}")
    assert told.document["answer"] == "conflict"


def test_unknown_publication_tells_the_truth_later(ask, log_faults):
    log_faults(delay=14)
    answer = ask("PUT", "/classes/unknown", {"answer": 9})
    assert answer.status == 504
    assert answer.document["answer"] == "unknown"
    publish_id = answer.document["publish_id"]
    log_faults(delay=0)

    def known():
        told = ask("GET", f"/publications/{publish_id}", entry=1)
        return told.document["answer"] == "accepted"

    wait_until(known, GUARD, "the publication stays unknown")
    shown = ask("GET", "/classes/unknown", entry=1)
    assert shown.document["item"]["answer"] == 9
    records = ask("GET", "/classes/unknown/history").document["records"]
    assert [each["publish_id"] for each in records] == [publish_id]


@pytest.mark.parametrize(
    ("path", "document", "pointer"),
    [
        ("/classes/x", {"first_token": "soon"}, "/first_token"),
        ("/classes/x", {"first_token": 1, "percentile": 1}, "/percentile"),
        ("/classes/x", {"first_token": 1, "weight": 2}, "/weight"),
        ("/models/x", {"layer_count": True}, "/layer_count"),
        ("/models/x", {"layer_count": 3, "work_class": "none"}, "/work_class"),
        ("/models/x", {}, "/layer_count"),
        ("/services/x", {"once": ["POST"]}, "/once"),
        ("/services/x", {"endpoints": ["e-1"]}, "/endpoints"),
        ("/organisations/x", {"key_hashes": ["secret"]}, "/key_hashes"),
        ("/operators/x", {"role": "king", "token_hash": "0" * 64}, "/role"),
    ],
)
def test_invalid_change_names_the_field(ask, path, document, pointer):
    before = version(ask)
    checked = ask("PUT", path + "?dry_run=true", document)
    answer = ask("PUT", path, document)
    assert answer.status == checked.status == 422
    assert answer.document["pointer"] == checked.document["pointer"] == pointer
    assert version(ask) == before


def test_class_in_use_stays_and_many_changes_are_all_or_nothing(ask):
    base = version(ask)
    changes = [
        {"collection": "classes", "name": "used", "work_class": {"answer": 5}},
        {"collection": "services", "name": "push", "service": {"work_class": "used"}},
    ]
    document = {"base_version": base, "changes": changes}
    assert ask("POST", "/changes", document).document["version"] == base + 1
    refused = ask("DELETE", "/classes/used")
    assert refused.document["pointer"] == "/name"
    changes[0]["work_class"]["answer"] = 6
    changes[1]["service"]["work_class"] = "missing"
    document = {"base_version": base + 1, "changes": changes}
    refused = ask("POST", "/changes", document)
    assert refused.document["pointer"] == "/changes/1/service/work_class"
    assert ask("GET", "/classes/used").document["item"]["answer"] == 5


def test_roles_allow_no_more_than_they_say(ask, deployment):
    tokens = {}
    for role in ("viewer", "operator"):
        tokens[role] = f"token-of-a-{role}-{deployment.shared_secret}"
        name = f"test-{role}"
        ended = run_command(
            deployment,
            *("operator", "set", name, "--role", role, "--new-token", tokens[role]),
        )
        assert ended.returncode == 0, ended.stderr
    viewer, operator = tokens["viewer"], tokens["operator"]
    target = {"answer": 3}
    assert ask("GET", "/classes", token=viewer).status == 200
    assert ask("PUT", "/classes/roles", target, token=viewer).status == 403
    assert ask("PUT", "/classes/roles", target, token=operator).status == 200
    grant = {"role": "administrator", "token_hash": "0" * 64}
    assert ask("PUT", "/operators/me", grant, token=operator).status == 403
    change = {"collection": "operators", "name": "me", "operator": grant}
    document = {"base_version": version(ask), "changes": [change]}
    assert ask("POST", "/changes", document, token=operator).status == 403
    assert ask("GET", "/classes", token="a-token-that-nobody-has").status == 401
    records = ask("GET", "/classes/roles/history").document["records"]
    assert [each["author"] for each in records] == ["test-operator"]


def test_new_key_is_shown_once_and_lets_the_organisation_in(ask, deployment):
    answer = ask("POST", "/organisations/regie/keys")
    key = answer.document["key"]
    request = Request(
        deployment.entries[1].url + "/v1/models",
        headers={"Authorization": f"Bearer {key}"},
    )
    assert (
        ask("GET", f"/rollouts/{answer.document['version']}?timeout=30").status == 200
    )
    with urlopen(request, timeout=GUARD) as response:
        assert response.status == 200
    shown = ask("GET", "/organisations/regie").document["item"]
    assert key not in json.dumps(shown)
    start = shown["key_hashes"][-1][:12]
    removed = ask("DELETE", f"/organisations/regie/keys/{start}")
    assert removed.document["answer"] == "accepted"
    path = f"/rollouts/{removed.document['version']}?timeout=30"
    assert ask("GET", path).document["lagging"] == []
    with pytest.raises(HTTPError, match="401"):
        urlopen(request, timeout=GUARD)


def test_commands_exit_by_answer_and_wait_names_who_lags(deployment, ask, log_faults):
    ended = run_command(
        deployment, "class", "set", "naming", "--first-token", "0.74", "--wait"
    )
    assert ended.returncode == 0, ended.stderr
    assert "in force on 5 instances" in ended.stdout
    bad = run_command(deployment, "class", "set", "naming", "--percentile", "2")
    assert (bad.returncode, "/percentile" in bad.stderr) == (4, True)
    late = run_command(
        deployment, "class", "set", "naming", "--answer", "9", "--based-on", "1"
    )
    assert (late.returncode, "administrator" in late.stdout) == (3, True)
    log_faults(down=True)
    down = run_command(deployment, "class", "set", "naming", "--answer", "9")
    assert down.returncode == 5
    log_faults(down=False)
    paused = deployment.endpoints[0].agent
    paused.pause()
    try:
        lagging = run_command(
            deployment,
            *("class", "set", "naming", "--answer", "8", "--wait", "--timeout", "2"),
        )
    finally:
        paused.resume()
    assert lagging.returncode == 7
    assert lagging.stderr.strip() == f"not yet on: {deployment.endpoints[0].plan.id}"
    number = str(version(ask))
    assert run_command(deployment, "configuration", "wait", number).returncode == 0
