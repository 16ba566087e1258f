"""Tests of how urgent sends are beside one another."""

from __future__ import annotations

import pytest

from lacewingcourse.core.pipelines.urgency import LEAST_URGENT, urgency_of


def test_an_answer_that_is_read_goes_before_new_ones_and_late_ones_behind():
    read = urgency_of(3, is_read=True, is_late=False)
    new = urgency_of(3, is_read=False, is_late=False)
    late = urgency_of(3, is_read=False, is_late=True)
    assert read < new < late
    assert urgency_of(3, is_read=True, is_late=True) == late


def test_what_is_late_stays_before_what_is_less_important():
    assert urgency_of(1, False, True) < urgency_of(4, True, False)


@pytest.mark.parametrize("priority", [-5, 0, 9, 50])
def test_ranks_stay_within_what_engines_know(priority):
    for is_read in (False, True):
        for is_late in (False, True):
            assert 0 <= urgency_of(priority, is_read, is_late) <= LEAST_URGENT
