"""Tests of how long connections of callers may stay idle."""

from __future__ import annotations

import asyncio
import time

import pytest

from lacewingcourse.relay.idle import (
    FIRST_IDLE_TIME,
    IDLE_MARGIN,
    VERSION_LAG,
    IdleTime,
)

from .test_caller import REQUEST, echo, read_answer, run, serving_connections

#: Seconds that the tests' connections may stay idle, with the margin.
SHORT = 0.2


def in_force(*versions: tuple[float, float]) -> IdleTime:
    """Return the idle time after versions, each with when it came and what it told."""
    idle = IdleTime()
    for now, seconds in versions:
        idle.put_in_force(seconds, now)
    return idle


def test_an_idle_time_holds_before_the_first_version_and_none_of_it_after():
    assert IdleTime().longest(0.0) == FIRST_IDLE_TIME
    assert in_force((0.0, 5.0)).longest(0.0) == 5.0 + IDLE_MARGIN


def test_a_longer_time_holds_at_once():
    assert in_force((0.0, 5.0), (10.0, 50.0)).longest(10.0) == 50.0 + IDLE_MARGIN


def test_a_replaced_time_holds_while_callers_may_go_by_it():
    idle = in_force((0.0, 30.0), (10.0, 5.0))
    last_of_it = 10.0 + VERSION_LAG + 30.0 + IDLE_MARGIN
    assert idle.longest(last_of_it - 0.01) == 30.0 + IDLE_MARGIN
    assert idle.longest(last_of_it) == 5.0 + IDLE_MARGIN


def test_replaced_times_outlive_further_versions():
    idle = in_force((0.0, 30.0), (10.0, 5.0), (11.0, 4.0), (12.0, 5.0))
    assert idle.longest(13.0) == 30.0 + IDLE_MARGIN


def test_replaced_times_are_forgotten():
    later = 10.0 + VERSION_LAG + 60.0
    idle = in_force((0.0, 30.0), (10.0, 5.0), (later, 4.0))
    assert [each.seconds for each in idle.replaced] == [5.0]


async def kept(address, connections):
    """Return a connection that was used once and waits."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(REQUEST % 0)
    await read_answer(reader)
    return reader, writer


def test_a_connection_is_closed_when_its_time_is_over():
    async def test():
        async with serving_connections(echo) as (address, connections):
            connections.idle.put_in_force(SHORT - IDLE_MARGIN, 0.0)
            reader, _ = await kept(address, connections)
            assert await reader.read() == b""

    run(test)


def test_a_longer_time_holds_for_a_connection_that_waits_already():
    async def test():
        async with serving_connections(echo) as (address, connections):
            connections.idle.put_in_force(SHORT - IDLE_MARGIN, 0.0)
            reader, writer = await kept(address, connections)
            connections.idle.put_in_force(60.0, 0.0)
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(reader.read(), 2 * SHORT)

    run(test)


def test_a_request_that_came_while_the_process_stood_still_is_served():
    async def test():
        async with serving_connections(echo) as (address, connections):
            connections.idle.put_in_force(SHORT - IDLE_MARGIN, 0.0)
            reader, writer = await kept(address, connections)
            writer.write(REQUEST % 1)
            time.sleep(2 * SHORT)
            assert (await read_answer(reader))[1] == b"/1"

    run(test)
