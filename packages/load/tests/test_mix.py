"""Tests of what is drawn for a load run."""

from __future__ import annotations

import random

import pytest

from lacewingcourse.load.arrivals import ARRIVALS
from lacewingcourse.load.lengths import parse_lengths
from lacewingcourse.load.mix import ClassLoad, Mix, OrganisationLoad, plan

MIX = Mix(
    "mapchat",
    (
        ClassLoad("room-naming", 3, "uniform:2:4", "fixed:8"),
        ClassLoad("notes", 1, "fixed:6", "lognormal:20:0.5"),
    ),
    (OrganisationLoad("large", "key-1", 9), OrganisationLoad("small", "key-2", 1)),
)


def drawn(seed):
    return list(plan(MIX, [0.0] * 2000, random.Random(seed)))


def test_same_seed_gives_same_requests():
    assert drawn(7) == drawn(7)
    assert drawn(7) != drawn(8)


def test_shares_and_lengths_are_those_of_the_mix():
    requests = drawn(1)
    large = sum(each.organisation.name == "large" for each in requests)
    naming = [each for each in requests if each.work_class.name == "room-naming"]
    assert 0.87 < large / len(requests) < 0.93
    assert 0.70 < len(naming) / len(requests) < 0.80
    assert {len(each.prompt.split()) for each in naming} == {2, 3, 4}
    assert {each.max_tokens for each in naming} == {8}


def test_arrivals_keep_the_rate_and_the_burst_comes_at_once():
    rng = random.Random(1)
    due = {name: list(ARRIVALS.get(name)(50.0, 20.0, rng)) for name in ARRIVALS.names()}
    assert len(due["even"]) == len(due["burst"]) == 1000
    assert 900 < len(due["poisson"]) < 1100
    assert due["poisson"] == sorted(due["poisson"])
    assert set(due["burst"]) == {0.0}


@pytest.mark.parametrize("text", ["", "fixed", "uniform:3", "normal:1:2", "fixed:x"])
def test_bad_length_distribution_is_refused(text):
    with pytest.raises(ValueError):
        parse_lengths(text)
