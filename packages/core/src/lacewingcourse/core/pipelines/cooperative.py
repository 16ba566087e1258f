"""Searches that run in steps, so that a process can do other work in between."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Generator

Result = TypeVar("Found")


def run_to_completion(search: Generator[None, None, Result]) -> Result:
    """Run a search to its end without pausing; return its result."""
    while True:
        try:
            next(search)
        except StopIteration as end:
            return end.value
