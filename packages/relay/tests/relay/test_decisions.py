"""Tests of the log of decisions."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

from lacewingcourse.relay.decisions import LINES_A_SECOND, LineBudget

ROOT = Path(__file__).resolve().parents[4]
SOURCES = ROOT / "packages/relay/src/lacewingcourse/relay"
PAGE = ROOT / "docs/OPERATIONS.md"


def logged_events() -> set[str]:
    """Return the events that the sources log."""
    found = {"left_out", "defect"}
    for path in SOURCES.glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            name = getattr(node.func, "attr", "")
            first = node.args[0]
            if name in ("belief", "_line") and isinstance(first, ast.Constant):
                found.add(first.value)
    return found


def documented_events() -> set[str]:
    """Return the events in the table of the operators' page."""
    text = PAGE.read_text()
    table = text[text.index("| event | tells") : text.index("At most 60")]
    rows = [row for row in table.splitlines()[2:] if row.startswith("|")]
    return {name for row in rows for name in re.findall(r"`(\w+)`", row.split("|")[1])}


def test_every_event_stands_on_the_operators_page():
    assert logged_events() == documented_events()


def test_lines_beyond_the_budget_of_an_event_are_counted():
    budget = LineBudget()
    most = LINES_A_SECOND["served"]
    taken = [budget.take("served", now=5.0) for _ in range(most + 3)]
    assert taken == [True] * most + [False] * 3
    assert budget.left_out == 3
    assert budget.take("refused", now=5.5)
    assert budget.take("served", now=6.0)


@pytest.mark.parametrize("event", ["served", "sent"])
def test_refusals_keep_their_lines_for_longest(event):
    assert LINES_A_SECOND["refused"] > LINES_A_SECOND[event]
