"""Request limits that endpoints advertise: requests per second over all entries."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

#: Limit of an endpoint that advertises none.
NO_LIMIT = inf
#: Lowest rate in requests per second at which a limited endpoint is sent requests.
#: Without any answer nobody would notice that it takes more again.
MIN_RATE = 0.1
#: Seconds in which the effective rate doubles after a limit was raised or withdrawn.
#: Otherwise the load that overloaded the endpoint would return at once.
DOUBLING_TIME = 1.0
#: Seconds after a limit was raised or withdrawn at which the gradual increase ends.
RELEASE_TIME = 5.0
#: Seconds for which a withdrawn limit is remembered, to reject late reports of it.
LIMIT_RETENTION = 15.0
#: Ratio of the new to the old limit below which a change counts as a decrease.
#: Endpoints may advertise a slightly different limit with each answer.
DECREASE_THRESHOLD = 0.8
#: Seconds by which a peer's report must be newer than the known limit to replace it.
#: The age in a report does not include the time it took to arrive.
MIN_NEWER = 0.05


@attrs.define
class RequestLimit:
    """The limit that an endpoint advertised last.

    Attributes:
        named: Requests per second that it takes, `NO_LIMIT` once it advertises none.
        observed_at: When it was last advertised, seconds.
        changed_at: When this value was first advertised, seconds.
        rate_before: Requests per second that were in effect before.
    """

    named: float
    observed_at: float
    changed_at: float
    rate_before: float = NO_LIMIT

    def update(self, named: float, observed_at: float, now: float) -> None:
        """Record what the endpoint advertises."""
        self.observed_at = observed_at
        if named != self.named:
            self.rate_before = self.rate(now)
            self.named, self.changed_at = named, now

    def rate(self, now: float) -> float:
        """Return the requests per second that may be sent now.

        A decrease takes effect at once; an increase or withdrawal does so gradually.
        """
        elapsed = now - self.changed_at
        if elapsed >= RELEASE_TIME:
            return max(MIN_RATE, self.named)
        rising = max(MIN_RATE, self.rate_before) * 2 ** (elapsed / DOUBLING_TIME)
        return max(MIN_RATE, min(self.named, rising))

    def is_expired(self, now: float) -> bool:
        """Tell whether it was withdrawn too long ago for late reports of it."""
        return self.named == NO_LIMIT and now - self.changed_at > LIMIT_RETENTION


@attrs.define
class LimitTable:
    """The limits that endpoints have advertised.

    Attributes:
        members: Limits by id of the endpoint; endpoints that never advertised one are
            left out.
        on_decrease: Called with an endpoint that advertises its first limit, or one
            well below its last.
    """

    members: dict[str, RequestLimit] = attrs.field(factory=dict)
    on_decrease: Callable[[str], None] = lambda endpoint: None

    def observe(self, endpoint: str, named: float, sent_at: float, now: float) -> bool:
        """Record the limit in an answer; tell whether it differs from the last one.

        Answers may arrive out of order, so a limit is withdrawn only by the answer to a
        request that was sent after the limit was last observed.

        Args:
            endpoint: The endpoint.
            named: Requests per second that it advertises, `NO_LIMIT` if it advertises
                none.
            sent_at: When the request to this answer was sent, seconds.
            now: Present time in seconds.
        """
        known = self.members.get(endpoint)
        if named == NO_LIMIT and (known is None or sent_at <= known.observed_at):
            return False
        return self._update(endpoint, named, now, now)

    def from_peer(self, endpoint: str, named: float, age: float, now: float) -> bool:
        """Merge the limit that a peer reports; tell whether it is a different one.

        Args:
            endpoint: The endpoint.
            named: Requests per second that it advertised, `NO_LIMIT` if it advertised
                none.
            age: Seconds since the peer observed it.
            now: Present time in seconds.
        """
        known = self.members.get(endpoint)
        observed_at = now - age
        if known is None and named == NO_LIMIT:
            return False
        if known is not None and observed_at <= known.observed_at + MIN_NEWER:
            return False
        return self._update(endpoint, named, observed_at, now)

    def named(self, endpoint: str) -> float:
        """Return the requests per second that an endpoint advertised last."""
        known = self.members.get(endpoint)
        return known.named if known is not None else NO_LIMIT

    def rate(self, endpoint: str, now: float) -> float:
        """Return the requests per second that an endpoint may be sent now."""
        known = self.members.get(endpoint)
        return known.rate(now) if known is not None else NO_LIMIT

    def limited(self) -> list[str]:
        """Return the endpoints that advertise a limit."""
        return [e for e, limit in self.members.items() if limit.named != NO_LIMIT]

    def observations(self, now: float) -> dict[str, tuple[float | None, float]]:
        """Return the limit of each endpoint, None for none, and its age in seconds."""
        return {
            endpoint: (
                None if limit.named == NO_LIMIT else limit.named,
                round(now - limit.observed_at, 3),
            )
            for endpoint, limit in self.members.items()
        }

    def expire(self, present: Collection[str], now: float) -> None:
        """Remove expired limits, and those of endpoints that no longer exist.

        Args:
            present: Ids of the endpoints that exist.
            now: Present time in seconds.
        """
        for endpoint, limit in list(self.members.items()):
            gone = endpoint not in present and now - limit.observed_at > LIMIT_RETENTION
            if gone or limit.is_expired(now):
                del self.members[endpoint]

    def _update(
        self, endpoint: str, named: float, observed_at: float, now: float
    ) -> bool:
        """Record a limit; tell whether it differs from the last one."""
        before = self.named(endpoint)
        known = self.members.get(endpoint)
        if known is None:
            self.members[endpoint] = RequestLimit(named, observed_at, now)
        else:
            known.update(named, observed_at, now)
        if named < DECREASE_THRESHOLD * before:
            self.on_decrease(endpoint)
        return named != before
