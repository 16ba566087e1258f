"""What changes would alter, field by field."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from lacewingcourse.core.configuration import Change, Configuration, Item


@attrs.frozen
class FieldDiff:
    """A field that differs.

    Attributes:
        field: Name of the field.
        before: Its value before, None if the item is new.
        after: Its value after, None if the item is deleted.
    """

    field: str
    before: Any
    after: Any


@attrs.frozen
class ItemDiff:
    """An item that differs.

    Attributes:
        collection: Name of its collection.
        name: Name of the item.
        fields: Fields that differ; none if the item stays as it is.
    """

    collection: str
    name: str
    fields: tuple[FieldDiff, ...]


def diff_changes(
    configuration: Configuration, changes: tuple[Change, ...]
) -> tuple[ItemDiff, ...]:
    """Return what changes would alter in a configuration."""
    return tuple(
        ItemDiff(change.collection, change.name, diff_items(before, change.value))
        for change in changes
        for before in [configuration.collection(change.collection).get(change.name)]
    )


def diff_items(before: Item | None, after: Item | None) -> tuple[FieldDiff, ...]:
    """Return the fields in which two states of an item differ."""
    old = {} if before is None else attrs.asdict(before, recurse=False)
    new = {} if after is None else attrs.asdict(after, recurse=False)
    return tuple(
        FieldDiff(name, old.get(name), new.get(name))
        for name in {**old, **new}
        if name != "name" and old.get(name) != new.get(name)
    )
