"""Text for people: tables, diffs and records."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import Any


def show(value: Any) -> str:
    """Return a value of a document as text."""
    if value is None:
        return "-"
    if isinstance(value, list):
        return ", ".join(show(item) for item in value) or "-"
    return str(value)


def format_table(rows: list[dict[str, Any]]) -> list[str]:
    """Return rows as lines with aligned columns, the names of the columns first."""
    if not rows:
        return ["(none)"]
    columns = list(rows[0])
    cells = [columns] + [[shorten(show(row[name])) for name in columns] for row in rows]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    return [
        "  ".join(text.ljust(width) for text, width in zip(line, widths)).rstrip()
        for line in cells
    ]


def shorten(text: str, limit: int = 40) -> str:
    """Return a text that fits into a column."""
    return text if len(text) <= limit else text[: limit - 1] + "…"


def format_diff(diff: list[dict[str, Any]]) -> list[str]:
    """Return what differs, a line for each field."""
    lines = []
    for item in diff:
        place = f"{item['collection']}/{item['name']}"
        if not item["fields"]:
            lines.append(f"  {place}: stays as it is")
        for field in item["fields"]:
            change = f"{show(field['before'])} -> {show(field['after'])}"
            lines.append(f"  {place} {field['field']}: {change}")
    return lines


def format_record(record: dict[str, Any]) -> list[str]:
    """Return an accepted record: its version, author, time and changes."""
    moment = datetime.fromtimestamp(record["published_at"], UTC)
    when = moment.isoformat(timespec="seconds")
    version = record["base_version"] + 1
    lines = [f"version {version}, {when}, {record['author']}"]
    for change in record["changes"]:
        place = f"{change['collection']}/{change['name']}"
        values = [value for value in change.values() if isinstance(value, dict)]
        lines.append(f"  {place}: {format_item(values[0]) if values else 'deleted'}")
    return lines


def format_item(item: dict[str, Any]) -> str:
    """Return an item in one line."""
    shown = [f"{name}={show(value)}" for name, value in item.items() if name != "name"]
    return " ".join(shown)
