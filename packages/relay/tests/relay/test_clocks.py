"""Tests that the entry does not read the wall clock."""

from __future__ import annotations

import ast
from pathlib import Path

ROOT = Path(__file__).resolve().parents[4]
#: Sources of the deployed entry.
SOURCES = ("packages/relay/src", "platform/src", "packages/core/src")
#: Calls that read the wall clock, which may jump by seconds in either direction.
WALL_CLOCK_CALLS = {("time", "time"), ("time", "time_ns"), ("datetime", "now")}


def wall_clock_reads(path: Path) -> list[str]:
    """Return where a source file reads the wall clock."""
    return [
        f"{path.relative_to(ROOT)}:{node.lineno}"
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Attribute)
        and isinstance(node.value, ast.Name)
        and (node.value.id, node.attr) in WALL_CLOCK_CALLS
    ]


def test_sources_do_not_read_the_wall_clock():
    paths = [path for root in SOURCES for path in (ROOT / root).rglob("*.py")]
    assert paths
    assert [found for path in paths for found in wall_clock_reads(path)] == []
