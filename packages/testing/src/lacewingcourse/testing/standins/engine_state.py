"""State and steps of the engine stand-in."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import os
import time
from collections import deque

import attrs

from lacewingcourse.agent.engine import EngineState, ForwardItem, ForwardOutput
from lacewingcourse.core.layers import LayerRange
from lacewingcourse.testing.standins.engine_faults import EngineFaults
from lacewingcourse.testing.standins.model import (
    model_seed,
    run_layer,
    sample,
    token_text,
    tokenise,
)
from lacewingcourse.testing.standins.orders import OrderDesk
from lacewingcourse.testing.standins.prefix_cache import PrefixCache
from lacewingcourse.testing.standins.sequences import Sequence, Sequences

#: Exit code of an engine that a request crashed.
CRASHED = 70
#: Prompts that are remembered, for tests.
PROMPT_LIMIT = 10_000
#: Seconds between two looks whether a hang was lifted.
HANG_INTERVAL = 0.02


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
        sequences: Memory of sequences.
        prefixes: Prompt prefixes that need no computation.
        waiting: Items that wait for a step, by priority, then by arrival.
        running: Items of the step that runs.
        steps: Steps that were run.
        prompts: The last prompts that were run.
        desk: Orders that it has taken.
    """

    model: str
    version: str
    layers: LayerRange | None
    step_time: float
    item_time: float
    batch_items: int
    faults: EngineFaults = attrs.field(factory=EngineFaults)
    sequences: Sequences = attrs.field(factory=Sequences)
    prefixes: PrefixCache = attrs.field(factory=PrefixCache)
    waiting: list[tuple[float, int, Waiting]] = attrs.field(factory=list)
    order: itertools.count = attrs.field(factory=itertools.count)
    wake: asyncio.Event = attrs.field(factory=asyncio.Event)
    running: int = 0
    steps: int = 0
    prompts: deque[str] = attrs.field(factory=lambda: deque(maxlen=PROMPT_LIMIT))
    report: EngineState | None = None
    reported_at: float = 0.0
    desk: OrderDesk = attrs.field(factory=OrderDesk)

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
        self.steps += 1
        cached = [self._cached(waiting.item) for waiting in batch]
        outputs = [self._run(waiting.item) for waiting in batch]
        while self.faults.hang:
            await asyncio.sleep(HANG_INTERVAL)
        positions = sum(output.count for output in outputs) - sum(cached)
        duration = self.step_time + self.item_time * max(0, positions)
        await asyncio.sleep(duration * self.faults.slowdown)
        self.running = 0
        for waiting, output in zip(batch, outputs, strict=True):
            if not waiting.done.done():
                waiting.done.set_result(output)

    def _cached(self, item: ForwardItem) -> int:
        """Return how many positions of an item the prefix cache saves."""
        if item.position != 0:
            return 0
        words = item.prompt.split() if item.prompt is not None else []
        parts = [*words, *map(str, item.inputs)]
        return self.prefixes.use(parts, time.monotonic(), self.faults.event_gap)

    def _run(self, item: ForwardItem) -> ForwardOutput:
        """Run one item's positions through its layers."""
        word = self.faults.crash_word
        if word and item.prompt is not None and word in item.prompt.split():
            os._exit(CRASHED)
        sequence = self._sequence(item)
        if isinstance(sequence, str):
            return ForwardOutput(item.sequence, error=sequence)
        prompt = []
        if item.prompt is not None:
            self.prompts.append(item.prompt)
            prompt = tokenise(item.prompt)
        inputs = [*prompt, *item.inputs]
        outputs = [self._run_position(sequence, value) for value in inputs]
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

    def _sequence(self, item: ForwardItem) -> Sequence | str:
        """Return the sequence that an item continues, or why it cannot be run."""
        if self.faults.fail:
            return "the engine failed"
        if self.layers is None or not self.layers.contains(item.layers):
            return "layers not held"
        if item.position == 0:
            self.sequences.begin(item.sequence, item.layers)
        sequence = self.sequences.known.get(item.sequence)
        if sequence is None or sequence.position != item.position:
            return "no cache for this position"
        if sequence.layers != item.layers:
            return "the cache is of other layers"
        return sequence

    def _run_position(self, sequence: Sequence, value: int) -> int:
        seed = model_seed(self.model, self.version)
        sequence.remember()
        layers = range(sequence.layers.first, sequence.layers.end)
        for index, layer in enumerate(layers):
            value, sequence.memories[index] = run_layer(
                seed, layer, sequence.memories[index], value
            )
        sequence.position += 1
        return value

    def cancel(self, name: str) -> None:
        """Forget a sequence and drop its waiting items."""
        self.sequences.known.pop(name, None)
        dropped = [entry for entry in self.waiting if entry[2].item.sequence == name]
        if not dropped:
            return
        self.waiting = [entry for entry in self.waiting if entry not in dropped]
        heapq.heapify(self.waiting)
        for entry in dropped:
            if not entry[2].done.done():
                output = ForwardOutput(name, error="cancelled")
                entry[2].done.set_result(output)

    def state(self) -> EngineState:
        """Return the load report, which may be as old as the lag in force."""
        now = time.monotonic()
        if self.report is None or now - self.reported_at >= self.faults.load_lag:
            self.report = EngineState(
                model=self.model,
                layers=self.layers,
                version=self.version,
                running=self.running,
                queued=len(self.waiting),
                max_layers=self.desk.max_layers,
                loading=self.desk.loading,
                adapter=self.desk.adapter,
                role=self.desk.role,
            )
            self.reported_at = now
        return self.report
