"""Tests of refused callers that return under a steady overload.

The loads are those at which a deployment refuses a third and two thirds of what comes.
"""

from __future__ import annotations

from functools import cache

import pytest

from .return_callers import Overload

#: Share of the callers that keep to their time which get in when they first return.
KEPT = 0.9
#: Share of all callers that are given a place at least, so that enough are counted.
BOOKED = 0.02
#: Share by which callers that repeat at once may lower what the others get.
COST_OF_REPEATS = 0.02
#: Share of the callers that repeat at once.
ABUSIVE = 0.3


@cache
def overload(load, entries=1, delay=0.2, abusive=0.0, abuse=True, skew=0.02, seed=1):
    """Return a play of some overload."""
    seconds = 40.0 if entries < 10 else 20.0
    return Overload(load, entries, delay, abusive, abuse, skew, seconds, seed).run()


@pytest.mark.parametrize("load", [1.5, 3.0])
@pytest.mark.parametrize(
    ("entries", "delay"), [(1, 0.2), (5, 0.2), (5, 1.0), (68, 0.2), (68, 1.0)]
)
def test_those_that_keep_their_time_get_in(load, entries, delay):
    play = overload(load, entries, delay)
    booked = sum(caller.place is not None for caller in play.callers)
    assert booked >= BOOKED * len(play.callers)
    assert play.kept() >= KEPT


@pytest.mark.parametrize("load", [1.5, 3.0])
@pytest.mark.parametrize(
    ("entries", "delay"), [(1, 0.2), (5, 0.2), (5, 1.0), (68, 0.2), (68, 1.0)]
)
def test_callers_that_repeat_at_once_cost_the_others_nothing(load, entries, delay):
    calm = overload(load, entries, delay, ABUSIVE, abuse=False)
    play = overload(load, entries, delay, ABUSIVE, abuse=True)
    assert play.served() >= calm.served() - COST_OF_REPEATS
    assert play.kept() >= max(KEPT, calm.kept() - COST_OF_REPEATS)


@pytest.mark.parametrize("load", [1.5, 3.0])
def test_callers_that_repeat_at_once_gain_nothing(load):
    play = overload(load, abusive=ABUSIVE)
    assert play.served(abusive=True) <= play.served()


@pytest.mark.parametrize("load", [1.5, 3.0])
def test_callers_with_inexact_clocks_get_in(load):
    assert overload(load, entries=5, skew=0.15).kept() >= KEPT


@pytest.mark.parametrize("entries", [1, 5])
def test_with_room_to_spare_nobody_is_asked_to_return(entries):
    play = overload(0.6, entries)
    assert all(caller.place is None for caller in play.callers)
    assert play.served() == 1.0


@pytest.mark.parametrize("entries", [1, 5])
def test_places_are_for_the_most_urgent_that_are_refused(entries):
    """At three times the room, the most urgent third of the callers needs all of it."""
    booked = [caller.rank for caller in overload(3.0, entries).callers if caller.place]
    assert booked.count(0) >= KEPT * len(booked)
