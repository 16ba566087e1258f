"""Tests of the time that versions take to reach entries without a fault."""

from __future__ import annotations

import pytest

from lacewingcourse.core.pipelines.freshness import PropagationBudget

from .version_fleet import (
    CALL_TIMEOUT,
    MAX_MESSAGE_DELAY,
    READ_CHECK_PERIOD,
    VersionFleet,
)

#: Entries by availability zone, with the seconds in which versions must be in force.
SMALL_FLEET = ({"a": 2, "b": 2, "c": 1}, 2.0)
LARGE_FLEET = ({"a": 14, "b": 14, "c": 14, "d": 13, "e": 13}, 4.0)
#: Burst of versions: seconds between two of them at most, and its duration in seconds.
MAX_PUBLISH_GAP = 0.3
BURST_TIME = 9.0
#: Seconds of the burst before the faults at least, and seconds observed after them.
TIME_BEFORE_FAULTS = 1.0
OBSERVED_TIME = 7.0


def disconnect(fleet, entry):
    """Disconnect an entry from the source."""
    entry.is_disconnected = True


def crash(fleet, entry):
    """Crash an entry."""
    entry.is_up = False


def freeze(fleet, entry):
    """Freeze an entry for some seconds."""
    entry.frozen_until = fleet.now + 4.0


def slow_down(fleet, entry):
    """Make an entry start its work late."""
    entry.max_scheduling_delay = 1.2


def delay_messages(fleet, entry):
    """Delay messages from and to an entry."""
    entry.max_extra_delay = 1.2


FAULTS = [disconnect, crash, freeze, slow_down, delay_messages]


def lag_bound(bound: float) -> float:
    """Return the seconds after which an entry knows a version by its own reads."""
    return PropagationBudget(bound).max_age + READ_CHECK_PERIOD + 3 * MAX_MESSAGE_DELAY


def worst_lag(fleet: VersionFleet, *faults) -> float:
    """Return the worst lag in a burst during which the first readers have faults."""
    fleet.settle()
    fleet.publish_burst(MAX_PUBLISH_GAP, BURST_TIME)
    fleet.run_until(fleet.now + TIME_BEFORE_FAULTS + fleet.rng.random())
    for entry, fault in zip(fleet.in_read_order(), faults, strict=False):
        fault(fleet, entry)
    fleet.run_until(fleet.now + OBSERVED_TIME)
    return fleet.healthy_lag()


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("second", [None, *FAULTS])
@pytest.mark.parametrize("first", FAULTS)
def test_healthy_entries_of_a_small_fleet_meet_the_bound_beside_faults(
    first, second, seed
):
    zones, bound = SMALL_FLEET
    faults = [first] if second is None else [first, second]
    assert worst_lag(VersionFleet(zones, bound, seed), *faults) <= lag_bound(bound)


@pytest.mark.parametrize("fault", FAULTS)
def test_healthy_entries_of_a_large_fleet_meet_the_bound_beside_faults(fault):
    zones, bound = LARGE_FLEET
    assert worst_lag(VersionFleet(zones, bound, 1), fault, fault) <= lag_bound(bound)


def test_one_entry_reads_for_all_without_faults():
    zones, bound = SMALL_FLEET
    fleet = VersionFleet(zones, bound, 1)
    fleet.settle()
    before = fleet.reads
    fleet.run_until(fleet.now + 10.0)
    at_once = 10.0 / PropagationBudget(bound).wait
    assert fleet.reads - before <= at_once + 1


@pytest.mark.parametrize("bound", [2.0, 3.0, 4.0, 6.0])
def test_the_bound_leaves_time_for_one_read_at_the_maximum_age(bound):
    budget = PropagationBudget(bound)
    assert budget.max_age + READ_CHECK_PERIOD + CALL_TIMEOUT <= bound
    assert budget.wait < budget.freshness().takeover_age < budget.max_age


class HistoryFleet(VersionFleet):
    """Mutant whose entries read on from their last position.

    They take the result of each read for the newest version.
    """

    most = 6

    def read_version(self, entry):
        entry.position = min(self.newest, entry.position + self.most)
        return entry.position


class ArrivalFleet(VersionFleet):
    """Mutant whose entries count the age of what they read from its arrival."""

    def known_at(self, sent_at, waited):
        return self.now


class ArrivalStampFleet(VersionFleet):
    """Mutant whose entries take news to be composed on arrival."""

    def composed_at(self, entry, news):
        return self.now


class PatientFleet(VersionFleet):
    """Mutant whose entries leave reads to others for most of the bound."""

    def add(self, name, zone):
        super().add(name, zone)
        freshness = self.entries[name].freshness
        freshness.takeover_age, freshness.max_age = 0.95 * self.budget.bound, float(
            "inf"
        )


@pytest.mark.parametrize(
    "mutant", [HistoryFleet, ArrivalFleet, ArrivalStampFleet, PatientFleet]
)
def test_the_simulation_detects_mutants_that_exceed_the_bound(mutant):
    zones, bound = SMALL_FLEET
    faults = [(one, other) for one in FAULTS for other in FAULTS]
    lags = [
        worst_lag(mutant(zones, bound, seed), *pair)
        for pair in faults
        for seed in range(4)
    ]
    assert max(lags) > lag_bound(bound)
