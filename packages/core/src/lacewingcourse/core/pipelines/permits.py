"""Permits to send to an endpoint that names a limit, given out by one entry."""

from __future__ import annotations

from collections import deque
from hashlib import blake2b
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.request_limits import NO_LIMIT

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Seconds over which the sends to an endpoint are counted.
WINDOW = 4.0
#: Times the limit that is given out in a window that begins with more than the limit,
#: and permits besides.
WINDOW_FACTOR = 1.25
WINDOW_EXTRA = 2
#: Seconds ahead for which permits are given out. One that is given out long before its
#: time is lost if the request that wanted it does not wait so long.
HORIZON = 0.05
#: Seconds after its time in which a permit must be used.
PERMIT_LIFETIME = 1.0
#: Part of a window's permits that the entry that gives them out takes itself while it
#: knows others. Where two entries both take themselves for it, the sum stays bounded.
OWN_SHARE = 0.5
#: Permits that are given out at a time at the most.
MAX_PERMITS = 64
#: Seconds after its last permit in which an endpoint's permits are forgotten. Well
#: above the time between two permits at the lowest rate: what begins anew begins empty.
LEDGER_RETENTION = 60.0
#: Bytes of the hash that ranks entries.
RANK_BYTES = 8


def issuer_of(endpoint: str, entries: Iterable[str]) -> str:
    """Return the entry that gives out the permits of an endpoint.

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
    """What an entry is given.

    Attributes:
        issuer: Who counts the permits: one process of the entry that was asked, empty
            if it gave none.
        delays: Seconds until each permit may be used.
        retry_in: Seconds after which it is worth asking again.
    """

    issuer: str
    delays: tuple[float, ...]
    retry_in: float


@attrs.frozen
class PermitDemand:
    """What an entry asks for.

    Attributes:
        entry: Name of the entry.
        count: Permits that it can use.
        ages: Seconds since its sends to the endpoint in the last window, without
            those for which it had permits of the issuer that it asks.
    """

    entry: str
    count: int
    ages: tuple[float, ...] = ()


@attrs.define
class PermitLedger:
    """The permits of one endpoint, as the entry that gives them out counts them.

    Each permit has a time, and times are as far apart as the limit says, so permits
    that nobody uses leave nothing over for a burst. An entry that has just begun to
    give out permits begins empty: what the one before it gave out may still be used.

    Attributes:
        last: Time of the last permit, seconds.
        times: Times of the permits of the last window.
        own: Those among them that this entry took itself.
        reported: Times of other sends in the last window, by entry.
    """

    last: float
    times: deque[float] = attrs.field(factory=deque)
    own: deque[float] = attrs.field(factory=deque)
    reported: dict[str, list[float]] = attrs.field(factory=dict)

    def grant(
        self, demand: PermitDemand, rate: float, now: float, own: bool
    ) -> tuple[list[float], float]:
        """Give out permits; return their delays, and when to ask again in seconds.

        Args:
            demand: What is asked for.
            rate: Requests a second that the endpoint takes.
            now: Present time in seconds.
            own: Whether this entry asks itself while it knows others.
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
    """Gives out the permits of the endpoints that fall to this entry.

    Attributes:
        name: Name of this entry with the start of its process, since a later process
            knows nothing of the permits.
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
        """Give out permits of an endpoint.

        Args:
            endpoint: The endpoint.
            demand: What is asked for.
            rate: Requests a second that the endpoint takes.
            now: Present time in seconds.
            own: Whether this entry asks itself while it knows others.
        """
        ledger = self.ledgers.setdefault(endpoint, PermitLedger(now))
        delays, retry_in = ledger.grant(demand, rate, now, own)
        return Grant(self.name, tuple(delays), retry_in)

    def expire(self, now: float) -> None:
        """Forget the permits of endpoints for which nobody asks any more."""
        for endpoint, ledger in list(self.ledgers.items()):
            if now - ledger.last > LEDGER_RETENTION:
                del self.ledgers[endpoint]


def _earliest_time(times: Iterable[float], most: float, at: float) -> float:
    """Return from when a window that ends there has room for one more.

    Args:
        times: Times that count.
        most: Times that a window may hold, at least 1.
        at: The earliest answer.
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
        since: Time from which it may be used, seconds.
        until: Time until which it must be used, seconds.
        issuer: Who gave it out.
    """

    valid_from: float
    valid_until: float
    issuer: str
