"""Tests of how long requests wait for a path."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.pipelines.admission_queue import IN_TIME_SHARE, continued_wait
from lacewingcourse.core.pipelines.choice import Demand
from lacewingcourse.relay.admission import Admission

FULL = Refusal(ErrorKind.OVERLOADED, "no room")
DEMAND = Demand(700, 200)


def make_job(begun: bool):
    """Return what admission needs of a request that came at 100."""
    return SimpleNamespace(
        request=SimpleNamespace(received_at=100.0),
        route=SimpleNamespace(objective=0.5, max_event_gap=0.2),
        caller=SimpleNamespace(begun=begun, gone=False),
        urgency=1,
        until=120.0,
        progressed_at=103.0,
    )


class Time:
    """A clock that a test moves."""

    def __init__(self, now: float) -> None:
        self.now = now

    def __call__(self) -> float:
        return self.now


def waits_until(job, start, monkeypatch):
    """Return when a request stops to wait for room that never comes."""
    clock = Time(start)

    async def sleep(seconds):
        clock.now += seconds

    monkeypatch.setattr(asyncio, "sleep", sleep)
    found = asyncio.run(Admission(clock).path_for(job, DEMAND, lambda: FULL))
    assert found is FULL
    return clock.now


def test_a_new_request_waits_while_it_can_be_in_time(monkeypatch):
    """With two objectives late answers took the room of those still in time."""
    until = waits_until(make_job(begun=False), 100.0, monkeypatch)
    assert abs(until - (100.0 + 0.5 * IN_TIME_SHARE)) < 0.01


def test_a_stream_that_broke_waits_as_long_as_its_caller_bears(monkeypatch):
    """Cut after half the allowed pause, it was lost although room came later."""
    until = waits_until(make_job(begun=True), 103.1, monkeypatch)
    assert abs(until - (103.0 + 2.2)) < 0.01


@pytest.mark.parametrize(
    ("objective", "gap", "leaves_after"),
    [(0.5, 0.2, 2.0), (0.503, 0.25, 2.012), (0.603, 0.3, 2.412), (0.1, 0.5, 4.0)],
)
def test_a_stream_that_broke_waits_longer_than_its_caller(objective, gap, leaves_after):
    """With one time for all routes, callers that would have read on were cut off."""
    assert continued_wait(objective, gap) > leaves_after


def test_room_that_comes_is_taken(monkeypatch):
    found = iter([FULL, FULL, "path"])

    async def sleep(seconds):
        pass

    monkeypatch.setattr(asyncio, "sleep", sleep)
    admission = Admission(Time(100.0))
    job = make_job(begun=False)
    path = asyncio.run(admission.path_for(job, DEMAND, lambda: next(found)))
    assert path == "path"
    assert admission.queue.members == []


@pytest.mark.parametrize(("next_in", "waits"), [(0.0, True), (0.1, True), (0.5, False)])
def test_a_request_waits_for_a_limited_endpoint_only_if_that_is_in_time(
    monkeypatch, next_in, waits
):
    clock = Time(100.0)

    async def sleep(seconds):
        clock.now += seconds

    monkeypatch.setattr(asyncio, "sleep", sleep)
    limited = Refusal(ErrorKind.OVERLOADED, "at its limit", retry_after=next_in)
    path = Admission(clock).path_for(make_job(begun=False), DEMAND, lambda: limited)
    assert asyncio.run(path) is limited
    assert (clock.now > 100.0) is waits
