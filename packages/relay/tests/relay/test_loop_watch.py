"""Tests of how the lag of the event loop is reported."""

from __future__ import annotations

import asyncio
import os
import signal
import time

import pytest

from lacewingcourse.relay.loop_watch import (
    PERIOD,
    REPORTED_LATENESS,
    UNNAMED_WORK,
    LoopWatch,
    Section,
)

from .test_caller import run


@pytest.fixture
def watched():
    """A watch, the clock that the test sets, the reports and the observed lateness."""
    now, reported, lateness = [0.0], [], []
    watch = LoopWatch(
        lambda: now[0],
        lateness.append,
        lambda late, section: reported.append((late, section)),
    )
    return watch, now, reported, lateness


def work(watched, name, seconds):
    """Run a named section for some seconds."""
    watch, now, _, _ = watched
    with watch.section(name):
        now[0] += seconds


def test_a_late_loop_names_the_longest_work(watched):
    watch, _, reported, _ = watched
    work(watched, "candidate paths", 0.09)
    work(watched, "news of a peer", 0.01)
    watch.record(0.1)
    assert reported == [(0.1, Section("candidate paths", pytest.approx(0.09)))]


def test_short_work_is_not_blamed_for_a_long_delay(watched):
    watch, _, reported, _ = watched
    work(watched, "news of a peer", 0.01)
    watch.record(0.4)
    assert reported == [(0.4, Section(UNNAMED_WORK, 0.4))]


def test_every_tick_is_measured_and_a_prompt_one_is_not_reported(watched):
    watch, _, reported, lateness = watched
    watch.record(-0.001)
    watch.record(REPORTED_LATENESS)
    assert lateness == [0.0, REPORTED_LATENESS]
    assert reported == []


def test_work_before_the_last_tick_is_not_reported(watched):
    watch, _, reported, _ = watched
    work(watched, "candidate paths", 0.09)
    watch.record(0.01)
    watch.record(0.1)
    assert reported[0][1].name == UNNAMED_WORK


@pytest.mark.parametrize("offset", [0.0, 0.3, 0.6, 0.9, 0.99])
def test_the_previous_tick_precedes_a_signal_that_is_handled_late(offset):
    async def test():
        loop = asyncio.get_running_loop()
        watch = LoopWatch(loop.time)
        watch_task = asyncio.ensure_future(watch.run())
        counted_from = loop.create_future()
        loop.add_signal_handler(
            signal.SIGUSR1, lambda: counted_from.set_result(watch.previous_tick)
        )
        await asyncio.sleep(4 * PERIOD + offset * PERIOD)
        signalled_at = loop.time()
        os.kill(os.getpid(), signal.SIGUSR1)
        time.sleep(0.5)
        assert signalled_at - 0.5 < await counted_from <= signalled_at
        watch_task.cancel()
        loop.remove_signal_handler(signal.SIGUSR1)

    run(test)


@pytest.mark.parametrize("block_seconds", [0.0, 0.5])
def test_the_previous_tick_precedes_work_that_blocked_the_loop(block_seconds):
    async def test():
        loop = asyncio.get_running_loop()
        watch = LoopWatch(loop.time)
        watch_task = asyncio.ensure_future(watch.run())
        await asyncio.sleep(4 * PERIOD)
        begun = loop.time()
        time.sleep(block_seconds)
        await asyncio.sleep(0)
        assert watch.previous_tick <= begun
        watch_task.cancel()

    run(test)


@pytest.mark.parametrize("is_busy", [True, False])
def test_processor_time_tells_work_from_a_machine_that_is_busy(is_busy):
    async def test():
        watch = LoopWatch()
        ticking = asyncio.ensure_future(watch.run())
        await asyncio.sleep(2 * PERIOD)
        if is_busy:
            until = time.process_time() + 3 * PERIOD
            while time.process_time() < until:
                pass
        else:
            time.sleep(3 * PERIOD)
        before = watch.last_tick
        while watch.last_tick == before:
            await asyncio.sleep(0)
        assert (watch.processor_seconds > 2 * PERIOD) is is_busy
        ticking.cancel()

    run(test)
