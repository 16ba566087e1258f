"""Log lines, human and JSON."""

from __future__ import annotations

import json

import pytest
from loguru import logger

from lacewingcourse.daemon.logs import configure_logs


@pytest.fixture(autouse=True)
def restore_logger():
    """Leave no sink behind."""
    yield
    logger.remove()


def test_json_line_holds_its_fields(capsys):
    configure_logs("entry-1", "json", "INFO")
    logger.debug("not shown")
    logger.info("endpoint answers", ready=True, reason="a\nb {braces}")
    (line,) = capsys.readouterr().err.splitlines()
    document = json.loads(line)
    assert document.pop("time")
    assert document == {
        "level": "INFO",
        "process": "entry-1",
        "message": "endpoint answers",
        "ready": True,
        "reason": "a\nb {braces}",
    }


def test_human_line_is_one_line_whatever_its_fields_hold(capsys):
    configure_logs("entry-1", "human", "INFO")
    logger.info("attempt lost", endpoint="endpoint-1", reason="a\nb {x} <red>")
    (line,) = capsys.readouterr().err.splitlines()
    wanted = "entry-1 attempt lost endpoint=endpoint-1 reason='a\\nb {x} <red>'"
    assert line.endswith(wanted)


def test_json_line_holds_an_exception(capsys):
    configure_logs("entry-1", "json", "INFO")
    try:
        raise ValueError("bad")
    except ValueError as error:
        logger.opt(exception=error).error("a background task failed")
    (line,) = capsys.readouterr().err.splitlines()
    assert "ValueError: bad" in json.loads(line)["exception"]
