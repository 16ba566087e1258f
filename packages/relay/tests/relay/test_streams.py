"""Tests of which endpoints are excluded or probed after they reject a stream."""

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
from lacewingcourse.core.pipelines.room_sharing import DeploymentRoomShare
from lacewingcourse.core.pipelines.routing import RetrySafety
from lacewingcourse.core.pipelines.send_history import Send
from lacewingcourse.core.pipelines.shape import Layers
from lacewingcourse.core.pipelines.suspects import Grade
from lacewingcourse.relay.admission import Admission
from lacewingcourse.relay.ports import AnswerHead, AnswerKind
from lacewingcourse.relay.room import TakenRoom
from lacewingcourse.relay.routing_state import RoutingState
from lacewingcourse.relay.streams import StreamForwarder
from lacewingcourse.relay.upstream import (
    End,
    Head,
)

from .stream_scenario import StreamScenario

#: Tokens for which a part with one layer has memory.
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
    """Accepts any call, and records probes and the faults of `lost` log lines."""

    def __init__(self) -> None:
        self.probed: list[str] = []
        self.faults: list[tuple[str, float | None]] = []

    def probe(self, part: Part, now: float) -> None:
        self.probed.append(part.endpoint)

    def lost(self, job, endpoint, reason, fault, filled, progress) -> None:
        self.faults.append((fault, filled))

    def __getattr__(self, name: str):
        return lambda *args, **kwargs: None


@pytest.fixture
def rejected(shape):
    """Return a function that sends a stream which endpoint b rejects.

    The function returns the resulting view of the endpoints and the recorder.
    """

    def run(status: int, taken: float):
        routing_state = RoutingState()
        service = SimpleNamespace(shape=shape)
        routing_state.table = SimpleNamespace(services={"rooms": service})
        for part in PATH.parts:
            routing_state.fleet.put(endpoint(part))
        routing_state.loads.from_peer("p", {"b": Load(1, 0, taken * ROOM)}, 0.0)
        recorder = Recorder()
        forwarder = StreamForwarder(
            routing_state,
            SimpleNamespace(
                find=lambda job, shape, demand: PATH, oversized=lambda *demand: None
            ),
            RejectingSender(status),
            RetryBudget(0.2, 10.0, 20),
            Random(1),
            SinglePathAdmission(),
            recorder,
            recorder,
        )
        refusal = asyncio.run(forwarder.serve(make_job(), shape))
        assert isinstance(refusal, Refusal)
        return routing_state, recorder

    return run


class SinglePathAdmission:
    """Returns a path on the first call, and a refusal on later ones."""

    def __init__(self) -> None:
        self.given = False

    def latest_start(self, job):
        return 0.0

    async def room_for(self, job, tokens, take, latest_start):
        if self.given:
            return Refusal(ErrorKind.OVERLOADED, "no path")
        self.given = True
        return TakenRoom(PATH, lambda: None)


class RejectingSender:
    """Sends to an endpoint that rejects every request."""

    def __init__(self, status: int) -> None:
        self.status = status
        self.codec = SimpleNamespace(head=self.head)
        self.answers = SimpleNamespace(add=lambda job, count: None)

    def clock(self) -> float:
        return 0.0

    def head(self, status, headers, request) -> AnswerHead:
        return AnswerHead(
            status,
            headers,
            AnswerKind.REJECTED,
            fault_address="b:1",
            misdirected=status == 421,
        )

    async def send(self, request, sending, fresh, reserved=None):
        arrivals = asyncio.Queue()
        arrivals.put_nowait(Head(self.status, HTTPHeaders()))
        arrivals.put_nowait(End(True, ""))
        send = request.begin_send(sending.incarnation)
        return SimpleNamespace(arrivals=arrivals, send=send)

    def release(self, exchange, head) -> None:
        """Return no connection to a pool."""

    def release_holds(self, job) -> None:
        """Do nothing, as no retry or permit is held."""

    def end(self, job) -> None:
        """Do nothing, as nothing is held."""


def make_job():
    """Return a request with the attributes that the forwarder uses."""
    request = SimpleNamespace(
        resume_after="",
        answer_hint=None,
        max_answer_tokens=20,
        prompt=100,
        received_at=0.0,
    )
    job = SimpleNamespace(
        request=request,
        service="rooms",
        caller=SimpleNamespace(
            disconnected=False, response_started=False, has_left=lambda: False
        ),
        route=SimpleNamespace(
            name="rooms",
            max_attempts=2,
            retry_safety=RetrySafety.RESUMABLE_STREAM,
            objective=0.5,
            max_event_gap=0.2,
        ),
        waited=0.0,
        sends=0,
        sent_at=0.0,
        begin_send=Send,
        needs_new_connection=False,
        allowed_endpoints=None,
        deadline=10.0,
        avoid=set(),
        reason="",
        may_send_again=True,
        may_move=True,
    )
    job.sending = lambda *args: SimpleNamespace(incarnation="a")
    job.failure = lambda kind, after: Refusal(kind, job.reason)
    return job


def test_an_endpoint_without_memory_is_not_excluded_for_others(rejected):
    routing_state, recorder = rejected(status=503, taken=0.9)
    assert routing_state.suspects.excluded(0.0) == set()
    assert recorder.faults == [("b", 0.9)]


def test_an_endpoint_that_may_be_full_or_dead_is_probed(rejected):
    _, recorder = rejected(status=503, taken=0.9)
    assert recorder.probed == ["b"]


@pytest.mark.parametrize(
    ("status", "taken"),
    [(503, 0.1), (421, 0.9)],
    ids=["rejects with memory left", "lacks the layers"],
)
def test_an_endpoint_that_rejects_every_request_is_excluded(rejected, status, taken):
    routing_state, recorder = rejected(status, taken)
    assert routing_state.suspects.excluded(0.0) == {"b"}
    assert recorder.probed == []


@pytest.mark.parametrize("prompt", [ROOM, 10**8, 10**12])
def test_a_request_larger_than_any_memory_is_refused_at_once(finder, shape, prompt):
    """It waited, and as demand for room it had less urgent requests refused."""
    share = DeploymentRoomShare("entry")
    admission = Admission(lambda: 0.0, share_of=lambda service: share)
    recorder = Recorder()
    forwarder = StreamForwarder(
        finder.routing_state,
        finder,
        RejectingSender(503),
        RetryBudget(0.2, 10.0, 20),
        Random(1),
        admission,
        recorder,
        recorder,
    )
    job = StreamScenario(shape, {})._job()
    job.request.prompt = prompt
    refusal = asyncio.run(asyncio.wait_for(forwarder.serve(job, shape), 1.0))
    assert (refusal.kind, job.refused_by) == (ErrorKind.OVERLOADED, "oversized")
    assert share.own.read(0.0).ranks == {}
    assert (share.own.waiting, admission.schedulers) == ({}, {})
    state = finder.routing_state
    assert (state.loads.own, state.running.by_endpoint, state.links.own) == ({}, {}, {})


@pytest.mark.parametrize(("slowdown", "grade"), [(1.0, Grade.LOST), (12.0, Grade.SLOW)])
def test_a_slow_endpoint_without_a_connection_in_time_is_not_taken_for_lost(
    slowdown, grade
):
    state = RoutingState()
    state.speeds.update("a", slowdown, 0.0)
    forwarder = SimpleNamespace(
        routing_state=state, sender=SimpleNamespace(clock=lambda: 0.1)
    )
    job = SimpleNamespace(avoid=set())
    path = SimpleNamespace(first=SimpleNamespace(endpoint="a"))
    StreamForwarder.exclude_unreachable(forwarder, job, path)
    assert state.suspects.grades(0.2) == {"a": grade}
    assert job.avoid == {"a"}
