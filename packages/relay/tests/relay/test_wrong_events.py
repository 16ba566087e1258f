"""Tests of streams whose engines write wrong bytes.

An engine in trouble may write anything in place of its events, and end anyhow.
"""

from __future__ import annotations

import pytest

from lacewingcourse.core.errors import Outcome
from lacewingcourse.relay.upstream import End
from lacewingcourse.testing.virtual_time import run_virtual

from .stream_scenario import (
    EVENT_COUNT,
    Engine,
    StreamScenario,
    event,
    whole_answer,
)

#: Ends of a run that broke off.
RESET = End(False, "reset")


@pytest.fixture
def serve(shape):
    """Return a function that serves a stream whose first run writes given events."""

    def run(*chunks: bytes, end: End | None = RESET, **options) -> StreamScenario:
        engine = Engine(chunks=lambda after: list(chunks), end=end)
        scenario = StreamScenario(shape, {"a": engine}, **options)
        scenario.refusal = run_virtual(scenario.serve())
        return scenario

    return run


@pytest.mark.parametrize(
    "last",
    [
        b"data: word 3\n\n",
        b"\x00random \xff bytes\n\n",
        b"id: 93\ndata: word 3\n\n",
        b"id: 4\ndata: word 4\n\n",
        b"id: 3\n\n",
        b"id: 3\ndata: word 3\nid: 4\ndata: word 4\n\n",
        b"id: three\ndata: word 3\n\n",
    ],
)
def test_no_second_run_is_joined_to_events_whose_end_no_id_names(serve, last):
    """Random bytes and another engine's whole answer reached a caller as one answer."""
    scenario = serve(event(1), event(2), last)
    assert scenario.refusal.outcome is Outcome.PARTIAL
    assert not scenario.caller.response_complete
    assert scenario.firsts == ["a"]


@pytest.mark.parametrize("events", [1, 2, 3, EVENT_COUNT])
def test_a_stream_is_continued_after_any_number_of_sound_events(serve, events):
    scenario = serve(*map(event, range(1, events + 1)))
    assert scenario.refusal is None
    assert scenario.caller.body == whole_answer()
    assert scenario.firsts == ["a", "c"]


def test_a_stream_whose_caller_has_no_event_is_sent_again_whatever_was_received(serve):
    scenario = serve(b"\x00random \xff bytes")
    assert scenario.refusal is None
    assert scenario.caller.body == whole_answer()


def test_a_stalled_run_that_cannot_be_continued_stays_open(serve):
    scenario = serve(event(1), b"data: word 2\n\n", end=None)
    assert scenario.firsts == ["a"]
    assert not scenario.caller.response_complete
    assert scenario.ended_at == scenario.job.deadline
