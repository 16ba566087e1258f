"""Tests of the idle timeout of callers' connections."""

from __future__ import annotations

import asyncio
import time

import pytest

from lacewingcourse.relay.idle import (
    DEFAULT_IDLE_TIMEOUT,
    IDLE_MARGIN,
    MAX_VERSION_LAG,
    IdleTimeout,
)

from .test_caller import REQUEST, echo, read_answer, run, serving_connections

#: Idle timeout of the tests' connections in seconds, with the margin.
SHORT = 0.2


def make_idle_timeout(*versions: tuple[float, float]) -> IdleTimeout:
    """Return the timeout after some versions, given as pairs of time and timeout."""
    idle = IdleTimeout()
    for now, seconds in versions:
        idle.update(seconds, now)
    return idle


def test_default_timeout_applies_only_before_the_first_version():
    assert IdleTimeout().effective(0.0) == DEFAULT_IDLE_TIMEOUT
    assert make_idle_timeout((0.0, 5.0)).effective(0.0) == 5.0 + IDLE_MARGIN


def test_longer_timeout_applies_at_once():
    assert (
        make_idle_timeout((0.0, 5.0), (10.0, 50.0)).effective(10.0)
        == 50.0 + IDLE_MARGIN
    )


def test_replaced_timeout_applies_while_callers_may_use_it():
    idle = make_idle_timeout((0.0, 30.0), (10.0, 5.0))
    valid_until = 10.0 + MAX_VERSION_LAG + 30.0 + IDLE_MARGIN
    assert idle.effective(valid_until - 0.01) == 30.0 + IDLE_MARGIN
    assert idle.effective(valid_until) == 5.0 + IDLE_MARGIN


def test_replaced_timeout_is_kept_across_further_versions():
    idle = make_idle_timeout((0.0, 30.0), (10.0, 5.0), (11.0, 4.0), (12.0, 5.0))
    assert idle.effective(13.0) == 30.0 + IDLE_MARGIN


def test_expired_replaced_timeouts_are_removed():
    later = 10.0 + MAX_VERSION_LAG + 60.0
    idle = make_idle_timeout((0.0, 30.0), (10.0, 5.0), (later, 4.0))
    assert [each.seconds for each in idle.replaced] == [5.0]


async def idle_connection(address, connections):
    """Return a connection that was used once and is idle."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(REQUEST % 0)
    await read_answer(reader)
    return reader, writer


def test_connection_is_closed_after_the_idle_timeout():
    async def test():
        async with serving_connections(echo) as (address, connections):
            connections.idle.update(SHORT - IDLE_MARGIN, 0.0)
            reader, _ = await idle_connection(address, connections)
            assert await reader.read() == b""

    run(test)


def test_longer_timeout_applies_to_connections_that_are_already_idle():
    async def test():
        async with serving_connections(echo) as (address, connections):
            connections.idle.update(SHORT - IDLE_MARGIN, 0.0)
            reader, writer = await idle_connection(address, connections)
            connections.idle.update(60.0, 0.0)
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(reader.read(), 2 * SHORT)

    run(test)


def test_request_that_arrived_while_the_loop_was_blocked_is_served():
    async def test():
        async with serving_connections(echo) as (address, connections):
            connections.idle.update(SHORT - IDLE_MARGIN, 0.0)
            reader, writer = await idle_connection(address, connections)
            writer.write(REQUEST % 1)
            time.sleep(2 * SHORT)
            assert (await read_answer(reader))[1] == b"/1"

    run(test)
