"""Tests of the command that measures."""

from __future__ import annotations

from lacewingcourse.bench.cli import main
from lacewingcourse.bench.sections import SECTIONS


def test_every_section_can_be_loaded():
    assert callable(main)
    assert set(SECTIONS.names()) >= {
        "choices",
        "decisions",
        "failures",
        "goodput",
        "overhead",
        "recovery",
        "slopes",
        "throughput",
    }
