"""Tests of paths that are looked for beside the candidates."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace

import pytest

from lacewingcourse.core.errors import Refusal
from lacewingcourse.core.pipelines.choice import Demand
from lacewingcourse.core.pipelines.fleet import Endpoint
from lacewingcourse.core.pipelines.load import Load
from lacewingcourse.core.pipelines.shape import Layers
from lacewingcourse.relay.beliefs import Beliefs
from lacewingcourse.relay.path_finder import SEARCH_PERIOD, PathFinder

DEMAND = Demand(1_000, 200)


@pytest.fixture
def finder(shape):
    """What finds paths over two holders of each of two layers."""
    beliefs = Beliefs()
    for name, layer in zip("abcd", (0, 0, 1, 1), strict=True):
        beliefs.fleet.put(
            Endpoint(
                name,
                "rooms",
                f"{name}:1",
                "east",
                96,
                accelerator="small",
                layers=Layers(layer, layer + 1),
                placeable=True,
            )
        )
    beliefs.table = SimpleNamespace(services={"rooms": SimpleNamespace(shape=shape)})
    return PathFinder(beliefs, Random(1), lambda: 0.0)


def job_of(avoid=(), firsts=None):
    """Return what the finder needs of a request."""
    caller = SimpleNamespace(begun=False)
    request = SimpleNamespace(prompt=1_000, answer_hint=None, most_answer=0)
    return SimpleNamespace(
        service="rooms",
        caller=caller,
        avoid=set(avoid),
        request=request,
        only_firsts=firsts,
    )


def fill(finder, *names):
    """Take all memory of some endpoints."""
    for name in names:
        finder.beliefs.loads.own[name] = Load(1, 0, 50_000.0)


def only_candidate(finder, shape, *names):
    """Leave one candidate path, through some endpoints."""
    paths = finder.beliefs.paths("rooms", shape, 0.0)
    paths[:] = [p for p in paths if {part.endpoint for part in p.parts} == set(names)]
    assert len(paths) == 1


def test_a_request_takes_room_beside_full_candidates(finder, shape):
    only_candidate(finder, shape, "a", "c")
    fill(finder, "a")
    path = finder.find(job_of(), shape, DEMAND)
    assert not isinstance(path, Refusal)
    assert not path.uses({"a"})


def test_a_request_that_avoids_all_candidates_gets_another_path(finder, shape):
    only_candidate(finder, shape, "a", "c")
    path = finder.find(job_of(avoid="c"), shape, DEMAND)
    assert [part.endpoint for part in path.parts][-1] == "d"


def test_searches_that_found_nothing_are_not_made_again_at_once(finder, shape):
    fill(finder, "a", "b")
    assert isinstance(finder.find(job_of(), shape, DEMAND), Refusal)
    only_candidate(finder, shape, "a", "c")
    finder.beliefs.loads.own.pop("b")
    finder.clock = lambda: SEARCH_PERIOD / 2
    assert isinstance(finder.find(job_of(), shape, DEMAND), Refusal)
    finder.clock = lambda: SEARCH_PERIOD
    assert not isinstance(finder.find(job_of(), shape, DEMAND), Refusal)


def test_a_mere_sign_moves_no_stream_beside_the_candidates(finder, shape):
    only_candidate(finder, shape, "a", "c")
    assert not finder.is_idle(job_of(), {"a"})
    assert finder.find(job_of(avoid="a"), shape, DEMAND).uses({"b"})


def test_a_request_with_no_more_attempts_stays_with_the_endpoints_that_had_it(
    finder, shape
):
    for firsts in ({"a"}, {"b"}):
        path = finder.find(job_of(firsts=firsts), shape, DEMAND)
        assert path.first.endpoint in firsts
    only_candidate(finder, shape, "a", "c")
    path = finder.find(job_of(firsts={"b"}), shape, DEMAND)
    assert path.first.endpoint == "b"
    fill(finder, "b")
    finder.next_search = 0.0
    assert isinstance(finder.find(job_of(firsts={"b"}), shape, DEMAND), Refusal)
