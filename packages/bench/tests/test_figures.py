"""Tests of the bench's arithmetic on figures."""

from __future__ import annotations

import pytest

from lacewingcourse.bench.figures import Outcome, figure, paired_table, single, table


def test_figure_has_median_and_quartiles():
    made = figure("hop", "ms", [5.0, 1.0, 3.0, 2.0, 4.0])
    assert (made.low, made.median, made.high, made.count) == (2.0, 3.0, 4.0, 5)
    assert figure("hop", "ms", [7.0]) == single("hop", "ms", 7.0)


def test_nothing_measured_is_an_error():
    with pytest.raises(ValueError, match="hop"):
        figure("hop", "ms", [])


def test_table_shows_each_figure():
    text = table(Outcome("overhead", (single("hop", "ms", 1.5),), "a note"))
    assert "hop [ms]" in text
    assert text.endswith("a note")


def test_paired_table_compares_medians_of_runs():
    def runs(*values):
        return [Outcome("overhead", (single("hop", "ms", value),)) for value in values]

    text = paired_table(["old", "here"], [runs(3.0, 9.0, 4.0), runs(2.0, 1.0, 1.5)])
    (line,) = [line for line in text.splitlines() if line.startswith("hop")]
    assert line.split()[1:3] == ["4.00", "1.50"]
    assert "3.00..9.00" in line
