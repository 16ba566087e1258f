"""Sharing of an endpoint's advertised request limit between entries."""

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

#: Seconds for which an unused bucket is kept.
BUCKET_RETENTION = 60.0
#: Requests that a token bucket holds at most.
BUCKET_CAPACITY = 1.0


class LimitSharing(Protocol):
    """An entry's part of the limits of endpoints.

    Attributes:
        entries: Entries known to be alive, this one included.
    """

    entries: int

    def available(self, endpoint: str, rate: float, now: float) -> int:
        """Return how many requests this entry may send to an endpoint now."""

    def record_send(self, endpoint: str, rate: float, now: float) -> None:
        """Record a request that is sent to an endpoint, limited or not."""

    def note_demand(self, endpoint: str, request: Hashable, now: float) -> None:
        """Record that a request is to be sent to an endpoint."""

    def next_in(self, endpoint: str, rate: float, now: float) -> float:
        """Return the seconds until a request may be sent, 0 if unknown."""

    def revoke(self, endpoint: str) -> None:
        """Revoke the right to send to an endpoint, because its limit decreased."""

    def clear(self) -> None:
        """Revoke all rights to send, because the clock may have stood still."""

    def expire(self, now: float) -> None:
        """Remove expired state."""


#: Policies for sharing the limit of an endpoint between entries.
LIMIT_SHARING_POLICIES: Registry[type[LimitSharing]] = Registry("sharing of limits")


@attrs.define
class TokenBucket:
    """A token bucket.

    Attributes:
        level: Tokens in it.
        refilled_at: When the level was last computed, seconds.
    """

    level: float
    refilled_at: float

    def refill(self, rate: float, now: float) -> None:
        """Add the tokens that have accrued since the last refill."""
        level = self.level + rate * (now - self.refilled_at)
        self.level, self.refilled_at = min(BUCKET_CAPACITY, level), now


@LIMIT_SHARING_POLICIES.register("even")
@attrs.define
class EvenSharing:
    """Gives each entry an even share, without communication between them.

    Every entry may send one request at once, so many entries may send a burst together.

    Attributes:
        entries: Entries known to be alive, this one included.
        buckets: Token buckets by endpoint.
    """

    entries: int = 1
    buckets: dict[str, TokenBucket] = attrs.field(factory=dict)

    def available(self, endpoint: str, rate: float, now: float) -> int:
        """Return how many requests this entry may send to an endpoint now."""
        bucket = self.buckets.setdefault(endpoint, TokenBucket(0.0, now))
        bucket.refill(rate / self.entries, now)
        return int(bucket.level)

    def record_send(self, endpoint: str, rate: float, now: float) -> None:
        """Record a request that is sent to an endpoint, limited or not."""
        if rate != NO_LIMIT:
            self.buckets[endpoint].level -= 1.0

    def note_demand(self, endpoint: str, request: Hashable, now: float) -> None:
        """Record that a request is to be sent to an endpoint."""

    def next_in(self, endpoint: str, rate: float, now: float) -> float:
        """Return the seconds until a request may be sent, 0 if unknown."""
        bucket = self.buckets.get(endpoint)
        return (1.0 - bucket.level) * self.entries / rate if bucket else 0.0

    def revoke(self, endpoint: str) -> None:
        """Revoke the right to send to an endpoint, because its limit decreased."""
        self.buckets.pop(endpoint, None)

    def clear(self) -> None:
        """Revoke all rights to send, because the clock may have stood still."""
        self.buckets.clear()

    def expire(self, now: float) -> None:
        """Remove expired state."""
        for endpoint, bucket in list(self.buckets.items()):
            if now - bucket.refilled_at > BUCKET_RETENTION:
                del self.buckets[endpoint]


@LIMIT_SHARING_POLICIES.register("permits")
@attrs.define
class PermitSharing:
    """Requests permits to send from the entry that issues those of an endpoint.

    Attributes:
        entries: Entries known to be alive, this one included.
        permits: Permits that this entry holds, by endpoint.
        wanted: When each request was last to be sent, seconds, by endpoint.
        retry_at: When the issuer of an endpoint's permits may be asked again, seconds.
        issuers: Issuer of the last grant, by endpoint.
        reported_to: Entry to which the sends were last reported, by endpoint.
        sends: Times of the sends within the last window, each with the issuer of its
            permit (empty if it had none), by endpoint.
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
        """Record a request that is sent to an endpoint, limited or not."""
        permits = self._valid(endpoint, now) if rate != NO_LIMIT else []
        issuer = permits.pop(0).issuer if permits else ""
        self.sends.setdefault(endpoint, deque()).append((now, issuer))

    def note_demand(self, endpoint: str, request: Hashable, now: float) -> None:
        """Record that a request is to be sent to an endpoint."""
        self.wanted.setdefault(endpoint, {})[request] = now

    def next_in(self, endpoint: str, rate: float, now: float) -> float:
        """Return the seconds until a request may be sent, 0 if unknown."""
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
        """Return what to request from the issuing entry, None for no request.

        An entry that has just begun to issue permits is sent the times of the sends
        within the last window even if no permit is missing, so that it does not issue
        permits for that capacity again.

        Args:
            entry: Name of this entry.
            endpoint: The endpoint.
            issuing_entry: Name of the entry that issues its permits.
            rate: Requests per second that the endpoint takes.
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
        """Return how many permits this entry is missing.

        Permits are requested ahead, for as many requests as there were recently.
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
        """Add the permits of a grant.

        Args:
            endpoint: The endpoint.
            grant: What the issuer granted.
            issuing_entry: Name of the entry that was asked.
            requested_at: When it was asked, seconds. The issuer counts a permit from no
                earlier time.
            now: Present time in seconds.
            draw: A number from 0 to 1 that spreads repeated requests of entries.
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
        """Revoke the right to send to an endpoint, because its limit decreased."""
        self.permits.pop(endpoint, None)

    def clear(self) -> None:
        """Revoke all rights to send, because the clock may have stood still."""
        self.permits.clear()

    def expire(self, now: float) -> None:
        """Remove expired state."""
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
        """Return the permits that have not expired, the earliest first."""
        permits = self.permits.get(endpoint, [])
        permits[:] = [permit for permit in permits if permit.valid_until > now]
        return permits
