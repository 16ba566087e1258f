"""Work in steps between which a process may do something else."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Generator

Found = TypeVar("Found")


def finish(search: Generator[None, None, Found]) -> Found:
    """Return what a search finds, without interruption."""
    while True:
        try:
            next(search)
        except StopIteration as end:
            return end.value
