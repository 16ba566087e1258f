"""Checks changes of the configuration; the API and the fold use the same check."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.configuration import (
    COLLECTIONS,
    Change,
    Model,
    Operator,
    Organisation,
    Role,
    Service,
    WorkClass,
)
from lacewingcourse.core.errors import ErrorKind, Refusal

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from lacewingcourse.core.configuration import Configuration, Item

#: Form of every name that is published.
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}\Z")
#: Form of a SHA-256 in hexadecimal.
HASH = re.compile(r"[0-9a-f]{64}\Z")
#: Form of a call that may not be repeated.
CALL = re.compile(r"(GET|POST|PUT|PATCH|DELETE) /[^\s]*\Z")
#: Seconds of a lateness target at the most.
MAX_SECONDS = 86400.0
#: Layers of a model at the most.
MAX_LAYERS = 10_000
#: Characters of a prompt at the most.
MAX_PROMPT = 16 * 1024 * 1024
#: Keys of an organisation, or calls of a service, at the most.
MAX_LIST = 64
#: Changes of one record at the most.
MAX_CHANGES = 5000


def _number(value: Any, low: float, high: float) -> str:
    """Return what is wrong with a number above `low` and up to `high`."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return "must be a number"
    if not low < value <= high:
        return f"must be above {low:g} and at most {high:g}"
    return ""


def _seconds(value: Any) -> str:
    return "" if value is None else _number(value, 0, MAX_SECONDS)


def _percentile(value: Any) -> str:
    reason = _number(value, 0, 1)
    return reason or ("must be below 1" if value == 1 else "")


def _completeness(value: Any) -> str:
    return _number(value, 0, 1)


def _whole(high: int) -> Callable[[Any], str]:
    def check(value: Any) -> str:
        if isinstance(value, bool) or not isinstance(value, int):
            return "must be a whole number"
        return "" if 1 <= value <= high else f"must lie between 1 and {high}"

    return check


def _name(value: Any) -> str:
    if isinstance(value, str) and NAME.match(value):
        return ""
    return "must be 1 to 64 letters, digits, dots, dashes or underscores"


def _optional_name(value: Any) -> str:
    return "" if value == "" else _name(value)


def _hash(value: Any) -> str:
    if isinstance(value, str) and HASH.match(value):
        return ""
    return "must be a SHA-256 in lower-case hexadecimal"


def _call(value: Any) -> str:
    if isinstance(value, str) and CALL.match(value):
        return ""
    return "must be a method and the start of a path, such as 'POST /tallies'"


def _role(value: Any) -> str:
    if isinstance(value, Role):
        return ""
    return "must be one of " + ", ".join(role.value for role in Role)


def _list_of(check: Callable[[Any], str]) -> Callable[[Any], str]:
    def check_list(value: Any) -> str:
        if not isinstance(value, tuple):
            return "must be a list"
        if len(value) > MAX_LIST:
            return f"must have at most {MAX_LIST} items"
        for index, item in enumerate(value):
            reason = check(item)
            if reason:
                return f"item {index} {reason}"
        return "" if len(set(value)) == len(value) else "must not repeat an item"

    return check_list


#: The check of each field of each kind of item.
FIELD_CHECKS: dict[type, dict[str, Callable[[Any], str]]] = {
    WorkClass: {
        "name": _name,
        "first_token": _seconds,
        "between_tokens": _seconds,
        "answer": _seconds,
        "percentile": _percentile,
        "completeness": _completeness,
    },
    Organisation: {"name": _name, "key_hashes": _list_of(_hash)},
    Model: {
        "name": _name,
        "layer_count": _whole(MAX_LAYERS),
        "version": _name,
        "work_class": _optional_name,
        "max_prompt": _whole(MAX_PROMPT),
    },
    Service: {
        "name": _name,
        "once": _list_of(_call),
        "work_class": _optional_name,
    },
    Operator: {"name": _name, "role": _role, "token_hash": _hash},
}


def invalid(pointer: str, reason: str) -> Refusal:
    """Return the refusal of an invalid change."""
    return Refusal(ErrorKind.INVALID_CONFIGURATION, reason, pointer=pointer)


def check_changes(
    configuration: Configuration, changes: tuple[Change, ...]
) -> Refusal | None:
    """Check the changes of one record against the configuration that they change.

    Args:
        configuration: The configuration before the changes.
        changes: The changes, which are applied all or not at all.

    Returns:
        None, or a refusal whose pointer names the offending field, such as
        `/changes/0/work_class/percentile`.
    """
    if not 1 <= len(changes) <= MAX_CHANGES:
        return invalid("/changes", f"must have 1 to {MAX_CHANGES} items")
    seen = set()
    for index, change in enumerate(changes):
        refused = _check_change(configuration, change, f"/changes/{index}")
        if refused is not None:
            return refused
        if (change.collection, change.name) in seen:
            return invalid(f"/changes/{index}/name", "is changed twice")
        seen.add((change.collection, change.name))
    return _check_references(apply_changes(configuration, changes), changes)


def _check_change(
    configuration: Configuration, change: Change, pointer: str
) -> Refusal | None:
    collection = COLLECTIONS.get(change.collection)
    if collection is None:
        known = ", ".join(COLLECTIONS)
        return invalid(f"{pointer}/collection", f"must be one of {known}")
    reason = _name(change.name)
    if reason:
        return invalid(f"{pointer}/name", reason)
    for other in COLLECTIONS.values():
        if other is not collection and getattr(change, other.field) is not None:
            reason = f"does not belong to {collection.name}"
            return invalid(f"{pointer}/{other.field}", reason)
    if change.value is not None:
        return _check_item(change, f"{pointer}/{collection.field}")
    if change.name not in configuration.collection(change.collection):
        return invalid(f"{pointer}/name", f"there is no {collection.noun} of this name")
    return None


def _check_item(change: Change, pointer: str) -> Refusal | None:
    item = change.value
    for name, check in FIELD_CHECKS[type(item)].items():
        reason = check(getattr(item, name))
        if reason:
            return invalid(f"{pointer}/{name}", reason)
    if item.name != change.name:
        return invalid(f"{pointer}/name", "differs from the name of the change")
    return None


def apply_changes(
    configuration: Configuration, changes: tuple[Change, ...]
) -> Configuration:
    """Return the configuration after changes, under the next version."""
    touched = {change.collection for change in changes}
    collections = {name: dict(configuration.collection(name)) for name in touched}
    for change in changes:
        if change.value is None:
            collections[change.collection].pop(change.name, None)
        else:
            collections[change.collection][change.name] = change.value
    return attrs.evolve(configuration, version=configuration.version + 1, **collections)


def _check_references(
    result: Configuration, changes: tuple[Change, ...]
) -> Refusal | None:
    """Check what changed items refer to and what refers to deleted ones."""
    keys = _keys(result) if _touches(changes, "organisations") else {}
    for index, change in enumerate(changes):
        pointer = f"/changes/{index}"
        field = COLLECTIONS[change.collection].field
        item = change.value
        if isinstance(item, (Model, Service)):
            if item.work_class and item.work_class not in result.classes:
                reason = f"there is no class {item.work_class!r}"
                return invalid(f"{pointer}/{field}/work_class", reason)
        if isinstance(item, Organisation):
            if any(keys[key] > 1 for key in item.key_hashes):
                reason = "has a key that another organisation has"
                return invalid(f"{pointer}/{field}/key_hashes", reason)
        if item is None and change.collection == "classes":
            users = class_users(result, change.name)
            if users:
                reason = "is in use by " + ", ".join(user.name for user in users)
                return invalid(f"{pointer}/name", reason)
    return None


def _touches(changes: tuple[Change, ...], collection: str) -> bool:
    return any(change.collection == collection for change in changes)


def _keys(configuration: Configuration) -> dict[str, int]:
    """Return how many organisations have each key."""
    counts: dict[str, int] = {}
    for organisation in configuration.organisations.values():
        for key in organisation.key_hashes:
            counts[key] = counts.get(key, 0) + 1
    return counts


def class_users(configuration: Configuration, name: str) -> list[Item]:
    """Return the models and services whose default is a class."""
    items = [*configuration.models.values(), *configuration.services.values()]
    return [item for item in items if item.work_class == name]


def check_whole(configuration: Configuration) -> Refusal | None:
    """Check a whole configuration, such as that of a snapshot."""
    for collection in COLLECTIONS.values():
        for name, item in configuration.collection(collection.name).items():
            change = Change(collection.name, name, **{collection.field: item})
            refused = _check_item(change, f"/{collection.name}/{name}")
            if refused is not None:
                return refused
    changes = tuple(
        Change(collection.name, name, **{collection.field: item})
        for collection in COLLECTIONS.values()
        for name, item in configuration.collection(collection.name).items()
    )
    return _check_references(configuration, changes)
