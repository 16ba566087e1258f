"""What became of a publication, as far as it can be told truthfully."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.configuration import ConfigurationRecord
from lacewingcourse.core.configuration_diff import ItemDiff
from lacewingcourse.core.configuration_fold import Verdict
from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal

if TYPE_CHECKING:
    from lacewingcourse.core.configuration_replica import ConfigurationReplica

#: Appends of one record at the most; each repeat comes after a read of the log.
APPEND_ATTEMPTS = 3


class PublicationAnswer(Enum):
    """The answers to a publication."""

    ACCEPTED = "accepted"
    DRY_RUN = "dry_run"
    CONFLICT = "conflict"
    INVALID = "invalid"
    NOT_PUBLISHED = "not_published"
    UNKNOWN = "unknown"


@attrs.frozen
class Publication:
    """What became of a publication.

    Attributes:
        answer: The answer.
        publish_id: Name under which the answer can be asked for again.
        version: Version in force; if accepted, the version that was made.
        reason: What happened, for a person to read.
        pointer: JSON pointer to an invalid field, or empty.
        changed: If in conflict, the records accepted since the version it is based on.
        diff: What the changes alter.
    """

    answer: PublicationAnswer
    publish_id: str = ""
    version: int = 0
    reason: str = ""
    pointer: str = ""
    changed: tuple[ConfigurationRecord, ...] = ()
    diff: tuple[ItemDiff, ...] = ()


#: The kind of error of each answer that is one.
ANSWER_KINDS = {
    PublicationAnswer.CONFLICT: ErrorKind.CONFLICT,
    PublicationAnswer.INVALID: ErrorKind.INVALID_CONFIGURATION,
    PublicationAnswer.NOT_PUBLISHED: ErrorKind.NOT_PUBLISHED,
    PublicationAnswer.UNKNOWN: ErrorKind.PUBLISH_UNKNOWN,
}


def refusal_of(publication: Publication) -> Refusal | None:
    """Return the refusal that a publication's answer amounts to, or None."""
    kind = ANSWER_KINDS.get(publication.answer)
    if kind is None:
        return None
    unknown = publication.answer is PublicationAnswer.UNKNOWN
    return Refusal(
        kind,
        publication.reason,
        outcome=Outcome.UNKNOWN if unknown else Outcome.NOT_RUN,
        pointer=publication.pointer,
    )


def publish_id_of(base_version: int, unique: str) -> str:
    """Return a publish id; it tells the version that the change is based on."""
    return f"{base_version}-{unique}"


def base_version_of(publish_id: str) -> int | None:
    """Return the version that a publication was based on, None if the id is bad."""
    number = publish_id.partition("-")[0]
    return int(number) if number.isdecimal() and len(number) < 16 else None


def conflict(
    replica: ConfigurationReplica, base_version: int, publish_id: str = ""
) -> Publication:
    """Return the answer to a change that is not based on the version in force."""
    return Publication(
        PublicationAnswer.CONFLICT,
        publish_id,
        replica.version,
        f"based on version {base_version}, but version {replica.version} is in force",
        changed=replica.state.since(base_version) or (),
    )


def judge(replica: ConfigurationReplica, publish_id: str) -> Publication:
    """Tell what became of a publication from what the log is known to hold.

    Once another record has made the version that follows the base of a publication,
    the publication can't be accepted any more, even if it reaches the log later.
    """
    base_version = base_version_of(publish_id)
    if base_version is None:
        reason = "not an id of a publication"
        return Publication(
            PublicationAnswer.INVALID, publish_id, reason=reason, pointer="/publish_id"
        )
    verdict = _verdict(replica, publish_id, base_version + 1)
    if verdict is Verdict.ACCEPTED:
        return Publication(PublicationAnswer.ACCEPTED, publish_id, base_version + 1)
    if verdict is Verdict.CONFLICT:
        return conflict(replica, base_version, publish_id)
    if verdict is Verdict.INVALID:
        refusal = replica.verdicts[publish_id].refusal
        return Publication(
            PublicationAnswer.INVALID,
            publish_id,
            replica.version,
            refusal.reason,
            refusal.pointer,
        )
    return _unknown(replica, publish_id, base_version)


def _verdict(
    replica: ConfigurationReplica, publish_id: str, version: int
) -> Verdict | None:
    """Return what became of a record that was to make a version, None if unknown."""
    known = replica.verdicts.get(publish_id)
    if known is not None:
        return known.verdict
    winner = replica.state.winner(version)
    if winner is None:
        return None
    return Verdict.ACCEPTED if winner.publish_id == publish_id else Verdict.CONFLICT


def _unknown(
    replica: ConfigurationReplica, publish_id: str, base_version: int
) -> Publication:
    if replica.version > base_version:
        reason = f"version {base_version + 1} is older than the history kept here"
    else:
        reason = "the log has not shown it yet; it may still appear"
    return Publication(PublicationAnswer.UNKNOWN, publish_id, replica.version, reason)
