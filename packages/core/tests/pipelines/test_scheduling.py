"""Tests of the order in which waiting requests start, and of refusals."""

from __future__ import annotations

import itertools

import pytest

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.pipelines.rank_queue import MAX_ACCOUNTS, RankQueue
from lacewingcourse.core.pipelines.request_scheduler import (
    COLLECTS_AFTER,
    MAX_COLLECT_TIME,
    MAX_QUEUED,
    MAX_WAKE_INTERVAL,
    RequestScheduler,
)
from lacewingcourse.core.pipelines.room_rate import HALF_LIFE, RoomRate
from lacewingcourse.core.pipelines.scheduling import (
    QueuedRequest,
    RefusalCause,
    Refused,
    Started,
    UnlimitedShare,
)

from .scheduled_load import RoomCounter, play, requests_at

NUMBERS = itertools.count()
NO_PATH = Refusal(ErrorKind.NO_ROUTE, "no path holds every layer")


def request(tokens=1000, rank=1, organisation="o", at=0.0, wait=0.25, **options):
    """Return a request that arrives at a time and may wait for a quarter second."""
    name = str(next(NUMBERS))
    return QueuedRequest(name, rank, organisation, tokens, at, at + wait, **options)


def full_scheduler(*waiting: QueuedRequest, free: int = 0) -> RequestScheduler:
    """Return a scheduler with some requests waiting and little room."""
    scheduler = RequestScheduler(RoomCounter(0))
    for each in waiting:
        assert scheduler.arrive(each, each.arrived_at) == []
    scheduler.source.free = free
    return scheduler


def started(decisions) -> list[QueuedRequest]:
    """Return the requests that start, in order."""
    return [each.request for each in decisions if isinstance(each, Started)]


def refused(decisions) -> list[QueuedRequest]:
    """Return the requests that are refused, in order."""
    return [each.request for each in decisions if isinstance(each, Refused)]


class FixedSource:
    """A source that gives the same result to every request, and counts the tries."""

    def __init__(self, found) -> None:
        self.found = found
        self.tries = 0

    def take(self, request, now):
        self.tries += 1
        return self.found


def test_resumed_answers_go_before_all_ranks():
    urgent, resumed = request(rank=0), request(rank=2, resumed=True)
    scheduler = full_scheduler(urgent, resumed, free=1000)
    assert started(scheduler.room_changed(0.1)) == [resumed]


def test_ranks_start_in_order():
    waiting = [request(rank=2), request(rank=0), request(rank=1)]
    scheduler = full_scheduler(*waiting, free=3000)
    assert [each.rank for each in started(scheduler.room_changed(0.1))] == [0, 1, 2]


def test_organisation_served_least_goes_first():
    scheduler = RequestScheduler(RoomCounter(3000))
    for _ in range(3):
        scheduler.arrive(request(organisation="much"), 0.0)
    first, second = request(organisation="much"), request(organisation="little")
    scheduler.arrive(first, 0.0)
    scheduler.arrive(second, 0.0)
    scheduler.source.free = 1000
    assert started(scheduler.room_changed(0.1)) == [second]


def test_latest_start_decides_within_an_organisation():
    later, sooner = request(wait=0.3), request(wait=0.2)
    scheduler = full_scheduler(later, sooner, free=1000)
    assert started(scheduler.room_changed(0.1)) == [sooner]


def test_callers_that_return_when_due_go_before_others_of_their_organisation():
    sooner, due = request(wait=0.2), request(wait=0.3, due=True)
    scheduler = full_scheduler(sooner, due, free=1000)
    assert started(scheduler.room_changed(0.1)) == [due]


def test_smaller_requests_may_pass_one_queued_recently():
    scheduler = full_scheduler(request(6000), free=1000)
    small = request(1000, at=0.01)
    assert started(scheduler.arrive(small, 0.01)) == [small]


def test_smaller_requests_of_its_rank_do_not_pass_one_that_collects_room():
    large = request(6000)
    scheduler = full_scheduler(large, free=1000)
    collecting = 0.25 * COLLECTS_AFTER + 0.01
    assert started(scheduler.arrive(request(at=collecting), collecting)) == []
    urgent = request(rank=0, at=collecting)
    assert started(scheduler.arrive(urgent, collecting)) == [urgent]
    scheduler.source.free = 6000
    assert started(scheduler.room_changed(0.2))[0] is large


def test_requests_of_equal_size_do_not_pass():
    first = request()
    scheduler = full_scheduler(first)
    scheduler.source.free = 1000
    later = request(at=0.01)
    assert scheduler.arrive(later, 0.01) == []
    assert started(scheduler.room_changed(0.01)) == [first]


def test_room_is_collected_for_a_limited_time_only():
    """A resumed answer waits for seconds, and would keep all room idle."""
    resumed = request(6000, wait=4.0, resumed=True)
    scheduler = full_scheduler(resumed, free=1000)
    before = 4.0 - MAX_COLLECT_TIME - 0.1
    small = request(at=before)
    assert started(scheduler.arrive(small, before)) == [small]


def test_restricted_request_without_room_does_not_block_others():
    """A retry that avoids an endpoint may find no path where others find room."""
    scheduler = RequestScheduler(FixedSource(NO_PATH))
    assert scheduler.arrive(request(500, restricted=True), 0.0) == []
    scheduler.source.found = "room"
    other = request(1000)
    assert started(scheduler.arrive(other, 0.0)) == [other]


def test_request_past_its_latest_start_is_refused_and_blocks_nobody():
    late = request(6000)
    scheduler = full_scheduler(late, free=1000)
    decisions = scheduler.room_changed(0.25)
    assert refused(decisions) == [late]
    assert decisions[0].cause is RefusalCause.WAITED
    small = request(at=0.3)
    assert started(scheduler.arrive(small, 0.3)) == [small]


@pytest.mark.parametrize(
    ("found", "options", "waits"),
    [
        (Refusal(ErrorKind.OVERLOADED), {}, True),
        (NO_PATH, {}, True),
        (Refusal(ErrorKind.DRAINING), {}, False),
        (Refusal(ErrorKind.REQUEST_CRASHES_ENDPOINTS), {}, False),
        (Refusal(ErrorKind.RETRIES_EXHAUSTED), {}, False),
        (Refusal(ErrorKind.RETRIES_EXHAUSTED), {"caller_may_retry": False}, True),
        (Refusal(ErrorKind.OVERLOADED, retry_after=0.1), {}, True),
        (Refusal(ErrorKind.OVERLOADED, retry_after=0.5), {}, False),
    ],
)
def test_only_requests_that_may_find_room_in_time_wait(found, options, waits):
    scheduler = RequestScheduler(FixedSource(found))
    decisions = scheduler.arrive(request(**options), 0.0)
    assert (decisions == []) is waits
    assert all(each.refusal is found for each in decisions)


def test_request_late_behind_others_is_refused_on_arrival():
    waiting = [request(wait=0.2), request(wait=0.3)]
    scheduler = full_scheduler(*waiting)
    scheduler.rate = RoomRate({1: 4000.0}, 1.0, 0.0)
    assert scheduler.arrive(request(wait=0.9), 0.001) == []
    late = request(wait=0.31, at=0.001)
    decisions = scheduler.arrive(late, 0.001)
    assert [each.cause for each in decisions] == [RefusalCause.LATE]
    assert refused(decisions) == [late]
    assert "2000 tokens wait before it" in decisions[0].refusal.reason


def test_queued_request_that_falls_behind_a_more_urgent_one_is_refused_then():
    first, behind = request(wait=0.2), request(wait=0.25)
    scheduler = full_scheduler(first, behind)
    scheduler.rate = RoomRate({1: 5000.0}, 1.0, 0.0)
    decisions = scheduler.arrive(request(rank=0, at=0.001), 0.001)
    assert refused(decisions) == [behind]


def test_without_observed_starts_requests_wait():
    scheduler = full_scheduler(request())
    assert scheduler.arrive(request(at=0.01, wait=0.01), 0.01) == []


def test_request_outside_the_share_of_the_entry_is_refused_on_arrival():
    class NoShare(UnlimitedShare):
        def may_take(self, request, now):
            return False

    scheduler = RequestScheduler(FixedSource("room"), NoShare())
    decisions = scheduler.arrive(request(), 0.0)
    assert decisions[0].cause is RefusalCause.SHARE
    assert decisions[0].refusal.kind is ErrorKind.OVERLOADED
    assert scheduler.source.tries == 0
    resumed = request(resumed=True)
    assert started(scheduler.arrive(resumed, 0.0)) == [resumed]


def test_request_without_precedence_waits_and_takes_no_room():
    class Behind(UnlimitedShare):
        def has_precedence(self, request, now):
            return now > 0.1

    scheduler = RequestScheduler(FixedSource("room"), Behind())
    waiting = request()
    assert scheduler.arrive(waiting, 0.0) == []
    assert scheduler.source.tries == 0
    assert started(scheduler.room_changed(0.2)) == [waiting]


def test_left_request_takes_no_room_and_frees_those_that_it_held_up():
    large, small = request(6000), request(1000, at=0.08)
    scheduler = full_scheduler(large, free=1000)
    assert scheduler.arrive(small, 0.08) == []
    assert started(scheduler.leave(large, 0.09)) == [small]
    assert scheduler.leave(large, 0.1) == []
    assert scheduler.size == 0
    assert scheduler.next_wake(0.1) is None


def test_wake_is_soon_and_at_the_latest_start():
    scheduler = full_scheduler(request(wait=0.01))
    assert scheduler.next_wake(0.0) == 0.01
    scheduler = full_scheduler(request(wait=1.0))
    assert scheduler.next_wake(0.0) == MAX_WAKE_INTERVAL
    assert scheduler.next_wake(5.0) == 5.0


def test_pass_over_a_long_queue_without_room_tries_one_request_of_a_size():
    """Each try compares all paths, so one for each waiting request blocks the loop."""
    source = FixedSource(Refusal(ErrorKind.OVERLOADED, "full"))
    scheduler = RequestScheduler(source)
    for _ in range(100):
        scheduler.arrive(request(), 0.0)
    source.tries = 0
    scheduler.room_changed(0.1)
    assert source.tries == 1


def test_queue_is_bounded():
    scheduler = full_scheduler(*(request(wait=9.0) for _ in range(MAX_QUEUED)))
    decisions = scheduler.arrive(request(wait=9.0), 0.0)
    assert [each.cause for each in decisions] == [RefusalCause.QUEUE_FULL]
    assert scheduler.arrive(request(resumed=True), 0.0) == []


def test_accounts_are_bounded():
    queue = RankQueue()
    for number in range(2 * MAX_ACCOUNTS):
        queue.charge(request(organisation=f"o{number}"))
    assert len(queue.table.accounts) == MAX_ACCOUNTS
    assert queue.accounts_full


def test_room_not_used_long_ago_gives_no_claim():
    """An organisation that returns after a day would take all room for minutes."""
    scheduler = RequestScheduler(RoomCounter(1_000_000))
    scheduler.arrive(request(organisation="returning"), 0.0)
    for _ in range(500):
        scheduler.arrive(request(organisation="steady"), 0.0)
    scheduler.source.free = 0
    for _ in range(40):
        scheduler.arrive(request(organisation="returning", wait=9.0), 0.0)
        scheduler.arrive(request(organisation="steady", wait=9.0), 0.0)
    scheduler.source.free = 40_000
    names = [each.organisation for each in started(scheduler.room_changed(1.0))]
    assert 10 <= names.count("steady") <= 20


@pytest.mark.parametrize("jump", [-100.0, 100.0])
def test_observed_rate_survives_a_jump_of_the_clock(jump):
    rate = RoomRate()
    for step in range(100):
        rate.advance(step * 0.01, shortage=True)
        rate.record_start(0, 10)
    before = rate.total(0)
    rate.advance(1.0 + jump, shortage=True)
    rate.advance(1.01 + jump, shortage=True)
    assert rate.total(0) == pytest.approx(before, rel=0.5)


def test_observations_age():
    rate = RoomRate({0: 1000.0}, 1.0, 0.0)
    for step in range(1, 101):
        rate.advance(step * HALF_LIFE / 10, shortage=False)
    assert rate.seconds < 0.01
    assert rate.total(0) is None


def test_requests_are_decided_in_time_after_a_jump_of_the_clock():
    waiting = request()
    scheduler = full_scheduler(waiting)
    assert scheduler.room_changed(-50.0) == []
    assert refused(scheduler.room_changed(1000.0)) == [waiting]


def test_with_room_to_spare_requests_start_on_arrival_in_their_order():
    """The same sends as without a scheduler, whatever the organisations."""
    arrivals = requests_at(0.3, seed=3, ranks=(1,))
    played = play(arrivals)
    assert list(played.started) == played.requests
    assert all(at == each.arrived_at for each, at in played.started.items())


def test_with_room_to_spare_room_is_sought_once_for_each_request():
    source = FixedSource("room")
    scheduler = RequestScheduler(source)
    arrivals = [request(organisation=f"o{number % 3}") for number in range(50)]
    for each in arrivals:
        assert scheduler.arrive(each, 0.0) == [Started(each, "room")]
    assert source.tries == len(arrivals)
    assert scheduler.next_wake(0.0) is None


def test_request_too_large_for_every_endpoint_does_not_hold_others_up_for_long():
    """Room collected for it stays idle each time, as no endpoint is large enough."""
    scheduler, blocked = RequestScheduler(RoomCounter(5000)), 0
    for step in range(3000):
        now = step * 0.01
        if step % 20 == 0:
            scheduler.arrive(request(10**6, at=now), now)
        small = request(at=now, wait=0.3, organisation="other")
        blocked += started(scheduler.arrive(small, now)) != [small]
        scheduler.room_changed(now + 0.005)
        scheduler.source.free = 5000
    assert blocked < 0.1 * 3000
