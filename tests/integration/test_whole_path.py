"""The whole path with real processes and a stock client."""

from __future__ import annotations

import json
import random
import time
from urllib.request import Request, urlopen

import pytest
from openai import OpenAI

from lacewingcourse.core.keys import mint_key
from lacewingcourse.testing.caller import complete
from lacewingcourse.testing.deployment import MODEL
from lacewingcourse.testing.requests import put_json
from lacewingcourse.testing.standins.model import expected_text


@pytest.fixture
def client(deployment):
    """A stock client of the deployment's first entry."""
    return OpenAI(
        base_url=deployment.entries[0].url + "/v1",
        api_key=deployment.keys["regie"],
        max_retries=0,
    )


def test_stock_client_streams_an_answer_that_crossed_endpoints(deployment, client):
    prompt = "why did the robot skip under the bed"
    chunks = client.completions.create(
        model=MODEL, prompt=prompt, max_tokens=40, stream=True
    )
    text = "".join(chunk.choices[0].text for chunk in chunks if chunk.choices)
    layers = deployment.options.layers
    assert text == expected_text(MODEL, "1", layers, prompt, 40)
    held = [pair.plan.layers for pair in deployment.endpoints]
    assert all(len(layers_held) < layers for layers_held in held)


def test_stock_client_gets_a_chat_answer_with_usage(client):
    answer = client.chat.completions.create(
        model=MODEL,
        messages=[{"role": "user", "content": "explain the no-go zone"}],
        max_tokens=5,
    )
    assert len(answer.choices[0].message.content.split()) == 5
    assert answer.usage.completion_tokens == 5
    assert answer.choices[0].finish_reason == "length"


def test_stock_client_lists_models(client):
    assert [model.id for model in client.models.list()] == [MODEL]


def test_plain_service_call_passes_through(deployment):
    key = mint_key(time.time(), random.Random(1))
    request = Request(
        deployment.entries[0].url + "/services/tally/tallies",
        data=b'{"door": 1}',
        headers={
            "Authorization": f"Bearer {deployment.keys['regie']}",
            "Idempotency-Key": key,
        },
    )
    with urlopen(request, timeout=10) as response:
        assert response.status == 201
        assert json.load(response) == {"number": 1, "key": key}
    listed = put_json(f"{deployment.service.engine.url}/tallies", b"", "GET")
    assert [tally["body"] for tally in listed["tallies"]] == ['{"door": 1}']


def test_answer_continues_after_a_stage_dies(deployment, run):
    killed = []

    def kill_once(result):
        if result.token_count == 20 and not killed:
            killed.append(deployment.endpoints[1])
            killed[0].engine.kill()

    async def ask(http):
        entry = deployment.entries[0]
        key = deployment.keys["regie"]
        return await complete(
            http, entry.url, key, MODEL, "forecast note", 80, kill_once
        )

    result = run(ask)
    wanted = expected_text(MODEL, "1", deployment.options.layers, "forecast note", 80)
    assert result.whole
    assert result.text == wanted
