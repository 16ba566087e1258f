"""Tests of readiness and of the last requests of an entry that ends."""

from __future__ import annotations

from lacewingcourse.core.pipelines.routing import Limits, RoutingTable
from lacewingcourse.relay.beliefs import Beliefs
from lacewingcourse.relay.readiness import LAST_REQUESTS, Readiness


def test_an_entry_without_configuration_is_not_ready():
    assert not Readiness(Beliefs()).is_ready()


def test_an_entry_with_configuration_is_ready_until_it_leaves():
    readiness = Readiness(Beliefs(table=RoutingTable(1, {}, {}, Limits())))
    assert readiness.is_ready()
    readiness.leave(now=10.0)
    assert not readiness.is_ready()


def test_an_entry_that_leaves_takes_requests_for_a_while_only():
    readiness = Readiness(Beliefs())
    readiness.leave(now=10.0)
    readiness.leave(now=12.0)
    assert readiness.takes_requests(10.0 + LAST_REQUESTS - 0.1)
    assert not readiness.takes_requests(10.0 + LAST_REQUESTS)
