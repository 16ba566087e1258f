"""Tests of what is worked out from the slopes."""

from __future__ import annotations

import attrs
import pytest

from lacewingcourse.bench.capacity import Slopes, capacity_table, needs, slopes_of
from lacewingcourse.bench.figures import single

SLOPES = Slopes(
    **{field.name: 0.0 for field in attrs.fields(Slopes) if field.name != "polls"},
    polls=2.0,
)


def need(slopes, role, name, unit):
    (found,) = [
        each
        for each in needs(slopes)
        if (each.role, each.name, each.unit) == (role, name, unit)
    ]
    return found


def test_needs_follow_from_the_designed_size():
    slopes = attrs.evolve(
        SLOPES, entry_token=100.0, agents_token=700.0, status_bytes=1000.0
    )
    tokens = need(slopes, "entry", "tokens", "% of a core")
    assert tokens.value == pytest.approx(1_700_000 / 330 * 100e-6 * 100)
    agents = need(slopes, "agent", "tokens", "% of a core")
    assert agents.value == pytest.approx(1_700_000 / 3500 * 700e-6 * 100)
    statuses = need(slopes, "entry", "statuses of watched endpoints", "B/s")
    assert statuses.value == pytest.approx(72 * 2.0 * 1000)
    assert statuses.times_budget == pytest.approx(144_000 / 2048)
    told = need(slopes, "agent", "statuses for the entries that watch it", "B/s")
    assert told.value == pytest.approx(330 * 72 / 3500 * 2000)


def test_table_sets_only_control_against_the_budget():
    text = capacity_table(needs(attrs.evolve(SLOPES, entry_start=64.0)))
    lines = text.splitlines()
    assert [line for line in lines if "after start" in line][0].endswith("0.50 x")
    assert all("not control" in line for line in lines if "tokens" in line)


def test_slopes_are_found_by_name():
    figures = [single("cpu: a", "us", 3.0), single("cpu: b", "us", 4.0)]
    assert slopes_of(figures, {"entry_token": "cpu: b"}) == {"entry_token": 4.0}
