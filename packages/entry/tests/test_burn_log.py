"""Tests of the entry's summaries in the log, with a small fake of the log."""

from __future__ import annotations

import asyncio
import random

import attrs
import pytest

from lacewingcourse.backing.log import LogPage, LogRecord
from lacewingcourse.core.burn_ends import RequestEnd, Result
from lacewingcourse.core.burn_fleet import FleetMerge
from lacewingcourse.core.burn_history import SummaryWriter
from lacewingcourse.core.burn_windows import Pair
from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.entry import burn_log
from lacewingcourse.entry.burn_log import BurnLog

LOST = Refusal(ErrorKind.LOG_UNAVAILABLE, "answer lost", Outcome.UNKNOWN)
NOW = 1_000_000.0


@attrs.define
class FakeLog:
    """Keeps records; loses the answers of some appends after their effect."""

    records: list[LogRecord] = attrs.field(factory=list)
    lost_answers: int = 0
    reads: int = 0

    async def append(self, stream, body):
        self.records.append(LogRecord(len(self.records), body, NOW))
        if self.lost_answers:
            self.lost_answers -= 1
            return LOST
        return len(self.records) - 1

    async def read(self, stream, offset, limit=500, wait=0.0):
        self.reads += 1
        records = tuple(self.records[offset : offset + limit])
        return LogPage(0, len(self.records), records)


@pytest.fixture
def log():
    return FakeLog()


@pytest.fixture
def burn(log, monkeypatch):
    monkeypatch.setattr(burn_log.time, "time", lambda: NOW)
    writer = SummaryWriter("entry-1", "run", since=NOW - 100)
    return BurnLog(log, writer, 900.0, random.Random(1))


def count(burn, whole: int) -> None:
    """Count whole answers."""
    for _ in range(whole):
        burn.writer.add(Pair("c", "o"), RequestEnd("c", "o", "m", Result.WHOLE))


def recovered(burn) -> tuple[int, str]:
    """Return the whole answers that the log has, and what is missing."""
    merge = FleetMerge(NOW)
    problem = asyncio.run(burn.recover(merge))
    lines = merge.report().lines
    return (lines[0].rates[0].counts.whole if lines else 0), problem


def test_summary_with_a_lost_answer_counts_once(burn, log):
    log.lost_answers = 1
    count(burn, 3)
    assert not asyncio.run(burn.append())
    count(burn, 2)
    assert asyncio.run(burn.append())
    assert asyncio.run(burn.append())
    assert len(log.records) == 3
    assert log.records[0].body == log.records[1].body
    assert recovered(burn) == (5, "")


def test_close_writes_the_waiting_summary_and_the_rest(burn, log):
    log.lost_answers = 1
    count(burn, 3)
    asyncio.run(burn.append())
    count(burn, 4)
    asyncio.run(burn.close())
    assert recovered(burn) == (7, "")


def test_nothing_is_appended_when_nothing_ended(burn, log):
    assert asyncio.run(burn.append())
    assert log.records == []


def test_history_is_read_newest_first_and_its_end_is_said(burn, log, monkeypatch):
    monkeypatch.setattr(burn_log, "PAGE_RECORDS", 2)
    for _ in range(5):
        count(burn, 1)
        asyncio.run(burn.append())
    log.records.append(LogRecord(5, "no summary", NOW))
    assert recovered(burn) == (5, "")
    monkeypatch.setattr(burn_log, "MAX_PAGES", 2)
    assert recovered(burn) == (3, "more than 4 summaries")


def test_reading_stops_behind_the_longest_window(burn, log, monkeypatch):
    monkeypatch.setattr(burn_log, "PAGE_RECORDS", 1)
    log.records = [LogRecord(index, "old", 0.0) for index in range(9)]
    count(burn, 1)
    asyncio.run(burn.append())
    assert recovered(burn) == (1, "")
    assert log.reads == 3
