"""The demo's judgement of refusals and outcomes."""

from __future__ import annotations

import pytest

from lacewingcourse.testing.demo_report import DemoReport, Refused


@pytest.mark.parametrize(
    ("outcome", "ran", "untrue"),
    [
        ("not_run", False, False),
        ("not_run", True, True),
        ("ran", True, False),
        ("ran", False, True),
        ("partial", False, True),
        ("unknown", True, False),
        ("unknown", False, False),
    ],
)
def test_refusal_is_judged_by_what_ran(outcome, ran, untrue):
    refusal = Refused("overloaded", outcome, ran)
    assert refusal.untrue is untrue
    report = DemoReport(sent=1, refused=[refusal])
    assert report.passed is not untrue
    assert "overloaded: 1" in report.table()


@pytest.mark.parametrize(
    "report",
    [
        DemoReport(sent=2, whole=1),
        DemoReport(sent=2, whole=2, doubled=1),
        DemoReport(sent=2, whole=1, wrong=1),
    ],
)
def test_loss_double_and_wrong_answer_fail(report):
    assert not report.passed
    assert DemoReport(sent=2, whole=2).passed
