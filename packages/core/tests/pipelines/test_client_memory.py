"""Tests of who has to go when clients hold too much."""

from __future__ import annotations

from random import Random

import pytest

from lacewingcourse.core.pipelines.client_memory import (
    CONNECTION_BYTES,
    LARGE_BYTES,
    MEBIBYTE,
    PROCESS_BYTES,
    ClientLimits,
    ClientMemory,
    Shortage,
    Stage,
    caller_limits,
    internal_limits,
)

#: Largest body that the pages let a client send, bytes.
LARGEST_BODY = 4 * MEBIBYTE


@pytest.fixture
def memory():
    """A memory of 16 MiB for 100 connections."""
    return ClientMemory(ClientLimits(16 * MEBIBYTE, 100))


def receive(memory, size, at, stage=Stage.BODY, use=None):
    """Let a connection receive bytes of a request; return its use."""
    use = use or memory.open(at)
    use.stage = stage
    use.record_movement(size, at)
    memory.set_held(use, use.held + size)
    return use


def test_nothing_is_short_while_a_single_client_sends_the_largest_body(memory):
    receive(memory, LARGEST_BODY, 0.0)
    assert memory.shortage is None
    assert memory.closed_first(10.0) == []


def test_the_one_that_stands_still_goes_before_the_one_that_moves(memory):
    still = receive(memory, 8 * MEBIBYTE, 0.0)
    moving = receive(memory, 4 * MEBIBYTE, 0.0)
    receive(memory, MEBIBYTE, 5.0, use=moving)
    assert memory.shortage is Shortage.MEMORY
    assert memory.closed_first(5.0) == [still]


def test_a_byte_now_and_then_does_not_count_as_movement(memory):
    dribbling = receive(memory, 8 * MEBIBYTE, 0.0)
    for second in range(1, 6):
        receive(memory, 1, float(second), use=dribbling)
    moving = receive(memory, 5 * MEBIBYTE, 5.0)
    assert memory.closed_first(5.0) == [dribbling]
    assert moving not in memory.closed_first(5.0)


def test_the_one_that_holds_the_most_goes_first_among_those_that_stand_still(memory):
    uses = [receive(memory, size * MEBIBYTE, 0.0) for size in (2, 5, 6)]
    assert memory.closed_first(9.0)[0] is uses[2]


def test_requests_that_are_served_are_never_given_up(memory):
    for _ in range(4):
        receive(memory, 4 * MEBIBYTE, 0.0, Stage.SERVED)
    arriving = receive(memory, MEBIBYTE, 1.0)
    assert memory.closed_first(1.0) == [arriving]
    assert not memory.can_hold(MEBIBYTE)


def test_large_requests_leave_memory_to_small_ones(memory):
    for _ in range(3):
        receive(memory, 4 * MEBIBYTE, 0.0, Stage.SERVED)
    small = receive(memory, 1000, 1.0)
    assert small not in memory.closed_first(1.0)
    assert memory.can_hold(LARGE_BYTES)


def test_a_new_connection_goes_after_those_that_send_a_byte_now_and_then(memory):
    crowd = [memory.open(0.0) for _ in range(100)]
    for second in range(1, 8):
        for use in crowd:
            receive(memory, 1, float(second), Stage.HEAD, use)
    new = memory.open(8.0)
    assert memory.shortage is Shortage.CONNECTIONS
    closed = memory.closed_first(8.0)
    assert closed and new not in closed


def test_refused_connections_go_first(memory):
    crowd = [receive(memory, 1000, 0.0) for _ in range(100)]
    crowd[7].stage = Stage.REFUSED
    memory.open(1.0)
    assert memory.closed_first(1.0)[0] is crowd[7]


def test_closing_the_chosen_ones_ends_the_shortage(memory):
    for seed in range(50):
        rng = Random(seed)
        tried = ClientMemory(memory.limits)
        for _ in range(200):
            stage = rng.choice([Stage.HEAD, Stage.BODY, Stage.ANSWER])
            receive(tried, rng.randrange(MEBIBYTE), rng.random(), stage)
            for use in tried.closed_first(1.0):
                tried.close(use)
            assert tried.shortage is None
        assert tried.held == sum(use.held for use in tried.uses)
        large = sum(use.held for use in tried.uses if use.is_large)
        assert tried.held_by_large == large


@pytest.mark.parametrize("memory_mb", [150, 200, 300, 552])
@pytest.mark.parametrize("descriptors", [1535, 4100, 11275])
def test_derived_limits_hold_several_of_the_largest_requests(memory_mb, descriptors):
    limits = caller_limits(memory_mb * MEBIBYTE, descriptors)
    assert limits.memory >= 6 * LARGEST_BODY
    assert limits.connections >= 400
    assert limits.connections * CONNECTION_BYTES <= limits.memory / 2
    others = internal_limits(memory_mb * MEBIBYTE, descriptors)
    assert limits.memory + others.memory + PROCESS_BYTES < memory_mb * MEBIBYTE
    assert limits.connections + others.connections < 0.6 * descriptors
