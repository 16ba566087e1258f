"""Tests of which versions an entry reads, and what it takes for the newest."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import attrs
import pytest

from lacewingcourse.relay.beliefs import Beliefs
from lacewingcourse.relay.followers import ConfigurationFollower
from lacewingcourse.relay.ports import ConfigurationNews


def table(version: int) -> SimpleNamespace:
    """Return what stands for a version."""
    return SimpleNamespace(version=version)


@attrs.define
class Source:
    """A source whose answers a test sets.

    Attributes:
        news: What the next read brings.
        asked: What it was asked for.
    """

    news: ConfigurationNews = ConfigurationNews(None)
    asked: list[str] = attrs.field(factory=list)

    async def newest(self) -> ConfigurationNews:
        self.asked.append("newest")
        return self.news

    async def next(self) -> ConfigurationNews:
        self.asked.append("next")
        return self.news


@pytest.fixture
def follower():
    """Return a follower whose source and clock a test sets."""
    log = SimpleNamespace(belief=lambda *args, **fields: None)
    clock = SimpleNamespace(now=100.0)
    return ConfigurationFollower(
        Source(), Beliefs(), log, lambda: clock.now, lambda: 1, lambda: None
    )


def read(follower: ConfigurationFollower, news: ConfigurationNews) -> None:
    """Let a follower read once."""
    follower.source.news = news
    asyncio.run(follower.read())


def test_a_read_that_more_versions_follow_does_not_count_as_the_newest(follower):
    read(follower, ConfigurationNews(table(3), records=1, behind=7))
    assert follower.beliefs.table.version == 3
    assert follower.freshness.due(1, 100.0)


def test_an_entry_that_others_told_versions_does_not_read_those_in_between(follower):
    read(follower, ConfigurationNews(table(3), records=1))
    read(follower, ConfigurationNews(None))
    follower.take(table(9), "another")
    read(follower, ConfigurationNews(None))
    read(follower, ConfigurationNews(None))
    assert follower.source.asked == ["newest", "next", "newest", "next"]
