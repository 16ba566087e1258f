"""Tests of the page that leads a newcomer through the code."""

from __future__ import annotations

import importlib
import re
from pathlib import Path

import pytest

PAGE = Path(__file__).resolve().parents[1] / "docs/design/overview.md"
#: A name of a module, of a class or function in it, and perhaps of a method.
NAME = re.compile(r"`((?:relay|core|lacewingcourse_platform)\.[\w.]+)`")
#: Packages that the page names without the project's own.
SHORT = ("relay.", "core.")


def names() -> list[str]:
    """Return the names that the page gives."""
    return NAME.findall(PAGE.read_text())


def test_the_page_names_the_steps():
    assert len(names()) >= 20


@pytest.mark.parametrize("name", names())
def test_each_name_exists(name):
    full = f"lacewingcourse.{name}" if name.startswith(SHORT) else name
    steps = full.split(".")
    (last,) = [n for n, step in enumerate(steps) if step[0].isupper()] or [-1]
    found = importlib.import_module(".".join(steps[:last]))
    for step in steps[last:]:
        found = getattr(found, step)
    assert callable(found)
