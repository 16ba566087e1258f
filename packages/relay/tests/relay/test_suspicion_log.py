"""Tests of the log lines and metrics about suspected endpoints."""

from __future__ import annotations

import pytest

from lacewingcourse.core.pipelines.path_selection import PathSelection
from lacewingcourse.core.pipelines.suspects import Grade
from lacewingcourse.relay.decisions import DecisionLog
from lacewingcourse.relay.metrics import Metrics
from lacewingcourse.relay.suspicion_log import MAX_LOGGED_ENDPOINTS, SuspicionLog


@pytest.fixture
def suspicion_log(monkeypatch):
    """A log of suspicions, and the fields of the lines that it writes."""
    log = DecisionLog(lambda: 0.0, Metrics(), lambda: 1)
    lines = []
    monkeypatch.setattr(
        DecisionLog, "log_event", lambda self, event, **fields: lines.append(fields)
    )
    return SuspicionLog(log), lines


def test_suspicions_are_logged_and_counted_by_grade(suspicion_log):
    log, lines = suspicion_log
    log.suspected(("a", "b"), "late report", Grade.SLOW)
    assert lines[0]["grade"] == "slow"
    counter = log.log.metrics.suspicions.labels("slow")
    assert counter._value.get() == 2


def test_a_line_about_paths_is_bounded(suspicion_log):
    log, lines = suspicion_log
    many = {f"e{n}": Grade.DOUBTFUL for n in range(300)}
    log.selected_paths("rooms", PathSelection([], many))
    log.selected_paths("rooms", PathSelection([], {}))
    assert len(lines[0]["suspected"]) == MAX_LOGGED_ENDPOINTS
    assert lines[0]["suspected_count"] == 300
    assert log.log.metrics.path_fallbacks._value.get() == 1
