"""Structured logs: lines for changes of state, human or JSON."""

from __future__ import annotations

import sys
from datetime import UTC
from typing import TYPE_CHECKING, Any

import orjson
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message, Record

#: Time of a line, in both forms.
TIME_FORMAT = "YYYY-MM-DDTHH:mm:ss.SSS[Z]!UTC"
#: Characters that make a value be shown in quotes.
NEEDS_QUOTES = frozenset(" \t\r\n\"'=")


def configure_logs(process: str, log_format: str, level: str) -> None:
    """Send log lines to standard error.

    Args:
        process: Name of the process in each line.
        log_format: `human` or `json`.
        level: Lowest level that is shown.
    """
    logger.remove()
    logger.configure(extra={"process": process})
    if log_format == "json":
        logger.add(write_json, level=level, format="{message}")
        return
    logger.add(sys.stderr, level=level, format=human_format, diagnose=False)


def fields_of(record: Record) -> dict[str, Any]:
    """Return the keyword fields of a line."""
    return {name: value for name, value in record["extra"].items() if name[0] != "_"}


def human_format(record: Record) -> str:
    """Return the template of a line for people; values never break the line."""
    fields = fields_of(record)
    fields.pop("process")
    shown = [f"{name}={show(value)}" for name, value in fields.items()]
    record["extra"]["_fields"] = "".join(" " + field for field in shown)
    start = "{time:" + TIME_FORMAT + "} {level:<7} {extra[process]} "
    return start + "{message}{extra[_fields]}\n{exception}"


def show(value: Any) -> str:
    """Return a value as it stands in a line for people."""
    text = str(value)
    if not text or not text.isprintable() or NEEDS_QUOTES & set(text):
        return repr(text)
    return text


def write_json(message: Message) -> None:
    """Write a line as one JSON object."""
    record = message.record
    document = {
        "time": record["time"].astimezone(UTC).isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "message": record["message"],
        **fields_of(record),
    }
    if record["exception"] is not None:
        document["exception"] = str(message).partition("\n")[2]
    sys.stderr.write(orjson.dumps(document, default=str).decode() + "\n")
    sys.stderr.flush()
