"""Which endpoints a stream's next attempt avoids, and when it is made."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import ErrorKind, Refusal

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Attempts in a row without a token after which a stream is given up.
MAX_FRUITLESS = 8
#: Fruitless attempts that are repeated without delay.
PROMPT_RETRIES = 2
#: Seconds before the first delayed attempt; doubled with each further one.
RETRY_DELAY = 0.1
#: Seconds between two attempts at the most.
MAX_RETRY_DELAY = 1.0
#: Reasons for having no route that may pass while a broken answer waits.
WAITABLE = frozenset({ErrorKind.NO_ROUTE, ErrorKind.OVERLOADED})
#: Seconds between two looks for a route.
ROUTE_INTERVAL = 0.25
#: Seconds after which a caller may try again when there is no route.
NO_ROUTE_RETRY_AFTER = 2.0


@attrs.define
class RouteSearch:
    """How one stream goes from a lost attempt to its next route.

    Attributes:
        patience: Seconds for which a broken answer waits for a route.
        excluded: Endpoints that the next attempt avoids while others will do.
        fruitless: Attempts in a row that ended without a token.
        lost_since: When the first of them was lost, seconds, or None.
        wanted_since: Since when there is no route, seconds, or None.
    """

    patience: float = 10.0
    excluded: set[str] = attrs.field(factory=set)
    fruitless: int = 0
    lost_since: float | None = None
    wanted_since: float | None = None

    def lose(self, endpoints: Iterable[str], now: float) -> None:
        """Note that an attempt was lost by some endpoints."""
        self.excluded.update(endpoints)
        if self.fruitless == 0 or self.lost_since is None:
            self.lost_since = now
        self.fruitless += 1

    def exhausted(self, any_delivered: bool, now: float) -> bool:
        """Tell whether too many attempts in a row were lost.

        A broken answer is tried for as long as it would wait for a route, because
        lost agents may not be known as lost yet.

        Args:
            any_delivered: Whether the caller has a token.
            now: Present time in seconds.
        """
        if self.fruitless < MAX_FRUITLESS:
            return False
        return not any_delivered or now - self.lost_since >= self.patience

    def retry_delay(self) -> float:
        """Return the seconds before the next attempt."""
        delayed = self.fruitless - PROMPT_RETRIES
        if delayed <= 0:
            return 0.0
        return min(MAX_RETRY_DELAY, RETRY_DELAY * 2 ** (delayed - 1))

    def on_refusal(
        self, refusal: Refusal, any_delivered: bool, now: float
    ) -> float | Refusal:
        """Try the excluded endpoints again, wait while it can help, or give up.

        Args:
            refusal: Why there is no route.
            any_delivered: Whether the caller has a token.
            now: Present time in seconds.

        Returns:
            The seconds before the next look for a route, or why there is none.
        """
        if refusal.kind not in WAITABLE:
            return refusal
        if self.excluded and refusal.kind is ErrorKind.NO_ROUTE:
            self.excluded.clear()
            return RETRY_DELAY
        if self.wanted_since is None:
            self.wanted_since = now
        if any_delivered and now - self.wanted_since < self.patience:
            return ROUTE_INTERVAL
        if refusal.retry_after is None:
            return attrs.evolve(refusal, retry_after=NO_ROUTE_RETRY_AFTER)
        return refusal
