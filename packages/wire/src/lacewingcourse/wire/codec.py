"""Messages to JSON and back."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import cattrs
import orjson
from cattrs.preconf.orjson import make_converter

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.relay.decoding import CONTENT_ERRORS

if TYPE_CHECKING:
    from typing import Any

T = TypeVar("T")

CONVERTER = make_converter(forbid_extra_keys=True)


def encode(message: Any) -> bytes:
    """Return a message as JSON."""
    return CONVERTER.dumps(message)


def decode(body: bytes, kind: type[T]) -> T | Refusal:
    """Return the message that a JSON text holds; never raises, whatever the text is.

    Args:
        body: The JSON text.
        kind: Class of the message.

    Returns:
        The message, or a refusal of kind `MALFORMED` or `INVALID_FIELD`.
    """
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return Refusal(ErrorKind.MALFORMED, f"not JSON: {error}")
    try:
        return CONVERTER.structure(document, kind)
    except (cattrs.BaseValidationError, *CONTENT_ERRORS) as error:
        return Refusal(ErrorKind.INVALID_FIELD, first_error(error))


def first_error(error: BaseException) -> str:
    """Return the first cause of a validation error as one line."""
    if not isinstance(error, cattrs.BaseValidationError):
        return str(error)
    return "; ".join(cattrs.transform_error(error)[:1])
