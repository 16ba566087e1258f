"""Limits that endpoints name: requests a second from all entries together."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

#: Limit of an endpoint that names none.
NO_LIMIT = inf
#: Requests a second that an endpoint gets which names less. Without any answer nobody
#: would notice that it takes more again.
MIN_RATE = 0.1
#: Seconds in which the rate in force doubles after a limit was raised or withdrawn. The
#: load that brought the endpoint into need would otherwise be back at once.
DOUBLING_TIME = 1.0
#: Seconds after which a limit that was withdrawn is over.
RELEASE_TIME = 5.0
#: Seconds for which it is remembered after that, against news of it that come late.
LIMIT_RETENTION = 15.0
#: Part of a limit below which another one is a fall. Endpoints may name another one
#: with each answer.
DECREASE_THRESHOLD = 0.8
#: Seconds by which another entry's word must be newer to be taken over. Messages take
#: time that their age does not count.
MIN_NEWER = 0.05


@attrs.define
class RequestLimit:
    """What an endpoint named last.

    Attributes:
        named: Requests a second that it takes, `NO_LIMIT` once it named none again.
        observed_at: When it last said so, seconds.
        changed_at: When it first said so, seconds.
        rate_before: Requests a second that were in force then.
    """

    named: float
    observed_at: float
    changed_at: float
    rate_before: float = NO_LIMIT

    def update(self, named: float, observed_at: float, now: float) -> None:
        """Take what the endpoint names."""
        self.observed_at = observed_at
        if named != self.named:
            self.rate_before = self.rate(now)
            self.named, self.changed_at = named, now

    def rate(self, now: float) -> float:
        """Return the requests a second that may be sent now.

        One that falls holds at once, one that rises or ends is followed in steps.
        """
        elapsed = now - self.changed_at
        if elapsed >= RELEASE_TIME:
            return max(MIN_RATE, self.named)
        rising = max(MIN_RATE, self.rate_before) * 2 ** (elapsed / DOUBLING_TIME)
        return max(MIN_RATE, min(self.named, rising))

    def is_expired(self, now: float) -> bool:
        """Tell whether it was withdrawn so long ago that nobody tells of it."""
        return self.named == NO_LIMIT and now - self.changed_at > LIMIT_RETENTION


@attrs.define
class LimitTable:
    """The limits that endpoints have named.

    Attributes:
        members: Limits by id of the endpoint; no endpoint that never named one.
        on_fall: Called with an endpoint that names its first limit, or one well below
            its last.
    """

    members: dict[str, RequestLimit] = attrs.field(factory=dict)
    on_decrease: Callable[[str], None] = lambda endpoint: None

    def observe(self, endpoint: str, named: float, sent_at: float, now: float) -> bool:
        """Take what an endpoint names in an answer; tell whether that is new.

        Answers overtake one another, so only one to a request that was sent after the
        limit was last named ends it.

        Args:
            endpoint: The endpoint.
            named: Requests a second that it names, `NO_LIMIT` if it names none.
            sent_at: When the request was sent that it answers, seconds.
            now: Present time in seconds.
        """
        known = self.members.get(endpoint)
        if named == NO_LIMIT and (known is None or sent_at <= known.observed_at):
            return False
        return self._update(endpoint, named, now, now)

    def from_peer(self, endpoint: str, named: float, age: float, now: float) -> bool:
        """Take what another entry heard of an endpoint; tell whether that is new.

        Args:
            endpoint: The endpoint.
            named: Requests a second that it named, `NO_LIMIT` if it named none.
            age: Seconds since the other entry heard it.
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
        """Return the requests a second that an endpoint named last."""
        known = self.members.get(endpoint)
        return known.named if known is not None else NO_LIMIT

    def rate(self, endpoint: str, now: float) -> float:
        """Return the requests a second that an endpoint may be sent now."""
        known = self.members.get(endpoint)
        return known.rate(now) if known is not None else NO_LIMIT

    def limited(self) -> list[str]:
        """Return the endpoints that name a limit."""
        return [e for e, limit in self.members.items() if limit.named != NO_LIMIT]

    def observations(self, now: float) -> dict[str, tuple[float | None, float]]:
        """Return what endpoints named, None for no limit, and seconds since then."""
        return {
            endpoint: (
                None if limit.named == NO_LIMIT else limit.named,
                round(now - limit.observed_at, 3),
            )
            for endpoint, limit in self.members.items()
        }

    def expire(self, present: Collection[str], now: float) -> None:
        """Forget limits that are over, and those of endpoints that are gone.

        Args:
            present: Ids of the endpoints that there are.
            now: Present time in seconds.
        """
        for endpoint, limit in list(self.members.items()):
            gone = endpoint not in present and now - limit.observed_at > LIMIT_RETENTION
            if gone or limit.is_expired(now):
                del self.members[endpoint]

    def _update(
        self, endpoint: str, named: float, observed_at: float, now: float
    ) -> bool:
        """Take what an endpoint names; tell whether that is something else."""
        before = self.named(endpoint)
        known = self.members.get(endpoint)
        if known is None:
            self.members[endpoint] = RequestLimit(named, observed_at, now)
        else:
            known.update(named, observed_at, now)
        if named < DECREASE_THRESHOLD * before:
            self.on_decrease(endpoint)
        return named != before
