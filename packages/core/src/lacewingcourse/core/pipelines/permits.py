"""Permits to send to a rate-limited endpoint, issued by one entry."""

from __future__ import annotations

from collections import deque
from hashlib import blake2b
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.request_limits import NO_LIMIT

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Seconds of the sliding window over which the sends to an endpoint are counted.
WINDOW = 4.0
#: Bound on the permits and reported sends of a window: a multiple of the limit and some
#: extra permits. It takes effect where the sends of a window already exceed the limit.
WINDOW_FACTOR = 1.25
WINDOW_EXTRA = 2
#: Seconds ahead for which permits are issued. A permit issued long before it becomes
#: valid is lost if its request does not wait that long.
HORIZON = 0.05
#: Seconds after it becomes valid in which a permit must be used.
PERMIT_LIFETIME = 1.0
#: Share of a window's permits that the issuing entry takes itself while it knows other
#: entries. It bounds the sum where two entries both act as the issuer.
OWN_SHARE = 0.5
#: Permits in one grant at most.
MAX_PERMITS = 64
#: Seconds for which a ledger is kept after its last permit. Far longer than the time
#: between two permits at the lowest rate, because a new ledger starts without permits
#: to issue.
LEDGER_RETENTION = 60.0
#: Bytes of the hash that ranks entries.
RANK_BYTES = 8


def issuer_of(endpoint: str, entries: Iterable[str]) -> str:
    """Return the entry that issues the permits of an endpoint, by rendezvous hashing.

    Args:
        endpoint: The endpoint.
        entries: Names of the entries that all others know, at least one.
    """
    return max(entries, key=lambda entry: _rank(endpoint, entry))


def _rank(endpoint: str, entry: str) -> bytes:
    text = f"{endpoint} {entry}".encode()
    return blake2b(text, digest_size=RANK_BYTES).digest()


@attrs.frozen
class Grant:
    """Answer to a request for permits.

    Attributes:
        issuer: Process that counts the permits, named by its entry and its start; empty
            if it granted none.
        delays: Seconds until each permit becomes valid.
        retry_in: Seconds after which a further request may succeed.
    """

    issuer: str
    delays: tuple[float, ...]
    retry_in: float


@attrs.frozen
class PermitDemand:
    """Request of an entry for permits.

    Attributes:
        entry: Name of the entry.
        count: Permits that it can use.
        ages: Seconds since each of its sends to the endpoint within the last window,
            without those that used a permit of the issuer that it asks.
    """

    entry: str
    count: int
    ages: tuple[float, ...] = ()


@attrs.define
class PermitLedger:
    """The permits of one endpoint, as its issuer counts them.

    Each permit has a time, and these times are spaced by the limit, so unused permits
    do not add up to a burst. A new issuer starts without permits to issue, because
    those of the previous one may still be used.

    Attributes:
        last: Time of the last permit, seconds.
        times: Times of the permits of the last window.
        own: Those of them that this entry took itself.
        reported: Times of other sends in the last window, by entry.
    """

    last: float
    times: deque[float] = attrs.field(factory=deque)
    own: deque[float] = attrs.field(factory=deque)
    reported: dict[str, list[float]] = attrs.field(factory=dict)

    def grant(
        self, demand: PermitDemand, rate: float, now: float, own: bool
    ) -> tuple[list[float], float]:
        """Issue permits; return their delays and the seconds until the next request.

        Args:
            demand: The request.
            rate: Requests per second that the endpoint takes.
            now: Present time in seconds.
            own: Whether this entry requests them itself while it knows other entries.
        """
        count = min(demand.count, MAX_PERMITS)
        if rate == NO_LIMIT:
            return [0.0] * count, 0.0
        self._drop_old(now)
        self.reported[demand.entry] = [now - age for age in demand.ages]
        delays: list[float] = []
        at = self._next(rate, now, own)
        while len(delays) < count and at <= now + HORIZON:
            self._record(at, own)
            delays.append(at - now)
            at = self._next(rate, now, own)
        return delays, max(0.0, at - now - HORIZON)

    def _next(self, rate: float, now: float, own: bool) -> float:
        """Return the time of the next permit."""
        at = max(now, self.last + 1.0 / rate)
        most = rate * WINDOW
        counted = [*self.times, *(t for ts in self.reported.values() for t in ts)]
        at = _earliest_time(counted, WINDOW_FACTOR * most + WINDOW_EXTRA, at)
        return _earliest_time(self.own, OWN_SHARE * most + 1, at) if own else at

    def _record(self, at: float, own: bool) -> None:
        self.last = at
        self.times.append(at)
        if own:
            self.own.append(at)

    def _drop_old(self, now: float) -> None:
        since = now - WINDOW
        for times in (self.times, self.own):
            while times and times[0] <= since:
                times.popleft()
        for entry, times in list(self.reported.items()):
            if not any(at > since for at in times):
                del self.reported[entry]


@attrs.define
class PermitIssuer:
    """Issues the permits of the endpoints that are assigned to this entry.

    Attributes:
        name: Name of this entry and its start, since a restarted process knows nothing
            of earlier permits.
        ledgers: Permits by endpoint.
    """

    name: str
    ledgers: dict[str, PermitLedger] = attrs.field(factory=dict)

    def grant(
        self,
        endpoint: str,
        demand: PermitDemand,
        rate: float,
        now: float,
        own: bool = False,
    ) -> Grant:
        """Issue permits of an endpoint.

        Args:
            endpoint: The endpoint.
            demand: The request.
            rate: Requests per second that the endpoint takes.
            now: Present time in seconds.
            own: Whether this entry requests them itself while it knows other entries.
        """
        ledger = self.ledgers.setdefault(endpoint, PermitLedger(now))
        delays, retry_in = ledger.grant(demand, rate, now, own)
        return Grant(self.name, tuple(delays), retry_in)

    def expire(self, now: float) -> None:
        """Remove the ledgers of endpoints whose permits nobody requests any more."""
        for endpoint, ledger in list(self.ledgers.items()):
            if now - ledger.last > LEDGER_RETENTION:
                del self.ledgers[endpoint]


def _earliest_time(times: Iterable[float], most: float, at: float) -> float:
    """Return the earliest time at which the window that ends then has a free slot.

    Args:
        times: Times that count.
        most: Times that a window may hold, at least 1.
        at: Lower bound of the result.
    """
    counted = sorted(time for time in times if time > at - WINDOW)
    excess = len(counted) + 1 - int(most)
    if excess <= 0:
        return at
    return counted[excess - 1] + WINDOW


@attrs.frozen
class Permit:
    """A right to send one request.

    Attributes:
        valid_from: Time from which it may be used, seconds.
        valid_until: Time until which it must be used, seconds.
        issuer: Process that issued it.
    """

    valid_from: float
    valid_until: float
    issuer: str
