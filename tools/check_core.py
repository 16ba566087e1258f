"""Checks that the decision library does no I/O and reads no clock."""

from __future__ import annotations

import ast
import sys
from pathlib import Path

#: Modules that the decision library may not import.
FORBIDDEN = frozenset(
    {"asyncio", "datetime", "http", "logging", "loguru", "os", "pycurl", "requests"}
    | {"secrets", "select", "signal", "socket", "ssl", "subprocess", "threading"}
    | {"time", "tornado", "urllib", "uuid"}
)
#: Modules that it may import for type hints only.
TYPES_ONLY = frozenset({"random"})
CORE = Path("packages/core/src/lacewingcourse/core")


def imported(node: ast.AST) -> list[str]:
    """Return the top modules that a statement imports."""
    if isinstance(node, ast.Import):
        return [alias.name.split(".")[0] for alias in node.names]
    if isinstance(node, ast.ImportFrom) and node.module and not node.level:
        return [node.module.split(".")[0]]
    return []


def is_type_checking(node: ast.AST) -> bool:
    """Tell whether a statement is `if TYPE_CHECKING:`."""
    return (
        isinstance(node, ast.If)
        and isinstance(node.test, ast.Name)
        and node.test.id == "TYPE_CHECKING"
    )


def problems(path: Path) -> list[str]:
    """Return what a module imports although it may not."""
    tree = ast.parse(path.read_text())
    typed = {
        id(child)
        for node in ast.walk(tree)
        if is_type_checking(node)
        for child in ast.walk(node)
    }
    found = []
    for node in ast.walk(tree):
        for name in imported(node):
            if name in FORBIDDEN or (name in TYPES_ONLY and id(node) not in typed):
                found.append(f"{path}:{node.lineno}: imports {name}")
    return found


def main() -> int:
    """Print every problem; return how many there are, at most 1."""
    found = [line for path in sorted(CORE.rglob("*.py")) for line in problems(path)]
    for line in found:
        print(line)
    return min(len(found), 1)


if __name__ == "__main__":
    sys.exit(main())
