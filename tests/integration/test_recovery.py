"""Answers go on when stages fail in mid-answer, with real processes."""

from __future__ import annotations

import json
from urllib.request import urlopen

import pytest

from lacewingcourse.testing.caller import complete
from lacewingcourse.testing.deployment import (
    MODEL,
    Deployment,
    DeploymentOptions,
    put_json,
)
from lacewingcourse.testing.processes import wait_until
from lacewingcourse.testing.standins.model import expected_text

#: Tokens of an answer.
TOKENS = 60
#: Tokens after which the failure is brought about.
TOKENS_BEFORE = 15
#: Seconds in which a deployment must be whole again.
REPAIR_TIMEOUT = 30.0


def keep_lost_layers_lost(deployment) -> None:
    """Let no endpoint load other layers, so that lost ones have no new holder."""
    url = deployment.platform["weight_store"].url + "/faults"
    put_json(url, b'{"down": true}')


@pytest.fixture(scope="module")
def shared_deployment():
    """Three stages, each held by two endpoints."""
    settings = {"LACEWINGCOURSE_ROUTE_PATIENCE": "3"}
    options = DeploymentOptions(entries=1, endpoints=6, entry_variables=settings)
    started = Deployment(options)
    try:
        started.up()
        keep_lost_layers_lost(started)
        yield started
    finally:
        for pair in started.endpoints:
            resume(pair)
        started.down()


@pytest.fixture
def deployment(shared_deployment):
    """The deployment, whole at the start and mended at the end."""
    yield shared_deployment
    for pair in shared_deployment.endpoints:
        mend(pair)
    wait_until(shared_deployment.ready, REPAIR_TIMEOUT, "not whole again")
    wait_until(
        lambda: not used_endpoints(shared_deployment),
        REPAIR_TIMEOUT,
        "a stage was not released",
    )


def mend(pair) -> None:
    """Take every failure back."""
    resume(pair)
    for process in (pair.engine, pair.agent):
        if not process.alive():
            process.start()
    wait_until(
        lambda: pair.engine.ready("/healthz"), REPAIR_TIMEOUT, "the engine is not back"
    )
    put_json(f"{pair.engine.url}/faults", b'{"hang": false, "fail": false}')


def resume(pair) -> None:
    """Let paused processes run."""
    for process in (pair.engine, pair.agent):
        if process.alive():
            process.resume()


def kill_engine(pair) -> None:
    pair.engine.kill()


def kill_agent(pair) -> None:
    pair.agent.kill()


def kill_both(pair) -> None:
    pair.agent.kill()
    pair.engine.kill()


def hang_engine(pair) -> None:
    put_json(f"{pair.engine.url}/faults", b'{"hang": true}')


def fail_engine(pair) -> None:
    put_json(f"{pair.engine.url}/faults", b'{"fail": true}')


def pause_engine(pair) -> None:
    pair.engine.pause()


def pause_agent(pair) -> None:
    pair.agent.pause()


def used_endpoints(deployment) -> list:
    """Return the endpoints that run a stage now, first stage first."""
    used = []
    for pair in deployment.endpoints:
        if not (pair.agent.alive() and pair.engine.alive()):
            continue
        with urlopen(pair.agent.url + "/state", timeout=10) as response:
            if json.load(response)["running"]:
                used.append(pair)
    return sorted(used, key=lambda pair: pair.plan.layers)


def ask(deployment, run, prompt: str, moments: dict, tokens: int = TOKENS):
    """Ask for an answer and call a function when some number of tokens is out."""

    def on_text(result):
        moment = moments.pop(result.token_count, None)
        if moment is not None:
            moment(used_endpoints(deployment))

    async def call(http):
        entry = deployment.entries[0]
        key = deployment.keys["regie"]
        return await complete(http, entry.url, key, MODEL, prompt, tokens, on_text)

    return run(call)


def check_whole(deployment, result, prompt: str, tokens: int = TOKENS) -> None:
    """Check that an answer is whole and right."""
    layers = deployment.options.layers
    assert result.error == {}
    assert result.text == expected_text(MODEL, "1", layers, prompt, tokens)
    assert result.whole


@pytest.mark.parametrize(
    ("failure", "stage"),
    [
        (kill_engine, 0),
        (kill_agent, 1),
        (kill_agent, 2),
        (kill_both, 1),
        (hang_engine, 1),
        (fail_engine, 2),
        (pause_engine, 0),
        (pause_agent, 2),
    ],
)
def test_answer_goes_on_after_a_stage_fails(deployment, run, failure, stage):
    prompt = f"forecast {failure.__name__} at {stage}"
    moments = {TOKENS_BEFORE: lambda used: failure(used[stage])}
    result = ask(deployment, run, prompt, moments)
    assert moments == {}
    check_whole(deployment, result, prompt)


def test_answer_goes_on_after_two_failures(deployment, run):
    prompt = "explain a no-go zone"
    moments = {
        TOKENS_BEFORE: lambda used: kill_engine(used[0]),
        TOKENS_BEFORE + 10: lambda used: kill_both(used[2]),
    }
    result = ask(deployment, run, prompt, moments)
    assert moments == {}
    check_whole(deployment, result, prompt)


def test_answer_goes_on_after_two_stages_fail_together(deployment, run):
    prompt = "count the croissants"

    def fail(used):
        kill_agent(used[1])
        hang_engine(used[2])

    result = ask(deployment, run, prompt, {TOKENS_BEFORE: fail})
    check_whole(deployment, result, prompt)


def test_answer_waits_for_the_only_holder_to_return(deployment, run):
    prompt = "which rooms were skipped"
    holders = [pair for pair in deployment.endpoints if pair.plan.layers.first == 0]

    def fail(used):
        for pair in holders:
            kill_engine(pair)
        for pair in holders:
            pair.engine.start()

    result = ask(deployment, run, prompt, {TOKENS_BEFORE: fail})
    check_whole(deployment, result, prompt)


def test_answer_without_any_route_left_ends_truthfully(deployment, run):
    prompt = "name the rooms"
    holders = [pair for pair in deployment.endpoints if pair.plan.layers.first == 0]

    def fail(used):
        for pair in holders:
            kill_both(pair)

    result = ask(deployment, run, prompt, {TOKENS_BEFORE: fail})
    wanted = expected_text(MODEL, "1", deployment.options.layers, prompt, TOKENS)
    assert not result.whole
    assert not result.done
    assert result.error["kind"] == "no_route"
    assert result.error["outcome"] == "partial"
    assert wanted.startswith(result.text)


def test_request_without_any_route_is_refused_as_not_run(deployment, run):
    holders = [pair for pair in deployment.endpoints if pair.plan.layers.first == 0]
    for pair in holders:
        kill_both(pair)
    result = ask(deployment, run, "why", {})
    assert result.error["outcome"] == "not_run"
    assert result.text == ""
