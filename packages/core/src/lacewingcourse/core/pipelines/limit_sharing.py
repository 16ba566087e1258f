"""How entries share what an endpoint takes that names a limit."""

from __future__ import annotations

from collections import deque
from math import ceil, inf
from typing import TYPE_CHECKING, Protocol

import attrs

from lacewingcourse.core.pipelines.permits import (
    PERMIT_LIFETIME,
    WINDOW,
    Grant,
    Permit,
    PermitDemand,
)
from lacewingcourse.core.pipelines.request_limits import NO_LIMIT
from lacewingcourse.core.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Hashable

#: Seconds for which a bucket is kept that nobody uses.
BUCKET_RETENTION = 60.0
#: Requests that an entry may save up where each has an even share.
BUCKET_CAPACITY = 1.0


class LimitSharing(Protocol):
    """An entry's part of what limited endpoints take.

    Attributes:
        entries: Entries that are alive, as far as this one knows.
    """

    entries: int

    def available(self, endpoint: str, rate: float, now: float) -> int:
        """Return how many requests this entry may send to an endpoint now."""

    def record_send(self, endpoint: str, rate: float, now: float) -> None:
        """Note a request that is sent to an endpoint, whether it is limited or not."""

    def note_demand(self, endpoint: str, request: Hashable, now: float) -> None:
        """Note that a request was to be sent to an endpoint."""

    def next_in(self, endpoint: str, rate: float, now: float) -> float:
        """Return the seconds until a request may be sent, 0 if that is not known."""

    def revoke(self, endpoint: str) -> None:
        """Forget what could be sent to an endpoint, since it takes less than before."""

    def clear(self) -> None:
        """Trust nothing, since the time may have stood still."""

    def expire(self, now: float) -> None:
        """Forget what is over."""


#: How entries share what a limited endpoint takes.
LIMIT_SHARING_POLICIES: Registry[type[LimitSharing]] = Registry("sharing of limits")


@attrs.define
class TokenBucket:
    """A token bucket.

    Attributes:
        level: Tokens in it.
        filled_at: When that was worked out, seconds.
    """

    level: float
    refilled_at: float

    def refill(self, rate: float, now: float) -> None:
        """Add what has come since."""
        level = self.level + rate * (now - self.refilled_at)
        self.level, self.refilled_at = min(BUCKET_CAPACITY, level), now


@LIMIT_SHARING_POLICIES.register("even")
@attrs.define
class EvenSharing:
    """Each entry has an even share, and asks nobody.

    Every entry may send one request at once, so many entries send a burst together.

    Attributes:
        entries: Entries that are alive, as far as this one knows.
        buckets: What this entry may send, by endpoint.
    """

    entries: int = 1
    buckets: dict[str, TokenBucket] = attrs.field(factory=dict)

    def available(self, endpoint: str, rate: float, now: float) -> int:
        """Return how many requests this entry may send to an endpoint now."""
        bucket = self.buckets.setdefault(endpoint, TokenBucket(0.0, now))
        bucket.refill(rate / self.entries, now)
        return int(bucket.level)

    def record_send(self, endpoint: str, rate: float, now: float) -> None:
        """Note a request that is sent to an endpoint, whether it is limited or not."""
        if rate != NO_LIMIT:
            self.buckets[endpoint].level -= 1.0

    def note_demand(self, endpoint: str, request: Hashable, now: float) -> None:
        """Note that a request was to be sent to an endpoint."""

    def next_in(self, endpoint: str, rate: float, now: float) -> float:
        """Return the seconds until a request may be sent, 0 if that is not known."""
        bucket = self.buckets.get(endpoint)
        return (1.0 - bucket.level) * self.entries / rate if bucket else 0.0

    def revoke(self, endpoint: str) -> None:
        """Forget what could be sent to an endpoint, since it takes less than before."""
        self.buckets.pop(endpoint, None)

    def clear(self) -> None:
        """Trust nothing, since the time may have stood still."""
        self.buckets.clear()

    def expire(self, now: float) -> None:
        """Forget what is over."""
        for endpoint, bucket in list(self.buckets.items()):
            if now - bucket.refilled_at > BUCKET_RETENTION:
                del self.buckets[endpoint]


@LIMIT_SHARING_POLICIES.register("permits")
@attrs.define
class PermitSharing:
    """Each entry asks the one that gives out an endpoint's permits.

    Attributes:
        entries: Entries that are alive, as far as this one knows.
        permits: Permits that this entry has, by endpoint.
        wanted: When each request was last to be sent, by endpoint.
        retry_at: When the issuer of an endpoint's permits is asked again, seconds.
        issuers: Who gave the last answer for an endpoint.
        reported_to: Entry that was last told of the sends to an endpoint.
        sends: Times of the sends of the last window, with who gave the permit for
            each, by endpoint.
    """

    entries: int = 1
    permits: dict[str, list[Permit]] = attrs.field(factory=dict)
    wanted: dict[str, dict[Hashable, float]] = attrs.field(factory=dict)
    retry_at: dict[str, float] = attrs.field(factory=dict)
    issuers: dict[str, str] = attrs.field(factory=dict)
    reported_to: dict[str, str] = attrs.field(factory=dict)
    sends: dict[str, deque[tuple[float, str]]] = attrs.field(factory=dict)

    def available(self, endpoint: str, rate: float, now: float) -> int:
        """Return how many requests this entry may send to an endpoint now."""
        return sum(permit.valid_from <= now for permit in self._valid(endpoint, now))

    def record_send(self, endpoint: str, rate: float, now: float) -> None:
        """Note a request that is sent to an endpoint, whether it is limited or not."""
        permits = self._valid(endpoint, now) if rate != NO_LIMIT else []
        issuer = permits.pop(0).issuer if permits else ""
        self.sends.setdefault(endpoint, deque()).append((now, issuer))

    def note_demand(self, endpoint: str, request: Hashable, now: float) -> None:
        """Note that a request was to be sent to an endpoint."""
        self.wanted.setdefault(endpoint, {})[request] = now

    def next_in(self, endpoint: str, rate: float, now: float) -> float:
        """Return the seconds until a request may be sent, 0 if that is not known."""
        permits = self._valid(endpoint, now)
        coming = [
            permit.valid_from - now for permit in permits if permit.valid_from > now
        ]
        if coming:
            return min(coming)
        return max(0.0, self.retry_at.get(endpoint, now) - now)

    def demand(
        self, entry: str, endpoint: str, issuing_entry: str, rate: float, now: float
    ) -> PermitDemand | None:
        """Return what this entry asks for, None if it need not ask.

        An entry that gives out permits for the first time is told of the sends of the
        last window even if no permit is lacking: it must not give them out once more.

        Args:
            entry: Name of this entry.
            endpoint: The endpoint.
            asked: Entry that gives out its permits.
            rate: Requests a second that the endpoint takes.
            now: Present time in seconds.
        """
        count = self._missing_permits(endpoint, rate, now)
        issuer = self.issuers.get(endpoint)
        ages = [
            round(now - at, 3)
            for at, given_by in self.sends.get(endpoint, ())
            if now - at < WINDOW and (not given_by or given_by != issuer)
        ]
        is_known = not ages or self.reported_to.get(endpoint) == issuing_entry
        if not count and is_known:
            return None
        return PermitDemand(entry, count, tuple(ages))

    def _missing_permits(self, endpoint: str, rate: float, now: float) -> int:
        """Return how many permits this entry lacks.

        Permits are fetched ahead for as many requests as there were lately.
        """
        if now < self.retry_at.get(endpoint, -inf):
            return 0
        recent = self.wanted.get(endpoint, {})
        count = sum(now - at <= PERMIT_LIFETIME for at in recent.values())
        if rate != NO_LIMIT:
            count = min(count, ceil(rate * PERMIT_LIFETIME))
        return max(0, count - len(self._valid(endpoint, now)))

    def accept_grant(
        self,
        endpoint: str,
        grant: Grant,
        issuing_entry: str,
        requested_at: float,
        now: float,
        draw: float,
    ) -> None:
        """Take what the issuer gave.

        Args:
            endpoint: The endpoint.
            grant: What it gave.
            asked: Entry that was asked.
            asked_at: When it was asked, seconds. It counts a permit from no earlier.
            now: Present time in seconds.
            draw: A number from 0 to 1 that spreads the entries that ask again.
        """
        permits = self.permits.setdefault(endpoint, [])
        for delay in grant.delays:
            until = requested_at + delay + PERMIT_LIFETIME
            permits.append(Permit(now + delay, until, grant.issuer))
        permits.sort(key=lambda permit: permit.valid_from)
        self.retry_at[endpoint] = now + grant.retry_in * (1.0 + draw)
        if grant.issuer:
            self.issuers[endpoint] = grant.issuer
            self.reported_to[endpoint] = issuing_entry

    def revoke(self, endpoint: str) -> None:
        """Forget what could be sent to an endpoint, since it takes less than before."""
        self.permits.pop(endpoint, None)

    def clear(self) -> None:
        """Trust nothing, since the time may have stood still."""
        self.permits.clear()

    def expire(self, now: float) -> None:
        """Forget what is over."""
        for endpoint, requests in list(self.wanted.items()):
            recent = {
                r: at for r, at in requests.items() if now - at <= PERMIT_LIFETIME
            }
            self.wanted[endpoint] = recent
            if not recent:
                del self.wanted[endpoint]
                self.retry_at.pop(endpoint, None)
        for endpoint in list(self.permits):
            if not self._valid(endpoint, now):
                del self.permits[endpoint]
        for endpoint, sends in list(self.sends.items()):
            while sends and now - sends[0][0] >= WINDOW:
                sends.popleft()
            if not sends:
                del self.sends[endpoint]
                self.issuers.pop(endpoint, None)
                self.reported_to.pop(endpoint, None)

    def _valid(self, endpoint: str, now: float) -> list[Permit]:
        """Return the permits that may still be used, the earliest first."""
        permits = self.permits.get(endpoint, [])
        permits[:] = [permit for permit in permits if permit.valid_until > now]
        return permits
