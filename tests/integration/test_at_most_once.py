"""Calls and answers with a key run at most once, whatever fails."""

from __future__ import annotations

import json
import random
import threading
import time
import uuid
from pathlib import Path
from urllib.error import HTTPError
from urllib.request import Request, urlopen

import pytest

from lacewingcourse.core.keys import (
    SHARD_COUNT,
    mint_key,
    scope_of,
    service_target,
    shard_of,
)
from lacewingcourse.testing.deployment import MODEL
from lacewingcourse.testing.processes import WaitTimeout, wait_until
from lacewingcourse.testing.reply import Reply
from lacewingcourse.testing.requests import put_json
from lacewingcourse.testing.standins.model import expected_text

RNG = random.Random(7)
GUARD = 30.0


@pytest.fixture(scope="module")
def deployment(start_deployment):
    return start_deployment(
        entries=2,
        endpoints=2,
        services=2,
        layers=4,
        proxied=frozenset({"agent-tally-*"}),
        agent_variables={"LACEWINGCOURSE_HANDOVER_AFTER": "1"},
    )


def post(url: str, body: dict, key: str, headers: dict) -> Reply:
    """Send JSON and return the answer, also if it is a refusal."""
    request = Request(url, data=json.dumps(body).encode(), headers=headers)
    request.add_header("Content-Type", "application/json")
    request.add_header("Authorization", f"Bearer {key}")
    try:
        with urlopen(request, timeout=GUARD * 2) as response:
            return Reply(response.status, dict(response.headers), json.load(response))
    except HTTPError as error:
        return Reply(error.code, dict(error.headers), json.load(error))


@pytest.fixture
def tally(deployment):
    """Return a function that sends a tally with a key through an entry."""

    def send(key, body="a", entry=0, organisation="regie") -> Reply:
        headers = {} if key is None else {"Idempotency-Key": key}
        url = deployment.entries[entry].url + "/services/tally/tallies"
        return post(url, {"door": body}, deployment.keys[organisation], headers)

    return send


@pytest.fixture
def in_background():
    """Return a function that runs a call in a thread and gives its result later."""

    def start(function, *arguments, **options):
        results = []
        thread = threading.Thread(
            target=lambda: results.append(function(*arguments, **options))
        )
        thread.start()

        def result():
            thread.join(GUARD * 2)
            return results[0]

        return result

    return start


@pytest.fixture
def log_faults(deployment):
    """Return a function that sets faults of the log; they are lifted at the end."""
    url = deployment.platform["log_service"].listen_url + "/faults"

    def change(**faults):
        put_json(url, json.dumps(faults).encode())

    yield change
    change(down=False, lose_answers=0)


def fresh_key() -> str:
    return mint_key(time.time(), RNG)


def key_of_shard(shard: int) -> str:
    """Return a fresh key of the service that belongs to a shard."""
    while True:
        key = fresh_key()
        if shard_of(scope_of("regie", service_target("tally"), key)) == shard:
            return key


def opaque_key() -> str:
    return f"order-{uuid.uuid4().hex}"


def runs(deployment, key: str) -> int:
    """Return how often the tally of a key took effect."""
    count = 0
    for path in Path(deployment.log_directory).glob("tallies*.jsonl"):
        count += sum(
            json.loads(line)["key"] == key for line in path.read_text().splitlines()
        )
    return count


def faults_of(deployment, **faults) -> None:
    """Set faults of all endpoints of the service."""
    for pair in deployment.services:
        url = pair.engine.listen_url + "/faults"
        put_json(url, json.dumps(faults).encode())


def waiting_at(deployment):
    """Return the endpoint where a call is held, or None."""
    for pair in deployment.services:
        stats = put_json(pair.engine.listen_url + "/stats", None, "GET")
        if stats["waiting"]:
            return pair
    return None


def wait_for_call(deployment):
    """Wait until a call is held at an endpoint and return the endpoint."""
    wait_until(lambda: waiting_at(deployment), GUARD, "no call has arrived")
    return waiting_at(deployment)


def wait_for_homes(deployment, tally) -> None:
    """Wait until a fresh key of each shard is taken through each entry."""

    refusals = []

    def all_taken():
        refusals.clear()
        for shard in range(SHARD_COUNT):
            for entry in range(len(deployment.entries)):
                reply = tally(key_of_shard(shard), entry=entry)
                if reply.status != 201:
                    refusals.append((shard, entry, reply.body))
        return not refusals

    try:
        wait_until(all_taken, GUARD, "keys have no home")
    except WaitTimeout:
        pytest.fail(f"keys have no home: {refusals}")


@pytest.mark.parametrize("make_key", [fresh_key, opaque_key])
def test_resend_through_another_entry_gets_the_stored_answer(
    deployment, tally, make_key
):
    key = make_key()
    first = tally(key)
    again = tally(key, entry=1)
    assert (first.status, again.status) == (201, 201)
    assert again.body == first.body
    assert again.headers["Idempotency-Replayed"] == "true"
    assert runs(deployment, key) == 1


def test_key_with_another_body_is_refused(deployment, tally):
    key = fresh_key()
    assert tally(key).status == 201
    other = tally(key, body="b", entry=1)
    assert (other.kind, other.outcome) == ("key_reused", "not_run")
    assert runs(deployment, key) == 1


def test_organisations_do_not_share_keys(deployment, tally):
    key = fresh_key()
    assert tally(key).status == 201
    other = tally(key, body="b", organisation="blue-mahoe")
    assert other.status == 201
    assert "Idempotency-Replayed" not in other.headers
    assert runs(deployment, key) == 2


def test_call_without_key_gets_one_to_resend_with(deployment, tally):
    first = tally(None)
    key = first.headers["Idempotency-Key"]
    assert first.status == 201
    assert tally(key, entry=1).headers["Idempotency-Replayed"] == "true"
    assert runs(deployment, key) == 1


def test_keys_of_other_times_are_refused(deployment, tally):
    late = tally(mint_key(time.time() + 3600, RNG))
    old = tally(mint_key(time.time() - 90000, RNG))
    assert (late.kind, late.outcome) == ("key_in_future", "not_run")
    assert old.kind == "key_expired"


def test_resend_while_the_call_runs_is_told_so(deployment, tally, in_background):
    key = fresh_key()
    faults_of(deployment, hold=True)
    first = in_background(tally, key)
    wait_for_call(deployment)
    again = tally(key, entry=1)
    faults_of(deployment, hold=False)
    assert again.kind == "key_in_progress"
    assert int(again.headers["Retry-After"]) >= 1
    assert first().status == 201
    assert runs(deployment, key) == 1


def test_duplicated_message_runs_once(deployment, tally):
    for name in ("agent-tally-1", "agent-tally-2"):
        deployment.proxy(name).set(match="/wire/call", duplicate=-1)
    keys = [fresh_key(), opaque_key(), fresh_key(), opaque_key()]
    replies = [tally(key) for key in keys]
    for name in ("agent-tally-1", "agent-tally-2"):
        deployment.proxy(name).clear()
    assert [reply.status for reply in replies] == [201] * 4
    assert [runs(deployment, key) for key in keys] == [1] * 4


def test_lost_answer_of_the_agent_is_asked_for_again(deployment, tally):
    for name in ("agent-tally-1", "agent-tally-2"):
        deployment.proxy(name).set(match="/wire/call ", lose_answers=1)
    keys = [fresh_key() for _ in range(4)]
    replies = [tally(key) for key in keys]
    for name in ("agent-tally-1", "agent-tally-2"):
        deployment.proxy(name).clear()
    assert [reply.status for reply in replies] == [201] * 4
    assert [runs(deployment, key) for key in keys] == [1] * 4


def test_lost_answer_of_the_service_is_unknown_for_good(deployment, tally):
    key = fresh_key()
    faults_of(deployment, lose_answer=True)
    first = tally(key)
    faults_of(deployment, lose_answer=False)
    again = tally(key, entry=1)
    assert (first.kind, first.outcome) == ("endpoint_failed", "unknown")
    assert (again.kind, again.outcome) == ("outcome_unknown", "unknown")
    assert runs(deployment, key) == 1


def test_entry_killed_in_mid_call_leaves_the_answer_at_the_home(
    deployment, tally, in_background
):
    key = fresh_key()
    faults_of(deployment, hold=True)

    def abandoned():
        try:
            tally(key)
        except OSError:
            return "cut"

    first = in_background(abandoned)
    wait_for_call(deployment)
    deployment.entries[0].kill()
    assert first() == "cut"
    faults_of(deployment, hold=False)
    wait_until(
        lambda: tally(key, entry=1).kind != "key_in_progress", GUARD, "still running"
    )
    again = tally(key, entry=1)
    deployment.restart(deployment.entries[0])
    assert again.status == 201
    assert again.headers["Idempotency-Replayed"] == "true"
    assert runs(deployment, key) == 1


def test_service_killed_in_mid_call_is_unknown_for_good(
    deployment, tally, in_background
):
    key = fresh_key()
    faults_of(deployment, hold_answer=True)
    first = in_background(tally, key)
    pair = wait_for_call(deployment)
    pair.engine.kill()
    reply = first()
    deployment.restart(pair.engine)
    faults_of(deployment, hold_answer=False)
    wait_for_homes(deployment, tally)
    again = tally(key, entry=1)
    assert (reply.kind, reply.outcome) == ("endpoint_failed", "unknown")
    assert (again.kind, again.outcome) == ("outcome_unknown", "unknown")
    assert runs(deployment, key) == 1


def test_home_killed_in_mid_call_never_runs_the_key_again(
    deployment, tally, in_background
):
    held, finished = fresh_key(), fresh_key()
    assert tally(finished).status == 201
    faults_of(deployment, hold_answer=True)
    first = in_background(tally, held)
    pair = wait_for_call(deployment)
    pair.agent.kill()
    reply = first()
    faults_of(deployment, hold_answer=False)
    deployment.restart(pair.agent)
    wait_for_homes(deployment, tally)
    again = tally(held, entry=1)
    assert (reply.outcome, again.outcome) == ("unknown", "unknown")
    assert tally(finished, entry=1).outcome in ("", "ran", "unknown")
    assert runs(deployment, held) == 1
    assert runs(deployment, finished) == 1


def test_leaving_home_hands_its_keys_over_exactly(deployment, tally):
    keys = [fresh_key() for _ in range(8)] + [opaque_key() for _ in range(4)]
    assert all(tally(key).status == 201 for key in keys)
    leaving = deployment.services[1].agent
    leaving.terminate()
    leaving.wait(GUARD)
    wait_for_homes(deployment, tally)
    outcomes = {(reply.status, reply.outcome) for reply in map(tally, keys)}
    leaving.start()
    wait_until(leaving.ready, GUARD, "the agent is not ready")
    wait_for_homes(deployment, tally)
    assert outcomes <= {(201, ""), (409, "ran")}
    assert [runs(deployment, key) for key in keys] == [1] * len(keys)


def test_time_ordered_keys_are_served_while_the_log_is_down(
    deployment, tally, log_faults
):
    log_faults(down=True)
    keys = [fresh_key() for _ in range(6)]
    replies = [tally(key, entry=index % 2) for index, key in enumerate(keys)]
    again = [tally(key, entry=1) for key in keys]
    opaque = opaque_key()
    refused = tally(opaque)
    log_faults(down=False)
    assert [reply.status for reply in replies] == [201] * 6
    assert all(reply.headers.get("Idempotency-Replayed") for reply in again)
    assert (refused.kind, refused.outcome) == ("claim_unavailable", "not_run")
    assert "UUIDv7" in refused.body["detail"]
    assert int(refused.headers["Retry-After"]) >= 1
    wait_until(lambda: tally(opaque).status == 201, GUARD, "the claim is not taken")
    assert [runs(deployment, key) for key in [*keys, opaque]] == [1] * 7


def test_home_killed_while_the_log_is_down_is_told_of_truthfully(
    deployment, tally, log_faults
):
    log_faults(down=True)
    keys = [fresh_key() for _ in range(8)]
    assert all(tally(key).status == 201 for key in keys)
    for pair in deployment.services:
        deployment.restart(pair.agent)
    during = [tally(key, entry=1) for key in keys]
    log_faults(down=False)
    wait_until(
        lambda: tally(keys[0]).kind != "claim_unavailable", GUARD, "no home again"
    )
    wait_until(
        lambda: all(tally(key).kind != "claim_unavailable" for key in keys),
        GUARD,
        "no homes again",
    )
    after = [tally(key, entry=1) for key in keys]
    wait_for_homes(deployment, tally)
    assert {reply.kind for reply in during} == {"claim_unavailable"}
    assert {reply.outcome for reply in after} == {"unknown"}
    assert [runs(deployment, key) for key in keys] == [1] * 8


def test_lost_answers_of_the_log_never_claim_twice(deployment, tally, log_faults):
    log_faults(lose_answers=3)
    keys = [opaque_key() for _ in range(4)]
    replies = [tally(key) for key in keys]
    again = [tally(key, entry=1) for key in keys]
    assert [reply.status for reply in replies] == [201] * 4
    assert [reply.body for reply in again] == [reply.body for reply in replies]
    assert [runs(deployment, key) for key in keys] == [1] * 4


def test_engine_request_with_a_key_is_answered_once(deployment):
    key = fresh_key()
    prompt, count = "name the rooms of this scan", 12
    body = {"model": MODEL, "prompt": prompt, "max_tokens": count}

    def ask(entry, **changes):
        url = deployment.entries[entry].url + "/v1/completions"
        headers = {"Idempotency-Key": key}
        return post(url, {**body, **changes}, deployment.keys["regie"], headers)

    first, again = ask(0), ask(1)
    wanted = expected_text(MODEL, "1", deployment.options.layers, prompt, count)
    assert first.body["choices"][0]["text"] == wanted
    assert again.body["choices"] == first.body["choices"]
    assert again.body["usage"] == first.body["usage"]
    assert again.headers["Idempotency-Replayed"] == "true"
    assert ask(1, max_tokens=3).kind == "key_reused"
