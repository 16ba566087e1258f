"""Budget of retries, shared by all entries."""

from __future__ import annotations

from collections import deque
from math import floor
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable

#: Share of the deployment's allowance that is used. Entries count only their own
#: requests, and the windows of different entries do not end together.
SAFETY_SHARE = 0.7
#: Share of an entry's retries that is reserved for requests which can no longer be
#: refused. The callers of other requests can retry themselves.
RESERVED_SHARE = 0.25
#: Share of its unused retries that an entry lends at a time.
LENT_SHARE = 0.5
#: Seconds after the request for it in which a borrowed retry must be used.
LOAN_LIFETIME = 1.0
#: Seconds after its start by which an entry and the others have received messages of
#: each other. At least `LOAN_LIFETIME`, so that loans to the previous process have
#: expired.
PEER_DISCOVERY_TIME = 3.0

#: Policies for sharing the slack between entries: each returns how many retries to
#: request from others, from the number of requests that lack one.
RETRY_SHARING_POLICIES: Registry[Callable[[int], int]] = Registry("sharing of retries")


@RETRY_SHARING_POLICIES.register("even")
def ask_for_none(lacking: int) -> int:
    """Request nothing: each entry has its even share."""
    return 0


@RETRY_SHARING_POLICIES.register("lent")
def ask_for_all(lacking: int) -> int:
    """Request all that is lacking."""
    return lacking


@attrs.define
class RetryBudget:
    """Sends beyond the first of each request, in a sliding window.

    Each entry has the retries that its own requests allow and an even share of the
    slack. It borrows from others what it lacks. The lender counts lent retries as used
    at the end of the loan, so the sum over all entries stays within the allowance
    however late messages arrive or how many are lost.

    A process that has just started knows neither the number of entries nor what the
    previous process used or lent. Until no window can contain any of that, it has only
    what the safety share leaves over, in proportion to its age: all processes that
    start in an entry within one window use that part once in total.

    A request holds a retry while it connects to the endpoint that was chosen for it.
    Only the send is counted, and it needs an unused retry at that time: a hold keeps
    others from taking the retry, but does not guarantee it.

    Attributes:
        ratio: Retries that are allowed for each request.
        window: Length of the window in seconds.
        slack: Retries that are allowed in addition, over all entries.
        entries: Largest number of entries known to be alive at the same time.
        known_entries: Entries known now, including silent ones and those that are
            shutting down.
        started_at: When this process started, seconds.
        has_predecessor: Whether another process may have had the share before.
        requests: Times of the requests in the window, by service.
        retries: Times from which used or lent retries count, by service.
        loans: Times until which borrowed retries may be used, by service.
        holds: Requests that hold a retry, by service.
        wanted: Requests that lacked a retry since others were last asked, by service.
    """

    ratio: float
    window: float
    slack: float
    entries: int = 1
    known_entries: int = 1
    started_at: float = float("-inf")
    has_predecessor: bool = True
    requests: dict[str, deque[float]] = attrs.field(factory=dict)
    retries: dict[str, list[float]] = attrs.field(factory=dict)
    loans: dict[str, list[float]] = attrs.field(factory=dict)
    holds: dict[str, set[Hashable]] = attrs.field(factory=dict)
    wanted: dict[str, set[str]] = attrs.field(factory=dict)

    def on_request(self, service: str, now: float) -> None:
        """Record a request."""
        times = self.requests.setdefault(service, deque())
        self._drop_old(times, now)
        times.append(now)

    def allows(self, service: str, now: float, reserved: bool = True) -> bool:
        """Tell whether a service has a retry left that no request holds.

        Args:
            service: The service.
            now: Present time in seconds.
            reserved: Whether the retry may be one of those reserved for requests that
                cannot be refused.
        """
        if len(self._loans(service, now)) > len(self.holds.get(service, ())):
            return True
        kept = 0.0 if reserved else RESERVED_SHARE * self._limit(service, now)
        return self._unheld(service, now) - kept >= 1

    def hold(
        self, service: str, request: Hashable, now: float, reserved: bool = True
    ) -> bool:
        """Hold a retry for a request; tell whether one was left.

        Args:
            service: The service.
            request: The request. It holds one retry, however often this is called.
            now: Present time in seconds.
            reserved: Whether the retry may be one of those reserved for requests that
                cannot be refused.
        """
        held = self.release(service, request)
        if not self.allows(service, now, reserved or held):
            return False
        self.holds.setdefault(service, set()).add(request)
        return True

    def release(self, service: str, request: Hashable) -> bool:
        """Release the retry that a request holds; tell whether it held one."""
        holds = self.holds.get(service)
        if not holds or request not in holds:
            return False
        holds.remove(request)
        return True

    def take(self, service: str, now: float, request: Hashable | None = None) -> bool:
        """Use one retry of a service; tell whether it was allowed.

        Args:
            service: The service.
            now: Present time in seconds.
            request: The request that is sent, which holds none afterwards.
        """
        self.release(service, request)
        if not self.allows(service, now):
            return False
        loans = self._loans(service, now)
        if loans:
            loans.pop(0)
        else:
            self.retries.setdefault(service, []).append(now)
        return True

    def charge(self, service: str, now: float) -> None:
        """Count a send beyond the first one that needed no retry to be left.

        Args:
            service: The service.
            now: Present time in seconds.
        """
        if not self.take(service, now):
            self.retries.setdefault(service, []).append(now)

    def want(self, service: str, request: str) -> None:
        """Record a request that lacks a retry."""
        self.wanted.setdefault(service, set()).add(request)

    def lend(self, service: str, wanted: int, now: float) -> int:
        """Lend retries to another entry; return how many.

        Args:
            service: The service.
            wanted: Retries that the other entry requests.
            now: Present time in seconds.
        """
        free = LENT_SHARE * self._unheld(service, now)
        lent = max(0, min(wanted, floor(free)))
        until = now + LOAN_LIFETIME
        self.retries.setdefault(service, []).extend([until] * lent)
        return lent

    def borrow(self, service: str, count: int, requested_at: float) -> None:
        """Add retries that another entry lent.

        Args:
            service: The service.
            count: How many.
            requested_at: When they were requested, seconds. The lender counts them from
                no earlier time, however long its answer took.
        """
        loans = self.loans.setdefault(service, [])
        loans.extend([requested_at + LOAN_LIFETIME] * count)
        loans.sort()

    def drop_loans(self) -> None:
        """Discard borrowed retries, because the clock may have stood still."""
        self.loans.clear()

    def _limit(self, service: str, now: float) -> float:
        """Return the retries that this entry has in a window."""
        requests = self.requests.get(service)
        count = 0 if requests is None else self._drop_old(requests, now)
        return SAFETY_SHARE * (self.ratio * count) + self._slack_share(now)

    def _slack_share(self, now: float) -> float:
        """Return this entry's share of the slack."""
        age = now - self.started_at
        if age < PEER_DISCOVERY_TIME:
            return 0.0
        share = self.slack / max(1, self.entries, self.known_entries)
        full_age = self.window + PEER_DISCOVERY_TIME
        if self.has_predecessor and age < full_age:
            return (1.0 - SAFETY_SHARE) * share * age / full_age
        return SAFETY_SHARE * share

    def _unused(self, service: str, now: float) -> float:
        """Return this entry's own retries that are not used or lent yet."""
        since = now - self.window
        used = [time for time in self.retries.get(service, ()) if time > since]
        self.retries[service] = used
        return self._limit(service, now) - len(used)

    def _unheld(self, service: str, now: float) -> float:
        """Return this entry's own unused retries that no request holds."""
        held = len(self.holds.get(service, ())) - len(self._loans(service, now))
        return self._unused(service, now) - max(0, held)

    def _loans(self, service: str, now: float) -> list[float]:
        """Return the expiry times of the borrowed retries that may be used."""
        loans = self.loans.get(service)
        if not loans:
            return []
        loans[:] = [until for until in loans if until > now]
        return loans

    def _drop_old(self, times: deque[float], now: float) -> int:
        """Remove the times before the window; return how many are left."""
        while times and times[0] <= now - self.window:
            times.popleft()
        return len(times)
