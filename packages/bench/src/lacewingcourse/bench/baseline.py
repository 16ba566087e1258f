"""An earlier version of the daemons, checked out for comparison."""

from __future__ import annotations

import subprocess
import tempfile
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING

from lacewingcourse.bench.sections import Subject

if TYPE_CHECKING:
    from collections.abc import Iterator


@contextmanager
def baseline_subject(revision: str) -> Iterator[Subject]:
    """Check a revision out into a worktree of its own for the time of a comparison.

    Only the daemons run that version; stand-ins and load generator are those that
    are installed, so that both versions face the same.
    """
    with tempfile.TemporaryDirectory(prefix="lacewingcourse-baseline-") as parent:
        place = Path(parent) / "tree"
        git("worktree", "add", "--detach", "--quiet", str(place), revision)
        try:
            sources = sorted(place.glob("packages/*/src"))
            yield Subject(revision, ":".join(str(source) for source in sources))
        finally:
            git("worktree", "remove", "--force", str(place))


def git(*arguments: str) -> None:
    """Run git in the present directory.

    Raises:
        subprocess.CalledProcessError: It failed.
    """
    subprocess.run(["git", *arguments], check=True)
