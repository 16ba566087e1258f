"""Placement with real processes: joins, version changes, losses, the weight store."""

from __future__ import annotations

import asyncio
import time
from urllib.request import urlopen

import pytest

from lacewingcourse.backing.instances import InstanceState
from lacewingcourse.core.configuration import Change, Model
from lacewingcourse.testing.caller import complete
from lacewingcourse.testing.deployment import MODEL
from lacewingcourse.testing.processes import answers, wait_until
from lacewingcourse.testing.requests import put_json
from lacewingcourse.testing.standins.model import expected_text

#: Seconds after which a wait has failed.
GUARD = 60.0
LAYERS = 8
TOKENS = 24
#: Callers that ask one answer after the other during a change.
CALLERS = 6


@pytest.fixture(scope="module")
def deployment(start_deployment):
    """Each layer is held twice, and one endpoint holds nothing at the start."""
    return start_deployment(
        entries=2,
        endpoints=4,
        spares=1,
        layers=LAYERS,
        entry_variables={
            "LACEWINGCOURSE_LEASE_DURATION": "3",
            "LACEWINGCOURSE_USUAL_RESTART_TIME": "4",
            "LACEWINGCOURSE_USUAL_LOAD_TIME": "1",
        },
        engine_arguments={"*": (f"--max-layers={LAYERS}",)},
    )


def engine_state(pair) -> dict:
    return put_json(pair.engine.listen_url + "/engine/state", None, "GET")


def publish_version(deployment, version: str, base: int) -> None:
    """Publish a version of the model's weights."""
    change = Change("models", MODEL, model=Model(MODEL, LAYERS, version=version))
    document = {"base_version": base, "changes": [change]}
    deployment.admin("POST", "/changes", document)


def configuration_version(entry) -> int:
    state = put_json(entry.listen_url + "/state", None, "GET")
    return state["readiness"]["configuration_version"]


async def ask(http, deployment, number: int):
    entry = deployment.entries[number % len(deployment.entries)]
    key = deployment.keys["regie"]
    prompt = f"forecast note {number}"
    result = await complete(http, entry.url, key, MODEL, prompt, TOKENS)
    return prompt, result


def version_of(prompt: str, text: str) -> str | None:
    """Return the version whose whole answer a text is, or None."""
    for version in ("1", "2", "3"):
        if text == expected_text(MODEL, version, LAYERS, prompt, TOKENS):
            return version
    return None


def test_joining_endpoint_is_given_layers_and_work(deployment):
    spare = deployment.endpoints[4]
    wait_until(
        lambda: engine_state(spare)["model"] == MODEL, GUARD, "the spare holds nothing"
    )
    assert engine_state(spare)["layers"] is not None


def test_version_change_under_traffic_cuts_and_mixes_nothing(deployment, run):
    def all_hold(version: str) -> bool:
        return all(
            engine_state(pair)["version"] == version for pair in deployment.endpoints
        )

    async def call_until_changed(http):
        results = []
        done = asyncio.Event()

        async def caller(number: int) -> None:
            while not done.is_set():
                results.append(await ask(http, deployment, number))
                number += CALLERS

        async def watch() -> None:
            base = configuration_version(deployment.entries[0])
            publish_version(deployment, "2", base)
            deadline = time.monotonic() + GUARD
            while not await asyncio.to_thread(all_hold, "2"):
                assert time.monotonic() < deadline, "the change has not ended"
                await asyncio.sleep(0.1)
            done.set()

        watching = asyncio.ensure_future(watch())
        callers = [asyncio.ensure_future(caller(each)) for each in range(CALLERS)]
        try:
            await watching
        finally:
            done.set()
            await asyncio.gather(*callers)
        results.append(await ask(http, deployment, 1))
        return results

    results = run(call_until_changed)
    versions = [version_of(prompt, result.text) for prompt, result in results]
    assert all(result.whole for _, result in results)
    assert None not in versions
    assert versions[-1] == "2"
    assert "1" in versions


def test_weight_store_that_is_down_or_at_its_rate_only_delays_a_change(deployment):
    store = deployment.platform["weight_store"]
    put_json(store.url + "/faults", b'{"down": true}')
    publish_version(deployment, "3", configuration_version(deployment.entries[0]))
    pairs = deployment.endpoints
    wait_until(
        lambda: any(orders_of(entry, "load") for entry in deployment.entries),
        GUARD,
        "no load was ordered",
    )
    put_json(store.url + "/faults", b'{"down": false}')
    while answers(f"{store.url}/weights/{MODEL}/3"):
        pass
    wait_until(
        lambda: all(engine_state(pair)["version"] == "3" for pair in pairs),
        GUARD,
        "the change has not ended",
    )


def orders_of(entry, action: str) -> bool:
    """Tell whether an entry has sent orders of an action."""
    with urlopen(entry.listen_url + "/metrics", timeout=10) as response:
        text = response.read().decode()
    return f'lacewingcourse_orders_total{{action="{action}"' in text


def test_layers_of_lost_endpoints_are_held_by_others(deployment, run):
    held = [engine_state(pair)["layers"] for pair in deployment.endpoints]
    last = [index for index, layers in enumerate(held) if layers["end"] == LAYERS]
    for index in last:
        pair = deployment.endpoints[index]
        pair.agent.kill()
        pair.engine.kill()
        deployment.list_instance(pair, InstanceState.LIVE)
    left = [
        pair for index, pair in enumerate(deployment.endpoints) if index not in last
    ]
    wait_until(
        lambda: any(
            (engine_state(pair)["layers"] or {}).get("end") == LAYERS for pair in left
        ),
        GUARD,
        "nobody holds the layers",
    )

    async def ask_until_whole(http):
        deadline = time.monotonic() + GUARD
        while time.monotonic() < deadline:
            prompt, result = await ask(http, deployment, 0)
            if result.whole:
                return prompt, result
            assert result.error["outcome"] == "not_run"
            await asyncio.sleep(0.2)
        raise AssertionError("no answer is whole")

    prompt, result = run(ask_until_whole)
    assert version_of(prompt, result.text) == "3"
