"""Tests that odd numbers in messages of other entries change nothing for long."""

from __future__ import annotations

import asyncio
import copy
import json
import random
from types import SimpleNamespace

import orjson
import pytest
from hypothesis import given, settings, strategies as st

from lacewingcourse.core.pipelines.peers import PEER_SILENCE_TIMEOUT
from lacewingcourse.core.pipelines.prompt_parts import PartHistory, PartReport
from lacewingcourse.relay.decoding import MAX_NUMBER, Undecodable
from lacewingcourse.relay.duty_holder import DutyHolder
from lacewingcourse.relay.peer_messages import (
    MAX_ENTRIES,
    GossipMessage,
    LoanReply,
    LoanRequest,
    decode,
    encode,
)
from lacewingcourse.relay.retry_loans import RetryLoans

from .network import Network
from .test_decoding import gossip_message

#: Numbers that no message may hold.
ODD_NUMBERS = [2**53 + 2, 2**63, 2**64 - 1, 1e300, -(2**53) - 2, -(2**63), -1e300]
#: A message as it is sent.
MESSAGE = orjson.loads(encode(gossip_message(limits={"a": (5.0, 0.5)})))
#: Places of ages in a message.
AGES = [
    ("version_age",),
    ("position_age",),
    ("holder_age",),
    ("crashes", "f", "a"),
    ("peers", "entry-2", 2),
    ("limits", "a", 1),
]


def numbers(document, path=()):
    """Yield the places of all numbers of a document."""
    if isinstance(document, (dict, list)):
        pairs = document.items() if isinstance(document, dict) else enumerate(document)
        for step, value in pairs:
            yield from numbers(value, (*path, step))
    elif type(document) in (int, float):
        yield path


def changed(path: tuple, value) -> bytes:
    """Return the message with another value at a place."""
    document = copy.deepcopy(MESSAGE)
    inner = document
    for step in path[:-1]:
        inner = inner[step]
    inner[path[-1]] = value
    return json.dumps(document).encode()


@pytest.mark.parametrize("path", list(numbers(MESSAGE)), ids=str)
def test_a_message_with_a_number_out_of_range_is_undecodable(path):
    assert isinstance(decode(changed(path, 1), GossipMessage), GossipMessage)
    for number in ODD_NUMBERS:
        found = decode(changed(path, number), GossipMessage)
        assert isinstance(found, Undecodable)


@pytest.mark.parametrize("path", AGES, ids=str)
def test_nothing_is_known_from_the_future(path):
    """An entry took what another one told for the newest, and read no later version."""
    inner = decode(changed(path, -1e9), GossipMessage)
    inner = getattr(inner, path[0])
    for step in path[1:]:
        inner = inner[step]
    assert inner == 0.0


def test_an_entry_reported_from_the_future_is_alive_no_longer_than_others():
    network = Network({"east": 2})
    entry = network.entries["east-00"]
    body = changed(("peers",), {"ghost": ["10.0.0.9:1", "east", -1e9]})
    entry.receive(decode(body, GossipMessage))
    network.clock.now += PEER_SILENCE_TIMEOUT + 0.1
    assert "ghost" not in entry.book.alive(network.clock.now)


@pytest.mark.parametrize("count", [-1, MAX_ENTRIES + 1, MAX_NUMBER])
def test_an_absurd_number_of_entries_is_undecodable(count):
    """The share of an entry of the retries would be none until it ends."""
    found = decode(changed(("counts", "west"), count), GossipMessage)
    assert isinstance(found, Undecodable)
    if count > 0:
        request = json.dumps({"service": "rooms", "count": 1, "entries": count})
        assert isinstance(decode(request.encode(), LoanRequest), Undecodable)


def test_a_part_refused_from_the_future_is_refused_no_longer_than_others():
    history = PartHistory()
    report = PartReport({"a": (-1e15, 1e15)}, None, -1e15, -(2**53), [])
    history.from_peer({"p": report}, 100.0)
    history.expire(100_000.0)
    assert history.refused == {}
    assert history.losses == {}


def test_a_lease_that_nobody_knows_cannot_be_released():
    log = SimpleNamespace(log_event=lambda *args, **fields: None)
    holder = DutyHolder("a", None, log, lambda: 0.0, lambda: 0, lambda: False)
    holder.from_peer("b", 5, 0.0, released=2**52)
    assert (holder.fencing, holder.released) == (5, 0)
    holder.from_peer("b", 5, 0.0, released=5)
    assert holder.released == 5


@pytest.mark.parametrize("count", [MAX_NUMBER, 3, -3])
def test_an_entry_borrows_no_more_retries_than_it_asked_for(count):
    """A reply with a huge count took all memory."""
    borrowed = []
    budget = SimpleNamespace(
        entries=2, borrow=lambda service, count, asked_at: borrowed.append(count)
    )
    book = SimpleNamespace(
        name="a",
        alive=lambda now: ["a", "b"],
        peers={"b": SimpleNamespace(name="b", address="b")},
    )

    async def fetch(address, path, message):
        return encode(LoanReply(count))

    log = SimpleNamespace(log_event=lambda *args, **fields: None)
    loans = RetryLoans(
        budget, book, fetch, lambda: 0.0, random.Random(1), log, lambda: None
    )
    asyncio.run(loans._borrow("rooms", 2))
    assert borrowed == [max(0, min(2, count))]


@settings(derandomize=True, deadline=None, max_examples=100)
@given(
    st.sampled_from(list(numbers(MESSAGE))),
    st.floats(-MAX_NUMBER, MAX_NUMBER) | st.integers(-MAX_NUMBER, MAX_NUMBER),
)
def test_no_number_in_a_message_raises_later(path, number):
    network = Network({"east": 2})
    entry = network.entries["east-00"]
    message = decode(changed(path, number), GossipMessage)
    if isinstance(message, GossipMessage):
        entry.receive(message)
    network.run_rounds(10)
    answer = entry.message_for("east-01", "east")
    assert isinstance(decode(encode(answer), GossipMessage), GossipMessage)
