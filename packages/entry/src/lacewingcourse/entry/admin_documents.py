"""JSON documents of the admin API to typed changes and back."""

from __future__ import annotations

from typing import Any

import attrs

from lacewingcourse.core.configuration import (
    COLLECTIONS,
    Change,
    Role,
    change_of,
)
from lacewingcourse.core.configuration_validation import invalid
from lacewingcourse.core.errors import ErrorKind, Refusal

#: Fields of a change in a document.
CHANGE_FIELDS = frozenset(
    {"collection", "name"} | {each.field for each in COLLECTIONS.values()}
)


@attrs.frozen
class ChangesDocument:
    """Several changes that are published together.

    Attributes:
        base_version: Version that they are based on.
        changes: The changes.
    """

    base_version: int
    changes: tuple[Change, ...]


def parse_item(collection: str, name: str, document: Any, pointer: str) -> Any:
    """Return the item that a document holds, or a refusal.

    Only names of fields and JSON types are checked here; values are checked by
    `check_changes`.

    Args:
        collection: Name of the collection.
        name: Name of the item, which the document may repeat.
        document: The JSON value.
        pointer: Where the document stands, for the refusal.
    """
    kind = COLLECTIONS[collection].kind
    if not isinstance(document, dict):
        return invalid(pointer, "must be an object")
    fields = attrs.fields_dict(kind)
    values: dict[str, Any] = {"name": name}
    for field, value in document.items():
        if field not in fields:
            return invalid(f"{pointer}/{field}", "is not a field")
        if field == "role" and value in [role.value for role in Role]:
            value = Role(value)
        values[field] = tuple(value) if isinstance(value, list) else value
    for field, attribute in fields.items():
        if attribute.default is attrs.NOTHING and field not in values:
            return invalid(f"{pointer}/{field}", "is missing")
    return kind(**values)


def parse_change(document: Any, pointer: str) -> Change | Refusal:
    """Return the change that a document holds."""
    if not isinstance(document, dict):
        return invalid(pointer, "must be an object")
    for field in document:
        if field not in CHANGE_FIELDS:
            return invalid(f"{pointer}/{field}", "is not a field")
    collection = COLLECTIONS.get(str(document.get("collection")))
    if collection is None:
        known = ", ".join(COLLECTIONS)
        return invalid(f"{pointer}/collection", f"must be one of {known}")
    name = document.get("name")
    item = document.get(collection.field)
    if item is not None:
        place = f"{pointer}/{collection.field}"
        item = parse_item(collection.name, name, item, place)
        if isinstance(item, Refusal):
            return item
    return change_of(collection.name, name, item)


def parse_changes(document: Any) -> ChangesDocument | Refusal:
    """Return the changes that the body of a request holds."""
    if not isinstance(document, dict):
        return Refusal(ErrorKind.MALFORMED, "the body must be a JSON object")
    for field in document:
        if field not in ("base_version", "changes"):
            return invalid(f"/{field}", "is not a field")
    base_version = document.get("base_version")
    if isinstance(base_version, bool) or not isinstance(base_version, int):
        return invalid("/base_version", "must be a whole number")
    documents = document.get("changes")
    if not isinstance(documents, list):
        return invalid("/changes", "must be a list")
    changes = []
    for index, each in enumerate(documents):
        change = parse_change(each, f"/changes/{index}")
        if isinstance(change, Refusal):
            return change
        changes.append(change)
    return ChangesDocument(base_version, tuple(changes))
