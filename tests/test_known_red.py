"""Tests of the list of tests that fail for a known fault."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
LIST = ROOT / "KNOWN-RED.txt"
#: What the lines below the tests of an entry tell.
FIELDS = ["command", "seen", "issue"]


def entries() -> list[tuple[list[str], list[str]]]:
    """Return the tests and the names of the fields of each entry."""
    found = []
    for line in LIST.read_text().splitlines() if LIST.exists() else ():
        if not line or line.startswith("#"):
            continue
        if line.startswith(" "):
            found[-1][1].extend(re.findall(r"^  (\w+): \S", line))
        elif not found or found[-1][1]:
            found.append(([line], []))
        else:
            found[-1][0].append(line)
    return found


def test_each_entry_tells_how_to_run_it_what_was_seen_and_the_issue():
    assert [fields for _, fields in entries() if fields != FIELDS] == []


def test_each_listed_test_exists():
    for identifiers, _ in entries():
        for identifier in identifiers:
            path, _, name = identifier.partition("::")
            assert f"def {name.partition('[')[0]}(" in (ROOT / path).read_text()
