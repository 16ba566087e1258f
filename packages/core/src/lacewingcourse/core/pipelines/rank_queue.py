"""Order among the organisations whose requests of one rank wait for room."""

from __future__ import annotations

import heapq
from bisect import insort
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.service_accounts import ServiceAccounts

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lacewingcourse.core.pipelines.scheduling import QueuedRequest

#: Maximum number of organisations whose accounts are kept for one rank.
MAX_ACCOUNTS = 256
#: Requests of average size by which an organisation that was served little may be
#: behind the others: what it did not use long ago gives it no later claim.
MAX_CREDIT = 8.0
#: Bounds in seconds of the pause after a request has collected room in vain, which
#: doubles each time: a request may be too large for every endpoint.
MIN_COLLECT_PAUSE, MAX_COLLECT_PAUSE = 0.05, 30.0
#: Weight of a request in the average size.
MEAN_WEIGHT = 0.05


@attrs.define
class TokenAccount:
    """What an organisation was served.

    Attributes:
        served: Tokens served, on a scale that all organisations share.
    """

    served: float = 0.0


def turn_of(request: QueuedRequest) -> tuple[bool, float, float]:
    """Return the sort key of a request among those of its organisation and rank."""
    return (not request.due, request.latest_start, request.arrived_at)


@attrs.define
class RankQueue:
    """The waiting requests of one rank.

    The organisation that was served least goes first; within an organisation, requests
    of callers that return at the time they were given, then the latest start.

    Attributes:
        lanes: Waiting requests by organisation, in order.
        table: Accounts by organisation.
        mean_tokens: Average tokens of a request.
        accounts_full: Whether an account was dropped because there were too many.
        collect_pause: Seconds for which none collects room after one did in vain.
        collects_from: Time from which requests may collect room, seconds.
    """

    lanes: dict[str, list[QueuedRequest]] = attrs.field(factory=dict)
    table: ServiceAccounts[TokenAccount] = attrs.field(
        factory=lambda: ServiceAccounts(TokenAccount)
    )
    mean_tokens: float = 0.0
    accounts_full: bool = False
    collect_pause: float = MIN_COLLECT_PAUSE
    collects_from: float = float("-inf")

    def __len__(self) -> int:
        return sum(len(lane) for lane in self.lanes.values())

    def push(self, request: QueuedRequest) -> None:
        """Add a request."""
        lane = self.lanes.get(request.organisation)
        if lane is None:
            self._limit_credit(request.organisation)
            lane = self.lanes[request.organisation] = []
        insort(lane, request, key=turn_of)

    def discard(self, request: QueuedRequest) -> bool:
        """Remove a request; return whether it waited here."""
        lane = self.lanes.get(request.organisation, [])
        if request not in lane:
            return False
        lane.remove(request)
        if not lane:
            del self.lanes[request.organisation]
        return True

    def pause_collecting(self, now: float) -> None:
        """Let no request collect room for a while, as one did in vain."""
        self.collects_from = now + self.collect_pause
        self.collect_pause = min(2 * self.collect_pause, MAX_COLLECT_PAUSE)

    def charge(self, request: QueuedRequest) -> None:
        """Charge a request that starts to its organisation."""
        mean = self.mean_tokens or request.tokens
        self.mean_tokens = mean + MEAN_WEIGHT * (request.tokens - mean)
        self._limit_credit(request.organisation)
        self.table.charge(request.organisation, request.tokens)

    def in_order(self) -> Iterator[QueuedRequest]:
        """Yield the requests in the order of their turns, as if each were served.

        The requests that wait may change meanwhile.
        """
        turns = []
        for organisation, waiting in self.lanes.items():
            served, lane = self.table.account(organisation).served, tuple(waiting)
            turns.append((served, turn_of(lane[0]), organisation, 0, lane))
        heapq.heapify(turns)
        while turns:
            served, _, organisation, index, lane = turns[0]
            following = index + 1
            if following < len(lane):
                served += lane[index].tokens
                turn = turn_of(lane[following])
                upcoming = (served, turn, organisation, following, lane)
                heapq.heapreplace(turns, upcoming)
            else:
                heapq.heappop(turns)
            yield lane[index]

    def is_ahead(self, organisation: str) -> bool:
        """Return whether an organisation was served more than another that waits."""
        served = self.table.account(organisation).served
        return any(
            self.table.account(other).served + self.mean_tokens < served
            for other in self.lanes
            if other != organisation
        )

    def _limit_credit(self, organisation: str) -> None:
        """Forget what an organisation did not use long ago; bound the accounts."""
        accounts = self.table.accounts
        if organisation not in accounts and len(accounts) >= MAX_ACCOUNTS:
            self._drop_account()
        account = self.table.account(organisation)
        least = self.table.level - MAX_CREDIT * self.mean_tokens
        account.served = max(account.served, least)

    def _drop_account(self) -> None:
        """Drop the lowest account of an organisation that does not wait.

        It is the nearest to what a new account starts with, or below it.
        """
        self.accounts_full = True
        accounts = self.table.accounts
        idle = [name for name in accounts if name not in self.lanes]
        if idle:
            del accounts[min(idle, key=lambda name: accounts[name].served)]
