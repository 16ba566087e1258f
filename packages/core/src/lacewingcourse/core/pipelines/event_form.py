"""Form of the events of a server-sent event stream."""

from __future__ import annotations

import re
from enum import Enum

#: An event's id that is a position: a decimal number as a 64-bit integer holds it.
POSITION = re.compile(rb"0|[1-9][0-9]{0,17}")
#: The usual form of an event, which needs no further look at its lines.
USUAL_EVENT = re.compile(rb"id: (%b)\ndata: [^\r\n]*\n\n" % POSITION.pattern)
#: Name of a field. The format ignores fields with unknown names.
FIELD_NAME = re.compile(rb"[a-z][a-z0-9_-]*")
#: Fields that may stand in a line without a colon before another field, and are empty.
BARE_FIELDS = frozenset({b"id", b"data", b"event", b"retry"})
#: Bytes of line ends.
LINE_ENDS = b"\r\n"


class EventDefect(Enum):
    """Why bytes of a run are not the next event of its stream.

    Attributes:
        NOT_TEXT: They are not UTF-8.
        NO_FIELD: A line is neither a field nor a comment.
        NO_ID: They have no id.
        SEVERAL_IDS: They have more than one id.
        BAD_ID: Their id is no decimal number.
        NO_DATA: They have an id, but no data.
        OVERSIZED: They exceed the size of an event without an end of one.
        TRUNCATED: The run ended as complete within them.
        NOT_RISING: Their id is not larger than the one before.
        GAP: Their id skips positions of a stream that counts regularly.
        OUT_OF_PLACE: They do not continue the events of the run before.
    """

    NOT_TEXT = "not_text"
    NO_FIELD = "no_field"
    NO_ID = "no_id"
    SEVERAL_IDS = "several_ids"
    BAD_ID = "bad_id"
    NO_DATA = "no_data"
    OVERSIZED = "oversized"
    TRUNCATED = "truncated"
    NOT_RISING = "not_rising"
    GAP = "gap"
    OUT_OF_PLACE = "out_of_place"


def parse_position(identifier: bytes) -> int | None:
    """Return the position that an id names, None if it is no decimal number."""
    return int(identifier) if POSITION.fullmatch(identifier) else None


def read_event(event: bytes) -> int | EventDefect | None:
    """Return an event's position, or why it is none; None for comments or line ends.

    Args:
        event: Bytes up to an empty line, with the line ends.
    """
    usual = USUAL_EVENT.fullmatch(event)
    if usual is not None and event.isascii():
        return int(usual[1])
    try:
        event.decode()
    except UnicodeDecodeError:
        return EventDefect.NOT_TEXT
    return _read_lines(event.strip(LINE_ENDS).splitlines())


def _read_lines(lines: list[bytes]) -> int | EventDefect | None:
    """Return the position of the event in some lines, or why they are none."""
    fields: dict[bytes, list[bytes]] = {}
    for number, line in enumerate(lines):
        name, colon, value = line.partition(b":")
        if not colon and not _is_bare_field(name, lines[number + 1 :]):
            return EventDefect.NO_FIELD
        if name and not FIELD_NAME.fullmatch(name):
            return EventDefect.NO_FIELD
        fields.setdefault(name, []).append(value.removeprefix(b" "))
    fields.pop(b"", None)
    if not fields:
        return None
    identifiers = fields.get(b"id", [])
    if not identifiers:
        return EventDefect.NO_ID
    if len(identifiers) > 1:
        return EventDefect.SEVERAL_IDS
    position = parse_position(identifiers[0])
    if position is None:
        return EventDefect.BAD_ID
    return position if b"data" in fields else EventDefect.NO_DATA


def _is_bare_field(name: bytes, following: list[bytes]) -> bool:
    """Return whether a line without a colon is a field.

    One before a comment, or at the end, may be a field that a line end has cut before
    its colon.

    Args:
        name: The line.
        following: The lines after it.
    """
    is_cut = not following or following[0].startswith(b":")
    return name in BARE_FIELDS and not is_cut
