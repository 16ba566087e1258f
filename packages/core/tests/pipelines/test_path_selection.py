"""Tests of candidate paths while endpoints are slow, doubtful, lost or gone."""

from __future__ import annotations

import random

import pytest

from lacewingcourse.core.errors import Refusal
from lacewingcourse.core.pipelines.choice import Demand, PathChooser
from lacewingcourse.core.pipelines.layer_memory import token_capacity
from lacewingcourse.core.pipelines.links import LinkUsage
from lacewingcourse.core.pipelines.load import LoadTable
from lacewingcourse.core.pipelines.path import candidate_paths
from lacewingcourse.core.pipelines.path_selection import select_paths
from lacewingcourse.core.pipelines.suspects import Grade, Suspects

from .conftest import holding, make_endpoint

DEMAND = Demand(774, 203)


@pytest.fixture
def row(shape):
    """Two endpoints for each quarter of the layers, `a0` to `a3` and `b0` to `b3`."""
    return [
        holding(make_endpoint(f"{copy}{number}", "large"), start, start + 20)
        for copy in "ab"
        for number, start in enumerate(range(0, 80, 20))
    ]


def used(selection) -> set[str]:
    """Return the endpoints on the paths of a selection."""
    return {part.endpoint for path in selection.paths for part in path.parts}


def test_without_suspicions_the_paths_are_those_of_the_plain_search(fleet, shape):
    selection = select_paths(fleet, {}, shape)
    assert selection.paths == candidate_paths(fleet, shape)
    assert selection.suspected == {}


def test_choices_after_a_suspicion_has_ended_are_those_without_one(fleet, shape):
    """The same requests go the same ways where nothing is suspected any more."""
    suspects = Suspects()
    suspects.suspect(fleet[0].id, "no report", 0.0, silent=True)
    chosen = []
    for known in (Suspects(), suspects):
        chooser = PathChooser(shape, {e.id: e for e in fleet}, LoadTable(), LinkUsage())
        chooser.suspects = known
        paths = select_paths(fleet, known.grades(9.0), shape).paths
        rng = random.Random(3)
        chosen.append([])
        for _ in range(100):
            path = chooser.choose(paths, DEMAND, (), rng, 9.0)
            chooser.loads.begin(path, DEMAND.tokens)
            chosen[-1].append(path)
    assert chosen[0] == chosen[1]


@pytest.mark.parametrize("grade", list(Grade))
def test_a_suspected_endpoint_is_left_out_where_others_hold_its_layers(
    row, shape, grade
):
    selection = select_paths(row, {"a1": grade, "b2": grade}, shape)
    assert used(selection) == {e.id for e in row} - {"a1", "b2"}
    assert selection.suspected == {}


@pytest.mark.parametrize("grade", [Grade.SLOW, Grade.DOUBTFUL, Grade.LOST])
def test_the_last_holders_of_a_layer_are_used_although_suspected(row, shape, grade):
    """Guards against refusals for lack of a path while every layer has a holder."""
    selection = select_paths(row, {"a1": grade, "b1": grade, "a2": grade}, shape)
    assert selection.paths
    assert selection.suspected == {"a1": grade, "b1": grade}


def test_there_is_no_path_over_endpoints_that_are_gone(row, shape):
    assert select_paths(row, {"a1": Grade.GONE, "b1": Grade.GONE}, shape).paths == []


def test_the_least_suspected_holders_are_used_first(row, shape):
    for low, high in [
        (Grade.SLOW, Grade.DOUBTFUL),
        (Grade.DOUBTFUL, Grade.LOST),
        (Grade.LOST, Grade.GONE),
    ]:
        selection = select_paths(row, {"a1": high, "b1": low}, shape)
        assert selection.suspected == {"b1": low}


def test_slow_endpoints_are_used_where_little_capacity_is_left(shape):
    """One endpoint with a fiftieth of the memory does not stand in for three."""
    rest = [
        holding(make_endpoint(f"{copy}1", "large"), 20, 80 if copy == "a" else 50)
        for copy in "ab"
    ]
    large = [holding(make_endpoint(f"l{n}", "large"), 0, 20) for n in range(3)]
    tiny = holding(make_endpoint("t", "small"), 0, 11)
    other = holding(make_endpoint("u", "small"), 10, 20)
    fleet = [*rest, *large, tiny, other]
    for grade, usable in [(Grade.SLOW, True), (Grade.LOST, False)]:
        grades = {e.id: grade for e in large}
        selection = select_paths(fleet, grades, shape)
        assert bool(selection.suspected) is usable
        assert {"t", "u"} <= used(selection)


@pytest.mark.parametrize("seed", range(5))
def test_paths_without_suspected_endpoints_stay_beside_others(fleet, shape, seed):
    draw = random.Random(seed)
    suspected = draw.sample([e.id for e in fleet], 20)
    grades = dict.fromkeys(suspected, Grade.DOUBTFUL)
    clean = [e for e in fleet if e.id not in grades]
    paths = select_paths(fleet, grades, shape).paths
    assert all(path in paths for path in candidate_paths(clean, shape))
    assert len({path.parts for path in paths}) == len(paths)


def test_an_endpoint_that_would_be_on_a_path_twice_still_carries_one(shape):
    whole = holding(make_endpoint("a", "large"), 0, 30)
    inner = holding(make_endpoint("b", "large"), 10, 20)
    rest = holding(make_endpoint("c", "large"), 30, 80)
    selection = select_paths([whole, inner, rest], {"a": Grade.DOUBTFUL}, shape)
    assert selection.paths


def test_a_path_over_suspected_endpoints_is_chosen_last(row, shape, rng):
    suspects = Suspects()
    suspects.suspect("a1", "no report", 0.0, silent=True)
    chooser = PathChooser(shape, {e.id: e for e in row}, LoadTable(), LinkUsage())
    chooser.suspects = suspects
    paths = candidate_paths(row, shape)
    chosen = [chooser.choose(paths, DEMAND, (), rng, 0.1) for _ in range(50)]
    assert not any(path.uses({"a1"}) for path in chosen)
    doubtful = [path for path in paths if path.uses({"a1"})]
    assert not isinstance(chooser.choose(doubtful, DEMAND, (), rng, 0.1), Refusal)


@pytest.mark.parametrize("seed", range(10))
def test_there_is_a_path_while_four_in_ten_are_slow_and_others_crash(
    fleet, shape, seed
):
    """Four in ten engines slow down for nine seconds, and one a second crashes.

    Entries suspect what does not answer in time, at random times and for as long as
    they do today, and learn after three seconds that a crashed endpoint is gone.
    """
    draw = random.Random(seed)
    slow = set(draw.sample([e.id for e in fleet], 4 * len(fleet) // 10))
    suspects, crashed_at = Suspects(), {}
    for tick in range(90):
        now = tick / 10
        if tick % 10 == 9:
            crashed_at[draw.choice([e.id for e in fleet])] = now
        for endpoint in fleet:
            crashed = crashed_at.get(endpoint.id)
            if crashed is not None and now - crashed > 0.2:
                suspects.suspect(endpoint.id, "no report", now, silent=True)
            elif endpoint.id in slow and draw.random() < 0.3:
                grade = draw.choice([Grade.SLOW, Grade.DOUBTFUL])
                suspects.suspect(endpoint.id, "late report", now, True, grade)
        listed = [e for e in fleet if now - crashed_at.get(e.id, now) <= 3.0]
        running = [e for e in listed if e.id not in crashed_at]
        selection = select_paths(listed, suspects.grades(now), shape)
        if min(token_capacity(running, shape)) > 0.0:
            assert selection.paths
            reached = [e for e in listed if e.id in used(selection)]
            assert min(token_capacity(reached, shape)) > 0.0
