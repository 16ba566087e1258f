"""The admin API: operators read and publish the configuration."""

from __future__ import annotations

import secrets
from importlib.resources import files

import attrs

from lacewingcourse.core.configuration import (
    COLLECTIONS,
    Change,
    ConfigurationRecord,
    Organisation,
    Role,
    change_of,
)
from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.publishing import Publication, PublicationAnswer
from lacewingcourse.daemon.handlers import JSON, BaseHandler
from lacewingcourse.entry.admin_base import AdminHandler, hash_of
from lacewingcourse.entry.admin_documents import parse_changes, parse_item

#: Start of every path of the admin API.
PREFIX = "/admin/v1"
#: Bytes of a new organisation key.
KEY_BYTES = 24
#: Seconds that a wait for a version may take at the most.
MAX_WAIT = 120.0
#: Answers after which a new key may be in force.
MAYBE_IN_FORCE = (PublicationAnswer.ACCEPTED, PublicationAnswer.UNKNOWN)


@attrs.frozen
class ItemHistory:
    """Accepted records that changed something, oldest first.

    Attributes:
        version: Version in force.
        records: The records; each made the version after its base version.
    """

    version: int
    records: tuple[ConfigurationRecord, ...]


class OpenApiHandler(BaseHandler):
    """Serves the description of the admin API."""

    def get(self) -> None:
        self.set_header("Content-Type", JSON)
        self.finish(files("lacewingcourse.entry").joinpath("openapi.json").read_bytes())


class VersionHandler(AdminHandler):
    """Tells the version in force."""

    def get(self) -> None:
        state = self.daemon.follower.replica.state
        self.reply({"version": state.version, "lineage": state.lineage})


class CollectionHandler(AdminHandler):
    """Lists the items of a collection."""

    def get(self, collection: str) -> None:
        configuration = self.daemon.configuration
        items = configuration.collection(collection)
        self.set_header("ETag", f'"{configuration.version}"')
        self.reply({"version": configuration.version, "items": items})


class ItemHandler(AdminHandler):
    """Shows, sets and deletes an item."""

    def get(self, collection: str, name: str) -> None:
        configuration = self.daemon.configuration
        item = configuration.collection(collection).get(name)
        if item is None:
            self.refuse(missing(collection, name))
            return
        self.set_header("ETag", f'"{configuration.version}"')
        self.reply({"version": configuration.version, "item": item})

    async def put(self, collection: str, name: str) -> None:
        document = self.json_body()
        if isinstance(document, Refusal):
            self.refuse(document)
            return
        item = parse_item(collection, name, document, "")
        if isinstance(item, Refusal):
            self.refuse(item)
            return
        await self.publish(change_of(collection, name, item))

    async def delete(self, collection: str, name: str) -> None:
        if name not in self.daemon.configuration.collection(collection):
            self.refuse(missing(collection, name))
            return
        await self.publish(change_of(collection, name, None))

    async def publish(self, change: Change) -> None:
        """Publish one change and answer."""
        if change.collection == "operators" and not self.may(Role.ADMINISTRATOR):
            return
        base_version = self.base_version()
        if isinstance(base_version, Refusal):
            self.refuse(base_version)
            return
        publication = await self.daemon.publisher.publish(
            (change,), base_version, self.operator.name, self.dry_run()
        )
        self.answer(local_pointer(publication, change))


def local_pointer(publication: Publication, change: Change) -> Publication:
    """Return a publication whose pointer refers to the body of one item."""
    field = COLLECTIONS[change.collection].field
    pointer = publication.pointer.removeprefix(f"/changes/0/{field}")
    return attrs.evolve(publication, pointer=pointer.removeprefix("/changes/0"))


def missing(collection: str, name: str) -> Refusal:
    """Return the refusal for an item that does not exist."""
    noun = COLLECTIONS[collection].noun
    return Refusal(ErrorKind.UNKNOWN_RESOURCE, f"there is no {noun} {name!r}")


class ItemHistoryHandler(AdminHandler):
    """Lists the accepted records that changed an item."""

    def get(self, collection: str, name: str) -> None:
        state = self.daemon.follower.replica.state
        records = [
            attrs.evolve(record, changes=changes)
            for record in state.history
            if (changes := changes_of(record, collection, name))
        ]
        self.reply(ItemHistory(state.version, tuple(records)))


def changes_of(
    record: ConfigurationRecord, collection: str, name: str
) -> tuple[Change, ...]:
    """Return a record's changes of an item."""
    return tuple(
        change
        for change in record.changes
        if change.collection == collection and change.name == name
    )


class HistoryHandler(AdminHandler):
    """Lists the accepted records after a version, as far as they are kept."""

    def get(self) -> None:
        since = self.whole_argument("since", 0)
        if since is None:
            return
        state = self.daemon.follower.replica.state
        records = tuple(each for each in state.history if each.version > since)
        self.reply(ItemHistory(state.version, records))


class ChangesHandler(AdminHandler):
    """Publishes several changes, all or nothing."""

    async def post(self) -> None:
        document = self.json_body()
        if not isinstance(document, Refusal):
            document = parse_changes(document)
        if isinstance(document, Refusal):
            self.refuse(document)
            return
        collections = {change.collection for change in document.changes}
        if "operators" in collections and not self.may(Role.ADMINISTRATOR):
            return
        publication = await self.daemon.publisher.publish(
            document.changes,
            document.base_version,
            self.operator.name,
            self.dry_run(),
        )
        self.answer(publication)


class OrganisationKeysHandler(AdminHandler):
    """Publishes the keys of an organisation."""

    def organisation(self, name: str) -> Organisation | None:
        """Return an organisation; refuse the request if there is none."""
        organisation = self.daemon.configuration.organisations.get(name)
        if organisation is None:
            self.refuse(missing("organisations", name))
        return organisation

    async def publish(
        self, organisation: Organisation, hashes: tuple[str, ...], key: str = ""
    ) -> None:
        """Publish an organisation with other keys, and show the new one if any."""
        organisation = attrs.evolve(organisation, key_hashes=hashes)
        base_version = self.base_version()
        if isinstance(base_version, Refusal):
            self.refuse(base_version)
            return
        change = change_of("organisations", organisation.name, organisation)
        publication = await self.daemon.publisher.publish(
            (change,), base_version, self.operator.name
        )
        shown = {"key": key} if publication.answer in MAYBE_IN_FORCE and key else {}
        self.answer(local_pointer(publication, change), **shown)


class NewKeyHandler(OrganisationKeysHandler):
    """Gives an organisation a new key, which is shown once and stored as a hash."""

    async def post(self, name: str) -> None:
        organisation = self.organisation(name)
        if organisation is None:
            return
        key = secrets.token_urlsafe(KEY_BYTES)
        hashes = (*organisation.key_hashes, hash_of(key))
        await self.publish(organisation, hashes, key)


class KeyHandler(OrganisationKeysHandler):
    """Takes a key from an organisation, by the start of its hash."""

    async def delete(self, name: str, start: str) -> None:
        organisation = self.organisation(name)
        if organisation is None:
            return
        hashes = organisation.key_hashes
        found = [each for each in hashes if each.startswith(start)]
        if len(found) != 1:
            reason = f"{len(found)} keys have a hash that starts so"
            self.refuse(Refusal(ErrorKind.UNKNOWN_RESOURCE, reason))
            return
        kept = tuple(each for each in hashes if each != found[0])
        await self.publish(organisation, kept)


class PublicationHandler(AdminHandler):
    """Tells what became of a publication."""

    async def get(self, publish_id: str) -> None:
        self.answer(await self.daemon.publisher.ask(publish_id))


class RolloutHandler(AdminHandler):
    """Waits until every live instance has a version in force."""

    async def get(self, version: str) -> None:
        timeout = self.whole_argument("timeout", 0)
        if timeout is None:
            return
        self.reply(
            await self.daemon.rollouts.wait(int(version), min(timeout, MAX_WAIT))
        )


NAME_PATTERN = r"([A-Za-z0-9][A-Za-z0-9._-]*)"
COLLECTION_PATTERN = "(" + "|".join(COLLECTIONS) + ")"

ADMIN_ROUTES = [
    (rf"{PREFIX}/openapi\.json", OpenApiHandler),
    (rf"{PREFIX}/version", VersionHandler),
    (rf"{PREFIX}/history", HistoryHandler),
    (rf"{PREFIX}/changes", ChangesHandler),
    (rf"{PREFIX}/publications/{NAME_PATTERN}", PublicationHandler),
    (rf"{PREFIX}/rollouts/([0-9]{{1,15}})", RolloutHandler),
    (rf"{PREFIX}/organisations/{NAME_PATTERN}/keys", NewKeyHandler),
    (rf"{PREFIX}/organisations/{NAME_PATTERN}/keys/([0-9a-f]{{4,64}})", KeyHandler),
    (rf"{PREFIX}/{COLLECTION_PATTERN}", CollectionHandler),
    (rf"{PREFIX}/{COLLECTION_PATTERN}/{NAME_PATTERN}", ItemHandler),
    (rf"{PREFIX}/{COLLECTION_PATTERN}/{NAME_PATTERN}/history", ItemHistoryHandler),
]
