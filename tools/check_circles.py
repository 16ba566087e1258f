"""Checks that modules do not import each other in a circle, type hints included."""

from __future__ import annotations

import ast
import sys
from pathlib import Path

#: Libraries that are checked, by folder of their sources.
LIBRARIES = {
    "lacewingcourse.core.pipelines": Path(
        "packages/core/src/lacewingcourse/core/pipelines"
    ),
    "lacewingcourse.relay": Path("packages/relay/src/lacewingcourse/relay"),
    "lacewingcourse_platform": Path("platform/src/lacewingcourse_platform"),
}


def imports_of(path: Path, library: str) -> set[str]:
    """Return the modules of a library that one of its modules imports."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            if node.module == library:
                found.update(alias.name for alias in node.names)
            elif node.module.startswith(library + "."):
                found.add(node.module[len(library) + 1 :])
    return found


def circle_in(graph: dict[str, set[str]]) -> list[str]:
    """Return the modules of one circle, none if there is no circle."""
    done: set[str] = set()

    def visit(module: str, trail: list[str]) -> list[str]:
        if module in trail:
            return trail[trail.index(module) :] + [module]
        if module in done:
            return []
        for other in sorted(graph.get(module, ())):
            found = visit(other, [*trail, module])
            if found:
                return found
        done.add(module)
        return []

    for module in sorted(graph):
        found = visit(module, [])
        if found:
            return found
    return []


def main() -> int:
    """Print every circle; return how many there are, at most 1."""
    failed = 0
    for library, folder in LIBRARIES.items():
        graph = {path.stem: imports_of(path, library) for path in folder.glob("*.py")}
        circle = circle_in(graph)
        if circle:
            print(f"{library}: {' -> '.join(circle)}")
            failed = 1
    return failed


if __name__ == "__main__":
    sys.exit(main())
