"""Tests of endpoints that run slower than published."""

from __future__ import annotations

import random

from lacewingcourse.core.pipelines.choice import Demand, PathChooser
from lacewingcourse.core.pipelines.links import LinkUsage
from lacewingcourse.core.pipelines.load import LoadTable
from lacewingcourse.core.pipelines.path import candidate_paths
from lacewingcourse.core.pipelines.speed import (
    ASK_AGAIN,
    ESTIMATE_KEPT,
    MAX_SLOWDOWN,
    USUAL_SLOWDOWN,
    SpeedEstimator,
)

from .conftest import holding, make_endpoint, make_shape


def test_an_endpoints_word_is_believed_for_a_while():
    book = SpeedEstimator()
    book.tell("a", 5.0, now=0.0)
    assert book.of("a", ESTIMATE_KEPT - 0.1) == 5.0
    assert book.of("a", ESTIMATE_KEPT) == 1.0
    book.expire(ESTIMATE_KEPT)
    assert book.members == {}


def test_an_endpoint_that_is_well_again_counts_as_published():
    book = SpeedEstimator()
    book.tell("a", 5.0, now=0.0)
    book.tell("a", USUAL_SLOWDOWN, now=0.5)
    assert book.of("a", 0.6) == 1.0


def test_what_peers_tell_decays_on_its_way():
    first, second = SpeedEstimator(), SpeedEstimator()
    first.tell("a", 5.0, now=0.0)
    for endpoint, (factor, remaining) in first.remaining(2.0).items():
        second.from_peer(endpoint, factor, remaining, now=2.0)
        second.from_peer(endpoint, 9.0, remaining - 0.5, now=2.0)
    assert second.of("a", 2.9) == 5.0
    assert second.of("a", ESTIMATE_KEPT) == 1.0


def test_no_pace_beyond_reason_is_believed():
    book = SpeedEstimator()
    book.tell("a", 1e30, now=0.0)
    book.from_peer("b", 1e30, 1e30, now=0.0)
    assert book.of("a", 0.1) == book.of("b", 0.1) == MAX_SLOWDOWN
    assert book.of("b", ESTIMATE_KEPT) == 1.0


def test_a_slow_endpoint_is_asked_again_before_it_is_forgotten():
    book = SpeedEstimator()
    book.tell("a", 5.0, now=0.0)
    assert book.expiring(ESTIMATE_KEPT - ASK_AGAIN - 0.1) == set()
    assert book.expiring(ESTIMATE_KEPT - ASK_AGAIN + 0.1) == {"a"}


def test_requests_pass_by_an_endpoint_that_says_that_it_is_slow():
    """Two alike copies; half of the requests went through the slow one before."""
    shape = make_shape()
    endpoints = [
        holding(make_endpoint(f"{zone}{index}", "large", zone), start, start + 40)
        for zone in ("east", "west")
        for index, start in enumerate((0, 40))
    ]
    book = SpeedEstimator()
    book.tell("east1", 5.0, now=0.0)
    known = {endpoint.id: endpoint for endpoint in endpoints}
    chooser = PathChooser(shape, known, LoadTable(), LinkUsage(), book)
    paths = candidate_paths(endpoints, shape)
    rng = random.Random(1)
    for _ in range(10):
        path = chooser.choose(paths, Demand(770, 150), (), rng, now=0.1)
        assert not path.uses({"east1"})
