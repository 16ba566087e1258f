"""Tests of the bounds on when messages were composed."""

from __future__ import annotations

from random import Random

import pytest

from lacewingcourse.core.pipelines.stamps import Echo, StampTable


@pytest.mark.parametrize("seed", range(20))
def test_the_bound_never_exceeds_the_time_of_composition(seed):
    """Clocks differ by any offset; messages are delayed or lost."""
    rng = Random(seed)
    offset = rng.uniform(-1e6, 1e6)
    one, other = StampTable(0.0), StampTable(offset)
    now, errors = 1.0, []
    for _ in range(200):
        transit_out, transit_back = rng.expovariate(5.0), rng.expovariate(5.0)
        if rng.random() < 0.8:
            other.receive("one", now, now + transit_out + offset)
        composed_at = now + transit_out + rng.expovariate(5.0)
        echo = other.echo("one", composed_at + offset)
        now = composed_at + transit_back
        bound = one.composed_at(echo, now)
        if bound is not None:
            assert bound <= composed_at + 1e-6
            errors.append(composed_at - bound)
    assert min(errors) < 0.5


@pytest.mark.parametrize(
    "echo",
    [None, Echo(5.0, 0.1), Echo(21.0, 0.1), Echo(15.0, -0.1)],
    ids=[
        "none",
        "from an earlier process",
        "from the future",
        "negative hold time",
    ],
)
def test_an_invalid_echo_gives_no_bound(echo):
    assert StampTable(10.0).composed_at(echo, 20.0) is None


def test_the_bound_does_not_exceed_the_time_of_arrival():
    assert StampTable(10.0).composed_at(Echo(15.0, 5.1), 20.0) == 20.0


def test_stamps_of_removed_instances_are_dropped():
    stamps = StampTable(0.0)
    stamps.receive("a", 1.0, 1.0)
    stamps.receive("b", 1.0, 1.0)
    stamps.keep_only({"b"})
    assert stamps.echo("a", 2.0) is None
    assert stamps.echo("b", 2.0) == Echo(1.0, 1.0)
