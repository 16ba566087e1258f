"""Tests of the section that measures the deployed decisions."""

from __future__ import annotations

from pathlib import Path

import pytest

from lacewingcourse.bench import path_choices


@pytest.fixture(autouse=True)
def root(monkeypatch):
    """Run where the fleets lie."""
    monkeypatch.chdir(Path(__file__).resolve().parents[3])


def test_a_fleet_is_measured_with_and_without_the_draw():
    found = {figure.name: figure for figure in path_choices.figures_of(2, seed=1)}
    assert {name.rpartition(", ")[0] for name in found} == {
        "layout",
        "longest step of it",
        "candidate paths",
        "choice, drawn",
        "choice, all",
        "rate, drawn of all",
    }
    assert found["rate, drawn of all, 66 endpoints"].median > 0.95


def test_repeated_endpoints_are_others_in_other_zones():
    plan = path_choices.read_plan(path_choices.FLEET)
    found = path_choices.repeated(plan.endpoints, 3)
    assert len({endpoint.id for endpoint in found}) == 3 * len(plan.endpoints)
    zones = {endpoint.zone for endpoint in plan.endpoints}
    assert len({endpoint.zone for endpoint in found}) == 3 * len(zones)
