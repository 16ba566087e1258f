"""Checks that modules do not import each other in a circle, type hints included."""

from __future__ import annotations

import ast
import sys
from pathlib import Path

#: Folders that hold the sources of the libraries.
SOURCES = ("packages/*/src", "platform/src")


def modules_under(folder: Path) -> dict[str, Path]:
    """Return the files of the modules in a folder of sources, by full name."""
    found = {}
    for path in folder.rglob("*.py"):
        parts = path.relative_to(folder).with_suffix("").parts
        if parts[-1] == "__init__":
            parts = parts[:-1]
        if parts:
            found[".".join(parts)] = path
    return found


def imports_of(path: Path, modules: set[str]) -> set[str]:
    """Return which of some modules a file imports.

    `from a import b` names module `a.b` if there is one, else module `a`.
    """
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            for alias in node.names:
                inner = f"{node.module}.{alias.name}"
                found.add(inner if inner in modules else node.module)
    return found & modules


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


def graph_of(root: Path) -> dict[str, set[str]]:
    """Return which modules each module of a repository imports."""
    files: dict[str, Path] = {}
    for pattern in SOURCES:
        for folder in root.glob(pattern):
            files.update(modules_under(folder))
    names = set(files)
    graph = {name: imports_of(path, names) for name, path in files.items()}
    return {name: others - {name} for name, others in graph.items()}


def main() -> int:
    """Print a circle if there is one; return how many were found, at most 1."""
    circle = circle_in(graph_of(Path(__file__).resolve().parents[1]))
    if not circle:
        return 0
    print(" -> ".join(circle))
    return 1


if __name__ == "__main__":
    sys.exit(main())
