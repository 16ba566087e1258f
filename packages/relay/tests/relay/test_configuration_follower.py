"""Tests of which versions a follower reads, and when they are taken for the newest."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import attrs
import pytest

from lacewingcourse.core.pipelines.freshness import Freshness, PropagationBudget
from lacewingcourse.relay.application import Application
from lacewingcourse.relay.decoding import Undecodable
from lacewingcourse.relay.followers import ConfigurationFollower
from lacewingcourse.relay.ports import ConfigurationUpdate
from lacewingcourse.relay.routing_state import RoutingState
from lacewingcourse.relay.staleness import StalenessGuard


def table(version: int) -> SimpleNamespace:
    """Return a stand-in for a version."""
    return SimpleNamespace(version=version)


@attrs.define
class Source:
    """A source with answers set by the test.

    Attributes:
        now: Present time in seconds.
        news: Answer to the next read.
        took: Seconds until that answer.
        calls: Names of the methods called.
    """

    now: float = 100.0
    news: ConfigurationUpdate = ConfigurationUpdate(None)
    took: float = 0.0
    calls: list[str] = attrs.field(factory=list)

    async def newest(self) -> ConfigurationUpdate:
        return self.answer("newest")

    async def next(self, wait: float) -> ConfigurationUpdate:
        return self.answer("next")

    def answer(self, call: str) -> ConfigurationUpdate:
        self.calls.append(call)
        self.now += self.took
        return self.news


@pytest.fixture
def follower():
    """Return a follower with a source and a clock set by the test."""
    log = SimpleNamespace(log_event=lambda *args, **fields: None)
    source = Source()
    return ConfigurationFollower(
        source,
        RoutingState(),
        log,
        lambda: source.now,
        lambda: 1,
        lambda: None,
        PropagationBudget(2.0),
    )


def read(
    follower: ConfigurationFollower, news: ConfigurationUpdate, took: float = 0.0
) -> None:
    """Read once, with an answer that takes some seconds."""
    follower.source.news, follower.source.took = news, took
    asyncio.run(follower.read())


def test_a_read_that_more_versions_follow_does_not_count_as_the_newest(follower):
    read(follower, ConfigurationUpdate(table(3), records=1, behind=7))
    assert follower.routing_state.table.version == 3
    assert follower.freshness.due(1, 100.0)


def test_a_follower_skips_versions_before_one_that_a_peer_sent(follower):
    read(follower, ConfigurationUpdate(table(3), records=1))
    read(follower, ConfigurationUpdate(None))
    follower.apply(table(9), "another")
    read(follower, ConfigurationUpdate(None))
    read(follower, ConfigurationUpdate(None))
    assert follower.source.calls == ["newest", "next", "newest", "next"]


def test_a_slow_answer_confirms_the_version_as_of_its_request(follower):
    read(follower, ConfigurationUpdate(table(3), records=1), took=1.5)
    assert follower.freshness.age(follower.source.now) == pytest.approx(1.5)


def test_a_read_without_changes_confirms_the_version_as_of_the_end_of_its_wait(
    follower,
):
    read(follower, ConfigurationUpdate(None, waited=0.8), took=1.1)
    assert follower.freshness.age(follower.source.now) == pytest.approx(0.3)


def test_an_unreadable_version_confirms_nothing_until_a_readable_one_comes(
    follower,
):
    read(follower, ConfigurationUpdate(table(3), records=1))
    read(follower, ConfigurationUpdate(Undecodable("no JSON"), records=1), took=3.0)
    read(follower, ConfigurationUpdate(None, waited=0.5), took=0.5)
    assert follower.freshness.age(follower.source.now) == pytest.approx(3.5)
    read(follower, ConfigurationUpdate(table(5), records=1), took=0.1)
    assert follower.freshness.age(follower.source.now) == pytest.approx(0.1)


def test_an_unreadable_version_delays_the_next_read(follower):
    read(follower, ConfigurationUpdate(Undecodable("no JSON"), records=1))
    assert not follower.freshness.due(0, follower.source.now)


def test_changed_bounds_apply_to_known_versions(follower):
    directory = SimpleNamespace(budget=None, freshness=Freshness(9.0, 9.0))
    guard = StalenessGuard()
    entry = SimpleNamespace(
        configuration=follower,
        directory=directory,
        ingress=SimpleNamespace(gateway=SimpleNamespace(guard=guard)),
    )
    follower.freshness.confirm(100.0)
    Application._apply_budgets(entry, SimpleNamespace(configuration=6.0, departure=4.0))
    assert not follower.freshness.due(1, 101.0)
    assert follower.freshness.due(1, 100.0 + 6.0 / 2)
    assert directory.freshness.max_age == PropagationBudget(4.0).max_age
    assert guard.limit == PropagationBudget(6.0).stale
