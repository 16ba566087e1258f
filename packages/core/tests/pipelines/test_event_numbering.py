"""Tests of which ids of events tell where another run continues a stream."""

from __future__ import annotations

import pytest

from lacewingcourse.core.pipelines.event_numbering import (
    EventNumbering,
    event_position,
)


def numbering_of(positions, start=0) -> EventNumbering:
    """Return the numbering of events with these positions."""
    numbering = EventNumbering(start)
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
        (0, [1, None, 3]),
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
    ("event", "position"),
    [
        (b"id: 12\ndata: x\n\n", 12),
        (b"id:12\r\ndata: x\r\n\r\n", 12),
        (b"x-weight-versions: 3\nid: 12\ndata: x\n\n", 12),
        (b"data: x\n\n", None),
        (b"id: 12\n\n", None),
        (b"id: 12\ndata: x\nid: 13\ndata: y\n\n", None),
        (b"id: 012\ndata: x\n\n", None),
        (b"id: 1 2\ndata: x\n\n", None),
        (b"id: \xb2\ndata: x\n\n", None),
        (b"id: -1\ndata: x\n\n", None),
        (b"id: " + b"9" * 5_000 + b"\ndata: x\n\n", None),
    ],
)
def test_only_one_decimal_number_with_data_is_a_position(event, position):
    assert event_position(event) == position
