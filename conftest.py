"""Lets tests that are listed in KNOWN-RED.txt fail without failing the run."""

from __future__ import annotations

from pathlib import Path

import pytest

LIST = Path(__file__).with_name("KNOWN-RED.txt")


def known_red() -> list[str]:
    """Return the identifiers of the listed tests, of all cases or of one."""
    if not LIST.exists():
        return []
    lines = LIST.read_text().splitlines()
    return [line for line in lines if line and not line.startswith((" ", "#"))]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect the listed tests to fail."""
    listed = set(known_red())
    for item in items:
        if item.nodeid in listed or item.nodeid.partition("[")[0] in listed:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt"))


def pytest_terminal_summary(terminalreporter) -> None:
    """Print the listed tests, so that none is forgotten."""
    for identifier in known_red():
        terminalreporter.write_line(f"known red: {identifier}")
