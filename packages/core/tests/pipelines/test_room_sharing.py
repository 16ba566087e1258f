"""Division of room that is short, by hand-made demand."""

from __future__ import annotations

from math import inf, nan

import attrs
import pytest

from lacewingcourse.core.pipelines.room_demand import (
    MAX_MEASURED,
    MAX_NAMED,
    MAX_WAITING,
    RankDemand,
    RoomDemand,
    RoomReport,
)
from lacewingcourse.core.pipelines.room_division import (
    MIN_RANK_SHARE,
    divide,
    water_level,
)
from lacewingcourse.core.pipelines.room_shares import MAX_SERVICES, RoomShares
from lacewingcourse.core.pipelines.room_sharing import (
    MAX_CREDITS,
    MAX_HOLD,
    ONSET_TIME,
    ROOM_SHARING_POLICIES,
    SHORTAGE_TTL,
    DeploymentRoomShare,
)
from lacewingcourse.core.pipelines.scheduling import QueuedRequest


@pytest.fixture
def share():
    return DeploymentRoomShare("entry-a")


def make_request(name="r", rank=0, organisation="ours", tokens=100, at=0.0, **changes):
    return QueuedRequest(name, rank, organisation, tokens, at, at + 1.0, **changes)


def report(arrived, started, rank=1, waiting=0.0, short_for=0.0):
    ranks = [(rank, arrived, 0.0, started, waiting, arrived, 5)]
    return RoomReport(ranks, [], short_for)


def load_share(share, arrived=1000.0, started=500.0, until=1.0, **changes):
    """Let a peer report a shortage for a while."""
    share.from_peer("peer", report(arrived, started, **changes), 0.0)
    share.plan(0.0)
    share.from_peer("peer", report(arrived, started, **changes), until)


def admitted(share, count=100, now=1.0, **changes):
    requests = [make_request(str(n), at=now, **changes) for n in range(count)]
    return sum(share.may_take(request, now) for request in requests)


def test_everything_is_admitted_without_a_shortage(share):
    share.from_peer("peer", report(1e6, 1.0, short_for=None), 0.0)
    assert admitted(share, rank=9, now=0.1) == 100


def admitted_beside_a_peer_without_room(share, first_report: int) -> int:
    """Return how many of the last 200 of 400 requests an entry with room admits.

    Args:
        share: The share of the entry.
        first_report: Request from which on a peer reports that it starts nothing.
    """
    found = []
    for step in range(400):
        now = step * 0.05
        if step >= first_report and step % 4 == 0:
            share.from_peer("peer", report(1000, 0.0, rank=0), now)
        request = make_request(str(step), at=now)
        share.record_arrival(request, now)
        found.append(share.may_take(request, now))
        if found[-1]:
            share.record_start(request, now)
    return sum(found[200:])


def test_entry_that_finds_room_is_not_held_back_by_one_that_does_not(share):
    assert admitted_beside_a_peer_without_room(share, first_report=40) >= 0.9 * 200


def test_entry_that_has_just_started_finds_its_rate_beside_one_without_room(share):
    assert admitted_beside_a_peer_without_room(share, first_report=0) >= 0.9 * 200


def test_short_shortage_refuses_nobody(share):
    share.from_peer("peer", report(1000, 10), 0.0)
    assert admitted(share, now=0.0) == 100
    assert admitted(share, now=ONSET_TIME / 2) == 100


def test_more_urgent_rank_is_admitted_first(share):
    load_share(share)
    assert admitted(share, rank=0) == 100
    assert 50 <= admitted(share, rank=1) <= 60


def test_large_requests_are_admitted_as_often_as_small_ones(share):
    load_share(share)
    found = [0, 0]
    for number in range(200):
        size = number % 2
        request = make_request(str(number), 1, tokens=600 if size else 100, at=1.0)
        found[size] += share.may_take(request, 1.0)
    assert found[0] + found[1] == pytest.approx(110, abs=3)
    small = DeploymentRoomShare("entry-a")
    load_share(small)
    assert admitted(small, rank=1, tokens=600) == admitted(share, rank=1, tokens=100)


@pytest.mark.parametrize("mark", ["due", "resumed"])
def test_due_and_resumed_requests_are_always_admitted(share, mark):
    load_share(share, 1e6, 1.0)
    assert admitted(share, rank=1, **{mark: True}) == 100


def test_due_requests_are_counted_before_newcomers():
    demand = RoomDemand({0: RankDemand(arrived=100, certain=60)})
    demand.organisations[0] = {"ours": 40.0}
    assert divide(80.0, demand)[0].fraction_of("ours") == pytest.approx(0.5)


def test_each_lower_rank_keeps_a_small_part():
    demand = RoomDemand({rank: RankDemand(arrived=100) for rank in range(3)})
    portions = divide(50.0, demand)
    assert portions[2].fraction == pytest.approx(MIN_RANK_SHARE * 50 / 100)
    assert portions[0].fraction == pytest.approx((1 - 2 * MIN_RANK_SHARE) * 50 / 100)


def test_room_that_an_organisation_does_not_need_goes_to_others():
    demand = RoomDemand({0: RankDemand(arrived=100)})
    demand.organisations[0] = {"large": 70.0, "middle": 20.0, "small": 10.0}
    portion = divide(60.0, demand)[0]
    assert portion.fraction_of("small") == 1.0
    assert portion.fraction_of("middle") == 1.0
    assert portion.fraction_of("large") == pytest.approx(30 / 70)


def test_unnamed_organisations_have_equal_parts_each():
    demand = RoomDemand({0: RankDemand(arrived=100, unnamed=30, unnamed_count=10)})
    demand.organisations[0] = {"large": 70.0}
    portion = divide(44.0, demand)[0]
    assert portion.unnamed == 1.0
    assert portion.fraction_of("large") == pytest.approx(14 / 70)


@pytest.mark.parametrize(
    ("room", "level"), [(0.0, 0.0), (12.0, 5.0), (20.0, 9.0), (40.0, inf)]
)
def test_water_level(room, level):
    assert water_level(room, [(10.0, 1), (2.0, 1), (9.0, 1)]) == pytest.approx(level)


def test_request_is_held_back_for_a_more_urgent_one_elsewhere(share):
    load_share(share, rank=0, waiting=100.0)
    request = make_request(rank=1, at=1.0)
    assert not share.has_precedence(request, 1.0)
    assert share.has_precedence(make_request(rank=0, at=1.0), 1.0)
    assert share.has_precedence(attrs.evolve(request, resumed=True), 1.0)


def test_request_is_not_held_back_for_long(share):
    load_share(share, rank=0, waiting=100.0)
    request = make_request(rank=1, at=1.0)
    assert share.has_precedence(request, 1.0 + MAX_HOLD)
    hurried = attrs.evolve(request, latest_start=1.1)
    assert share.has_precedence(hurried, 1.05)


def test_waiting_demand_ends_with_a_start_or_the_latest_start(share):
    for name in "ab":
        share.record_arrival(make_request(name), 0.0)
        share.record_shortage(make_request(name), 0.0)

    def waiting(now):
        return share.report(lambda peer: False, now).ranks[0][4]

    assert waiting(0.0) == 200.0
    share.record_start(make_request("a"), 0.1)
    assert waiting(0.1) == 100.0
    assert waiting(1.1) == 0.0


def test_peer_that_is_gone_no_longer_counts(share):
    load_share(share, rank=0, waiting=100.0)
    late = 1.0 + SHORTAGE_TTL + 0.1
    assert admitted(share, rank=1, now=late) == 100
    assert share.has_precedence(make_request(rank=1, at=late), late)
    share.expire(late)
    assert not share.peers


def test_receiver_is_left_out_of_its_message(share):
    share.from_peer("a", report(100, 50), 0.0)
    share.from_peer("b", report(10, 5), 0.0)
    assert share.report(lambda peer: peer != "a", 0.0).ranks[0][1] == 10.0


ABSURD = [nan, inf, -1.0, 1e300]


@pytest.mark.parametrize("value", ABSURD)
@pytest.mark.parametrize("field", range(1, 6))
def test_absurd_rank_report_changes_nothing(share, field, value):
    load_share(share)
    values = [0, 1.0, 1.0, 1.0, 1.0, 1.0, 1]
    values[field] = value
    assert not share.from_peer("peer", RoomReport([tuple(values)]), 1.0)
    assert 50 <= admitted(share, rank=1) <= 60


@pytest.mark.parametrize("value", ABSURD)
def test_absurd_organisation_or_age_is_not_usable(share, value):
    ranks = [(0, 1.0, 0.0, 0.0, 0.0, 0.0, 0)]
    assert not share.from_peer("peer", RoomReport(ranks, [(0, "x", value)]), 0.0)
    assert not share.from_peer("peer", RoomReport(ranks, [], value), 0.0)


@pytest.mark.parametrize(
    "bad",
    [
        RoomReport([(10, 1.0, 0.0, 0.0, 0.0, 0.0, 0)]),
        RoomReport([(-1, 1.0, 0.0, 0.0, 0.0, 0.0, 0)]),
        RoomReport([(0, 1.0, 0.0, 0.0, 0.0, 0.0, -1)]),
        RoomReport([(0, 1.0, 0.0, 0.0, 0.0, 0.0, 0)] * 2),
        RoomReport([], [(0, "unknown rank", 1.0)]),
        RoomReport([(0, 1.0, 0.0, 0.0, 0.0, 0.0, 0)], [(0, "x" * 81, 1.0)]),
        RoomReport(
            [(0, 1.0, 0.0, 0.0, 0.0, 0.0, 0)],
            [(0, str(n), 1.0) for n in range(MAX_NAMED + 1)],
        ),
    ],
)
def test_report_beyond_its_bounds_is_not_usable(share, bad):
    assert not share.from_peer("peer", bad, 0.0)
    assert not share.peers


@pytest.mark.parametrize("jump", [-1000.0, 1000.0])
def test_jump_of_the_clock_refuses_nobody_for_good(share, jump):
    share.record_arrival(make_request(), 5.0)
    share.record_shortage(make_request(), 5.0)
    now = 5.0 + jump
    for step in range(40):
        share.record_arrival(make_request(at=now + step * 0.1), now + step * 0.1)
        share.record_start(make_request(at=now + step * 0.1), now + step * 0.1)
        share.expire(now + step * 0.1)
    assert admitted(share, now=now + 4.0) == 100
    assert not share.plan(now + 4.0).is_short


def test_what_is_remembered_is_bounded(share):
    load_share(share)
    for number in range(2000):
        request = make_request(str(number), number % 20, f"o-{number}", at=1.0)
        share.record_arrival(request, 1.0)
        share.may_take(request, 1.0)
        share.record_shortage(request, 1.0)
    assert len(share.own.ranks) <= 10
    assert all(len(m.organisations) <= MAX_MEASURED for m in share.own.ranks.values())
    assert len(share.own.waiting) <= MAX_WAITING
    assert len(share.credits) <= MAX_CREDITS
    found = share.report(lambda peer: True, 1.0)
    assert len(found.ranks) <= 10
    assert len(found.organisations) <= 10 * MAX_NAMED
    share.expire(20.0)
    assert not share.credits
    assert not any(meter.organisations for meter in share.own.ranks.values())


def test_organisation_beyond_the_measured_ones_keeps_its_demand(share):
    for number in range(MAX_MEASURED + 10):
        share.record_arrival(make_request(organisation=f"o-{number}"), 0.0)
    share.record_shortage(make_request(), 0.0)
    found = share.report(lambda peer: True, 0.0)
    named = sum(rate for _, _, rate in found.organisations)
    assert named + found.ranks[0][5] == pytest.approx(
        (MAX_MEASURED + 10) * 100, rel=0.01
    )


def test_services_have_shares_of_their_own():
    shares = RoomShares()
    load_share(shares.of("texts"))
    assert admitted(shares.of("texts"), rank=1) < 100
    assert admitted(shares.of("calls"), rank=1) == 100


def test_number_of_services_of_peers_is_bounded():
    shares = RoomShares()
    reports = {f"service-{n}": report(1, 1) for n in range(MAX_SERVICES + 5)}
    assert len(shares.from_peer("peer", reports, 0.0)) == 5
    assert len(shares.services) == MAX_SERVICES


def test_service_that_a_peer_no_longer_reports_is_dropped():
    shares = RoomShares()
    shares.from_peer("peer", {"texts": report(1, 1)}, 0.0)
    shares.from_peer("peer", {}, 0.1)
    assert not shares.of("texts").peers


def test_own_policy_admits_everything_and_reports_nothing():
    share = ROOM_SHARING_POLICIES.get("own")("entry-a")
    load_share(share)
    share.record_shortage(make_request(), 1.0)
    assert admitted(share, rank=9) == 100
    assert share.has_precedence(make_request(rank=9), 1.0)
    assert share.report(lambda peer: True, 1.0) is None


def test_reason_names_rank_and_organisation(share):
    load_share(share)
    request = make_request(rank=1, at=1.0)
    assert share.reason(request, 1.0) == (
        "room is short: rank 1 may start 0.55 of its demand, ours 0.55"
    )
