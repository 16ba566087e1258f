"""The engine stand-in: steps, forks, exports, prefix cache, load, cancel."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from lacewingcourse.agent.engine import ForwardItem
from lacewingcourse.core.layers import LayerRange
from lacewingcourse.testing.standins.engine import Engine
from lacewingcourse.testing.standins.model import generate

MODEL = "mapchat"
LAYERS = LayerRange(0, 4)
PROMPT = " ".join(f"word{index}" for index in range(20))


@pytest.fixture
def engine():
    """An engine that holds the whole model and takes no time."""
    return Engine(MODEL, "1", LAYERS, step_time=0.0, item_time=0.0, batch_items=1)


@pytest.fixture
def run(engine):
    """Return a function that runs items one after the other."""

    async def run_items(items):
        steps = asyncio.ensure_future(engine.run())
        outputs = [await engine.submit(item) for item in items]
        steps.cancel()
        return outputs

    return lambda *items: asyncio.run(run_items(items))


def item(sequence: str, position: int, inputs=(), prompt=None) -> ForwardItem:
    """Return an item over all layers that samples a token."""
    return ForwardItem(sequence, LAYERS, position, tuple(inputs), prompt, sample=True)


def test_fork_to_an_earlier_position_continues_as_the_original(engine, run):
    wanted = generate(MODEL, "1", len(LAYERS), PROMPT, 3)
    run(
        item("a.1", 0, prompt=PROMPT),
        item("a.1", 20, wanted[:1]),
        item("a.1", 21, wanted[1:2]),
    )
    assert engine.sequences.fork("a.1", "a.2", 21)
    (output,) = run(item("a.2", 21, wanted[1:2]))
    assert output.token == wanted[2]
    assert not engine.sequences.fork("a.1", "a.3", 99)


def test_export_continues_on_another_engine(engine, run):
    wanted = generate(MODEL, "1", len(LAYERS), PROMPT, 2)
    run(item("a.1", 0, prompt=PROMPT))
    export = engine.sequences.export("a.1", 20)
    engine.sequences.known.clear()
    engine.sequences.take(attrs.evolve(export, sequence="b.1"))
    (output,) = run(item("b.1", 20, wanted[:1]))
    assert output.token == wanted[1]


def test_repeated_or_skipped_position_fails(run):
    outputs = run(
        item("a.1", 0, prompt=PROMPT), item("a.1", 19, [1]), item("a.1", 21, [1])
    )
    assert [bool(output.error) for output in outputs] == [False, True, True]


def test_prefix_cache_is_bounded_and_publishes_with_gaps(engine, run):
    engine.prefixes.capacity = 1
    engine.faults = attrs.evolve(engine.faults, event_gap=3)
    other = PROMPT.replace("word", "term")
    run(*(item(f"s.{n}", 0, prompt=p) for n, p in enumerate((PROMPT, PROMPT, other))))
    assert engine.prefixes.hits == 16
    assert len(engine.prefixes.blocks) == 1
    shown = engine.prefixes.published(0, float("inf")).events
    assert [(event.number, event.stored) for event in shown] == [(0, True), (1, True)]
    assert engine.prefixes.next_number == 3


def test_cancel_ends_waiting_items_and_priorities_go_first(engine):
    async def scenario():
        late = engine.submit(attrs.evolve(item("late.1", 0, prompt="a"), priority=2.0))
        soon = engine.submit(attrs.evolve(item("soon.1", 0, prompt="b"), priority=1.0))
        gone = engine.submit(item("gone.1", 0, prompt="c"))
        engine.cancel("gone.1")
        ended = []
        late.add_done_callback(lambda _: ended.append("late"))
        soon.add_done_callback(lambda _: ended.append("soon"))
        steps = asyncio.ensure_future(engine.run())
        await asyncio.gather(late, soon)
        steps.cancel()
        return gone.result().error, ended

    error, ended = asyncio.run(scenario())
    assert error == "cancelled"
    assert ended == ["soon", "late"]


def test_load_report_lags(engine):
    engine.faults = attrs.evolve(engine.faults, load_lag=3600.0)

    async def scenario():
        before = engine.state().queued
        engine.submit(item("a.1", 0, prompt="a"))
        lagging = engine.state().queued
        engine.faults = attrs.evolve(engine.faults, load_lag=0.0)
        return before, lagging, engine.state().queued

    assert asyncio.run(scenario()) == (0, 0, 1)
