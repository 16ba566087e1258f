"""Structured logs: lines for changes of state, human or JSON."""

from __future__ import annotations

import sys

from loguru import logger

HUMAN_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level:<7} {extra[process]} {message} {extra}"
)


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
        logger.add(sys.stderr, level=level, serialize=True)
        return
    logger.add(sys.stderr, level=level, format=HUMAN_FORMAT)
