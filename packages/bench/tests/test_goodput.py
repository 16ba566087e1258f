"""Tests of how goodput and its recovery are counted."""

from __future__ import annotations

import pytest

from lacewingcourse.bench.failures import curve
from lacewingcourse.bench.fleet import (
    CLASSES,
    LARGE_MODEL,
    ORGANISATION_WEIGHTS,
    SMALL_MODEL,
    SPEEDS,
    bounds,
    mix_of,
    plan_fleet,
)
from lacewingcourse.bench.goodput import measured, tokens_in_target
from lacewingcourse.load.client import Sample
from lacewingcourse.load.mix import ClassLoad, OrganisationLoad, PlannedRequest, Target
from lacewingcourse.load.runner import RunResult

ORGANISATION = OrganisationLoad("regie", "key")
CLASS = ClassLoad("notes", answer="fixed:10", target=Target(answer=2.0))
REQUEST = PlannedRequest(0.0, ORGANISATION, CLASS, "note", 10)


def answered(due_at, ended_at):
    return Sample(
        REQUEST, due_at, first_at=ended_at, ended_at=ended_at, tokens=1, finished=True
    )


def test_fleet_has_the_shape_of_the_deployments():
    fleet = plan_fleet(1.0)
    models = [each.spec.model for each in fleet]
    assert (models.count(LARGE_MODEL), models.count(SMALL_MODEL)) == (30, 3)
    assert len({each.plan.availability_zone for each in fleet}) == 3
    steps = {round(each.spec.step_time, 9) for each in fleet}
    assert max(steps) / min(steps) == pytest.approx(max(SPEEDS))
    delays = {each.spec.link_delay for each in fleet}
    assert max(delays) / min(delays) == pytest.approx(100)


def test_mix_loads_each_model_to_the_same_share_of_its_bound():
    found = bounds(plan_fleet(1.0))
    keys = {f"organisation-{n}": "key" for n, _ in enumerate(ORGANISATION_WEIGHTS)}
    mix = mix_of(keys, found, 1.0)
    total = sum(each.share for each in mix.classes)
    for model, rate in found.requests.items():
        share = sum(each.share for each in mix.classes if each.model == model)
        assert share / total == pytest.approx(rate / found.total_requests)
    assert {each.name for each in mix.classes} == {each.name for each in CLASSES}


def test_scaling_times_scales_the_bound():
    assert bounds(plan_fleet(2.0)).total_tokens == pytest.approx(
        bounds(plan_fleet(1.0)).total_tokens / 2
    )


def test_only_answers_due_in_the_window_and_in_target_count():
    samples = [answered(100.5, 101.0), answered(102.0, 103.0), answered(103.0, 109.0)]
    kept = measured(RunResult(100.0, 110.0, samples), 1.0, 5.0)
    assert len(kept.samples) == 2
    assert tokens_in_target(kept.samples) == 10


def test_recovery_is_the_first_full_window_after_the_lowest_point():
    before = [answered(at / 10, at / 10) for at in range(1000, 1100)]
    after = [answered(at / 10, at / 10) for at in range(1150, 1300)]
    found = curve(before + after, killed_at=110.0, start=-10.0, end=20.0, scale=1.0)
    assert found.reached(95.0) == pytest.approx(8.0, abs=0.5)
    assert found.reached(200.0) is None
