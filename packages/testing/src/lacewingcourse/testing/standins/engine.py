"""Stand-in for a model engine that holds a range of layers."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import os
import time

import attrs

from lacewingcourse.agent.engine import (
    CancelRequest,
    EngineState,
    ForwardItem,
    ForwardOutput,
    ForwardReply,
    ForwardRequest,
)
from lacewingcourse.core.layers import LayerRange
from lacewingcourse.testing.standins.model import (
    model_seed,
    run_layer,
    sample,
    token_text,
    tokenise,
)
from lacewingcourse.testing.standins.server import StandinHandler

#: Exit code of an engine that a request crashed.
CRASHED = 70


@attrs.frozen
class EngineFaults:
    """Faults of an engine.

    Attributes:
        crash_word: A prompt with this word ends the process.
        hang: Whether steps never end.
        fail: Whether steps fail at once.
        slowdown: Factor on the time of a step.
    """

    crash_word: str = ""
    hang: bool = False
    fail: bool = False
    slowdown: float = 1.0


@attrs.define
class CacheEntry:
    """An engine's memory of one sequence.

    Attributes:
        layers: Layers that the memory is of.
        position: The next position.
        memories: Memory of each layer.
    """

    layers: LayerRange
    position: int
    memories: list[int]


@attrs.define
class Waiting:
    """An item that waits for a step."""

    item: ForwardItem
    done: asyncio.Future


@attrs.define
class Engine:
    """State of an engine.

    Attributes:
        model: Name of the model.
        version: Version of the weights.
        layers: Layers that it holds.
        step_time: Seconds of a step with one item.
        item_time: Seconds that each position adds to a step.
        batch_items: Items of a step at the most.
        faults: Faults in force.
        cache: Memory of sequences.
    """

    model: str
    version: str
    layers: LayerRange
    step_time: float
    item_time: float
    batch_items: int
    faults: EngineFaults = attrs.field(factory=EngineFaults)
    cache: dict[str, CacheEntry] = attrs.field(factory=dict)
    waiting: list[tuple[float, int, Waiting]] = attrs.field(factory=list)
    order: itertools.count = attrs.field(factory=itertools.count)
    wake: asyncio.Event = attrs.field(factory=asyncio.Event)
    running: int = 0

    def submit(self, item: ForwardItem) -> asyncio.Future:
        """Queue an item; the future gets its output."""
        done = asyncio.get_running_loop().create_future()
        entry = (item.priority, next(self.order), Waiting(item, done))
        heapq.heappush(self.waiting, entry)
        self.wake.set()
        return done

    async def run(self) -> None:
        """Run step after step for ever."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            while self.waiting:
                await self._step()

    async def _step(self) -> None:
        count = min(self.batch_items, len(self.waiting))
        batch = [heapq.heappop(self.waiting)[2] for _ in range(count)]
        self.running = count
        outputs = [self._run(waiting.item) for waiting in batch]
        positions = sum(output.count for output in outputs)
        while self.faults.hang:
            await asyncio.sleep(0.02)
        duration = self.step_time + self.item_time * positions
        await asyncio.sleep(duration * self.faults.slowdown)
        self.running = 0
        for waiting, output in zip(batch, outputs, strict=True):
            if not waiting.done.done():
                waiting.done.set_result(output)

    def _run(self, item: ForwardItem) -> ForwardOutput:
        """Run one item's positions through its layers."""
        word = self.faults.crash_word
        if word and item.prompt is not None and word in item.prompt.split():
            os._exit(CRASHED)
        if self.faults.fail:
            return ForwardOutput(item.sequence, error="the engine failed")
        if not self.layers.contains(item.layers):
            return ForwardOutput(item.sequence, error="layers not held")
        prompt = tokenise(item.prompt) if item.prompt is not None else []
        inputs = [*prompt, *item.inputs]
        if item.position == 0:
            memories = [0] * len(item.layers)
            self.cache[item.sequence] = CacheEntry(item.layers, 0, memories)
        entry = self.cache.get(item.sequence)
        if entry is None or entry.position != item.position:
            return ForwardOutput(item.sequence, error="no cache for this position")
        outputs = [self._run_position(entry, value) for value in inputs]
        if not item.sample:
            return ForwardOutput(
                item.sequence, len(inputs), len(prompt), tuple(outputs)
            )
        token = sample(outputs[-1], item.temperature, item.seed)
        return ForwardOutput(
            item.sequence,
            len(inputs),
            len(prompt),
            token=token,
            text=token_text(token),
        )

    def _run_position(self, entry: CacheEntry, value: int) -> int:
        seed = model_seed_of(self)
        for index, layer in enumerate(range(entry.layers.first, entry.layers.end)):
            value, entry.memories[index] = run_layer(
                seed, layer, entry.memories[index], value
            )
        entry.position += 1
        return value


def model_seed_of(engine: Engine) -> int:
    """Return the number of the engine's model and version."""
    return model_seed(engine.model, engine.version)


class ForwardHandler(StandinHandler):
    """Runs items."""

    async def post(self) -> None:
        request = self.message(ForwardRequest)
        if request is None:
            return
        started = time.monotonic()
        futures = [self.standin.submit(item) for item in request.items]
        outputs = await asyncio.gather(*futures)
        self.reply(ForwardReply(tuple(outputs), time.monotonic() - started))


class CancelHandler(StandinHandler):
    """Drops cache entries."""

    def post(self) -> None:
        request = self.message(CancelRequest)
        if request is None:
            return
        for sequence in request.sequences:
            self.standin.cache.pop(sequence, None)
        self.reply({})


class StateHandler(StandinHandler):
    """Tells what the engine holds."""

    def get(self) -> None:
        engine = self.standin
        self.reply(
            EngineState(
                model=engine.model,
                layers=engine.layers,
                version=engine.version,
                running=engine.running,
                queued=len(engine.waiting),
            )
        )


ENGINE_ROUTES = [
    (r"/engine/forward", ForwardHandler),
    (r"/engine/cancel", CancelHandler),
    (r"/engine/state", StateHandler),
]
