"""The verbs set, list, show, history and delete for each kind of item."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any

from cleo.helpers import argument, option

from lacewingcourse.cli.admin_command import (
    BAD_USAGE,
    ENTRY_OPTIONS,
    PUBLISH_OPTIONS,
    AdminCommand,
    PublishCommand,
)
from lacewingcourse.cli.tables import format_table
from lacewingcourse.core.configuration import COLLECTIONS

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.cli.admin_client import AdminClient

NAME_ARGUMENT = [argument("name", "Name of the item")]


def text(value: str) -> str:
    """Return a value as it is."""
    return value


def number(value: str) -> float | None:
    """Return a number; `none` takes a target away."""
    return None if value == "none" else float(value)


def hash_of(value: str) -> str:
    """Return the form in which a token is stored."""
    return hashlib.sha256(value.encode()).hexdigest()


#: Flags of `set` for each kind of item: flag, field, reader, help.
SET_FLAGS: dict[str, list[tuple[str, str, Callable[[str], Any], str]]] = {
    "classes": [
        ("first-token", "first_token", number, "Seconds to the first token, or none"),
        ("between-tokens", "between_tokens", number, "Seconds between tokens, or none"),
        ("answer", "answer", number, "Seconds to the whole answer, or none"),
        ("percentile", "percentile", number, "Share of answers in time, 0 to 1"),
        ("completeness", "completeness", number, "Share of whole answers, 0 to 1"),
    ],
    "organisations": [],
    "models": [
        ("layers", "layer_count", int, "Layers of the model"),
        ("weights", "version", text, "Version of the weights"),
        ("class", "work_class", text, "Class of requests that name none"),
        ("max-prompt", "max_prompt", int, "Characters of a prompt at the most"),
    ],
    "services": [
        ("class", "work_class", text, "Class of calls that name none"),
    ],
    "operators": [
        ("role", "role", text, "viewer, operator or administrator"),
        ("new-token", "token_hash", hash_of, "Its token, at least 16 characters"),
    ],
}
#: Shortest token of an operator.
SHORTEST_TOKEN = 16


class SetCommand(PublishCommand):
    """Sets an item; what is not given stays as it is."""

    collection = ""
    arguments = NAME_ARGUMENT

    def perform(self, client: AdminClient) -> int:
        name = self.argument("name")
        try:
            given = self.given()
        except ValueError as error:
            self.line_error(f"bad value: {error}")
            return BAD_USAGE
        listed = client.send("GET", f"/{self.collection}")
        if not listed.ok:
            return self.fail(listed)
        item = listed.document["items"].get(name, {})
        path = f"/{self.collection}/{name}"
        version = listed.document["version"]
        return self.publish(client, "PUT", path, {**item, **given}, version)

    def given(self) -> dict[str, Any]:
        """Return the fields that flags give.

        Raises:
            ValueError: A flag's value cannot be read.
        """
        fields = {}
        for flag, field, read, _ in SET_FLAGS[self.collection]:
            value = self.option(flag)
            if value is not None:
                fields[field] = read(value)
        if self.collection == "services" and self.option("once"):
            fields["once"] = self.option("once")
        if self.collection == "operators":
            token = self.option("new-token")
            if token is not None and len(token) < SHORTEST_TOKEN:
                raise ValueError(f"a token needs {SHORTEST_TOKEN} characters")
        return fields


class DeleteCommand(PublishCommand):
    """Deletes an item."""

    collection = ""
    arguments = NAME_ARGUMENT

    def perform(self, client: AdminClient) -> int:
        path = f"/{self.collection}/{self.argument('name')}"
        return self.publish(client, "DELETE", path)


class ListCommand(AdminCommand):
    """Lists all items of a kind."""

    collection = ""

    def perform(self, client: AdminClient) -> int:
        answer = client.send("GET", f"/{self.collection}")
        if not answer.ok:
            return self.fail(answer)
        if self.option("json"):
            self.write_json(answer.document)
            return 0
        items = answer.document["items"]
        for line in format_table([items[name] for name in sorted(items)]):
            self.write_text(line)
        return 0


class ShowCommand(AdminCommand):
    """Shows one item."""

    collection = ""
    arguments = NAME_ARGUMENT

    def perform(self, client: AdminClient) -> int:
        answer = client.send("GET", f"/{self.collection}/{self.argument('name')}")
        if not answer.ok:
            return self.fail(answer)
        if self.option("json"):
            self.write_json(answer.document)
            return 0
        rows = [
            {"field": field, "value": value}
            for field, value in answer.document["item"].items()
        ]
        for line in format_table(rows):
            self.write_text(line)
        return 0


class HistoryCommand(AdminCommand):
    """Shows who changed an item and when."""

    collection = ""
    arguments = NAME_ARGUMENT

    def perform(self, client: AdminClient) -> int:
        path = f"/{self.collection}/{self.argument('name')}/history"
        answer = client.send("GET", path)
        if not answer.ok:
            return self.fail(answer)
        return self.show_records(answer)


def set_options(collection: str) -> list:
    """Return the options of `set` for a kind of item."""
    options = [
        option(flag, None, help_text, flag=False)
        for flag, _, _, help_text in SET_FLAGS[collection]
    ]
    if collection == "services":
        help_text = "Call that may not be repeated, such as 'POST /tallies'"
        options.append(option("once", None, help_text, flag=False, multiple=True))
    return options + ENTRY_OPTIONS + PUBLISH_OPTIONS


def command_class(base: type, verb: str, collection: str) -> type:
    """Return the command of a verb for a kind of item."""
    noun = COLLECTIONS[collection].noun
    attributes = {
        "name": f"{noun} {verb}",
        "description": f"{verb.capitalize()} {noun}: {base.__doc__}",
        "collection": collection,
    }
    if base is SetCommand:
        attributes["options"] = set_options(collection)
    return type(f"{noun.capitalize()}{base.__name__}", (base,), attributes)


VERBS = {
    "set": SetCommand,
    "list": ListCommand,
    "show": ShowCommand,
    "history": HistoryCommand,
    "delete": DeleteCommand,
}
ITEM_COMMANDS = [
    command_class(base, verb, collection)
    for collection in COLLECTIONS
    for verb, base in VERBS.items()
]
