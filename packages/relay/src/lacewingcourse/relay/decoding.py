"""Strict decoding of documents that other processes write."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any, NewType, TypeVar

import attrs
import orjson
from cattrs import ClassValidationError, IterableValidationError, transform_error
from cattrs.cols import is_sequence, list_structure_factory
from cattrs.gen import make_dict_structure_fn, override
from cattrs.preconf.orjson import make_converter
from cattrs.v import format_exception

if TYPE_CHECKING:
    from collections.abc import Callable

    from cattrs import BaseConverter

T = TypeVar("T")

#: Maximum number of characters of a reason, as a document may hold text of any length.
MAX_REASON_LENGTH = 200
#: Greatest magnitude of a number. Sums and products of larger ones would be infinite or
#: have no exact form in messages.
MAX_NUMBER = 2**53
#: Seconds since something that the sender of a document knows.
Age = NewType("Age", float)
#: Metadata key of an attribute that has another name in documents.
DOCUMENT_NAME = "document_name"
#: Path of a value in the library's error messages: names and indexes.
JSON_PATH = re.compile(r"\$[\w.\[\]]*")
#: Errors that the library may raise because of a document's content.
CONTENT_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    RecursionError,
    OverflowError,
)


@attrs.frozen
class Undecodable:
    """A sentinel value: bytes hold no document of the expected class.

    Attributes:
        reason: What is wrong with the document, and at which path.
    """

    reason: str


def shortened(text: str) -> str:
    """Return text cut to the maximum length of a reason."""
    return (
        text
        if len(text) <= MAX_REASON_LENGTH
        else text[: MAX_REASON_LENGTH - 3] + "..."
    )


class StrictDecoder:
    """Decodes documents into objects whose values have exactly the declared types.

    The library's default converter turns strings into numbers and numbers into
    booleans, so it would accept documents of another class.

    Attributes:
        converter: The library's converter with strict hooks.
        document_names: Names in documents by attribute name, for error messages.
    """

    def __init__(self, document_name: Callable[[str], str] | None = None) -> None:
        """Make a decoder.

        Args:
            document_name: Returns the name in documents for an attribute's name, None
                if documents use the attribute's name.
        """
        self.converter = make_converter()
        self.document_names: dict[str, str] = {}
        for kind in (bool, str):
            self.converter.register_structure_hook(kind, _exact_type_hook(kind))
        self.converter.register_structure_hook(int, _structure_int)
        self.converter.register_structure_hook(float, _structure_float)
        self.converter.register_structure_hook(Age, _structure_age)
        self.converter.register_structure_hook_factory(is_sequence, _list_hook)
        if document_name is not None:
            self._document_name = document_name
            self.converter.register_structure_hook_factory(attrs.has, self._hook_for)

    def decode(self, body: bytes, kind: type[T]) -> T | Undecodable:
        """Decode a JSON document; never raises, whatever the bytes are.

        Args:
            body: The encoded document.
            kind: Class of the object.

        Returns:
            The object, or what is wrong with the document.
        """
        try:
            document = orjson.loads(body)
        except orjson.JSONDecodeError as error:
            return Undecodable(shortened(f"no JSON: {error}"))
        return self.structure(document, kind)

    def structure(self, document: Any, kind: type[T]) -> T | Undecodable:
        """Return the object of a class that a document holds, or what is wrong."""
        try:
            return self.converter.structure(document, kind)
        except (ClassValidationError, IterableValidationError) as error:
            found = transform_error(error, path="$", format_exception=_reason)
            reasons = "; ".join(found)
            return Undecodable(shortened(JSON_PATH.sub(self._document_path, reasons)))
        except CONTENT_ERRORS as error:
            return Undecodable(shortened(f"{type(error).__name__}: {error}"))

    def _document_path(self, found: re.Match) -> str:
        """Return a path with the names that documents use."""
        steps = found[0].split(".")
        return ".".join(self.document_names.get(step, step) for step in steps)

    def _hook_for(self, kind: type) -> Callable[[Any, Any], Any]:
        """Return the structure hook for an attrs class."""
        overrides = {}
        for attribute in attrs.fields(kind):
            explicit_name = attribute.metadata.get(DOCUMENT_NAME)
            name = explicit_name or self._document_name(attribute.name)
            self.document_names[attribute.name] = name
            overrides[attribute.name] = override(rename=name)
        structure = make_dict_structure_fn(kind, self.converter, **overrides)
        return _checked_hook(dict, structure)


def _reason(error: BaseException, kind: type | None) -> str:
    """Return what is wrong with a value; a `ValueError` holds it as first argument."""
    if type(error) is ValueError and error.args:
        return shortened(str(error.args[0]))
    return format_exception(error, kind)


def _list_hook(kind: Any, converter: BaseConverter) -> Callable[[Any, Any], Any]:
    """Return a hook for lists that accepts neither the letters of a text nor a map."""
    return _checked_hook(list, list_structure_factory(kind, converter))


def _checked_hook(
    kind: type, structure: Callable[[Any, Any], Any]
) -> Callable[[Any, Any], Any]:
    """Return a structure hook that accepts values of one type only."""

    def check_and_structure(value: Any, target: Any) -> Any:
        if type(value) is not kind:
            raise TypeError(f"{type(value).__name__} in place of {kind.__name__}")
        return structure(value, target)

    return check_and_structure


def _exact_type_hook(kind: type) -> Callable[[Any, Any], Any]:
    """Return a hook that accepts values of one type; booleans do not count as `int`."""
    return _checked_hook(kind, lambda value, _: value)


def _structure_int(value: Any, _: Any) -> int:
    if type(value) is not int:
        raise TypeError(f"{type(value).__name__} in place of int")
    return _checked_number(value)


def _structure_float(value: Any, _: Any) -> float:
    if type(value) not in (int, float):
        raise TypeError(f"{type(value).__name__} in place of a number")
    return float(_checked_number(value))


def _structure_age(value: Any, _: Any) -> float:
    """Return an age, 0 for a negative one: nothing is known from the future."""
    return max(0.0, _structure_float(value, float))


def _checked_number(value: float) -> float:
    """Return a number.

    Raises:
        ValueError: Its magnitude is too large.
    """
    if not -MAX_NUMBER <= value <= MAX_NUMBER:
        raise ValueError("a number is out of range")
    return value
