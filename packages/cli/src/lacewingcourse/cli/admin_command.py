"""The base of all commands that talk to the admin API, and their exit codes."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Any

import orjson
from cleo.commands.command import Command
from cleo.helpers import option

from lacewingcourse.cli.admin_client import AdminClient
from lacewingcourse.cli.tables import format_diff, format_record

if TYPE_CHECKING:
    from lacewingcourse.cli.admin_client import AdminAnswer

#: Exit code when the entry could not be reached or refused for another reason.
FAILED = 1
#: Exit code for a command that was used wrongly.
BAD_USAGE = 2
#: Exit code when live instances lag behind after `--wait`.
LAGGING = 7
#: Exit code of each answer to a publication.
EXIT_CODES = {
    "accepted": 0,
    "dry_run": 0,
    "conflict": 3,
    "invalid": 4,
    "not_published": 5,
    "unknown": 6,
}
#: Seconds that `--wait` waits.
DEFAULT_WAIT = "30"

ENTRY_OPTIONS = [
    option("entry", None, "Base URL of an entry [LACEWINGCOURSE_ENTRY]", flag=False),
    option("token", None, "Token of the operator [LACEWINGCOURSE_TOKEN]", flag=False),
    option("json", None, "Print the answer as JSON", flag=True),
]
PUBLISH_OPTIONS = [
    option("based-on", None, "Version that the change is based on", flag=False),
    option("dry-run", None, "Check only and show what would change", flag=True),
    option("wait", None, "Wait until every live instance has it in force", flag=True),
    option(
        "timeout", None, "Seconds to wait at the most", flag=False, default=DEFAULT_WAIT
    ),
]


class AdminCommand(Command):
    """Talks to the admin API; variants override `perform`."""

    options = ENTRY_OPTIONS

    def handle(self) -> int:
        url = self.option("entry") or os.environ.get("LACEWINGCOURSE_ENTRY", "")
        token = self.option("token") or os.environ.get("LACEWINGCOURSE_TOKEN", "")
        if not url or not token:
            self.line_error("--entry and --token, or their variables, must be set")
            return BAD_USAGE
        return self.perform(AdminClient(url, token))

    def perform(self, client: AdminClient) -> int:
        """Do what the command is for and return the exit code."""
        raise NotImplementedError

    def write_json(self, document: Any) -> None:
        """Print a document as JSON."""
        text = orjson.dumps(document, option=orjson.OPT_INDENT_2).decode()
        self.io.write_line(text)

    def show_records(self, answer: AdminAnswer) -> int:
        """Print the accepted changes of an answer and return the exit code."""
        if self.option("json"):
            self.write_json(answer.document)
            return 0
        for record in answer.document["records"]:
            for line in format_record(record):
                self.write_text(line)
        return 0

    def write_text(self, text: str) -> None:
        """Print a line as it is."""
        self.io.write_line(text)

    def fail(self, answer: AdminAnswer) -> int:
        """Print why a request failed and return the exit code."""
        document = answer.document or {}
        if self.option("json") and document:
            self.write_json(document)
        else:
            detail = document.get("detail") or answer.error or f"HTTP {answer.status}"
            title = document.get("title", "The entry gave no answer")
            self.line_error(f"{title}: {detail}")
        return FAILED


class PublishCommand(AdminCommand):
    """Publishes; variants override `perform` and call `publish`."""

    options = ENTRY_OPTIONS + PUBLISH_OPTIONS

    def base_version(
        self, client: AdminClient, seen_version: int | None
    ) -> int | AdminAnswer:
        """Return the version that the change is based on."""
        if self.option("based-on") is not None:
            return int(self.option("based-on"))
        if seen_version is not None:
            return seen_version
        answer = client.send("GET", "/version")
        return answer.document["version"] if answer.ok else answer

    def query(self) -> str:
        """Return the query for a dry run."""
        return "?dry_run=true" if self.option("dry-run") else ""

    def publish(
        self,
        client: AdminClient,
        method: str,
        path: str,
        document: Any = None,
        seen_version: int | None = None,
    ) -> int:
        """Publish, print the answer and return its exit code.

        Args:
            client: Client of the admin API.
            method: HTTP method.
            path: Path below `/admin/v1`.
            document: JSON body, or None.
            seen_version: Version of the state that the document was made from.
        """
        base_version = self.base_version(client, seen_version)
        if not isinstance(base_version, int):
            return self.fail(base_version)
        if path == "/changes":
            document = {"base_version": base_version, "changes": document}
        answer = client.send(method, path + self.query(), document, base_version)
        return self.finish(client, answer)

    def finish(self, client: AdminClient, answer: AdminAnswer) -> int:
        """Print what became of a publication and return its exit code."""
        document = answer.document or {}
        if document.get("answer") is None and document.get("kind") not in EXIT_KINDS:
            return self.fail(answer)
        name = document.get("answer") or "invalid"
        if self.option("json"):
            self.write_json(document)
        else:
            self._write_publication(name, document)
        if name == "accepted" and self.option("wait"):
            return self._wait(client, document["version"])
        return EXIT_CODES[name]

    def _write_publication(self, name: str, document: dict) -> None:
        if name in ("accepted", "dry_run"):
            self.write_text(f"{name}: version {document['version']}")
            for line in format_diff(document["diff"]):
                self.write_text(line)
        else:
            pointer = document.get("pointer", "")
            place = f" at {pointer}" if pointer else ""
            self.line_error(f"{name}{place}: {document['detail']}")
        for record in document.get("changed", ()):
            for line in format_record(record):
                self.write_text(line)
        if name == "unknown":
            publish_id = document["publish_id"]
            self.line_error(f"ask again: lacewingcourse publication show {publish_id}")
        if document.get("key"):
            self.write_text(f"key, shown this once: {document['key']}")

    def _wait(self, client: AdminClient, version: int) -> int:
        """Wait until a version is in force everywhere."""
        return wait_for(self, client, version, float(self.option("timeout")))


#: Kinds of error that say that a change is invalid.
EXIT_KINDS = ("invalid_configuration", "invalid_field")


def wait_for(
    command: AdminCommand, client: AdminClient, version: int, timeout: float
) -> int:
    """Wait until every live instance has a version, and name those that lag."""
    path = f"/rollouts/{version}?timeout={round(timeout)}"
    answer = client.send("GET", path, wait=timeout)
    if not answer.ok:
        return command.fail(answer)
    lagging = answer.document["lagging"]
    if command.option("json"):
        command.write_json(answer.document)
    else:
        reached = answer.document["reached"]
        command.write_text(f"in force on {reached} instances")
        if lagging:
            command.line_error("not yet on: " + ", ".join(lagging))
    return LAGGING if lagging else 0
