"""Tests of the choice of whom to watch."""

from __future__ import annotations

from collections import Counter

from lacewingcourse.core.layers import LayerRange
from lacewingcourse.core.subsets import (
    CONTROL_BUDGET,
    COPIES,
    STATUS_BYTES,
    Watchable,
    choose_subset,
    silence_allowed,
)

RANGES = [LayerRange(first, first + 5) for first in range(0, 40, 5)]
WANTED = {"m": 40}


def fleet(size: int, known: bool = True) -> list[Watchable]:
    return [
        Watchable(
            f"e{index}",
            f"z{index // len(RANGES) % 3}",
            ("m", RANGES[index % len(RANGES)]) if known else None,
        )
        for index in range(size)
    ]


def test_every_layer_is_watched_in_every_zone_first():
    endpoints = {each.id: each for each in fleet(3500)}
    chosen = choose_subset("entry-1", endpoints.values(), WANTED)
    groups = Counter(endpoints[name].content[1] for name in chosen)
    assert set(groups.values()) == {COPIES}
    assert len(groups) == len(RANGES)
    zones = {
        layers: {
            endpoints[name].availability_zone
            for name in chosen
            if endpoints[name].content[1] == layers
        }
        for layers in groups
    }
    assert all(len(each) == 3 for each in zones.values())


def test_choice_is_the_same_whatever_the_order_and_differs_by_watcher():
    endpoints = fleet(350)
    chosen = choose_subset("entry-1", endpoints, WANTED)
    assert set(choose_subset("entry-1", endpoints[::-1], WANTED)) == set(chosen)
    assert set(choose_subset("entry-2", endpoints, WANTED)) != set(chosen)


def test_loss_of_one_endpoint_replaces_that_one_only():
    endpoints = fleet(350)
    chosen = set(choose_subset("entry-1", endpoints, WANTED))
    lost = sorted(chosen)[0]
    rest = [each for each in endpoints if each.id != lost]
    assert len(chosen - set(choose_subset("entry-1", rest, WANTED))) == 1


def test_watchers_spread_over_the_endpoints():
    endpoints = fleet(350)
    counts = Counter(
        name
        for watcher in range(330)
        for name in choose_subset(f"entry-{watcher}", endpoints, WANTED)
    )
    mean = sum(counts.values()) / len(endpoints)
    assert max(counts.values()) < 2.5 * mean


def test_unknown_endpoints_are_asked_until_every_layer_is_covered():
    assert choose_subset("entry-1", fleet(350, known=False), WANTED)
    mixed = fleet(350) + [Watchable("new", "z0")]
    assert "new" not in choose_subset("entry-1", mixed, WANTED)


def test_questions_stay_within_the_budget_at_any_size():
    for watched in (30, 300, 3500):
        assert watched * STATUS_BYTES / silence_allowed(watched) <= CONTROL_BUDGET
