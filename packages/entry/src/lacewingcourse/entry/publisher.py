"""Publishes changes through the log and tells truthfully what became of them."""

from __future__ import annotations

import time
import uuid
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.configuration import ConfigurationRecord
from lacewingcourse.core.configuration_diff import diff_changes
from lacewingcourse.core.configuration_validation import check_changes
from lacewingcourse.core.errors import Outcome, Refusal
from lacewingcourse.core.publishing import (
    APPEND_ATTEMPTS,
    Publication,
    PublicationAnswer,
    conflict,
    judge,
    publish_id_of,
)

if TYPE_CHECKING:
    from lacewingcourse.core.configuration import Change
    from lacewingcourse.entry.follower import EntryConfigurationFollower


class Publisher:
    """Appends changes, reads them back, and answers.

    Attributes:
        follower: Follows the configuration.
    """

    def __init__(self, follower: EntryConfigurationFollower) -> None:
        self.follower = follower

    async def publish(
        self,
        changes: tuple[Change, ...],
        base_version: int,
        author: str,
        dry_run: bool = False,
    ) -> Publication:
        """Publish changes, all or nothing.

        Args:
            changes: The changes.
            base_version: Version that they are based on.
            author: Name of the operator.
            dry_run: Whether to check only.
        """
        replica = self.follower.replica
        if base_version > replica.version:
            await self.follower.catch_up()
        if base_version != replica.version:
            return conflict(replica, base_version)
        refusal = check_changes(replica.state.configuration, changes)
        if refusal is not None:
            return Publication(
                PublicationAnswer.INVALID,
                version=replica.version,
                reason=refusal.reason,
                pointer=refusal.pointer,
            )
        diff = diff_changes(replica.state.configuration, changes)
        if dry_run:
            return Publication(
                PublicationAnswer.DRY_RUN, version=replica.version, diff=diff
            )
        record = ConfigurationRecord(
            publish_id=publish_id_of(base_version, uuid.uuid4().hex),
            base_version=base_version,
            author=author,
            published_at=time.time(),
            changes=changes,
        )
        return attrs.evolve(await self._append(record), diff=diff)

    async def _append(self, record: ConfigurationRecord) -> Publication:
        """Append a record until it is read back, or nothing more can be told.

        A repeat is safe: both copies name the same version as their base, so that one
        of them at most is accepted.
        """
        for attempt in range(APPEND_ATTEMPTS):
            appended = await self.follower.append(record)
            if attempt == 0 and _not_taken(appended):
                return Publication(
                    PublicationAnswer.NOT_PUBLISHED,
                    record.publish_id,
                    self.follower.replica.version,
                    f"the log did not take it: {appended.reason}",
                )
            unread = await self.follower.catch_up()
            publication = judge(self.follower.replica, record.publish_id)
            if publication.answer is not PublicationAnswer.UNKNOWN:
                return publication
            if unread is not None:
                return attrs.evolve(
                    publication, reason=f"it could not be read back: {unread.reason}"
                )
        return publication

    async def ask(self, publish_id: str) -> Publication:
        """Tell what became of an earlier publication."""
        await self.follower.catch_up()
        return judge(self.follower.replica, publish_id)


def _not_taken(appended: int | Refusal) -> bool:
    """Tell whether an append surely had no effect."""
    return isinstance(appended, Refusal) and appended.outcome is Outcome.NOT_RUN
