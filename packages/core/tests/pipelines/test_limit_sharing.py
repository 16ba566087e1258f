"""Tests of how entries share the limit of an endpoint."""

from __future__ import annotations

from random import Random

import pytest

from lacewingcourse.core.pipelines.limit_sharing import (
    EvenSharing,
    PermitSharing,
)
from lacewingcourse.core.pipelines.permits import (
    Grant,
    PermitDemand,
    PermitIssuer,
    issuer_of,
)
from lacewingcourse.core.pipelines.request_limits import MIN_RATE, NO_LIMIT
from lacewingcourse.core.pipelines.send_limits import SendLimits

from .limit_fleet import ADVERTISED_AT, ENDPOINT, LimitFleet

#: Seconds for which a request waits that no other endpoint can serve.
WAIT = 0.25
#: Lowest share of a limit in use while callers want more and wait.
USED_SHARE = 0.6
SEEDS = [1, 2, 3]
SIZES = [5, 68]
LIMITS = [0.5, 1.8, 2.8, 10.0]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("entries", SIZES)
@pytest.mark.parametrize("limit", LIMITS)
@pytest.mark.parametrize("max_wait", [0.0, WAIT])
def test_all_entries_together_stay_within_the_limit(seed, entries, limit, max_wait):
    fleet = LimitFleet("permits", entries, limit, seed, max_wait=max_wait)
    fleet.run_until(25.0)
    assert fleet.check.breaches() == []


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("entries", SIZES)
@pytest.mark.parametrize("limit", LIMITS)
def test_waiting_requests_use_most_of_the_limit(seed, entries, limit):
    fleet = LimitFleet("permits", entries, limit, seed, max_wait=WAIT)
    fleet.run_until(40.0)
    assert USED_SHARE <= fleet.utilisation(ADVERTISED_AT + 4.0) <= 1.05


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("downtime", [0.5, 3.0])
@pytest.mark.parametrize("limit", [2.8, 10.0])
def test_the_limit_holds_while_the_issuer_of_permits_restarts(seed, downtime, limit):
    fleet = LimitFleet("permits", 5, limit, seed, max_wait=WAIT)
    for at in (12.0, 20.0):
        fleet.run_until(at)
        fleet.restart(issuer_of(ENDPOINT, fleet.entries), downtime)
    fleet.run_until(32.0)
    assert fleet.check.breaches() == []


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("entries", SIZES)
def test_the_limit_holds_while_peers_take_the_issuer_for_dead(seed, entries):
    fleet = LimitFleet("permits", entries, 10.0, seed, max_wait=WAIT)
    fleet.run_until(10.0)
    fleet.set_known_alive(issuer_of(ENDPOINT, fleet.entries), False)
    fleet.run_until(30.0)
    assert fleet.check.breaches() == []


def make_limits(sharing, named=2.0):
    """Return the send limits of an entry that knows of a limited endpoint."""
    limits = SendLimits(sharing=sharing)
    limits.table.observe(ENDPOINT, named, 0.0, 0.0)
    return limits


def test_a_request_holds_its_permit_while_it_connects():
    limits = make_limits(PermitSharing())
    limits.sharing.accept_grant(ENDPOINT, Grant("i", (0.0,), 0.0), "i", 0.0, 0.0, 0.0)
    assert limits.hold(ENDPOINT, "one", 0.1)
    assert not limits.hold(ENDPOINT, "two", 0.1)
    assert not limits.may_send(ENDPOINT, "two", 0.2)
    assert limits.take(ENDPOINT, "one", 0.2)
    assert not limits.take(ENDPOINT, "one", 0.2)


def test_a_released_permit_is_available_to_other_requests():
    limits = make_limits(PermitSharing())
    limits.sharing.accept_grant(ENDPOINT, Grant("i", (0.0,), 0.0), "i", 0.0, 0.0, 0.0)
    limits.hold(ENDPOINT, "one", 0.1)
    limits.release("one")
    assert limits.hold(ENDPOINT, "two", 0.1)


def test_a_permit_expires_after_its_lifetime():
    limits = make_limits(PermitSharing())
    limits.sharing.accept_grant(ENDPOINT, Grant("i", (0.0,), 0.0), "i", 0.0, 0.4, 0.0)
    assert limits.allows(ENDPOINT, 0.9)
    assert not limits.allows(ENDPOINT, 1.0)


def test_permits_from_before_a_freeze_are_discarded():
    limits = make_limits(PermitSharing())
    limits.sharing.accept_grant(ENDPOINT, Grant("i", (0.0,), 0.0), "i", 0.0, 0.0, 0.0)
    limits.sharing.clear()
    assert not limits.allows(ENDPOINT, 0.1)


def test_an_endpoint_without_a_limit_is_sent_every_request():
    limits = SendLimits()
    assert limits.blocked(0.0) == set()
    assert all(limits.take(ENDPOINT, n, 0.0) for n in range(100))


def test_the_bucket_of_an_even_share_starts_empty():
    limits = make_limits(EvenSharing(entries=4), named=4.0)
    assert not limits.allows(ENDPOINT, 0.5)
    assert limits.take(ENDPOINT, "one", 1.5)
    assert not limits.take(ENDPOINT, "two", 1.5)


def test_an_issuer_counts_sends_from_before_its_first_permits():
    issuer = PermitIssuer("i")
    told = PermitSharing()
    for at in range(10):
        told.record_send(ENDPOINT, NO_LIMIT, at / 10)
    demand = told.demand("e", ENDPOINT, "i", 2.0, 1.0)
    assert (demand.count, len(demand.ages)) == (0, 10)
    issuer.grant(ENDPOINT, demand, 2.0, 1.0)
    given = 0
    for tick in range(10, 45):
        ask = PermitDemand("other", 1)
        given += len(issuer.grant(ENDPOINT, ask, 2.0, tick / 10).delays)
    # The window may hold a quarter more than its eight requests and two extra ones; ten
    # were sent before.
    assert given <= 2 + 1


def test_an_endpoint_with_limit_zero_has_the_minimum_rate():
    limits = make_limits(PermitSharing(), named=0.0)
    assert limits.table.rate(ENDPOINT, 100.0) == MIN_RATE


def test_the_rate_grows_gradually_after_a_limit_is_withdrawn():
    limits = make_limits(PermitSharing())
    limits.table.observe(ENDPOINT, NO_LIMIT, 1.0, 1.5)
    rates = [limits.table.rate(ENDPOINT, 1.5 + passed) for passed in (0, 1, 2, 10)]
    assert rates == [2.0, 4.0, 8.0, NO_LIMIT]


def test_a_decreased_limit_takes_effect_at_once():
    limits = make_limits(PermitSharing())
    limits.table.observe(ENDPOINT, 0.5, 1.0, 1.5)
    assert limits.table.rate(ENDPOINT, 1.5) == 0.5


def test_state_of_unlimited_endpoints_expires():
    limits = SendLimits()
    for number in range(100):
        limits.take(f"a@{number}", "one", 0.0)
    limits.expire((), 10.0)
    assert limits.sharing == PermitSharing()


def test_permits_are_revoked_when_the_limit_decreases():
    limits = make_limits(PermitSharing(), named=10.0)
    limits.sharing.accept_grant(
        ENDPOINT, Grant("i", (0.0,) * 8, 0.0), "i", 0.1, 0.1, 0.0
    )
    assert limits.allows(ENDPOINT, 0.2)
    limits.table.observe(ENDPOINT, 1.0, 0.1, 0.2)
    assert not limits.allows(ENDPOINT, 0.2)


@pytest.mark.parametrize("seed", range(8))
def test_the_limit_holds_while_entries_restart_repeatedly(seed):
    rng = Random(seed)
    limit, entries = rng.choice([0.5, 1.8, 2.8, 10.0]), rng.choice([3, 5, 68])
    fleet = LimitFleet("permits", entries, limit, seed, max_wait=WAIT)
    fleet.run_until(ADVERTISED_AT + 3.0)
    while fleet.now < 40.0:
        up = [name for name, entry in fleet.entries.items() if entry.is_up]
        if len(up) > entries / 2:
            issuer = issuer_of(ENDPOINT, up)
            name = issuer if rng.random() < 0.6 else rng.choice(up)
            fleet.restart(name, rng.uniform(0.3, 4.0))
        fleet.run_until(fleet.now + rng.uniform(1.5, 5.0))
    assert fleet.check.breaches() == []


@pytest.mark.parametrize("seed", SEEDS)
def test_an_endpoint_with_limit_zero_is_still_sent_some_requests(seed):
    fleet = LimitFleet("permits", 5, 2.0, seed, max_wait=WAIT)
    fleet.run_until(10.0)
    fleet.advertise(0.0)
    fleet.run_until(75.0)
    sent = sum(at > 15.0 for at in fleet.sent)
    assert 3 <= sent <= 60.0 * MIN_RATE + 1
