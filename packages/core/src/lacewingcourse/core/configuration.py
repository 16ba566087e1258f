"""What operators publish: the typed values of the configuration."""

from __future__ import annotations

from enum import Enum

import attrs


class Role(Enum):
    """What an operator may do; each role may do what those before it may."""

    VIEWER = "viewer"
    OPERATOR = "operator"
    ADMINISTRATOR = "administrator"

    def includes(self, other: Role) -> bool:
        """Tell whether this role may do all that another may."""
        order = list(Role)
        return order.index(self) >= order.index(other)


@attrs.frozen
class WorkClass:
    """A class of work and its targets.

    Attributes:
        name: Name of the class.
        first_token: Seconds to the first token, or None.
        between_tokens: Seconds between tokens, or None.
        answer: Seconds to the whole answer, or None.
        percentile: Share of answers, 0 to 1, that must be in time.
        completeness: Share of answers, 0 to 1, that must be whole.
    """

    name: str
    first_token: float | None = None
    between_tokens: float | None = None
    answer: float | None = None
    percentile: float = 0.95
    completeness: float = 0.999


@attrs.frozen
class Organisation:
    """An organisation and its keys.

    Attributes:
        name: Name of the organisation.
        key_hashes: SHA-256 of its keys, in hexadecimal.
    """

    name: str
    key_hashes: tuple[str, ...] = ()


@attrs.frozen
class Model:
    """A model that is served.

    Attributes:
        name: Name of the model.
        layer_count: Layers it has.
        version: Version of its weights.
        work_class: Class of work of requests that name none.
        max_prompt: Characters of a prompt at the most.
    """

    name: str
    layer_count: int
    version: str = "1"
    work_class: str = ""
    max_prompt: int = 65536


@attrs.frozen
class Service:
    """A plain service.

    Attributes:
        name: Name of the service.
        once: Calls that may not be repeated, as `METHOD /path-prefix`.
        work_class: Class of work of calls that name none.
    """

    name: str
    once: tuple[str, ...] = ()
    work_class: str = ""

    def runs_once(self, method: str, path: str) -> bool:
        """Tell whether a call may not be repeated."""
        for rule in self.once:
            rule_method, prefix = rule.split(" ", 1)
            if method == rule_method and path.startswith(prefix):
                return True
        return False


@attrs.frozen
class Operator:
    """A person or program that uses the admin API.

    Attributes:
        name: Name of the operator, the author of its changes.
        role: What it may do.
        token_hash: SHA-256 of its bearer token, in hexadecimal.
    """

    name: str
    role: Role = Role.VIEWER
    token_hash: str = ""


@attrs.frozen
class Configuration:
    """All that operators have published.

    Attributes:
        version: Count of the accepted changes.
        classes: Classes of work by name.
        organisations: Organisations by name.
        models: Models by name.
        services: Plain services by name.
        operators: Operators beside the first administrator, by name.
    """

    version: int = 0
    classes: dict[str, WorkClass] = attrs.field(factory=dict)
    organisations: dict[str, Organisation] = attrs.field(factory=dict)
    models: dict[str, Model] = attrs.field(factory=dict)
    services: dict[str, Service] = attrs.field(factory=dict)
    operators: dict[str, Operator] = attrs.field(factory=dict)

    def collection(self, name: str) -> dict[str, Item]:
        """Return the items of a collection by name."""
        return getattr(self, name)


#: Any value that is published under a name.
Item = WorkClass | Organisation | Model | Service | Operator


@attrs.frozen
class Collection:
    """One of the collections that the configuration consists of.

    Attributes:
        name: Name of the collection, also in paths and in `Configuration`.
        noun: Name of one item, as in commands.
        field: Field of a change that holds the item.
        kind: Class of the items.
    """

    name: str
    noun: str
    field: str
    kind: type


#: All collections by name.
COLLECTIONS = {
    collection.name: collection
    for collection in (
        Collection("classes", "class", "work_class", WorkClass),
        Collection("organisations", "organisation", "organisation", Organisation),
        Collection("models", "model", "model", Model),
        Collection("services", "service", "service", Service),
        Collection("operators", "operator", "operator", Operator),
    )
}


@attrs.frozen
class Change:
    """One named item that is set, or deleted if all values are None.

    Attributes:
        collection: Name of one of `COLLECTIONS`.
        name: Name of the item.
        work_class: Its value in `classes`.
        organisation: Its value in `organisations`.
        model: Its value in `models`.
        service: Its value in `services`.
        operator: Its value in `operators`.
    """

    collection: str
    name: str
    work_class: WorkClass | None = None
    organisation: Organisation | None = None
    model: Model | None = None
    service: Service | None = None
    operator: Operator | None = None

    @property
    def value(self) -> Item | None:
        """The value that is set, or None for a deletion."""
        for collection in COLLECTIONS.values():
            value = getattr(self, collection.field)
            if value is not None:
                return value
        return None


@attrs.frozen
class ConfigurationRecord:
    """A change as it stands in the log.

    Attributes:
        publish_id: Name of the publication, unique for all time.
        base_version: Version that the change was based on.
        author: Who published it.
        published_at: When, in seconds since the epoch.
        changes: What is changed, all or nothing.
    """

    publish_id: str
    base_version: int
    author: str
    published_at: float
    changes: tuple[Change, ...]

    @property
    def version(self) -> int:
        """The version that the record makes if it is accepted."""
        return self.base_version + 1


def change_of(collection: str, name: str, item: Item | None) -> Change:
    """Return the change that sets an item, or deletes it if it is None."""
    return Change(collection, name, **{COLLECTIONS[collection].field: item})
