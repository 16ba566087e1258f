"""Tests of how requests wait for room, and of the release of what they took."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import attrs
import pytest

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.pipelines.admission_queue import IN_TIME_SHARE, resume_timeout
from lacewingcourse.core.pipelines.routing import Organisation
from lacewingcourse.relay.admission import RETRY_PERIOD, Admission
from lacewingcourse.relay.room import TakenRoom
from lacewingcourse.testing.virtual_time import run_virtual

FULL = Refusal(ErrorKind.OVERLOADED, "no room")
TOKENS = 900


def make_job(response_started: bool = False, rank: int = 1, received_at: float = 100.0):
    """Return what admission needs of a request."""
    return SimpleNamespace(
        request=SimpleNamespace(id="r", received_at=received_at),
        route=SimpleNamespace(objective=0.5, max_event_gap=0.2),
        service="rooms",
        organisation=Organisation("o"),
        caller=SimpleNamespace(response_started=response_started, disconnected=False),
        urgency=rank,
        deadline=120.0,
        last_event_at=103.0,
        avoid=set(),
        allowed_endpoints=None,
        caller_may_retry=not response_started,
        drain_refusal=lambda now: None,
        waited=0.0,
        refused_by="",
    )


@attrs.define(slots=False)
class RoomPlay:
    """Requests that ask an admission for room in virtual time.

    Attributes:
        free: Tokens that are free.
        taken: Jobs that took room, in order.
        released: Number of releases.
    """

    free: int = 0
    taken: list = attrs.field(factory=list)
    released: int = 0

    def __attrs_post_init__(self) -> None:
        self.admission = Admission(self.clock)

    def clock(self) -> float:
        return asyncio.get_running_loop().time()

    def ask(self, job):
        """Return the coroutine of a request for room."""

        def take() -> TakenRoom | Refusal:
            if self.free < TOKENS:
                return FULL
            self.free -= TOKENS
            self.taken.append(job)
            return TakenRoom("path", self.release)

        latest_start = self.admission.latest_start(job)
        return self.admission.room_for(job, TOKENS, take, latest_start)

    def release(self) -> None:
        self.free += TOKENS
        self.released += 1
        self.admission.room_changed("rooms")

    def is_clean(self) -> bool:
        """Return whether nothing waits, and no timer is left."""
        schedulers = self.admission.schedulers.values()
        return not self.admission.pending and not any(each.size for each in schedulers)


def give_up_time(job, start: float) -> float:
    """Return when a request stops waiting for room that never becomes available."""
    played = RoomPlay()

    async def wait():
        await asyncio.sleep(start)
        assert await played.ask(job) is FULL
        return played.clock()

    ended_at = run_virtual(wait())
    assert played.is_clean()
    return ended_at


def test_new_request_waits_while_it_can_meet_its_objective():
    """With a wait of two objectives, late answers took room from punctual ones."""
    until = give_up_time(make_job(), 100.0)
    assert abs(until - (100.0 + 0.5 * IN_TIME_SHARE)) < 0.01


def test_broken_stream_waits_as_long_as_its_caller():
    """Aborted after half the allowed pause, it was lost although room came later."""
    until = give_up_time(make_job(response_started=True), 103.1)
    assert abs(until - (103.0 + 2.2)) < 0.01


@pytest.mark.parametrize(
    ("objective", "gap", "caller_patience"),
    [(0.5, 0.2, 2.0), (0.503, 0.25, 2.012), (0.603, 0.3, 2.412), (0.1, 0.5, 4.0)],
)
def test_broken_stream_waits_longer_than_its_caller(objective, gap, caller_patience):
    """With one wait for all routes, callers that kept reading were cut off."""
    assert resume_timeout(objective, gap) > caller_patience


@pytest.mark.parametrize("reported", [True, False])
def test_path_that_becomes_available_is_used(reported):
    """Room that other entries free is found without an event, a little later."""
    played = RoomPlay()

    def free() -> None:
        played.free = TOKENS
        if reported:
            played.admission.room_changed()

    async def wait():
        loop = asyncio.get_running_loop()
        loop.call_at(0.1, free)
        room = await played.ask(make_job(received_at=0.0))
        return room, played.clock()

    room, started_at = run_virtual(wait())
    assert room.target == "path"
    assert 0.1 <= started_at <= 0.1 + (0.0 if reported else RETRY_PERIOD)
    assert played.is_clean()


@pytest.mark.parametrize(("next_in", "waits"), [(0.0, True), (0.1, True), (0.5, False)])
def test_request_waits_for_a_limited_endpoint_only_if_it_is_available_in_time(
    next_in, waits
):
    limited = Refusal(ErrorKind.OVERLOADED, "at its limit", retry_after=next_in)
    played = RoomPlay()

    async def wait():
        job = make_job(received_at=0.0)
        room = played.admission.room_for(job, TOKENS, lambda: limited, 0.25)
        assert await room is limited
        return played.clock()

    assert (run_virtual(wait()) > 0.0) is waits


def test_released_room_goes_to_the_most_urgent_request_at_once():
    played = RoomPlay(free=TOKENS)

    async def wait():
        first = await played.ask(make_job(received_at=0.0))
        jobs = [make_job(rank=rank, received_at=0.0) for rank in (2, 0, 1)]
        tasks = [asyncio.ensure_future(played.ask(job)) for job in jobs]
        await asyncio.sleep(0.1)
        first.release()
        room = await tasks[1]
        assert played.clock() == 0.1
        await asyncio.sleep(0.05)
        assert played.taken[1:] == [jobs[1]]
        room.release()
        await asyncio.wait(tasks)
        return [job.urgency for job in played.taken[1:]]

    assert run_virtual(wait()) == [0, 1]


def test_room_is_released_once():
    played = RoomPlay(free=TOKENS)

    async def wait():
        room = await played.ask(make_job(received_at=0.0))
        room.release()
        room.release()

    run_virtual(wait())
    assert (played.free, played.released) == (TOKENS, 1)


def test_cancelled_request_leaves_the_queue():
    played = RoomPlay()

    async def wait():
        task = asyncio.ensure_future(played.ask(make_job(received_at=0.0)))
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.wait([task])

    run_virtual(wait())
    assert played.is_clean()


def test_request_cancelled_as_it_gets_room_releases_it():
    """Its task is cancelled between the decision and its next step."""
    played = RoomPlay()

    async def wait():
        task = asyncio.ensure_future(played.ask(make_job(received_at=0.0)))
        await asyncio.sleep(0.01)
        played.free = TOKENS
        played.admission._pass("rooms")
        assert played.free == 0
        task.cancel()
        await asyncio.wait([task])
        assert task.cancelled()

    run_virtual(wait())
    assert (played.free, played.released) == (TOKENS, 1)
    assert played.is_clean()


@pytest.mark.parametrize("how", ["caller leaves", "entry drains"])
def test_waiting_request_ends_when_its_caller_leaves_or_the_entry_drains(how):
    played = RoomPlay()
    draining = Refusal(ErrorKind.DRAINING, "leaving")

    async def wait():
        job = make_job(received_at=0.0)
        task = asyncio.ensure_future(played.ask(job))
        await asyncio.sleep(0.05)
        if how == "caller leaves":
            job.caller.disconnected = True
        else:
            job.drain_refusal = lambda now: draining
        found = await task
        assert found is (FULL if how == "caller leaves" else draining)
        return played.clock()

    assert run_virtual(wait()) <= 0.05 + 2 * RETRY_PERIOD
    assert played.is_clean()


def test_defect_of_one_request_does_not_end_the_others():
    played = RoomPlay()

    def fail() -> None:
        raise ValueError("a defect")

    async def wait():
        broken = make_job(rank=0, received_at=0.0)
        results = [FULL, None]

        def take():
            found = results.pop(0)
            return found if found is not None else fail()

        first = asyncio.ensure_future(
            played.admission.room_for(broken, TOKENS, take, 0.25)
        )
        second = asyncio.ensure_future(played.ask(make_job(received_at=0.0)))
        await asyncio.sleep(0.0)
        played.free = TOKENS
        with pytest.raises(ValueError, match="a defect"):
            await first
        return await second

    assert run_virtual(wait()).target == "path"
    assert played.is_clean()
