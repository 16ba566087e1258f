"""Tests of what is learned from streams that endpoints reject."""

from __future__ import annotations

import asyncio
from random import Random
from types import SimpleNamespace

import pytest
from tornado.httputil import HTTPHeaders

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.pipelines.fleet import Endpoint
from lacewingcourse.core.pipelines.load import Load
from lacewingcourse.core.pipelines.path import Part, Path
from lacewingcourse.core.pipelines.retry_budget import RetryBudget
from lacewingcourse.core.pipelines.routing import RetrySafety
from lacewingcourse.core.pipelines.shape import Layers
from lacewingcourse.relay.beliefs import Beliefs
from lacewingcourse.relay.ports import AnswerHead, Standing
from lacewingcourse.relay.streams import StreamForwarder
from lacewingcourse.relay.upstream import (
    End,
    Head,
)

#: Tokens that a part of one layer has memory for.
ROOM = 50_000
PATH = Path(
    (Part("a", "a:1", "east", Layers(0, 1)), Part("b", "b:1", "east", Layers(1, 2))),
    1.0,
)


def endpoint(part: Part) -> Endpoint:
    """Return the endpoint of a part."""
    return Endpoint(
        part.endpoint,
        "rooms",
        part.address,
        part.zone,
        96,
        accelerator="small",
        layers=part.layers,
        placeable=True,
    )


class Recorder:
    """Takes any call, and keeps the first arguments of those that a test reads."""

    def __init__(self) -> None:
        self.asked: list[str] = []
        self.faults: list[tuple[str, float | None]] = []

    def ask(self, part: Part, now: float) -> None:
        self.asked.append(part.endpoint)

    def lost(self, job, endpoint, reason, fault="", filled=None) -> None:
        self.faults.append((fault, filled))

    def __getattr__(self, name: str):
        return lambda *args, **kwargs: None


@pytest.fixture
def rejected(shape):
    """Return a function that sends a stream which endpoint b rejects.

    It returns what was believed after it and what was told.
    """

    def run(status: int, taken: float):
        beliefs = Beliefs()
        service = SimpleNamespace(shape=shape)
        beliefs.table = SimpleNamespace(services={"rooms": service})
        for part in PATH.parts:
            beliefs.fleet.put(endpoint(part))
        beliefs.loads.from_peer("p", {"b": Load(1, 0, taken * ROOM)}, 0.0)
        told = Recorder()
        forwarder = StreamForwarder(
            beliefs,
            SimpleNamespace(find=lambda job, shape, demand: PATH),
            Sender(status),
            RetryBudget(0.2, 10.0, 20),
            Random(1),
            Once(),
            told,
            told,
        )
        refusal = asyncio.run(forwarder.serve(make_job(), shape))
        assert isinstance(refusal, Refusal)
        return beliefs, told

    return run


class Once:
    """Gives a path once, and none after it."""

    def __init__(self) -> None:
        self.given = False

    async def path_for(self, job, demand, choose):
        if self.given:
            return Refusal(ErrorKind.OVERLOADED, "no path")
        self.given = True
        return PATH


class Sender:
    """Sends to an endpoint that rejects."""

    def __init__(self, status: int) -> None:
        self.status = status
        self.codec = SimpleNamespace(head=self.head)

    def clock(self) -> float:
        return 0.0

    def head(self, status, headers, request) -> AnswerHead:
        return AnswerHead(
            status,
            headers,
            Standing.REJECTED,
            fault_address="b:1",
            misdirected=status == 421,
        )

    async def send(self, request, sending, fresh, reserved=None):
        arrivals = asyncio.Queue()
        arrivals.put_nowait(Head(self.status, HTTPHeaders()))
        arrivals.put_nowait(End(True, ""))
        return SimpleNamespace(arrivals=arrivals)

    def release(self, exchange, head) -> None:
        """Drop the connection."""

    def drop_holds(self, job) -> None:
        """Hold nothing."""


def make_job():
    """Return what the forwarder needs of a request."""
    request = SimpleNamespace(
        resume_after="", answer_hint=None, most_answer=20, prompt=100
    )
    job = SimpleNamespace(
        request=request,
        service="rooms",
        caller=SimpleNamespace(gone=False, begun=False),
        route=SimpleNamespace(
            name="rooms", max_attempts=2, retry_safety=RetrySafety.RESUMABLE_STREAM
        ),
        waited=0.0,
        sends=0,
        firsts=set(),
        only_firsts=None,
        until=10.0,
        avoid=set(),
        reason="",
        may_send_again=True,
        may_move=True,
    )
    job.sending = lambda *args: None
    job.note = lambda outcome, reason: None
    job.failure = lambda kind, after: Refusal(kind, job.reason)
    return job


def test_an_endpoint_without_memory_is_left_to_other_requests(rejected):
    beliefs, told = rejected(status=503, taken=0.9)
    assert beliefs.suspects.excluded(0.0) == set()
    assert told.faults == [("b", 0.9)]


def test_an_endpoint_that_may_be_full_or_dead_is_asked(rejected):
    _, told = rejected(status=503, taken=0.9)
    assert told.asked == ["b"]


@pytest.mark.parametrize(
    ("status", "taken"),
    [(503, 0.1), (421, 0.9)],
    ids=["rejects with memory left", "lacks the layers"],
)
def test_an_endpoint_that_rejects_every_request_is_left_out(rejected, status, taken):
    beliefs, told = rejected(status, taken)
    assert beliefs.suspects.excluded(0.0) == {"b"}
    assert told.asked == []
