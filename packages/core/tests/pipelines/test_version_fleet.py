"""Tests of how long versions need to entries with which nothing is wrong."""

from __future__ import annotations

import pytest

from lacewingcourse.core.pipelines.freshness import PropagationBudget

from .version_fleet import CALL_TIMEOUT, DELAY, LOOK, VersionFleet

#: Entries by availability zone, with the seconds in which versions must be in force.
FEW = ({"a": 2, "b": 2, "c": 1}, 2.0)
MANY = ({"a": 14, "b": 14, "c": 14, "d": 13, "e": 13}, 4.0)
#: Versions of a storm: seconds between two of them, and for which they come.
GAP = 0.3
STORM = 9.0
#: Seconds of a storm before the trouble at the least, and from its start to the end.
BEFORE = 1.0
WATCHED = 7.0


def cut(fleet, entry):
    """Let the source give an entry no answer."""
    entry.is_cut = True


def end(fleet, entry):
    """End an entry at once."""
    entry.is_up = False


def freeze(fleet, entry):
    """Let an entry stand still for some seconds."""
    entry.frozen_until = fleet.now + 4.0


def slow(fleet, entry):
    """Let an entry get to its work late."""
    entry.lateness = 1.2


def lossy(fleet, entry):
    """Let messages from and to an entry come late."""
    entry.loss = 1.2


TROUBLES = [cut, end, freeze, slow, lossy]


def promised(bound: float) -> float:
    """Return the seconds after which an entry knows a version by its own reads."""
    return PropagationBudget(bound).max_age + LOOK + 3 * DELAY


def play(fleet: VersionFleet, *troubles) -> float:
    """Play a storm in which the first entries meet trouble; return the worst lag."""
    fleet.settle()
    fleet.storm(GAP, STORM)
    fleet.play(fleet.now + BEFORE + fleet.rng.random())
    for entry, trouble in zip(fleet.in_order(), troubles, strict=False):
        trouble(fleet, entry)
    fleet.play(fleet.now + WATCHED)
    return fleet.calm_lag()


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("second", [None, *TROUBLES])
@pytest.mark.parametrize("first", TROUBLES)
def test_few_entries_have_versions_in_time_beside_one_or_two_in_trouble(
    first, second, seed
):
    zones, bound = FEW
    troubles = [first] if second is None else [first, second]
    assert play(VersionFleet(zones, bound, seed), *troubles) <= promised(bound)


@pytest.mark.parametrize("trouble", TROUBLES)
def test_many_entries_have_versions_in_time_beside_two_in_trouble(trouble):
    zones, bound = MANY
    assert play(VersionFleet(zones, bound, 1), trouble, trouble) <= promised(bound)


def test_one_entry_reads_for_all_where_nothing_is_wrong():
    zones, bound = FEW
    fleet = VersionFleet(zones, bound, 1)
    fleet.settle()
    before = fleet.reads
    fleet.play(fleet.now + 10.0)
    at_once = 10.0 / PropagationBudget(bound).wait
    assert fleet.reads - before <= at_once + 1


@pytest.mark.parametrize("bound", [2.0, 3.0, 4.0, 6.0])
def test_the_last_entry_to_read_has_time_for_one_call(bound):
    budget = PropagationBudget(bound)
    assert budget.max_age + LOOK + CALL_TIMEOUT <= bound
    assert budget.wait < budget.freshness().takeover_age < budget.max_age


class HistoryFleet(VersionFleet):
    """Entries that go on where they read last, and take each read for the newest."""

    most = 6

    def bring(self, entry):
        entry.position = min(self.newest, entry.position + self.most)
        return entry.position


class ArrivalFleet(VersionFleet):
    """Entries that count the age of what they read from its arrival."""

    def known_at(self, sent_at, waited):
        return self.now


class ArrivalStampFleet(VersionFleet):
    """Entries that take news to be composed when they arrive."""

    def composed_at(self, entry, news):
        return self.now


class PatientFleet(VersionFleet):
    """Entries that leave reading to others for most of the time there is."""

    def add(self, name, zone):
        super().add(name, zone)
        freshness = self.entries[name].freshness
        freshness.takeover_age, freshness.max_age = 0.95 * self.budget.bound, float(
            "inf"
        )


@pytest.mark.parametrize(
    "mutant", [HistoryFleet, ArrivalFleet, ArrivalStampFleet, PatientFleet]
)
def test_the_play_tells_fleets_that_are_late(mutant):
    zones, bound = FEW
    troubles = [(one, other) for one in TROUBLES for other in TROUBLES]
    lags = [
        play(mutant(zones, bound, seed), *pair)
        for pair in troubles
        for seed in range(4)
    ]
    assert max(lags) > promised(bound)
