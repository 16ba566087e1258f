"""Tests of which ids of events tell where another run continues a stream."""

from __future__ import annotations

import pytest

from lacewingcourse.core.pipelines.event_form import EventDefect
from lacewingcourse.core.pipelines.event_numbering import EventNumbering, EventOrder


def numbering_of(positions, start=0) -> EventNumbering:
    """Return the numbering of events with these positions."""
    numbering = EventNumbering(start, may_count_from_zero=start == 0)
    for position in positions:
        numbering.record(position)
    return numbering


@pytest.mark.parametrize(
    ("start", "positions"),
    [
        (0, [1]),
        (0, [1, 2, 3]),
        (12, [13]),
        (12, [13, 14]),
        (0, [3, 6, 9, 12]),
        (30, [33, 36, 39, 42]),
        (0, [0, 1, 2, 3]),
        (0, [3, 6, 9, 12, 13]),
    ],
)
def test_regular_ids_are_trusted(start, positions):
    assert numbering_of(positions, start).is_trusted


@pytest.mark.parametrize(
    ("start", "positions"),
    [
        (0, [9]),
        (0, [0]),
        (0, [0, 1]),
        (0, [0, 1, 2]),
        (0, [2, 4]),
        (0, [1, 9]),
        (0, [1, 9, 10, 11]),
        (0, [1, 2, 92, 4, 5]),
        (0, [1, 2, 2, 3]),
        (0, [1, 2, 4]),
        (0, [5, 6, 7, 8, 9]),
        (0, [3, 6, 9, 12, 13, 15]),
        (0, [3, 6, 9, 15]),
        (0, [0, 2, 3, 5]),
        (12, [12]),
        (12, [1, 2, 3]),
        (None, [1, 2, 3, 4]),
    ],
)
def test_ids_that_one_or_two_wrong_bytes_may_have_made_are_not_trusted(
    start, positions
):
    assert not numbering_of(positions, start).is_trusted


@pytest.mark.parametrize(
    ("start", "positions", "position", "order"),
    [
        (0, [], 1, EventOrder.NEXT),
        (0, [], 0, EventOrder.POSSIBLE),
        (0, [], 3, EventOrder.POSSIBLE),
        (12, [], 13, EventOrder.NEXT),
        (12, [], 15, EventOrder.POSSIBLE),
        (12, [], 12, EventDefect.NOT_RISING),
        (12, [], 0, EventDefect.NOT_RISING),
        (None, [], 7, EventOrder.NEXT),
        (0, [1], 2, EventOrder.NEXT),
        (0, [1], 92, EventOrder.POSSIBLE),
        (0, [1, 2], 2, EventDefect.NOT_RISING),
        (0, [1, 2], 1, EventDefect.NOT_RISING),
        (0, [1, 2, 3, 4], 6, EventDefect.GAP),
        (0, [3, 6, 9, 12], 15, EventOrder.NEXT),
        (0, [3, 6, 9, 12], 14, EventOrder.POSSIBLE),
        (0, [3, 6, 9, 12], 16, EventDefect.GAP),
        (0, [2, 7, 8], 30, EventOrder.NEXT),
        (0, [2, 7, 8], 8, EventDefect.NOT_RISING),
    ],
)
def test_an_event_is_the_next_one_may_be_it_or_cannot_follow(
    start, positions, position, order
):
    assert numbering_of(positions, start).order_of(position) is order


def test_a_stream_that_goes_on_after_zero_does_not_begin_with_it_again():
    assert EventNumbering(0).order_of(0) is EventDefect.NOT_RISING
