"""Tests of incarnations of endpoints, and of directory entries of earlier ones."""

from __future__ import annotations

import attrs
import pytest

from lacewingcourse.core.pipelines.fleet import (
    REREGISTRATION_GRACE,
    EntryEffect,
    Fleet,
)
from lacewingcourse.core.pipelines.incarnation import Incarnation

from .conftest import holding, make_endpoint


def entry(born: int, sequence: int = 1, name: str = "a", **changes):
    """Return an endpoint as its directory entry describes it."""
    identifier = Incarnation(name, born).id
    found = attrs.evolve(make_endpoint(identifier, "large"), name=name, born=born)
    return attrs.evolve(found, address="a:1", sequence=sequence, **changes)


@pytest.fixture
def fleet() -> Fleet:
    """A fleet of one endpoint that started at 100 and holds layers."""
    fleet = Fleet()
    fleet.put(holding(entry(100, 7), 0, 20))
    return fleet


def test_an_endpoint_without_a_start_time_is_identified_by_its_name():
    assert Incarnation("a").id == "a"
    assert Incarnation("a", 5).id == "a@5"


def test_only_later_starts_of_the_same_endpoint_replace_an_incarnation():
    known = Incarnation("a", 5)
    assert Incarnation("a", 6).replaces(known)
    assert not Incarnation("a", 5).replaces(known)
    assert not Incarnation("b", 6).replaces(known)
    assert Incarnation("a").is_outdated(known)


def test_state_of_an_incarnation_is_dropped_with_it(fleet):
    assert fleet.put(entry(200, 1)) is EntryEffect.RESTARTED
    assert list(fleet.endpoints) == ["a@200"]
    assert fleet.current_incarnation("a").layers is None
    assert fleet.of_service("rooms") == [entry(200)]


def test_directory_entries_of_an_earlier_start_are_outdated(fleet):
    fleet.put(entry(200, 1))
    revision = fleet.revision
    assert fleet.put(holding(entry(100, 9), 0, 20)) is EntryEffect.OUTDATED
    assert fleet.put(holding(entry(0, 9), 0, 20)) is EntryEffect.OUTDATED
    assert fleet.current_incarnation("a").layers is None
    assert fleet.revision == revision


def test_a_directory_entry_with_a_lower_sequence_is_outdated(fleet):
    fleet.put(entry(100, 8, leaving=True))
    assert fleet.put(holding(entry(100, 7), 0, 20)) is EntryEffect.OUTDATED
    assert fleet.of_service("rooms") == []


def test_sequences_are_not_compared_without_start_times():
    fleet = Fleet()
    fleet.put(holding(entry(0, 9), 0, 20))
    assert fleet.put(entry(0, 1)) is EntryEffect.CHANGED
    assert fleet.current_incarnation("a").layers is None


def test_a_directory_entry_with_only_a_higher_sequence_changes_nothing(fleet):
    assert fleet.put(holding(entry(100, 8), 0, 20)) is EntryEffect.NOTHING
    assert fleet.current_incarnation("a").sequence == 8


def test_a_late_directory_entry_does_not_restore_a_removed_endpoint(fleet):
    fleet.put(entry(100, 8, leaving=True))
    assert fleet.remove("a", now=50.0)
    assert fleet.put(holding(entry(100, 7), 0, 20)) is EntryEffect.OUTDATED
    assert fleet.endpoints == {}
    assert fleet.put(entry(100, 9)) is EntryEffect.CHANGED


def test_a_reported_start_drops_the_state_of_the_earlier_incarnation(fleet):
    assert not fleet.record_start("a", 100)
    assert not fleet.record_start("a", 0)
    assert not fleet.record_start("b", 300)
    assert fleet.record_start("a", 300)
    assert fleet.current_incarnation("a").layers is None
    assert fleet.put(holding(entry(100, 9), 0, 20)) is EntryEffect.OUTDATED


def test_only_a_configured_service_displaces_the_holder_of_an_address():
    fleet = Fleet()
    fleet.put(entry(100))
    stranger = entry(100, name="b", service="unknown")
    fleet.put(stranger, recognised=False)
    assert set(fleet.endpoints) == {"a@100", "b@100"}
    fleet.put(entry(100, name="c"), recognised=True)
    assert set(fleet.endpoints) == {"c@100"}


def test_a_complete_listing_is_matched_by_names(fleet):
    fleet.keep_only({"a"}, now=50.0)
    assert list(fleet.endpoints) == ["a@100"]
    fleet.keep_only(set(), now=50.0)
    assert fleet.endpoints == {}


@pytest.mark.parametrize("born", [0, 5])
def test_record_of_an_older_copy_does_not_take_back_that_an_endpoint_leaves(born):
    fleet = Fleet()
    fleet.put(entry(born, sequence=8, leaving=True))
    fleet.put(entry(born, sequence=7))
    assert fleet.current_incarnation("a").leaving


@pytest.mark.parametrize("born", [0, 5])
def test_record_of_an_older_copy_does_not_bring_back_a_removed_endpoint(born):
    fleet = Fleet()
    fleet.put(entry(born, sequence=8))
    fleet.remove("a", now=100.0)
    assert fleet.put(entry(born, sequence=8)) is EntryEffect.OUTDATED
    assert fleet.put(entry(born, sequence=9)) is EntryEffect.CHANGED


def test_endpoint_that_an_older_copy_lacks_is_kept_for_some_time():
    fleet = Fleet()
    fleet.put(entry(5))
    fleet.directory_restored(now=100.0)
    fleet.keep_only(set(), now=100.0)
    assert fleet.current_incarnation("a") is not None
    fleet.expire(now=100.0 + REREGISTRATION_GRACE)
    assert fleet.current_incarnation("a") is None
