"""Client of a model engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from tornado.httpclient import HTTPRequest

from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.core.layers import LayerRange
from lacewingcourse.wire.client import (
    NOT_CONNECTED,
    fetch,
    new_http_client,
    use_fresh_connection,
)
from lacewingcourse.wire.codec import decode, encode

if TYPE_CHECKING:
    from lacewingcourse.core.effects import RunForward


#: curl's codes for a connection that broke: empty reply, send and receive failures.
BROKEN_CONNECTION = frozenset({52, 55, 56})


@attrs.frozen
class ForwardItem:
    """One item of an engine step.

    Attributes:
        sequence: Name of the engine's cache entry.
        layers: Layers to run.
        position: Position of the first input.
        inputs: Token numbers or hidden values; more may follow a prompt.
        prompt: Text to tokenise in front of the inputs, or None.
        sample: Whether to sample a token after the last input.
        temperature: Sampling temperature.
        seed: Sampling seed.
        priority: Lower runs sooner.
    """

    sequence: str
    layers: LayerRange
    position: int
    inputs: tuple[int, ...]
    prompt: str | None = None
    sample: bool = False
    temperature: float = 0.0
    seed: int = 0
    priority: float = 0.0


@attrs.frozen
class ForwardRequest:
    """Items that the engine may run together."""

    items: tuple[ForwardItem, ...]


@attrs.frozen
class ForwardOutput:
    """The engine's result for one item.

    Attributes:
        sequence: Name of the engine's cache entry.
        count: Positions that were run.
        prompt_length: Tokens of the prompt, 0 if none was given.
        outputs: Hidden values, empty when a token was sampled.
        token: The sampled token, or None.
        text: Its text.
        error: Why the item failed, or empty.
    """

    sequence: str
    count: int = 0
    prompt_length: int = 0
    outputs: tuple[int, ...] = ()
    token: int | None = None
    text: str = ""
    error: str = ""


@attrs.frozen
class ForwardReply:
    """The engine's results in the order of the items.

    Attributes:
        items: The results.
        step_time: Seconds that the engine spent.
    """

    items: tuple[ForwardOutput, ...]
    step_time: float


@attrs.frozen
class CancelRequest:
    """Cache entries that the engine may drop."""

    sequences: tuple[str, ...]


@attrs.frozen
class EngineState:
    """What the engine says of itself.

    Attributes:
        model: Name of the model.
        layers: Layers that it holds.
        version: Version of the weights.
        running: Items in its steps, as of its last load report.
        queued: Items that wait, as of its last load report.
        max_layers: Layers that fit into it, 0 if not known.
        loading: Whether it is loading weights.
        adapter: Adapter that it holds, or empty.
        role: Role that it has, or empty.
    """

    model: str
    layers: LayerRange | None
    version: str
    running: int
    queued: int
    max_layers: int = 0
    loading: bool = False
    adapter: str = ""
    role: str = ""


@attrs.frozen
class EngineOrder:
    """An order as the engine gets it.

    Attributes:
        number: Fencing number; some engines refuse old ones, others ignore it.
        order_id: Name of the order.
        action: `load`, `unload`, `adapter` or `role`.
        model: Model to load.
        version: Version of the weights.
        layers: Layers to load.
        adapter: Adapter to load.
        role: Role to take.
    """

    number: int
    order_id: str
    action: str
    model: str = ""
    version: str = ""
    layers: LayerRange | None = None
    adapter: str = ""
    role: str = ""


@attrs.frozen
class EngineOrderReply:
    """The engine's answer to an order that it has taken."""

    order_id: str


@attrs.frozen
class EngineCrash:
    """The engine's connection broke in mid-step.

    Attributes:
        reason: What the client saw.
    """

    reason: str


def sequence_of(stream: str, attempt: int) -> str:
    """Return the name of a stream's cache entry in the engine."""
    return f"{stream}.{attempt}"


def item_of(effect: RunForward, due_at: float) -> ForwardItem:
    """Return the engine's item for a step that a decision asked for.

    Args:
        effect: The step.
        due_at: When it should be done, seconds; the engine runs the earliest first.
    """
    sampling = effect.sampling
    values = effect.values
    prompt = None
    if effect.prompt is not None:
        prompt = effect.prompt.text
        values = effect.prompt.delivered
    return ForwardItem(
        sequence=sequence_of(effect.stream, effect.attempt),
        layers=effect.layers,
        position=effect.position,
        inputs=values,
        prompt=prompt,
        sample=sampling is not None,
        temperature=sampling.temperature if sampling else 0.0,
        seed=sampling.seed if sampling else 0,
        priority=due_at,
    )


class EngineClient:
    """Speaks the engine's HTTP interface.

    Attributes:
        url: Base URL of the engine.
        http: The HTTP client.
        timeout: Seconds that a step may take.
    """

    def __init__(self, url: str, timeout: float) -> None:
        self.url = url
        self.http = new_http_client()
        self.timeout = timeout

    async def forward(
        self, items: tuple[ForwardItem, ...], solo: bool = False
    ) -> ForwardReply | EngineCrash | Refusal:
        """Run items and return their results.

        On a connection that was used before, curl tries again when it breaks, so a
        refused connection may hide a crash. A step that runs alone gets a connection
        of its own, because its crash is held against its request.

        Args:
            items: The items.
            solo: Whether they run alone on the engine.
        """
        request = ForwardRequest(items)
        response = await self._fetch("/engine/forward", request, once=solo)
        broken = BROKEN_CONNECTION if solo else BROKEN_CONNECTION | NOT_CONNECTED
        if getattr(response.error, "errno", None) in broken:
            return EngineCrash(str(response.error))
        return self._read(response, ForwardReply)

    async def cancel(self, sequences: tuple[str, ...]) -> None:
        """Let the engine drop cache entries; failures do not matter."""
        await self._post("/engine/cancel", CancelRequest(sequences), dict)

    async def state(self) -> EngineState | Refusal:
        """Return what the engine says of itself."""
        request = HTTPRequest(self.url + "/engine/state", request_timeout=3.0)
        response = await fetch(self.http, request)
        if response.code != 200:
            return self._failed(response)
        return decode(response.body, EngineState)

    async def order(self, order: EngineOrder) -> EngineOrderReply | Refusal:
        """Give the engine an order."""
        response = await self._fetch("/engine/orders", order)
        if response.code == 200:
            return decode(response.body, EngineOrderReply)
        if response.code == 409:
            return Refusal(ErrorKind.STALE_FENCING, "the engine has a newer number")
        if response.code == 429:
            wait = float(response.headers.get("Retry-After", 1))
            reason = "the weight store is at its rate"
            return Refusal(ErrorKind.OVERLOADED, reason, retry_after=wait)
        return self._failed(response)

    async def _post(self, path: str, message, kind):
        return self._read(await self._fetch(path, message), kind)

    async def _fetch(self, path: str, message, once: bool = False):
        request = HTTPRequest(
            self.url + path,
            method="POST",
            body=encode(message),
            headers={"Content-Type": "application/json"},
            connect_timeout=2.0,
            request_timeout=self.timeout,
            prepare_curl_callback=use_fresh_connection if once else None,
        )
        return await fetch(self.http, request)

    def _read(self, response, kind):
        if response.code != 200:
            return self._failed(response)
        return decode(response.body, kind)

    def _failed(self, response) -> Refusal:
        return Refusal(ErrorKind.ENDPOINT_FAILED, str(response.error), Outcome.UNKNOWN)
