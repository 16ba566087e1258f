"""Membership with real processes: lag of the list, joins, restarts, shutdown."""

from __future__ import annotations

import signal

import pytest

from lacewingcourse.backing.instances import InstanceState
from lacewingcourse.testing.caller import complete
from lacewingcourse.testing.deployment import MODEL
from lacewingcourse.testing.processes import wait_until
from lacewingcourse.testing.requests import put_json
from lacewingcourse.testing.standins.model import expected_text

#: Seconds after which a wait has failed.
GUARD = 30.0
#: Seconds by which the list lags: longer than any wait of these tests.
LAG = 600
PROMPT = "tally the breakfast room door"


@pytest.fixture(scope="module")
def deployment(start_deployment):
    """Each layer is held twice; the list then shows nothing that is newer."""
    started = start_deployment(entries=2, endpoints=4, layers=8)
    set_lag(started, LAG)
    return started


def set_lag(deployment, lag: int) -> None:
    url = deployment.platform["instance_list"].url + "/faults"
    put_json(url, b'{"lag": %d}' % lag)


def known(entry, name: str) -> dict | None:
    """Return what an entry knows of an endpoint."""
    state = put_json(entry.listen_url + "/state", None, "GET")
    found = [each for each in state["endpoints"] if each["id"] == name]
    return found[0] if found else None


def takes_work(entry, name: str) -> bool:
    state = known(entry, name)
    return state is not None and state["ready"] and not state["leaving"]


def ask(run, deployment, entry, on_text=None):
    async def call(http):
        key = deployment.keys["regie"]
        return await complete(http, entry.url, key, MODEL, PROMPT, 24, on_text)

    return run(call)


def wanted(deployment) -> str:
    return expected_text(MODEL, "1", deployment.options.layers, PROMPT, 24)


def test_agents_word_at_sigterm_goes_before_the_list(deployment, run):
    pair = deployment.endpoints[3]
    terminated = []

    def terminate(result):
        if result.token_count == 4 and not terminated:
            terminated.append(pair)
            pair.agent.popen.send_signal(signal.SIGTERM)

    for entry in deployment.entries:
        result = ask(run, deployment, entry, terminate)
        assert result.whole
        assert result.text == wanted(deployment)
    for entry in deployment.entries:
        wait_until(
            lambda: not takes_work(entry, pair.plan.id), GUARD, "still gets work"
        )
    pair.agent.wait(GUARD)
    pair.agent.start()
    for entry in deployment.entries:
        wait_until(lambda: takes_work(entry, pair.plan.id), GUARD, "did not return")


def test_redeployment_agent_is_a_new_incarnation_under_its_address(deployment, run):
    pair = deployment.endpoints[0]
    entry = deployment.entries[0]
    before = known(entry, pair.plan.id)["incarnation"]
    deployment.restart(pair.agent)
    result = ask(run, deployment, entry)
    assert result.whole
    assert result.text == wanted(deployment)
    wait_until(
        lambda: known(entry, pair.plan.id)["incarnation"] != before
        and takes_work(entry, pair.plan.id),
        GUARD,
        "the new incarnation is not known",
    )
    assert known(entry, pair.plan.id)["admitted_share"] <= 1.0


def test_lost_agent_comes_back_while_the_list_says_nothing(deployment, run):
    pair = deployment.endpoints[1]
    entry = deployment.entries[0]
    pair.agent.kill()
    wait_until(lambda: not takes_work(entry, pair.plan.id), GUARD, "not noticed")
    result = ask(run, deployment, entry)
    assert result.whole
    pair.agent.start()
    wait_until(lambda: takes_work(entry, pair.plan.id), GUARD, "did not return")


def test_list_that_calls_a_live_endpoint_gone_ends_its_new_work_only(deployment, run):
    set_lag(deployment, 0)
    pair = deployment.endpoints[2]
    entry = deployment.entries[0]
    deployment.list_instance(pair, InstanceState.GONE)
    wait_until(lambda: not takes_work(entry, pair.plan.id), GUARD, "still gets work")
    assert ask(run, deployment, entry).whole
    deployment.list_instance(pair, InstanceState.LIVE)
    wait_until(lambda: takes_work(entry, pair.plan.id), GUARD, "did not return")


def test_endpoint_that_joins_starts_with_a_small_share(deployment):
    set_lag(deployment, 0)
    pair = deployment.endpoints[2]
    entry = deployment.entries[1]
    deployment.list_instance(pair, InstanceState.GONE)
    wait_until(lambda: known(entry, pair.plan.id) is None, GUARD, "still known")
    deployment.list_instance(pair, InstanceState.LIVE)
    wait_until(lambda: takes_work(entry, pair.plan.id), GUARD, "did not join")
    assert known(entry, pair.plan.id)["admitted_share"] < 1.0
