"""Tests of stalled runs that write on while a standby is pending."""

from __future__ import annotations

import asyncio

import pytest

from lacewingcourse.core.errors import Outcome
from lacewingcourse.relay.stream_attempt import STALL_TIMEOUT
from lacewingcourse.relay.upstream import End
from lacewingcourse.testing.virtual_time import run_virtual

from .stream_scenario import (
    EVENT_INTERVAL,
    Engine,
    EngineRun,
    StreamScenario,
    event,
    whole_answer,
)

#: Seconds after which a standby is accepted, and within which the stalled run goes on.
STANDBY_TIME = 1.0
RESUMED_AFTER = STALL_TIMEOUT + STANDBY_TIME / 2


class ResumingRun(EngineRun):
    """A run that writes its second piece after it has stalled."""

    async def _write_chunks(self, engine: Engine, after: str) -> None:
        first, second = engine.chunks(after)
        await asyncio.sleep(EVENT_INTERVAL)
        self._put(first)
        await asyncio.sleep(RESUMED_AFTER)
        self._put(second)
        await asyncio.sleep(EVENT_INTERVAL)
        if engine.end is not None:
            self.arrivals.put_nowait(engine.end)


class ResumingScenario(StreamScenario):
    """A stream whose first run stalls, and goes on while its standby is pending."""

    def start(self, job, sending, connection) -> EngineRun:
        name = sending.path.first.endpoint
        engine = self.engines[name]
        run = (ResumingRun if name == "a" else EngineRun)(
            engine, sending.resume_after, not connection.reused, name
        )
        self.runs.append((self.clock(), name, run))
        return run


@pytest.fixture
def resume_with(shape):
    """Return a function that serves a stream whose stalled run goes on with bytes."""

    def run(data: bytes, end: End | None = None, **standby) -> ResumingScenario:
        engines = {
            "a": Engine(chunks=lambda after: [first_events(3), data], end=end),
            "c": Engine(accepts_after=STANDBY_TIME, **standby),
        }
        scenario = ResumingScenario(shape, engines)
        scenario.refusal = run_virtual(scenario.serve())
        return scenario

    return run


def first_events(count: int) -> bytes:
    """Return the first events of a stream."""
    return b"".join(map(event, range(1, count + 1)))


def test_a_standby_is_dropped_if_the_stalled_run_goes_on(resume_with):
    rest = b"".join(map(event, range(4, 21)))
    scenario = resume_with(rest, End(True))
    assert scenario.refusal is None
    assert scenario.caller.body == whole_answer()
    assert scenario.runs[1][2].abandoned
    assert "standby_dropped" in scenario.log.events


@pytest.mark.parametrize("wrong", [event(2), event(3), event(92) + event(4)])
def test_no_standby_follows_a_run_whose_ids_contradict_each_other(resume_with, wrong):
    """Events of a standby that skipped some were joined to them, as a whole answer."""
    scenario = resume_with(wrong, chunks=lambda after: [event(7), event(8)])
    assert scenario.refusal.outcome is Outcome.PARTIAL
    assert scenario.caller.body == first_events(3)
    assert not scenario.caller.response_complete
    assert scenario.ended_at < scenario.job.deadline


@pytest.mark.parametrize(
    ("data", "end"),
    [
        (event(4) + b"\xff\n\n", None),
        (event(4), End(False, "reset")),
        (b"\xff\n\n", None),
    ],
)
def test_a_standby_replaces_a_run_that_went_on_and_then_failed(resume_with, data, end):
    """The answer hung until its deadline, as no run was left to wait for."""
    scenario = resume_with(data, end)
    assert scenario.refusal is None
    assert scenario.caller.body == whole_answer()
    assert scenario.firsts == ["a", "c"]
    assert scenario.ended_at < scenario.job.deadline / 2
    assert "a" in scenario.job.avoid
