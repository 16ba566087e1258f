"""Tests of how the loop's lateness is told."""

from __future__ import annotations

import asyncio
import os
import signal
import time

import pytest

from lacewingcourse.relay.loop_watch import OTHER, PERIOD, TOLD, LoopWatch, Section

from .test_caller import run


@pytest.fixture
def watched():
    """A watch with a clock that the test sets, and what it told."""
    now, told, seen = [0.0], [], []
    watch = LoopWatch(
        lambda: now[0], seen.append, lambda late, section: told.append((late, section))
    )
    return watch, now, told, seen


def work(watched, name, seconds):
    """Do a named piece of work."""
    watch, now, _, _ = watched
    with watch.section(name):
        now[0] += seconds


def test_a_late_loop_names_the_longest_work(watched):
    watch, _, told, _ = watched
    work(watched, "candidate paths", 0.09)
    work(watched, "news of a peer", 0.01)
    watch.look(0.1)
    assert told == [(0.1, Section("candidate paths", pytest.approx(0.09)))]


def test_short_work_is_not_blamed_for_a_long_delay(watched):
    watch, _, told, _ = watched
    work(watched, "news of a peer", 0.01)
    watch.look(0.4)
    assert told == [(0.4, Section(OTHER, 0.4))]


def test_every_look_is_measured_and_a_prompt_one_is_not_told(watched):
    watch, _, told, seen = watched
    watch.look(-0.001)
    watch.look(TOLD)
    assert seen == [0.0, TOLD]
    assert told == []


def test_work_before_the_last_look_is_forgotten(watched):
    watch, _, told, _ = watched
    work(watched, "candidate paths", 0.09)
    watch.look(0.01)
    watch.look(0.1)
    assert told[0][1].name == OTHER


@pytest.mark.parametrize("offset", [0.0, 0.3, 0.6, 0.9, 0.99])
def test_a_signal_noticed_late_counts_from_before_it_came(offset):
    async def test():
        loop = asyncio.get_running_loop()
        watch = LoopWatch(loop.time)
        watching = asyncio.ensure_future(watch.run())
        counted = loop.create_future()
        loop.add_signal_handler(
            signal.SIGUSR1, lambda: counted.set_result(watch.previous_look)
        )
        await asyncio.sleep(4 * PERIOD + offset * PERIOD)
        asked = loop.time()
        os.kill(os.getpid(), signal.SIGUSR1)
        time.sleep(0.5)
        assert asked - 0.5 < await counted <= asked
        watching.cancel()
        loop.remove_signal_handler(signal.SIGUSR1)

    run(test)


@pytest.mark.parametrize("held_up", [0.0, 0.5])
def test_the_look_before_the_last_precedes_work_that_held_the_loop_up(held_up):
    async def test():
        loop = asyncio.get_running_loop()
        watch = LoopWatch(loop.time)
        watching = asyncio.ensure_future(watch.run())
        await asyncio.sleep(4 * PERIOD)
        begun = loop.time()
        time.sleep(held_up)
        await asyncio.sleep(0)
        assert watch.previous_look <= begun
        watching.cancel()

    run(test)
