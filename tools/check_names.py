"""Checks that only the adapter and deploy files know the platform's names."""

from __future__ import annotations

import ast
import re
import sys
from pathlib import Path

#: Where the adapter spells the platform's names.
NAMES = Path("platform/src/lacewingcourse_platform/names.py")
#: Fields, topics and paths of the platform, one a line.
FIELDS = Path("platform/names.txt")
#: Folders whose sources may know them.
KNOWING = ("platform/", "deploy/")
#: Header of the adapter's that is of a published standard.
STANDARD = frozenset({"Last-Event-Id"})
#: What a header's name looks like.
HEADER = re.compile(r"[A-Z][A-Za-z]*(-[A-Z][a-z]+)+")


def fields() -> set[str]:
    """Return the platform's names that are no headers."""
    lines = FIELDS.read_text().splitlines()
    return {line for line in lines if line and not line.startswith("#")}


def own_headers() -> set[str]:
    """Return the platform's own headers that the adapter names."""
    found = set()
    for node in ast.walk(ast.parse(NAMES.read_text())):
        if isinstance(node, ast.Assign) and isinstance(node.value, ast.Constant):
            value = node.value.value
            if isinstance(value, str) and HEADER.fullmatch(value):
                found.add(value)
    return found - STANDARD


def pattern_of(names: set[str]) -> re.Pattern:
    """Return what finds any of some names as a word."""
    words = (rf"(?<![\w-]){re.escape(name)}(?!\w)" for name in sorted(names))
    return re.compile("|".join(words))


def problems(path: Path, pattern: re.Pattern) -> list[str]:
    """Return where a source file uses one of the platform's names."""
    return [
        f"{path}:{number}: names {match.group()!r} of the platform"
        for number, line in enumerate(path.read_text().splitlines(), 1)
        for match in [pattern.search(line)]
        if match
    ]


def main() -> int:
    """Print every problem; return how many there are, at most 1."""
    pattern = pattern_of(own_headers() | fields())
    sources = [
        path
        for root in ("packages", "tests", "tools", "platform", "ops")
        for path in sorted(Path(root).rglob("*.py"))
        if not str(path).startswith(KNOWING)
    ]
    found = [line for path in sources for line in problems(path, pattern)]
    for line in found:
        print(line)
    return min(len(found), 1)


if __name__ == "__main__":
    sys.exit(main())
