"""Tests of the known endpoints."""

from __future__ import annotations

import attrs
import pytest

from lacewingcourse.core.pipelines.fleet import REREGISTRATION_GRACE, EntryEffect, Fleet
from lacewingcourse.core.pipelines.shape import Layers

from .conftest import holding, make_endpoint, make_shape

A = make_endpoint("a", "large")


def test_an_unchanged_entry_keeps_the_revision():
    fleet = Fleet()
    assert fleet.put(A) is EntryEffect.CHANGED
    revision = fleet.revision
    assert fleet.put(A) is EntryEffect.NOTHING
    assert fleet.revision == revision


def test_a_removed_entry_is_gone_at_once():
    fleet = Fleet()
    fleet.put(A)
    assert fleet.remove("a", now=100.0)
    assert fleet.of_service("rooms") == []


def test_a_leaving_endpoint_gets_no_new_requests():
    fleet = Fleet()
    fleet.put(attrs.evolve(A, leaving=True))
    assert fleet.of_service("rooms") == []


def fleet_after_outage() -> Fleet:
    """Return a fleet after an outage of the directory from second 10 to second 20."""
    fleet = Fleet()
    fleet.put(A)
    fleet.confirm(10.0)
    fleet.confirm(20.0)
    return fleet


def test_endpoints_that_lapse_after_an_outage_are_kept_for_the_grace_period():
    fleet = fleet_after_outage()
    assert not fleet.remove("a", now=20.1)
    assert fleet.of_service("rooms") == [A]
    assert fleet.expire(now=20.1) == []
    assert fleet.expire(now=20.0 + REREGISTRATION_GRACE) == ["a"]


def test_an_entry_that_comes_back_after_an_outage_stays():
    fleet = fleet_after_outage()
    fleet.remove("a", now=20.1)
    fleet.put(A)
    assert fleet.expire(now=30.0) == []
    assert fleet.of_service("rooms") == [A]


def test_a_removed_entry_is_dropped_at_once_while_listings_are_confirmed():
    """Covers an entry without access to the directory that learns of it from peers.

    Their listings confirm the fleet, so the removal does not count as an outage.
    """
    fleet = Fleet()
    fleet.put(A)
    for at in range(10):
        fleet.confirm(float(at))
    assert fleet.remove("a", now=9.1)


def test_a_repeated_removal_does_not_extend_the_grace_period():
    fleet = fleet_after_outage()
    fleet.remove("a", now=20.1)
    fleet.remove("a", now=21.9)
    assert fleet.expire(now=20.0 + REREGISTRATION_GRACE) == ["a"]


def test_a_new_endpoint_replaces_the_old_one_at_its_address():
    fleet = Fleet()
    fleet.put(holding(A, 0, 10))
    fleet.put(attrs.evolve(A, id="a2", name="a2"))
    assert [e.id for e in fleet.of_service("rooms")] == ["a2"]


def test_a_listing_removes_the_endpoints_it_lacks():
    fleet = Fleet()
    fleet.put(A)
    fleet.put(make_endpoint("b", "large"))
    fleet.keep_only({"b"}, now=5.0)
    assert [e.id for e in fleet.of_service("rooms")] == ["b"]


@pytest.mark.parametrize(
    ("changes", "fits"),
    [
        ({}, True),
        ({"layers": Layers(0, 40)}, True),
        ({"layers": Layers(60, 80)}, True),
        ({"layers": Layers(60, 81)}, False),
        ({"layers": Layers(-1, 10)}, False),
        ({"layers": Layers(10, 10)}, False),
        ({"layers": Layers(0, 42)}, False),
        ({"accelerator": "unheard of"}, False),
        ({"accelerator": ""}, False),
    ],
)
def test_an_endpoint_with_impossible_layers_or_accelerator_does_not_fit(changes, fits):
    assert attrs.evolve(A, **changes).fits(make_shape()) is fits
