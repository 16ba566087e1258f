"""Order among organisations and classes of work that wait for capacity."""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.service_accounts import ServiceAccounts

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from lacewingcourse.core.configuration import WorkClass

#: Every so many picks, the request that has waited longest goes first.
OLDEST_EVERY = 8
#: Served cost by which an organisation may be ahead of the furthest behind, in
#: requests of average cost, before others go first.
LEAD = 2.0


@attrs.define(eq=False)
class Waiting:
    """A request that waits.

    Attributes:
        stream: Name of the stream.
        organisation: Whose request it is.
        work_class: Its class of work, or None.
        cost: Positions that it is expected to run.
        arrived_at: When it arrived, seconds.
        number: Count of the requests that arrived before.
        latest_start: When it must start to meet its target, seconds.
    """

    stream: str
    organisation: str
    work_class: WorkClass | None
    cost: float
    arrived_at: float
    number: int = 0
    latest_start: float = 0.0

    @property
    def class_name(self) -> str:
        """Name of the class, or empty."""
        return self.work_class.name if self.work_class is not None else ""


@attrs.define
class Account:
    """What an organisation was served.

    Attributes:
        served: Cost served, on a scale that all organisations share.
        waiting: Requests that wait.
        running: Requests that run.
    """

    served: float = 0.0
    waiting: int = 0
    running: int = 0


@attrs.define
class FairQueue:
    """Requests that wait, one lane for each organisation and class of work.

    Among lanes, classes that press for their target go first; then organisations
    that were served least; then the least slack. Whatever the order, every
    `OLDEST_EVERY`th pick takes the request that has waited longest, so a request
    with `n` older ones before it is taken within `OLDEST_EVERY * (n + 1)` picks.

    Attributes:
        limit: Requests that may wait.
        lanes: Waiting requests by organisation and class, oldest first.
        table: Accounts of organisations with requests here.
        deeper: Count of the lanes with more requests than the index.
        size: Requests that wait.
        picks: Count of the picks.
    """

    limit: int = 1024
    lanes: dict[tuple[str, str], deque[Waiting]] = attrs.field(factory=dict)
    table: ServiceAccounts[Account] = attrs.field(
        factory=lambda: ServiceAccounts(Account)
    )
    deeper: list[int] = attrs.field(factory=list)
    size: int = 0
    picks: int = 0
    _arrivals: int = 0
    _mean_cost: float = 1.0

    @property
    def accounts(self) -> dict[str, Account]:
        """Accounts of organisations with requests here."""
        return self.table.accounts

    def account(self, organisation: str) -> Account:
        """Return an organisation's account; a new one starts level with the rest."""
        return self.table.account(organisation)

    def push(self, waiting: Waiting) -> None:
        """Add a request at the end of its lane."""
        waiting.number = self._arrivals
        self._arrivals += 1
        self._mean_cost += 0.05 * (waiting.cost - self._mean_cost)
        lane = self.lanes.setdefault(
            (waiting.organisation, waiting.class_name), deque()
        )
        if len(lane) == len(self.deeper):
            self.deeper.append(0)
        self.deeper[len(lane)] += 1
        lane.append(waiting)
        self.size += 1
        self.account(waiting.organisation).waiting += 1

    def remove(self, waiting: Waiting) -> None:
        """Remove a request, wherever it stands."""
        key = (waiting.organisation, waiting.class_name)
        lane = self.lanes[key]
        if lane[0] is waiting:
            lane.popleft()
        else:
            lane.remove(waiting)
        self.deeper[len(lane)] -= 1
        if not lane:
            del self.lanes[key]
        self.size -= 1
        self.account(waiting.organisation).waiting -= 1
        self._close(waiting.organisation)

    def _close(self, organisation: str) -> None:
        """Drop the account of an organisation that has nothing here."""
        account = self.accounts[organisation]
        if not account.waiting and not account.running:
            del self.accounts[organisation]

    def order(self, presses: Callable[[Waiting], bool], count: int) -> list[Waiting]:
        """Return first requests of lanes, in the order of their turns.

        Args:
            presses: Tells whether the class of a request presses for its target.
            count: Requests to return at the most.
        """
        heads = [lane[0] for lane in self.lanes.values()]
        if not heads:
            return []
        if self.picks % OLDEST_EVERY == OLDEST_EVERY - 1:
            return heapq.nsmallest(count, heads, key=lambda head: head.number)
        least = min(self.accounts[head.organisation].served for head in heads)
        allowed = least + LEAD * self._mean_cost

        pressing: dict[str, bool] = {}

        def rank(head: Waiting) -> tuple:
            name = head.class_name
            if name not in pressing:
                pressing[name] = presses(head)
            ahead = max(0.0, self.accounts[head.organisation].served - allowed)
            return (not pressing[name], ahead, head.latest_start, head.number)

        return heapq.nsmallest(count, heads, key=rank)

    def pick(self, waiting: Waiting) -> None:
        """Take a request out to run it; this counts as one pick."""
        self.picks += 1
        self.start(waiting)
        self.remove(waiting)

    def start(self, waiting: Waiting) -> None:
        """Charge a request that starts to its organisation."""
        account = self.table.charge(waiting.organisation, waiting.cost)
        account.running += 1

    def end(self, organisation: str) -> None:
        """Note that a request of an organisation has ended."""
        account = self.account(organisation)
        account.running = max(0, account.running - 1)
        self._close(organisation)

    def ahead_of(self, organisation: str, class_name: str) -> int:
        """Return how many requests would go before a new one, in a fair order."""
        own = len(self.lanes.get((organisation, class_name), ()))
        return sum(self.deeper[: own + 1])

    def over_share(self, organisation: str) -> bool:
        """Tell whether an organisation has more here than an equal share."""
        if len(self.accounts) < 2 or organisation not in self.accounts:
            return False
        total = sum(each.waiting + each.running for each in self.accounts.values())
        account = self.accounts[organisation]
        return (account.waiting + account.running) * len(self.accounts) > total

    def newest_of_largest(self) -> Waiting:
        """Return the newest request of the organisation with the most waiting."""
        name = max(self.accounts, key=lambda each: self.accounts[each].waiting)
        lanes = [lane for key, lane in self.lanes.items() if key[0] == name]
        return max((lane[-1] for lane in lanes), key=lambda waiting: waiting.number)

    def places(self) -> Iterator[tuple[Waiting, int]]:
        """Yield every request with the count of those before it in a fair order."""
        before = [0, *itertools.accumulate(self.deeper)]
        for lane in list(self.lanes.values()):
            for depth, waiting in enumerate(list(lane)):
                yield waiting, before[depth]
