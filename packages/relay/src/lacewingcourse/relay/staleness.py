"""Whether what is known is new enough to say that something does not exist."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import ErrorKind, Refusal

if TYPE_CHECKING:
    from collections.abc import Callable

#: Kinds of refusals that a newer version of the configuration may turn out to be wrong.
LOOKUP_FAILURES = frozenset({ErrorKind.UNKNOWN_RESOURCE, ErrorKind.UNAUTHENTICATED})
#: Looks for which a request waits until it is known whether there is a newer version,
#: and seconds between two of them.
MAX_POLLS = 15
POLL_INTERVAL = 0.02
#: Seconds, and at most twice as many, after which a caller may try again whose route or
#: key is not known for certain.
STALE_RETRY_AFTER = 0.5


@attrs.define
class StalenessGuard:
    """Tells whether a refusal for an unknown route or key can be trusted.

    Attributes:
        age: Returns the seconds since the configuration was known to be the newest.
        limit: Age from which it is not trusted, seconds.
    """

    age: Callable[[], float] = lambda: 0.0
    limit: float = float("inf")

    def may_be_outdated(self, refusal: Refusal) -> bool:
        """Tell whether a newer version may allow what was refused."""
        return refusal.kind in LOOKUP_FAILURES and self.age() > self.limit

    async def wait_for_update(self) -> None:
        """Wait a moment for the configuration to be confirmed, or replaced."""
        for _ in range(MAX_POLLS):
            if self.age() <= self.limit:
                return
            await asyncio.sleep(POLL_INTERVAL)

    def refusal(self, jitter: float) -> Refusal:
        """Return what is answered while it is not known what exists.

        Args:
            draw: A number from 0 to 1 that spreads the returns of callers.
        """
        reason = f"the configuration was last confirmed {self.age():.1f} s ago"
        retry_after = STALE_RETRY_AFTER * (1 + jitter)
        return Refusal(ErrorKind.NOT_READY, reason, retry_after=retry_after)
