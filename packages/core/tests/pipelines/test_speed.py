"""Tests of the slowdown estimates of endpoints."""

from __future__ import annotations

import random

from lacewingcourse.core.pipelines.choice import Demand, PathChooser
from lacewingcourse.core.pipelines.links import LinkUsage
from lacewingcourse.core.pipelines.load import LoadTable
from lacewingcourse.core.pipelines.path import candidate_paths
from lacewingcourse.core.pipelines.speed import (
    ESTIMATE_TTL,
    MAX_SLOWDOWN,
    NORMAL_SLOWDOWN,
    REFRESH_MARGIN,
    SpeedEstimator,
)

from .conftest import holding, make_endpoint, make_shape


def test_a_reported_slowdown_expires():
    speeds = SpeedEstimator()
    speeds.update("a", 5.0, now=0.0)
    assert speeds.slowdown("a", ESTIMATE_TTL - 0.1) == 5.0
    assert speeds.slowdown("a", ESTIMATE_TTL) == 1.0
    speeds.expire(ESTIMATE_TTL)
    assert speeds.estimates == {}


def test_a_report_of_normal_speed_clears_the_slowdown():
    speeds = SpeedEstimator()
    speeds.update("a", 5.0, now=0.0)
    speeds.update("a", NORMAL_SLOWDOWN, now=0.5)
    assert speeds.slowdown("a", 0.6) == 1.0


def test_a_peers_slowdown_keeps_its_expiry():
    first, second = SpeedEstimator(), SpeedEstimator()
    first.update("a", 5.0, now=0.0)
    for endpoint, (factor, remaining) in first.remaining(2.0).items():
        second.from_peer(endpoint, factor, remaining, now=2.0)
        second.from_peer(endpoint, 9.0, remaining - 0.5, now=2.0)
    assert second.slowdown("a", 2.9) == 5.0
    assert second.slowdown("a", ESTIMATE_TTL) == 1.0


def test_slowdown_and_remaining_time_are_capped():
    speeds = SpeedEstimator()
    speeds.update("a", 1e30, now=0.0)
    speeds.from_peer("b", 1e30, 1e30, now=0.0)
    assert speeds.slowdown("a", 0.1) == speeds.slowdown("b", 0.1) == MAX_SLOWDOWN
    assert speeds.slowdown("b", ESTIMATE_TTL) == 1.0


def test_a_slow_endpoint_is_due_for_refresh_before_it_expires():
    speeds = SpeedEstimator()
    speeds.update("a", 5.0, now=0.0)
    assert speeds.expiring(ESTIMATE_TTL - REFRESH_MARGIN - 0.1) == set()
    assert speeds.expiring(ESTIMATE_TTL - REFRESH_MARGIN + 0.1) == {"a"}


def test_requests_avoid_an_endpoint_that_reports_itself_slow():
    """Guards against ignoring reported slowdowns when paths are chosen.

    Half of the requests then went through the slow one of two equal copies.
    """
    shape = make_shape()
    endpoints = [
        holding(make_endpoint(f"{zone}{index}", "large", zone), start, start + 40)
        for zone in ("east", "west")
        for index, start in enumerate((0, 40))
    ]
    speeds = SpeedEstimator()
    speeds.update("east1", 5.0, now=0.0)
    known = {endpoint.id: endpoint for endpoint in endpoints}
    chooser = PathChooser(shape, known, LoadTable(), LinkUsage(), speeds)
    paths = candidate_paths(endpoints, shape)
    rng = random.Random(1)
    for _ in range(10):
        path = chooser.choose(paths, Demand(770, 150), (), rng, now=0.1)
        assert not path.uses({"east1"})
