"""Whether what is known is new enough to say that something does not exist."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import ErrorKind, Refusal

if TYPE_CHECKING:
    from collections.abc import Callable

#: Kinds of refusals that a newer version of the configuration may turn out to be wrong.
UNKNOWN = frozenset({ErrorKind.UNKNOWN_RESOURCE, ErrorKind.UNAUTHENTICATED})
#: Looks for which a request waits until it is known whether there is a newer version,
#: and seconds between two of them.
LOOKS = 15
LOOK_PERIOD = 0.02
#: Seconds, and at most twice as many, after which a caller may try again whose route or
#: key is not known for certain.
STALE_RETRY = 0.5


@attrs.define
class StalenessGuard:
    """Tells whether a refusal for an unknown route or key can be trusted.

    Attributes:
        age: Returns the seconds since the configuration was known to be the newest.
        limit: Age from which it is not trusted, seconds.
    """

    age: Callable[[], float] = lambda: 0.0
    limit: float = float("inf")

    def doubts(self, refusal: Refusal) -> bool:
        """Tell whether a newer version may allow what was refused."""
        return refusal.kind in UNKNOWN and self.age() > self.limit

    async def wait(self) -> None:
        """Wait a moment for the configuration to be confirmed, or replaced."""
        for _ in range(LOOKS):
            if self.age() <= self.limit:
                return
            await asyncio.sleep(LOOK_PERIOD)

    def refusal(self, draw: float) -> Refusal:
        """Return what is answered while it is not known what exists.

        Args:
            draw: A number from 0 to 1 that spreads the returns of callers.
        """
        reason = f"the configuration was last confirmed {self.age():.1f} s ago"
        retry_after = STALE_RETRY * (1 + draw)
        return Refusal(ErrorKind.NOT_READY, reason, retry_after=retry_after)
