"""The command `report burn`."""

from __future__ import annotations

from pathlib import Path
from urllib.parse import urlencode

from cleo.commands.command import Command
from cleo.helpers import option

from lacewingcourse.cli import report_text
from lacewingcourse.cli.operator_client import (
    ask,
    entry_of,
    entry_option,
    token_of,
    token_option,
)
from lacewingcourse.cli.output import print_plain, print_table
from lacewingcourse.core.burn_fleet import FleetBurn
from lacewingcourse.core.burn_report import Speed
from lacewingcourse.core.errors import Refusal
from lacewingcourse.wire.codec import encode

#: Path of the report.
REPORT_PATH = "/admin/v1/report/burn"
#: Exit code when the report could not be had.
NO_REPORT = 1
#: Exit code when no entry was named.
NO_ENTRY = 2
#: Exit code when a fast alarm fires and the option asks for it.
FAST_ALARM = 3


class ReportBurnCommand(Command):
    """Shows how fast classes of work spend their budgets."""

    name = "report burn"
    description = "Show how fast each class and organisation spends its budgets"
    options = [
        entry_option(),
        token_option(),
        option("json", None, "Print the report as JSON", flag=True),
        option("html", None, "Write the report as a page to a file", flag=False),
        option("class", None, "Show this class of work only", flag=False),
        option("organisation", None, "Show this organisation only", flag=False),
        option("all", None, "Show every organisation, not only the worst", flag=True),
        option(
            "fail-on-fast",
            None,
            f"End with exit code {FAST_ALARM} if a fast alarm fires",
            flag=True,
        ),
    ]

    def handle(self) -> int:
        entry = entry_of(self.option("entry"))
        if not entry:
            self.line_error("no entry was named: give --entry URL")
            return NO_ENTRY
        report = ask(self._url(entry), FleetBurn, token_of(self.option("token")))
        if isinstance(report, Refusal):
            self.line_error(f"no report: {report.reason}")
            return NO_REPORT
        self._show(report)
        if self.option("fail-on-fast") and report.fires(Speed.FAST):
            return FAST_ALARM
        return 0

    def _url(self, entry: str) -> str:
        """Return what to ask."""
        names = ("class", "organisation")
        chosen = {name: self.option(name) for name in names if self.option(name)}
        query = f"?{urlencode(chosen)}" if chosen else ""
        return entry + REPORT_PATH + query

    def _show(self, report: FleetBurn) -> None:
        """Print the report, and write the page if one is asked for."""
        if self.option("html"):
            from lacewingcourse.cli.report_html import page_of

            Path(self.option("html")).write_text(page_of(report), encoding="utf-8")
        if self.option("json"):
            print_plain(self, encode(report).decode())
            return
        limit = None if self.option("all") else report_text.SHOWN_ORGANISATIONS
        for table in report_text.tables(report, limit):
            print_table(self, table)
