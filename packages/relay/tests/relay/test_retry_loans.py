"""Tests of retries that entries borrow from one another.

They guard against a failure after the loss of two endpoints that cut thirty streams of
a few entries. Each of thirty-one entries had a fixed share of five of the 244 retries
of all. These entries used theirs up within 40 ms, and their other streams stalled, some
until their callers left, while the rest of the budget stayed unused.
"""

from __future__ import annotations

import asyncio
from random import Random

import attrs
import pytest

from lacewingcourse.core.pipelines.peers import PeerTable
from lacewingcourse.core.pipelines.retry_budget import (
    SAFETY_SHARE,
    RetryBudget,
    ask_for_none,
)
from lacewingcourse.relay.peer_messages import (
    LoanReply,
    LoanRequest,
    decode,
    encode,
)
from lacewingcourse.relay.retry_loans import LOAN_PATH, RetryLoans
from lacewingcourse.relay.small_server import ServerRequest
from lacewingcourse.testing.virtual_time import run_virtual

from .stream_scenario import RecordingLog

#: Window of the retry budget in seconds, and its slack: the retries of all entries that
#: it allows besides a share of their requests.
WINDOW = 10.0
SLACK = 244.0


@attrs.define
class Fleet:
    """Entries that exchange messages with delays and losses.

    Attributes:
        entries: The entries by name.
        rng: Source of delays and losses.
        delay: Longest delay of a message, seconds.
        loss: Share of the messages and answers that are lost.
        retry_delay: Seconds after which a request that lacks a retry tries again.
        sent: Times of the retries of all entries.
    """

    rng: Random
    delay: float = 0.01
    loss: float = 0.0
    retry_delay: float = 0.05
    entries: dict[str, RetryLoans] = attrs.field(factory=dict)
    sent: list[float] = attrs.field(factory=list)

    def add(self, count: int, ask_for=None) -> None:
        """Add entries that know one another."""
        clock = asyncio.get_running_loop().time
        names = [f"e{number:02}" for number in range(count)]
        for name in names:
            book = PeerTable(name)
            for other in names:
                if other != name:
                    book.record_message(other, other, False, 1e9)
            loans = RetryLoans(
                RetryBudget(0.2, WINDOW, SLACK, count),
                book,
                self.fetch,
                clock,
                self.rng,
                RecordingLog(),
                lambda: None,
            )
            if ask_for is not None:
                loans.ask_for = ask_for
            self.entries[name] = loans

    async def fetch(self, address: str, path: str, body: bytes) -> bytes | None:
        """Deliver a message and its answer."""
        assert path == LOAN_PATH
        await asyncio.sleep(self.rng.uniform(0, self.delay))
        if self.rng.random() < self.loss:
            return None
        handler = self.entries[address].handlers()["POST", LOAN_PATH]
        reply = handler(ServerRequest(path, body))
        await asyncio.sleep(self.rng.uniform(0, self.delay))
        return None if self.rng.random() < self.loss else reply.body

    async def retry(self, name: str, number: int) -> float:
        """Retry a request once the budget allows it; return the wait in seconds."""
        loans, clock = self.entries[name], asyncio.get_running_loop().time
        since = clock()
        while not loans.budget.allows("rooms", clock()):
            loans.request_loan("rooms", f"{name} {number}")
            await asyncio.sleep(self.retry_delay)
        assert loans.budget.take("rooms", clock())
        self.sent.append(clock())
        return clock() - since

    def restart(self, name: str) -> None:
        """Replace an entry by a new process that knows of no other entry."""
        now = asyncio.get_running_loop().time()
        budget = RetryBudget(0.2, WINDOW, SLACK, started_at=now)
        self.entries[name].budget = budget

    def max_in_a_window(self) -> int:
        """Return the largest number of retries of all entries in any window."""
        return max(
            sum(at - WINDOW < time <= at for time in self.sent) for at in self.sent
        )


async def lose_streams(fleet: Fleet, affected: int, streams: int) -> list[float]:
    """Return the seconds for which streams of some entries waited for retries."""
    tasks = [asyncio.ensure_future(e.run()) for e in fleet.entries.values()]
    names = sorted(fleet.entries)[:affected]
    try:
        waits = [fleet.retry(n, i) for n in names for i in range(streams)]
        async with asyncio.timeout(2.0):
            return await asyncio.gather(*waits)
    finally:
        for task in tasks:
            task.cancel()


def test_streams_of_a_few_entries_go_on_with_the_retries_of_the_others():
    """Ninety streams at three of thirty-one entries, in time for their callers."""

    async def test():
        fleet = Fleet(Random(1))
        fleet.add(31)
        waits = await lose_streams(fleet, affected=3, streams=30)
        assert sorted(waits)[len(waits) // 2] <= 0.3
        assert max(waits) <= 1.5
        assert fleet.max_in_a_window() <= SAFETY_SHARE * SLACK

    run_virtual(test())


def test_an_even_share_leaves_streams_without_a_retry():
    async def test():
        fleet = Fleet(Random(1))
        fleet.add(31, ask_for_none)
        with pytest.raises(TimeoutError):
            await lose_streams(fleet, affected=3, streams=30)
        assert len(fleet.sent) == 3 * int(SAFETY_SHARE * SLACK / 31)

    run_virtual(test())


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize(("delay", "loss"), [(0.02, 0.0), (0.8, 0.1), (3.0, 0.5)])
def test_all_entries_together_stay_within_the_budget(seed, delay, loss):
    """The sum stays bounded whatever is late or lost, and however much entries need."""

    async def test():
        fleet = Fleet(Random(seed), delay, loss, retry_delay=0.5)
        fleet.add(6)
        tasks = [asyncio.ensure_future(e.run()) for e in fleet.entries.values()]
        names = [fleet.rng.choice(sorted(fleet.entries)) for _ in range(400)]
        waits = [
            asyncio.ensure_future(fleet.retry(name, number))
            for number, name in enumerate(names)
        ]
        await asyncio.sleep(4 * WINDOW)
        for task in tasks + waits:
            task.cancel()
        assert fleet.max_in_a_window() <= SAFETY_SHARE * SLACK
        assert len(fleet.sent) > SAFETY_SHARE * SLACK

    run_virtual(test())


def test_an_entry_that_has_just_started_lends_no_more_than_its_share():
    """A new entry that knows of no others would take the whole slack for its own."""

    async def test():
        fleet = Fleet(Random(1))
        fleet.add(31)
        started = fleet.entries["e30"].budget
        started.entries = 1
        message = encode(LoanRequest("rooms", 100, 31))
        reply = decode(await fleet.fetch("e30", LOAN_PATH, message), LoanReply)
        assert 0 < reply.count <= SAFETY_SHARE * SLACK / 31

    run_virtual(test())


@pytest.mark.parametrize("seed", range(4))
def test_entries_that_restart_one_after_the_other_stay_within_the_budget(seed):
    """All entries restart within one window while streams wait for retries."""

    async def test():
        fleet = Fleet(Random(seed), delay=0.1, loss=0.1, retry_delay=0.2)
        fleet.add(6)
        tasks = [asyncio.ensure_future(e.run()) for e in fleet.entries.values()]
        waits = [
            asyncio.ensure_future(fleet.retry(name, number))
            for name in fleet.entries
            for number in range(150)
        ]
        await asyncio.sleep(WINDOW / 2)
        for name in fleet.entries:
            fleet.restart(name)
            await asyncio.sleep(1.2)
            fleet.entries[name].budget.entries = 6
        await asyncio.sleep(3 * WINDOW)
        for task in tasks + waits:
            task.cancel()
        assert fleet.max_in_a_window() <= SLACK

    run_virtual(test())


def test_an_entry_that_has_just_started_goes_on_with_the_retries_of_the_others():
    async def test():
        fleet = Fleet(Random(1))
        fleet.add(31)
        fleet.restart("e00")
        waits = await lose_streams(fleet, affected=1, streams=10)
        assert max(waits) <= 0.3

    run_virtual(test())
