"""Tests of readiness and of the last requests of an entry that ends."""

from __future__ import annotations

import pytest

from lacewingcourse.core.pipelines.routing import Limits, RoutingTable
from lacewingcourse.relay.beliefs import Beliefs
from lacewingcourse.relay.readiness import END_MARGIN, LAST_REQUESTS, Readiness

#: Seconds in which a process must have ended.
GRACE = 8.0


@pytest.fixture
def leaving() -> Readiness:
    """An entry that was asked to end at 10, and once more at 12."""
    readiness = Readiness(Beliefs(), GRACE)
    readiness.leave(now=10.0)
    readiness.leave(now=12.0)
    return readiness


def test_an_entry_without_configuration_is_not_ready():
    assert not Readiness(Beliefs(), GRACE).is_ready()


def test_an_entry_with_configuration_is_ready_until_it_leaves():
    readiness = Readiness(Beliefs(table=RoutingTable(1, {}, {}, Limits())), GRACE)
    assert readiness.is_ready()
    assert readiness.takes(5.0, 500.0)
    readiness.leave(now=10.0)
    assert not readiness.is_ready()


def test_an_entry_that_leaves_takes_long_requests_for_a_while_only(leaving):
    assert leaving.takes(10.0 + LAST_REQUESTS - 0.1, 100.0)
    assert not leaving.takes(10.0 + LAST_REQUESTS, 100.0)


def test_what_is_over_before_the_end_is_taken_to_the_last(leaving):
    end = 10.0 + GRACE - END_MARGIN
    assert leaving.takes(end - 0.6, end)
    assert not leaving.takes(end - 0.5, end + 0.1)
