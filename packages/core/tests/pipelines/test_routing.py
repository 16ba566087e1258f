"""Tests of routes, organisations' keys and configuration versions."""

from __future__ import annotations

import attrs
import pytest

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.pipelines.routing import (
    Limits,
    Organisation,
    RetrySafety,
    Route,
    RoutingTable,
    is_newer,
)

LONG = Route(
    name="long",
    host="maps.example",
    prefix="/rooms/label/",
    retry_safety=RetrySafety.RESUMABLE_STREAM,
    service_weights=(("mapchat", 1.0),),
    timeout=20.0,
    objective=0.5,
    max_event_gap=0.2,
    priority=1,
    max_attempts=2,
    needs_key=True,
)
SHORT = attrs.evolve(LONG, name="short", prefix="/rooms/", needs_key=False)


@pytest.fixture
def table() -> RoutingTable:
    """A configuration with two routes and one key."""
    return RoutingTable(
        version=7,
        hosts={"maps.example": {LONG.prefix: LONG, SHORT.prefix: SHORT}},
        services={},
        limits=Limits(),
        keys={"secret": Organisation("blue", 1)},
    )


@pytest.mark.parametrize(
    ("path", "name"),
    [
        ("/rooms/label/9", "long"),
        ("/rooms/label/", "long"),
        ("/rooms/label", "short"),
        ("/rooms/other/label/", "short"),
    ],
)
def test_the_longest_prefix_wins(table, path, name):
    assert table.route("Maps.example:80", path).name == name


@pytest.mark.parametrize(
    ("host", "path"), [("maps.example", "/room"), ("other.example", "/rooms/")]
)
def test_a_request_without_a_route_is_an_unknown_resource(table, host, path):
    assert table.route(host, path).kind is ErrorKind.UNKNOWN_RESOURCE


def test_a_known_key_resolves_to_its_organisation(table):
    assert table.organisation(LONG, "secret").name == "blue"


@pytest.mark.parametrize("key", [None, "wrong"])
def test_an_unknown_key_is_refused_if_the_route_needs_one(table, key):
    assert table.organisation(LONG, key).kind is ErrorKind.UNAUTHENTICATED
    assert not isinstance(table.organisation(SHORT, key), Refusal)


def test_only_a_newer_version_replaces_the_current_one(table):
    assert is_newer(table, None)
    assert not is_newer(table, table)
    assert not is_newer(attrs.evolve(table, version=6), table)


def test_services_are_chosen_by_weight_and_stay_the_same_for_a_request():
    split = attrs.evolve(LONG, service_weights=(("a", 90.0), ("b", 10.0)))
    chosen = [split.service_for(f"request-{i}") for i in range(2000)]
    assert 120 < chosen.count("b") < 280
    assert [split.service_for(f"request-{i}") for i in range(2000)] == chosen


class CountingPrefixes(dict):
    """Routes by prefix that count the characters looked up."""

    looked_up = 0

    def get(self, key, default=None):
        self.looked_up += len(key)
        return super().get(key, default)


@pytest.mark.parametrize("start", ["", "/rooms/label/", "/rooms/"])
def test_lookup_of_a_path_of_many_slashes_costs_no_more_than_one_of_its_length(start):
    """Guards against paths within the limits whose lookup took seconds in a crowd."""
    prefixes = CountingPrefixes({LONG.prefix: LONG, SHORT.prefix: SHORT})
    table = RoutingTable(1, {"maps.example": prefixes}, {}, Limits())
    path = start + "/" * 16_000
    found = table.route("maps.example", path)
    assert isinstance(found, Refusal) is (not start)
    assert prefixes.looked_up <= len(path)
