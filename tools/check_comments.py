"""Checks that comments of the relaying entry tell no figures of how they were tuned.

What was measured, tried or played belongs into commits and docs/design; a comment gives
a unit and what goes wrong without it.
"""

from __future__ import annotations

import ast
import io
import re
import sys
import tokenize
from pathlib import Path

#: Folders whose comments are checked.
FOLDERS = (
    "packages/core/src/lacewingcourse/core/pipelines",
    "packages/relay/src",
    "platform/src",
)
#: Words and figures of a measurement: a play or a seed of one, a fraction, or a number
#: of more than one digit before what was counted.
STORY = re.compile(
    r"\bplayed\b|\btwo seeds\b|\bmeasured\b"
    r"|\b0\.\d+\b"
    r"|\b\d[\d,]*\.?\d*\s+(ms|milliseconds|microseconds|requests|streams|entries"
    r"|endpoints|engines|of \d)"
)


def comments_of(source: str) -> list[tuple[int, str]]:
    """Return the comments and doc texts of a module, with their lines."""
    found = [
        (token.start[0], token.string)
        for token in tokenize.generate_tokens(io.StringIO(source).readline)
        if token.type == tokenize.COMMENT
    ]
    kinds = (ast.Module, ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef)
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, kinds):
            text = ast.get_docstring(node)
            if text is not None:
                found.append((getattr(node, "lineno", 1), text))
    return found


def main() -> int:
    """Print each comment that tells a story; return 1 if there is one."""
    failed = 0
    for folder in FOLDERS:
        for path in sorted(Path(folder).rglob("*.py")):
            for line, text in comments_of(path.read_text()):
                told = STORY.search(text)
                if told:
                    print(f"{path}:{line}: tells how it was tuned: {told[0]!r}")
                    failed = 1
    return failed


if __name__ == "__main__":
    sys.exit(main())
