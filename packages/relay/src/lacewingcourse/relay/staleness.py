"""Decides whether the configuration is recent enough to report something as missing."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import ErrorKind, Refusal

if TYPE_CHECKING:
    from collections.abc import Callable

#: Kinds of refusals that may be wrong if there is a newer version of the configuration.
LOOKUP_FAILURES = frozenset({ErrorKind.UNKNOWN_RESOURCE, ErrorKind.UNAUTHENTICATED})
#: Number of polls for which a request waits for the configuration to be confirmed or
#: replaced, and seconds between two polls.
MAX_POLLS = 15
POLL_INTERVAL = 0.02
#: Least `Retry-After`, in seconds, of a request whose route or key cannot be looked up
#: reliably. Jitter adds up to the same again.
STALE_RETRY_AFTER = 0.5


@attrs.define
class StalenessGuard:
    """Decides whether a refusal for an unknown route or key can be trusted.

    Attributes:
        age: Returns the seconds since the configuration was last known to be current.
        limit: Age in seconds above which the configuration counts as stale.
    """

    age: Callable[[], float] = lambda: 0.0
    limit: float = float("inf")

    def may_be_outdated(self, refusal: Refusal) -> bool:
        """Return whether a newer version may allow what was refused."""
        return refusal.kind in LOOKUP_FAILURES and self.age() > self.limit

    async def wait_for_update(self) -> None:
        """Wait until the configuration is confirmed or replaced, for a limited time."""
        for _ in range(MAX_POLLS):
            if self.age() <= self.limit:
                return
            await asyncio.sleep(POLL_INTERVAL)

    def refusal(self, jitter: float) -> Refusal:
        """Return the refusal for a lookup that cannot be trusted.

        Args:
            jitter: A number from 0 to 1 that spreads the retries of callers.
        """
        reason = f"the configuration was last confirmed {self.age():.1f} s ago"
        retry_after = STALE_RETRY_AFTER * (1 + jitter)
        return Refusal(ErrorKind.NOT_READY, reason, retry_after=retry_after)
