"""Tests of how a recovery time is read from an answer."""

from __future__ import annotations

import pytest

from lacewingcourse.bench.recovery import recovery_of
from lacewingcourse.load.client import Sample


def test_tokens_under_way_at_the_kill_are_not_the_recovery():
    sample = Sample(None, 0.0, first_at=1.0, gaps=[0.1, 0.1, 0.1, 0.7, 0.1], tokens=6)
    assert recovery_of(sample, killed_at=1.25) == pytest.approx(0.75)
