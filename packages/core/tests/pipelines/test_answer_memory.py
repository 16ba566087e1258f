"""Tests of which answers have to go when they hold too much."""

from __future__ import annotations

import pytest

from lacewingcourse.core.pipelines.answer_faults import (
    MAX_MALFORMED,
    AnswerFault,
    AnswerFaults,
)
from lacewingcourse.core.pipelines.answer_memory import AnswerMemory, answer_limit
from lacewingcourse.core.pipelines.client_memory import (
    MEBIBYTE,
    PROCESS_BYTES,
    caller_limits,
    internal_limits,
)


@pytest.mark.parametrize("megabytes", [16, 72, 128, 200, 300, 552])
def test_clients_and_answers_leave_memory_for_copies(megabytes):
    memory = megabytes * MEBIBYTE
    clients = caller_limits(memory, 4096).memory + internal_limits(memory, 4096).memory
    held = clients + answer_limit(memory)
    assert 0 < answer_limit(memory)
    assert held < max(0.8 * (memory - PROCESS_BYTES), 0.25 * memory)


def test_the_answer_that_holds_most_goes_first():
    memory = AnswerMemory(100)
    for name, count in (("small", 10), ("endless", 70), ("large", 30)):
        memory.add(name, count)
    assert memory.is_exceeded
    assert memory.largest_first() == ["endless", "large", "small"]
    memory.release("endless")
    assert not memory.is_exceeded


def test_dropped_bytes_are_not_counted_twice():
    """An answer that was given up is dropped by its reader later."""
    memory = AnswerMemory(100)
    memory.add("a", 60)
    memory.add("b", 20)
    memory.release("a")
    memory.add("a", -60)
    assert (memory.total, memory.held) == (20, {"b": 20})


def test_endpoint_is_left_out_at_once_for_bytes_without_end():
    faults = AnswerFaults()
    assert faults.record("a", AnswerFault.OVERSIZED)
    assert not faults.record("a", AnswerFault.MALFORMED)


def test_endpoint_is_left_out_after_malformed_answers_in_succession_only():
    faults = AnswerFaults()
    for _ in range(3):
        for _ in range(MAX_MALFORMED - 1):
            assert not faults.record("a", AnswerFault.MALFORMED)
        faults.record_sound("a")
    for _ in range(MAX_MALFORMED - 1):
        faults.record("a", AnswerFault.MALFORMED)
    assert not faults.record("b", AnswerFault.MALFORMED)
    assert faults.record("a", AnswerFault.MALFORMED)


def test_faults_of_departed_endpoints_are_forgotten():
    faults = AnswerFaults()
    faults.record("a", AnswerFault.MALFORMED)
    faults.record("b", AnswerFault.MALFORMED)
    faults.keep_only({"b"})
    assert set(faults.malformed) == {"b"}
