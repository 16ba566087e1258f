"""Tests of the estimates that start from nothing."""

from __future__ import annotations

import random

import pytest

from lacewingcourse.core.estimates import EndpointEstimates, LinkEstimates, StepFit


def noisy_steps(rng, base, position, count):
    """Yield positions and durations of steps with a tenth of noise."""
    for _ in range(count):
        positions = rng.randint(1, 32)
        exact = base + position * positions
        yield positions, exact * rng.uniform(0.9, 1.1)


def test_step_fit_converges_and_follows_a_change():
    rng = random.Random(7)
    fit = StepFit()
    for base, position in ((0.008, 0.0004), (0.03, 0.001)):
        for positions, duration in noisy_steps(rng, base, position, 60):
            fit.add(positions, duration)
        for positions in (1, 16, 32):
            exact = base + position * positions
            assert fit.duration(positions) == pytest.approx(exact, rel=0.25)


def test_one_pause_does_not_spoil_the_fit():
    fit = StepFit()
    for _ in range(30):
        fit.add(4, 0.01)
    fit.add(4, 60.0)
    assert fit.duration(4) < 0.02


def test_overlapping_steps_count_from_the_end_of_the_step_before():
    estimates = EndpointEstimates()
    now = 0.0
    for step in range(20):
        estimates.on_step(1, now, 0.01 * (step + 1))
        now = 0.01 * step
    assert estimates.fit.duration(1) == pytest.approx(0.01)


def test_degraded_link_is_told_from_its_zones_and_tried_again():
    links = LinkEstimates()
    zones = ("kgn-hall-a", "sptn-hall")
    for index in range(20):
        links.note(("a", f"b{index}"), zones, 0.001, 0.0)
    links.note(("a", "b0"), zones, 0.4, 0.0)
    assert links.delay(("a", "b0"), zones) == 0.4
    assert links.delay(("a", "b1"), zones) < 0.005
    links.forget(60.0)
    assert links.delay(("a", "b0"), zones) < 0.005
