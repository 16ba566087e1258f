"""A caller that drives engines itself: the same work without entry and agents."""

from __future__ import annotations

import time
import uuid

import attrs
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from lacewingcourse.agent.engine import ForwardItem, ForwardReply, ForwardRequest
from lacewingcourse.core.errors import Refusal
from lacewingcourse.core.layers import LayerRange
from lacewingcourse.wire.client import fetch
from lacewingcourse.wire.codec import decode, encode


class DirectFailed(Exception):
    """An engine did not answer."""


@attrs.frozen
class EngineAddress:
    """An engine and the layers that run on it.

    Attributes:
        url: Base URL of the engine.
        layers: The layers.
    """

    url: str
    layers: LayerRange


@attrs.define
class DirectAnswer:
    """When the tokens of an answer came, monotonic seconds.

    Attributes:
        started_at: When it was asked for.
        token_times: When each token came.
    """

    started_at: float
    token_times: list[float] = attrs.field(factory=list)


class DirectCaller:
    """Runs answers on a chain of engines, one HTTP request a step and stage.

    Attributes:
        http: The HTTP client.
    """

    def __init__(self) -> None:
        self.http = CurlAsyncHTTPClient(force_instance=True, max_clients=1000)

    async def answer(
        self, chain: list[EngineAddress], prompt: str, max_tokens: int
    ) -> DirectAnswer:
        """Generate an answer on engines that hold the layers in order."""
        answer = DirectAnswer(time.monotonic())
        sequence = uuid.uuid4().hex
        position = 0
        values: tuple[int, ...] = ()
        text: str | None = prompt
        for _ in range(max_tokens):
            token, count = await self._pass(chain, sequence, position, values, text)
            answer.token_times.append(time.monotonic())
            position += count
            values, text = (token,), None
        return answer

    async def _pass(self, chain, sequence, position, values, text) -> tuple[int, int]:
        """Run positions through all stages; return the token and their count."""
        for index, address in enumerate(chain):
            item = ForwardItem(
                sequence=sequence,
                layers=address.layers,
                position=position,
                inputs=values,
                prompt=text if index == 0 else None,
                sample=index == len(chain) - 1,
            )
            output = await self._forward(address.url, item)
            values = output.outputs
        return output.token, output.count

    async def _forward(self, url: str, item: ForwardItem):
        request = HTTPRequest(
            url + "/engine/forward",
            method="POST",
            body=encode(ForwardRequest((item,))),
            headers={"Content-Type": "application/json"},
            request_timeout=60.0,
        )
        response = await fetch(self.http, request)
        if response.code != 200:
            raise DirectFailed(f"{url}: {response.code} {response.error}")
        reply = decode(response.body, ForwardReply)
        if isinstance(reply, Refusal) or reply.items[0].error:
            raise DirectFailed(f"{url}: {reply}")
        return reply.items[0]
