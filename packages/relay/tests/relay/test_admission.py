"""Tests of how long requests wait for a path."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.pipelines.admission_queue import IN_TIME_SHARE, resume_timeout
from lacewingcourse.core.pipelines.choice import Demand
from lacewingcourse.relay.admission import Admission

FULL = Refusal(ErrorKind.OVERLOADED, "no room")
DEMAND = Demand(700, 200)


def make_job(response_started: bool):
    """Return what admission needs of a request that arrived at 100."""
    return SimpleNamespace(
        request=SimpleNamespace(received_at=100.0),
        route=SimpleNamespace(objective=0.5, max_event_gap=0.2),
        caller=SimpleNamespace(response_started=response_started, disconnected=False),
        urgency=1,
        deadline=120.0,
        last_event_at=103.0,
    )


class ManualClock:
    """A clock that a test sets."""

    def __init__(self, now: float) -> None:
        self.now = now

    def __call__(self) -> float:
        return self.now


def give_up_time(job, start, monkeypatch):
    """Return when a request stops waiting for room that never becomes available."""
    clock = ManualClock(start)

    async def sleep(seconds):
        clock.now += seconds

    monkeypatch.setattr(asyncio, "sleep", sleep)
    found = asyncio.run(Admission(clock).path_for(job, DEMAND, lambda: FULL))
    assert found is FULL
    return clock.now


def test_new_request_waits_while_it_can_meet_its_objective(monkeypatch):
    """With a wait of two objectives, late answers took room from punctual ones."""
    until = give_up_time(make_job(response_started=False), 100.0, monkeypatch)
    assert abs(until - (100.0 + 0.5 * IN_TIME_SHARE)) < 0.01


def test_broken_stream_waits_as_long_as_its_caller(monkeypatch):
    """Aborted after half the allowed pause, it was lost although room came later."""
    until = give_up_time(make_job(response_started=True), 103.1, monkeypatch)
    assert abs(until - (103.0 + 2.2)) < 0.01


@pytest.mark.parametrize(
    ("objective", "gap", "caller_patience"),
    [(0.5, 0.2, 2.0), (0.503, 0.25, 2.012), (0.603, 0.3, 2.412), (0.1, 0.5, 4.0)],
)
def test_broken_stream_waits_longer_than_its_caller(objective, gap, caller_patience):
    """With one wait for all routes, callers that kept reading were cut off."""
    assert resume_timeout(objective, gap) > caller_patience


def test_path_that_becomes_available_is_used(monkeypatch):
    found = iter([FULL, FULL, "path"])

    async def sleep(seconds):
        pass

    monkeypatch.setattr(asyncio, "sleep", sleep)
    admission = Admission(ManualClock(100.0))
    job = make_job(response_started=False)
    path = asyncio.run(admission.path_for(job, DEMAND, lambda: next(found)))
    assert path == "path"
    assert admission.queue.requests == []


@pytest.mark.parametrize(("next_in", "waits"), [(0.0, True), (0.1, True), (0.5, False)])
def test_request_waits_for_a_limited_endpoint_only_if_it_is_available_in_time(
    monkeypatch, next_in, waits
):
    clock = ManualClock(100.0)

    async def sleep(seconds):
        clock.now += seconds

    monkeypatch.setattr(asyncio, "sleep", sleep)
    limited = Refusal(ErrorKind.OVERLOADED, "at its limit", retry_after=next_in)
    path = Admission(clock).path_for(
        make_job(response_started=False), DEMAND, lambda: limited
    )
    assert asyncio.run(path) is limited
    assert (clock.now > 100.0) is waits
