"""Work in steps between which a process may do something else."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Generator

Result = TypeVar("Found")


def run_to_completion(search: Generator[None, None, Result]) -> Result:
    """Return what a search finds, without interruption."""
    while True:
        try:
            next(search)
        except StopIteration as end:
            return end.value
