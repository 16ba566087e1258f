"""Commands for keys, whole files of changes, publications and versions."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import orjson
from cleo.helpers import argument, option

from lacewingcourse.cli.admin_command import (
    BAD_USAGE,
    DEFAULT_WAIT,
    ENTRY_OPTIONS,
    AdminCommand,
    PublishCommand,
    wait_for,
)

if TYPE_CHECKING:
    from lacewingcourse.cli.admin_client import AdminClient


class AddKeyCommand(PublishCommand):
    """Gives an organisation a new key."""

    name = "organisation add-key"
    description = "Give an organisation a new key; it is shown this once"
    arguments = [argument("name", "Name of the organisation")]

    def perform(self, client: AdminClient) -> int:
        path = f"/organisations/{self.argument('name')}/keys"
        return self.publish(client, "POST", path)


class RemoveKeyCommand(PublishCommand):
    """Takes a key from an organisation."""

    name = "organisation remove-key"
    description = "Take a key from an organisation"
    arguments = [
        argument("name", "Name of the organisation"),
        argument("hash", "Start of the key's SHA-256, as `organisation show` prints"),
    ]

    def perform(self, client: AdminClient) -> int:
        path = f"/organisations/{self.argument('name')}/keys/{self.argument('hash')}"
        return self.publish(client, "DELETE", path)


class ApplyCommand(PublishCommand):
    """Publishes the changes of a file, all or nothing."""

    name = "configuration apply"
    description = "Publish the changes of a JSON file, all or nothing"
    arguments = [argument("file", "File with a JSON list of changes")]

    def perform(self, client: AdminClient) -> int:
        try:
            changes = orjson.loads(Path(self.argument("file")).read_bytes())
        except (OSError, orjson.JSONDecodeError) as error:
            self.line_error(f"cannot read the file: {error}")
            return BAD_USAGE
        return self.publish(client, "POST", "/changes", changes)


class DiffCommand(AdminCommand):
    """Shows what was accepted after a version."""

    name = "configuration diff"
    description = "Show what was accepted after a version, with authors"
    arguments = [argument("version", "The version", optional=True, default="0")]

    def perform(self, client: AdminClient) -> int:
        answer = client.send("GET", f"/history?since={self.argument('version')}")
        if not answer.ok:
            return self.fail(answer)
        return self.show_records(answer)


class WaitCommand(AdminCommand):
    """Waits until every live instance has a version in force."""

    name = "configuration wait"
    description = "Wait until every live instance has a version in force"
    arguments = [argument("version", "The version")]
    options = ENTRY_OPTIONS + [
        option(
            "timeout",
            None,
            "Seconds to wait at the most",
            flag=False,
            default=DEFAULT_WAIT,
        )
    ]

    def perform(self, client: AdminClient) -> int:
        version = int(self.argument("version"))
        return wait_for(self, client, version, float(self.option("timeout")))


class PublicationCommand(PublishCommand):
    """Tells what became of a publication."""

    name = "publication show"
    description = "Tell what became of a publication"
    arguments = [argument("id", "Id that the publication answered")]

    def perform(self, client: AdminClient) -> int:
        answer = client.send("GET", f"/publications/{self.argument('id')}")
        return self.finish(client, answer)


PUBLISHING_COMMANDS = [
    AddKeyCommand,
    RemoveKeyCommand,
    ApplyCommand,
    DiffCommand,
    WaitCommand,
    PublicationCommand,
]
