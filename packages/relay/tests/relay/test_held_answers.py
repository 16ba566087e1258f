"""Tests of answers that are given up for want of memory."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest
from tornado.httputil import HTTPHeaders

from lacewingcourse.core.pipelines.answer_faults import AnswerFault
from lacewingcourse.core.pipelines.answer_memory import AnswerMemory
from lacewingcourse.core.pipelines.send_history import Send, SendOutcome
from lacewingcourse.relay.held_answers import FREE_BYTES, NO_MEMORY, HeldAnswers
from lacewingcourse.relay.ports import AnswerHead, AnswerKind
from lacewingcourse.relay.sending import AnswerReader, NoAnswer, WholeAnswer
from lacewingcourse.relay.upstream import Data, End, Head

#: Bytes that all answers may hold, and those of a large one.
LIMIT = 1024 * 1024
LARGE = 300 * 1024


class HeldExchange:
    """An exchange whose endpoint writes what a test puts."""

    def __init__(self) -> None:
        self.arrivals = asyncio.Queue()
        self.send = Send("e")
        self.was_dropped = False
        self.arrivals.put_nowait(Head(200, HTTPHeaders()))

    def write(self, count: int) -> None:
        """Write bytes of the body."""
        self.arrivals.put_nowait(Data(b"x" * count))

    def give_up(self, reason: str, fault: AnswerFault) -> None:
        """End the response for its bytes."""
        self.arrivals.put_nowait(End(False, reason, fault=fault))

    def abandon(self) -> None:
        """Do nothing: the endpoint is the test."""


@pytest.fixture
def read_all():
    """Return a function that lets exchanges write, and returns what was read."""

    def read(writes: dict[str, list[int]]):
        answers = HeldAnswers(AnswerMemory(LIMIT))
        sender = SimpleNamespace(
            answers=answers,
            codec=SimpleNamespace(
                head=lambda status, headers, _: AnswerHead(
                    status, headers, AnswerKind.ANSWERED
                )
            ),
            clock=lambda: asyncio.get_running_loop().time(),
            release=lambda exchange, head: None,
        )

        async def read_one(exchange):
            job = SimpleNamespace(request=None, current_exchange=exchange)
            job = HashableJob(**vars(job))
            reader = AnswerReader(sender, exchange, job, 0.0)
            found = await reader.read(float("inf"))
            answers.release(job)
            return found

        async def run():
            exchanges = {name: HeldExchange() for name in writes}
            reading = [
                asyncio.ensure_future(read_one(each)) for each in exchanges.values()
            ]
            for turn in range(max(map(len, writes.values()))):
                for name, counts in writes.items():
                    if turn < len(counts):
                        exchanges[name].write(counts[turn])
                await asyncio.sleep(0)
                await asyncio.sleep(0)
            for exchange in exchanges.values():
                exchange.arrivals.put_nowait(End(True))
            found = await asyncio.gather(*reading)
            outcomes = [each.send.outcome for each in exchanges.values()]
            return dict(zip(writes, zip(found, outcomes, strict=True), strict=True)), (
                answers.memory.total
            )

        return asyncio.run(run())

    return read


class HashableJob(SimpleNamespace):
    """A request that can be a key."""

    __hash__ = object.__hash__


def test_the_largest_answer_is_given_up_and_the_others_are_read(read_all):
    """Guards against answers without end that took a process past its memory."""
    writes = {
        "small": [FREE_BYTES // 2] * 2,
        "large": [LARGE],
        "endless": [LARGE] * 4,
    }
    found, left = read_all(writes)
    for name in ("small", "large"):
        answer, outcome = found[name]
        assert isinstance(answer, WholeAnswer)
        assert len(answer.body) == sum(writes[name])
        assert outcome is SendOutcome.ANSWERED
    answer, outcome = found["endless"]
    assert isinstance(answer, NoAnswer)
    assert (answer.reason, answer.fault) == (NO_MEMORY, AnswerFault.OVERSIZED)
    assert outcome is SendOutcome.ANSWERED
    assert not answer.connection_lost
    assert left == 0


def test_an_answer_within_the_bound_is_read_alone(read_all):
    found, left = read_all({"alone": [LIMIT // 4] * 4})
    assert isinstance(found["alone"][0], WholeAnswer)
    assert left == 0
