"""The command `explain`, which shows from log lines why requests ended as they did."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

import orjson
from cleo.commands.command import Command
from cleo.helpers import argument, option

from lacewingcourse.relay.causes import histories_of, summary_of

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Seconds before a request's first line from which state changes are shown with it.
CONTEXT_SECONDS = 3.0
#: Events that report a change of an entry's state or of its view of endpoints.
CONTEXT_EVENTS = frozenset(
    {"configuration", "configuration_source_lost", "configuration_source_regained"}
    | {"directory_lost", "directory_regained", "endpoint_gone", "endpoint_lapsed"}
    | {"suspected", "late_report", "paths"}
    | {"room_short", "room_divided", "room_enough"}
    | {"limit", "duty_taken", "order", "leaving", "started", "reloaded"}
)
#: Fields that are shown in columns of their own or not at all.
COMMON_FIELDS = frozenset({"time", "level", "event", "process", "request"})
#: Exit code for a request id without log lines.
UNKNOWN_REQUEST = 1
#: Exit code for invalid arguments or unreadable files.
BAD_ARGUMENTS = 2


class ExplainCommand(Command):
    """Prints the log lines of one request, or a summary of all requests."""

    name = "explain"
    description = "Print the log lines of one request, or why requests were late"
    arguments = [
        argument("request", "id of the request; with --summary a log file"),
        argument("files", "log files of entries", optional=True, multiple=True),
    ]
    options = [
        option("summary", None, "count all requests by the cause of their delay"),
        option(
            "objective",
            None,
            "milliseconds in which a first event is wanted",
            flag=False,
            default="500",
        ),
        option(
            "pause",
            None,
            "milliseconds that may pass between two events",
            flag=False,
            default="200",
        ),
        option("span", None, "seconds per row of the summary", flag=False, default="2"),
    ]

    def handle(self) -> int:
        if self.option("summary"):
            return self._summarise()
        files = self.argument("files")
        if not files:
            self.line_error("name the log files after the request")
            return BAD_ARGUMENTS
        lines = self._read(files)
        if lines is None:
            return BAD_ARGUMENTS
        timeline = timeline_of(self.argument("request"), lines)
        if not timeline:
            self.line_error(f"no log line has request {self.argument('request')!r}")
            return UNKNOWN_REQUEST
        for line in timeline:
            self.line(line)
        return 0

    def _summarise(self) -> int:
        """Print a summary of all requests in the log files; return the exit code."""
        values = {}
        for name in ("objective", "pause", "span"):
            try:
                values[name] = float(self.option(name))
            except ValueError:
                values[name] = 0.0
            if values[name] <= 0:
                self.line_error(f"--{name} is {self.option(name)!r}, not a number > 0")
                return BAD_ARGUMENTS
        lines = self._read([self.argument("request"), *self.argument("files")])
        if lines is None:
            return BAD_ARGUMENTS
        histories = histories_of(lines, values["objective"], values["pause"])
        for line in summary_of(histories, values["span"]):
            self.line(line)
        return 0

    def _read(self, files: list[str]) -> list[dict[str, Any]] | None:
        """Return the log lines of files, or print why one cannot be read."""
        try:
            return read_lines(files)
        except OSError as error:
            self.line_error(f"{error.filename} cannot be read: {error.strerror}")
            return None


def read_lines(files: Iterable[str]) -> list[dict[str, Any]]:
    """Return the log lines of files in order of time.

    Text before the JSON object of a line, such as the prefix of a log collector, is
    ignored. Lines without a log record are skipped.

    Raises:
        OSError: If a file cannot be read.
    """
    lines = []
    for name in files:
        for line in Path(name).read_bytes().splitlines():
            found = _decode(line)
            if found is not None:
                lines.append(found)
    return sorted(lines, key=lambda line: line["time"])


def timeline_of(request: str, lines: list[dict[str, Any]]) -> list[str]:
    """Return the log lines of a request, with state changes of its entries, as text.

    State changes are included from a few seconds before the request until its end.

    Args:
        request: Id of the request.
        lines: Log lines in order of time.
    """
    own = [line for line in lines if line.get("request") == request]
    if not own:
        return []
    first = own[0]["time"] - own[0].get("took_ms", 0.0) / 1000
    since, until = first - CONTEXT_SECONDS, own[-1]["time"]
    entries = {line["process"] for line in own}
    timeline = [
        line
        for line in lines
        if line.get("request") == request
        or line["event"] in CONTEXT_EVENTS
        and line["process"] in entries
        and since <= line["time"] <= until
    ]
    return [_format_line(line, first) for line in timeline]


def _decode(line: bytes) -> dict[str, Any] | None:
    """Return the log record of a line, None if it has none."""
    start = line.find(b'{"time":')
    if start < 0:
        return None
    try:
        found = orjson.loads(line[start:])
    except orjson.JSONDecodeError:
        return None
    return found if "event" in found and "process" in found else None


def _format_line(line: dict[str, Any], first: float) -> str:
    """Format a log line for display, with milliseconds since the request arrived."""
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in COMMON_FIELDS and value not in (None, "", [])
    )
    passed = (line["time"] - first) * 1000
    return f"{passed:+10.1f} ms  {line['process']}  {line['event']}  {fields}"
