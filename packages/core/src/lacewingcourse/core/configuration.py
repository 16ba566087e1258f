"""Configuration as a fold over the records of the log."""

from __future__ import annotations

import attrs


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
class Configuration:
    """All that operators have published.

    Attributes:
        version: Count of the accepted changes.
        classes: Classes of work by name.
        organisations: Organisations by name.
        models: Models by name.
        services: Plain services by name.
    """

    version: int = 0
    classes: dict[str, WorkClass] = attrs.field(factory=dict)
    organisations: dict[str, Organisation] = attrs.field(factory=dict)
    models: dict[str, Model] = attrs.field(factory=dict)
    services: dict[str, Service] = attrs.field(factory=dict)


@attrs.frozen
class Change:
    """One named item that is set, or deleted if all values are None.

    Attributes:
        collection: `classes`, `organisations`, `models` or `services`.
        name: Name of the item.
        work_class: Its value in `classes`.
        organisation: Its value in `organisations`.
        model: Its value in `models`.
        service: Its value in `services`.
    """

    collection: str
    name: str
    work_class: WorkClass | None = None
    organisation: Organisation | None = None
    model: Model | None = None
    service: Service | None = None

    @property
    def value(self) -> WorkClass | Organisation | Model | Service | None:
        """The value that is set, or None for a deletion."""
        return self.work_class or self.organisation or self.model or self.service


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


def fold(configuration: Configuration, record: ConfigurationRecord) -> Configuration:
    """Return the configuration after a record; unchanged if the record lost a race.

    Args:
        configuration: State before the record.
        record: The next record of the log.
    """
    if record.base_version != configuration.version:
        return configuration
    collections = {
        "classes": dict(configuration.classes),
        "organisations": dict(configuration.organisations),
        "models": dict(configuration.models),
        "services": dict(configuration.services),
    }
    for change in record.changes:
        collection = collections[change.collection]
        if change.value is None:
            collection.pop(change.name, None)
        else:
            collection[change.name] = change.value
    return Configuration(version=configuration.version + 1, **collections)
