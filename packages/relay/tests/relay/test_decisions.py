"""Tests of the decision log."""

from __future__ import annotations

import ast
import json
import re
import subprocess
import sys
from pathlib import Path
from types import SimpleNamespace

import pytest
from loguru import logger

from lacewingcourse.core.pipelines.event_form import EventDefect
from lacewingcourse.core.pipelines.stream_copy import UnsoundBytes
from lacewingcourse.relay.decisions import (
    MAX_LINES_PER_SECOND,
    MAX_LOGGED_TEXT,
    MAX_LOGGED_TRACEBACK,
    DecisionLog,
    LineBudget,
)
from lacewingcourse.relay.metrics import Metrics

from .stream_scenario import path_of

ROOT = Path(__file__).resolve().parents[4]
SOURCES = ROOT / "packages/relay/src/lacewingcourse/relay"
PAGE = ROOT / "docs/OPERATIONS.md"


def logged_events() -> set[str]:
    """Return the events that the source files log."""
    found = {"left_out", "defect"}
    for path in SOURCES.glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            name = getattr(node.func, "attr", "")
            first = node.args[0]
            if name in ("log_event", "_line") and isinstance(first, ast.Constant):
                found.add(first.value)
    return found


def documented_events() -> set[str]:
    """Return the events in the table of the operations manual."""
    text = PAGE.read_text()
    table = text[text.index("| event | tells") : text.index("At most 60")]
    rows = [row for row in table.splitlines()[2:] if row.startswith("|")]
    return {name for row in rows for name in re.findall(r"`(\w+)`", row.split("|")[1])}


def test_every_event_is_documented():
    assert logged_events() == documented_events()


def test_long_texts_are_cut_in_lines():
    lines = []
    sink = logger.add(lambda message: lines.append(message.record["extra"]))
    try:
        log = DecisionLog(lambda: 0.0, Metrics(), lambda: 1)
        log.log_event("refused", request="i" * 60_000, sends=2)
    finally:
        logger.remove(sink)
    assert len(lines[0]["request"]) == MAX_LOGGED_TEXT
    assert lines[0]["sends"] == 2


def test_lines_beyond_the_limit_of_an_event_are_counted():
    budget = LineBudget()
    limit = MAX_LINES_PER_SECOND["served"]
    allowed = [budget.allow("served", now=5.0) for _ in range(limit + 3)]
    assert allowed == [True] * limit + [False] * 3
    assert budget.left_out == 3
    assert budget.allow("refused", now=5.5)
    assert budget.allow("served", now=6.0)


@pytest.mark.parametrize("event", ["served", "sent"])
def test_refusals_have_a_higher_limit_than_other_requests(event):
    assert MAX_LINES_PER_SECOND["refused"] > MAX_LINES_PER_SECOND[event]


def fail_with(key):
    """Raise an error in a function with a caller's key in a variable."""
    return 1 / (len(key) - len(key))


def test_a_defect_is_logged_in_one_short_line_without_values():
    """Guards against callers' keys in tracebacks, and cut lines of 8,000 bytes."""
    code = (
        "from packages.relay.tests.relay import test_decisions as t\n"
        "from lacewingcourse.relay import decisions\n"
        "decisions.configure_decision_log('edge-1', 'INFO')\n"
        "log = decisions.DecisionLog(lambda: 1.0, None, lambda: 1)\n"
        "try:\n    t.fail_with('secret-key')\n"
        "except ZeroDivisionError as error:\n    log.failed(error)\n"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, check=True
    )
    (line,) = completed.stdout.splitlines()
    assert b"secret-key" not in line
    assert len(line) < 2_000
    document = json.loads(line)
    assert document["exception"].strip().endswith("ZeroDivisionError: division by zero")


def descend(levels):
    """Call a function that calls this one, for ever."""
    return descend_further(levels)


def descend_further(levels):
    return descend(levels + 1)


def test_the_traceback_of_an_endless_recursion_is_cut():
    """Guards against a line of 123,000 bytes, which a pipe may cut."""
    code = (
        "from packages.relay.tests.relay import test_decisions as t\n"
        "from lacewingcourse.relay import decisions\n"
        "decisions.configure_decision_log('edge-1', 'INFO')\n"
        "log = decisions.DecisionLog(lambda: 1.0, None, lambda: 1)\n"
        "try:\n    t.descend(0)\n"
        "except RecursionError as error:\n    log.failed(error, 'directory')\n"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, check=True
    )
    (line,) = completed.stdout.splitlines()
    assert len(line) <= MAX_LOGGED_TRACEBACK + 500
    document = json.loads(line)
    assert document["task"] == "directory"
    assert "RecursionError" in document["exception"]


def test_unsound_bytes_are_logged_briefly_and_with_escapes():
    log = DecisionLog(lambda: 5.0, Metrics(), lambda: 1)
    job = SimpleNamespace(request=SimpleNamespace(id="r"), sends=2, resumed_after="3")
    lines = []
    sink = logger.add(lambda message: lines.append(message.record["extra"]))
    unsound = UnsoundBytes(EventDefect.NO_FIELD, b"\x00\xff\n" + b"x" * 500, "4", 4)
    log.unsound_event(job, path_of("a", "b"), unsound)
    logger.remove(sink)
    (line,) = lines
    assert line["bytes"] == "\\x00\\xff\\n" + "x" * 45
    assert (line["defect"], line["after"], line["size"]) == ("no_field", "4", 503)
    assert (line["endpoint"], line["resumed_after"]) == ("a", "3")
