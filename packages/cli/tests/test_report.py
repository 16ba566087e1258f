"""Tests of the burn report's table and page."""

from __future__ import annotations

import random
import re

import pytest
from cleo.testers.command_tester import CommandTester

from lacewingcourse.cli.report import FAST_ALARM, ReportBurnCommand
from lacewingcourse.cli.report_html import page_of
from lacewingcourse.cli.report_text import burn_table, coverage_table, kinds_table
from lacewingcourse.core.burn_ends import Lateness, RequestEnd, Result
from lacewingcourse.core.burn_fleet import FleetBurn, FleetMerge, Unreachable
from lacewingcourse.core.burn_history import BurnSummary
from lacewingcourse.core.burn_report import burn_of
from lacewingcourse.core.burn_windows import BurnBook
from lacewingcourse.core.errors import ErrorKind
from lacewingcourse.wire.codec import decode

NOW = 1_764_700_000.0
ORGANISATIONS = ["portmore", "mandeville", "<b>hall & co</b>", "quimper"]


def random_end(rng: random.Random, work_class: str, at: float) -> RequestEnd:
    """Return an end; the class `room-naming` is refused much in the last hour."""
    bad = 0.25 if work_class == "room-naming" and at > NOW - 2400 else 0.0015
    result, kind = Result.WHOLE, None
    if rng.random() < bad:
        result, kind = rng.choice(
            [
                (Result.REFUSED, ErrorKind.OVERLOADED),
                (Result.REFUSED, ErrorKind.DEADLINE_UNREACHABLE),
                (Result.PARTIAL, ErrorKind.STAGE_LOST),
                (Result.UNKNOWN, ErrorKind.ENDPOINT_FAILED),
            ]
        )
    return RequestEnd(
        work_class=work_class,
        organisation=rng.choice(ORGANISATIONS),
        target="mapchat",
        result=result,
        kind=kind,
        lateness=Lateness(first_token=rng.random() < 0.03 + bad / 2),
        lateness_budget=0.05,
        completeness_budget=0.001,
    )


@pytest.fixture(scope="module")
def report():
    """Half a day of traffic through two entries; a third is gone, a fourth silent."""
    rng = random.Random(7)
    merge = FleetMerge(NOW)
    for name in ("entry-1", "entry-2"):
        book = BurnBook(since=NOW - 12 * 3600)
        for index in range(1200):
            at = NOW - 12 * 3600 + index * 36
            hour = 8 if at % 3600 < 600 else 1
            for _ in range(hour):
                book.add(random_end(rng, "room-naming", at), at)
            book.add(random_end(rng, "forecast-notes", at), at)
        merge.add(burn_of(book, name, f"run-{name}", NOW))
    merge.take(BurnSummary("entry-0", "old", 3, NOW - 90000, NOW - 50000, ()))
    merge.unreachable.append(Unreachable("entry-3", "connection refused"))
    return merge.report(log_problem="HTTP 503")


def test_table_shows_every_class_and_its_worst_organisations(report):
    table = burn_table(report, 2)
    assert [row[1] for row in table.rows[:1]] == ["all"]
    assert [row[0] for row in table.rows] == ["forecast-notes"] * 3 + [
        "room-naming"
    ] * 3
    assert "FAST completeness" in table.rows[3][-1]
    assert "4 organisations that spent less are not shown." in table.notes
    kinds = {row[:2] for row in kinds_table(report).rows}
    assert ("room-naming", "kind overloaded") in kinds


def test_coverage_says_what_is_lost(report):
    table = coverage_table(report)
    assert [row[1] for row in table.rows] == ["counters", "counters", "log", "nowhere"]
    assert table.rows[0][4:] == ("100 %", "100 %", "100 %", "17 %")
    text = " ".join(table.notes)
    assert "HTTP 503" in text
    assert "entry-0 did not answer (no longer listed)" in text
    assert "entry-3 did not answer (connection refused); not counted." in text


def test_page_is_complete_in_itself(report):
    page = page_of(report)
    assert page.count("<svg") == 4
    assert not re.search(r"<(script|link|img|iframe)|url\((?!#)|@import", page)
    assert not re.search(r'(?:src|href)="(?!#)', page)
    assert "<b>hall" not in page
    assert "&lt;b&gt;hall &amp; co&lt;/b&gt;" in page
    ids = re.findall(r'id="(m[0-9a-f]{8,}|p[0-9a-f]{8,})"', page)
    assert ids and len(ids) == len(set(ids))


def test_command_prints_names_as_they_are(report, monkeypatch):
    monkeypatch.setattr("lacewingcourse.cli.report.ask", lambda *asked: report)
    tester = CommandTester(ReportBurnCommand())
    assert tester.execute("--entry http://127.0.0.1:1 --fail-on-fast") == FAST_ALARM
    assert "<b>hall & co</b>" in tester.io.fetch_output()
    assert tester.execute("--entry http://127.0.0.1:1 --json") == 0
    printed = tester.io.fetch_output()
    assert decode(printed.encode(), FleetBurn) == report


def test_page_without_traffic_says_so():
    assert "No request has ended yet." in page_of(FleetMerge(NOW).report())
