"""Tests of the search of candidate paths."""

from __future__ import annotations

from hypothesis import given, settings, strategies as st

from lacewingcourse.core.pipelines.path import (
    MAX_PARTS,
    candidate_paths,
    covers_all_layers,
)

from .conftest import KINDS, holding, make_endpoint, make_shape

RANGES = st.tuples(st.integers(0, 7), st.integers(1, 8)).filter(lambda r: r[0] < r[1])


def test_candidates_run_every_layer_once(fleet, shape):
    paths = candidate_paths(fleet, shape)
    assert paths
    assert all(covers_all_layers(path, shape.layers) for path in paths)


def test_candidates_differ_in_their_endpoints(fleet, shape):
    used = {p.endpoint for path in candidate_paths(fleet, shape) for p in path.parts}
    assert len(used) > len(fleet) / 2


def test_the_fastest_comes_first(fleet, shape):
    times = [path.token_ms for path in candidate_paths(fleet, shape)]
    assert times == sorted(times)


def test_there_is_no_path_if_a_layer_has_no_holder(shape):
    held = [
        holding(make_endpoint("a", "large"), 0, 30),
        holding(make_endpoint("b", "large"), 31, 80),
    ]
    assert candidate_paths(held, shape) == []


def test_a_path_stays_in_its_zone_if_it_can(shape):
    held = [
        holding(make_endpoint(f"{zone}{start}", "large", zone), start, start + 40)
        for zone in ("east", "west")
        for start in (0, 40)
    ]
    for path in candidate_paths(held, shape)[:2]:
        assert len({part.zone for part in path.parts}) == 1


def test_an_endpoint_may_run_only_some_of_its_layers(shape):
    held = [
        holding(make_endpoint("a", "large"), 0, 41),
        holding(make_endpoint("b", "large"), 39, 80),
    ]
    path, *_ = candidate_paths(held, shape)
    assert covers_all_layers(path, shape.layers)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(st.tuples(RANGES, st.sampled_from(sorted(KINDS))), max_size=12))
def test_candidates_cover_all_layers_within_those_held(held):
    shape = make_shape(layers=8)
    endpoints = [
        holding(make_endpoint(f"e{i}", kind, "ew"[i % 2]), *layers)
        for i, (layers, kind) in enumerate(held)
    ]
    by_id = {e.id: e for e in endpoints}
    for path in candidate_paths(endpoints, shape):
        assert covers_all_layers(path, shape.layers)
        assert len(path.parts) <= MAX_PARTS
        assert len({p.endpoint for p in path.parts}) == len(path.parts)
        assert all(by_id[p.endpoint].layers.covers(p.layers) for p in path.parts)
