"""Checks that only the adapter and deploy files know the platform's names."""

from __future__ import annotations

import ast
import re
import sys
from pathlib import Path

#: Where the adapter spells the platform's names.
NAMES = Path("platform/src/lacewingcourse_platform/names.py")
#: Fields and topics of the platform that stand in no constant of their own.
FIELDS = frozenset(
    {"appendMs", "configApplyMs", "drainMode", "fencingToken", "internalPorts"}
    | {"kvBytes", "layerMb", "log-append", "log-newest", "log-read", "maxAttempts"}
    | {"maxConns", "nodeName", "pathPrefix", "routeKind", "targetLatencyMs"}
    | {"expectedRevision", "keyed.op", "keyed.servers", "apiKeys", "coldLeftMs"}
    | {"-/readyz", "-/order", "-/report"}
)
#: Folders whose sources may know them.
KNOWING = ("platform/", "deploy/", "tools/check_names.py")
#: Headers that are nobody's own.
COMMON = frozenset({"Last-Event-Id", "At-Server"})


def own_headers() -> set[str]:
    """Return the platform's own headers that the adapter names."""
    found = set()
    for node in ast.walk(ast.parse(NAMES.read_text())):
        if isinstance(node, ast.Assign) and isinstance(node.value, ast.Constant):
            value = node.value.value
            if isinstance(value, str) and value.startswith("X-"):
                found.add(value)
    return found - COMMON


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
    names = sorted(own_headers() | FIELDS)
    pattern = re.compile(
        "|".join(rf"(?<![\w-]){re.escape(name)}(?!\w)" for name in names)
    )
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
