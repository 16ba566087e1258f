"""Tests of when an entry expects to have ended, and what it tells of it."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import orjson
import pytest

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.pipelines.peers import PeerBook
from lacewingcourse.core.pipelines.routing import RetrySafety
from lacewingcourse.relay import decisions
from lacewingcourse.relay.beliefs import Beliefs
from lacewingcourse.relay.decisions import DecisionLog
from lacewingcourse.relay.endings import Endings
from lacewingcourse.relay.leaving import BALANCER_DELAY
from lacewingcourse.relay.peer_messages import PeerNews, decode, encode
from lacewingcourse.relay.readiness import END_MARGIN, Readiness

from .network import Network
from .restarts import GRACE, INTERVAL, MAX_EVENTS, Restarts
from .routes import route_of
from .virtual_time import play

#: When the entry was asked to end, and the time of the tests.
ASKED, NOW = 10.0, 12.0
#: When it must have ended.
LAST = ASKED + GRACE - END_MARGIN


class Caller(SimpleNamespace):
    """The connection of a caller."""

    __hash__ = object.__hash__


@pytest.fixture
def open_for(shape):
    """Return a function that makes an entry with one open answer."""

    def make(most_answer=0, events=0, received=NOW, until=500.0, routed=True, **told):
        caller = Caller(ended=False, gone=False)
        vars(caller).update(told)
        beliefs = Beliefs()
        beliefs.table = SimpleNamespace(
            services={"rooms": SimpleNamespace(shape=shape)}
        )
        for _ in range(20):
            beliefs.durations.record_answer("rooms", 2.0)
            beliefs.durations.record_stream("rooms", 0.5, INTERVAL)
        job = SimpleNamespace(
            request=SimpleNamespace(most_answer=most_answer, received_at=received),
            route=route_of("rooms", RetrySafety.RESUMABLE_STREAM),
            service="rooms",
            events=events,
            until=until,
        )
        readiness = Readiness(beliefs, GRACE)
        readiness.leave(ASKED)
        gateway = SimpleNamespace(
            beliefs=beliefs, jobs={caller: job} if routed else {}, serving=set()
        )
        callers = SimpleNamespace(open={caller})
        return Endings(readiness, callers, gateway, PeerBook("a"), lambda: NOW)

    return make


def test_an_entry_that_is_not_ending_expects_no_end(open_for):
    endings = open_for()
    endings.readiness.leaving_since = None
    assert endings.ends_in() is None


@pytest.mark.parametrize(
    ("events", "rest"), [(0, 0.5 + 100 * INTERVAL), (40, 60 * INTERVAL)]
)
def test_a_stream_lasts_as_long_as_its_events_may(open_for, events, rest):
    endings = open_for(most_answer=100, events=events)
    assert endings.ends_in() == pytest.approx(rest)


def test_an_entry_does_not_end_while_callers_are_sent_to_it(open_for):
    endings = open_for(most_answer=100, events=99)
    assert endings.ends_in() == pytest.approx(ASKED + BALANCER_DELAY - NOW)


def test_an_answer_of_unknown_length_lasts_as_its_route_does(open_for):
    assert open_for(received=NOW).ends_in() == pytest.approx(2.0)


@pytest.mark.parametrize(
    "open_answer",
    [
        {"received": NOW - 2.0},
        {"most_answer": 1_000},
        {"routed": False},
    ],
    ids=["beyond its route", "long", "not arrived"],
)
def test_an_entry_ends_in_its_grace_time(open_for, open_answer):
    assert open_for(**open_answer).ends_in() == pytest.approx(LAST - NOW)


@pytest.mark.parametrize(
    "open_answer", [{"until": NOW + 1.0}, {"ended": True}, {"gone": True}], ids=str
)
def test_an_answer_lasts_no_longer_than_its_caller_waits(open_for, open_answer):
    endings = open_for(most_answer=1_000, **open_answer)
    assert endings.ends_in() == pytest.approx(ASKED + BALANCER_DELAY - NOW)


def test_a_request_that_is_being_refused_delays_no_end(open_for):
    endings = open_for(routed=False)
    endings.gateway.serving.update(endings.callers.open)
    assert endings.ends_in() == pytest.approx(ASKED + BALANCER_DELAY - NOW)


def test_a_message_of_an_entry_that_does_not_tell_its_end_is_read():
    entry = Network({"a": 1}).entries["a-00"]
    document = orjson.loads(encode(entry.news_for("", "")))
    del document["ends_in"]
    assert decode(orjson.dumps(document), PeerNews).ends_in is None


def heard_end(restarts: Restarts, name: str) -> list[float]:
    """Return when others expect an entry to end, the soonest and the latest."""
    books = [each.gossip.book for each in restarts.processes.values()]
    ends = [book.peers[name].ends_at for book in books if book.name != name]
    return [min(ends), max(ends)]


def test_entries_hear_when_the_expected_end_of_another_one_changes(shape):
    async def test():
        restarts = Restarts(shape, 3, 1, lambda rng: MAX_EVENTS)
        for name in restarts.names:
            restarts.start(name)
        await asyncio.sleep(1.0)
        ending = restarts.processes["entry-1"]
        ending.gateway.readiness.leave(restarts.clock())
        await asyncio.sleep(0.5)
        end = 1.0 + BALANCER_DELAY
        assert heard_end(restarts, "entry-1") == pytest.approx([end, end], abs=0.02)
        end = restarts.clock() + INTERVAL + MAX_EVENTS * INTERVAL
        ending.call(MAX_EVENTS)
        await asyncio.sleep(0.5)
        assert heard_end(restarts, "entry-1") == pytest.approx([end, end], abs=0.1)

    play(test())


def test_the_line_of_a_refusal_tells_what_its_caller_waits_for(monkeypatch):
    lines = []
    bind = SimpleNamespace(info=lambda event: None)
    monkeypatch.setattr(
        decisions,
        "logger",
        SimpleNamespace(bind=lambda **fields: lines.append(fields) or bind),
    )
    metrics = SimpleNamespace(refused=lambda refusal, job: None)
    log = DecisionLog(lambda: NOW, metrics, lambda: 1)
    request = SimpleNamespace(id="r", received_at=NOW)
    refusal = Refusal(ErrorKind.DRAINING, "ending", retry_after=2.5)
    log.refused(request, refusal, None, "b ends in 0.5 s")
    log.refused(request, refusal, None)
    assert lines[0]["retry_after"] == 2.5
    assert lines[0]["waits_for"] == "b ends in 0.5 s"
    assert "waits_for" not in lines[1]
