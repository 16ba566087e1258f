"""Tests of calls to plain services.

Callers of idempotent calls got 502 although a slow endpoint would have answered in
time: its exchange was closed before it was checked whether a retry was left and another
endpoint was free.
"""

from __future__ import annotations

import asyncio
from random import Random
from types import SimpleNamespace

import attrs
import pytest
from tornado.httputil import HTTPHeaders

from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.core.pipelines.fleet import Endpoint
from lacewingcourse.core.pipelines.permits import Grant
from lacewingcourse.core.pipelines.retry_budget import RetryBudget
from lacewingcourse.core.pipelines.routing import Organisation, RetrySafety
from lacewingcourse.core.pipelines.send_limits import SendLimits
from lacewingcourse.relay.calls import CallForwarder
from lacewingcourse.relay.connections import (
    ConnectionPool,
    NotSent,
    Unsent,
)
from lacewingcourse.relay.held_answers import HeldAnswers
from lacewingcourse.relay.job import Job
from lacewingcourse.relay.ports import AnswerHead, AnswerKind
from lacewingcourse.relay.routing_state import RoutingState
from lacewingcourse.relay.sending import Sender, WholeAnswer
from lacewingcourse.relay.upstream import (
    Data,
    End,
    Head,
)
from lacewingcourse.testing.virtual_time import run_virtual

from .routes import route_of
from .stream_scenario import NO_RETRIES, UNLIMITED_RETRIES, RecordingLog

#: Seconds that a slow endpoint takes, and a fast one.
SLOW_SECONDS = 1.0
FAST_SECONDS = 0.05
#: Status of an endpoint that has not run a call.
REJECTED = 503


class FakeExchange:
    """An exchange with an endpoint that answers after some time."""

    def __init__(self, name: str, seconds: float, status: int, dropped: bool) -> None:
        self.arrivals: asyncio.Queue = asyncio.Queue()
        self.reusable = True
        self.abandoned = False
        self.was_dropped = dropped
        self._task = asyncio.ensure_future(self._answer(name, seconds, status))

    def abandon(self) -> None:
        """Stop the endpoint's work."""
        self.abandoned = True
        self._task.cancel()

    async def _answer(self, name: str, seconds: float, status: int) -> None:
        if self.was_dropped:
            self.arrivals.put_nowait(End(False, "closed"))
            return
        await asyncio.sleep(seconds)
        self.arrivals.put_nowait(Head(status, HTTPHeaders()))
        self.arrivals.put_nowait(Data(name.encode()))
        self.arrivals.put_nowait(End(True))


@attrs.define(slots=False)
class CallPlay:
    """A call to a service of two endpoints; the first one that gets it is slow.

    Attributes:
        slack: Retries that the budget allows.
        endpoints: Number of endpoints of the service.
        status: Status of every answer.
        retry_safety: Which calls may be repeated.
        unsent: Why the call cannot be sent, None if it can.
        drops: Whether the endpoints have dropped their idle connections.
        slow: Seconds that the first endpoint takes.
    """

    slack: float = UNLIMITED_RETRIES
    endpoints: int = 2
    status: int = 200
    retry_safety: RetrySafety = RetrySafety.IDEMPOTENT
    unsent: Unsent | None = None
    drops: bool = False
    slow: float = SLOW_SECONDS

    def __attrs_post_init__(self) -> None:
        self.sends: list[FakeExchange] = []
        self.sent_to: list[str] = []
        self.budget = RetryBudget(0.0, 10.0, self.slack)
        self.routing_state = RoutingState()
        self.pool = ConnectionPool()
        self.answers = HeldAnswers()
        self.codec = SimpleNamespace(head=self._head)

    def clock(self) -> float:
        return asyncio.get_running_loop().time()

    async def serve(self) -> WholeAnswer | Refusal:
        """Serve the call; return its answer, or the refusal."""
        for number in range(self.endpoints):
            name = f"e{number}"
            self.routing_state.fleet.put(Endpoint(name, "desk", f"{name}:1", "east", 6))
        forwarder = CallForwarder(
            self.routing_state,
            self,
            self.budget,
            "east",
            Random(1),
            RecordingLog(),
        )
        return await forwarder.serve(self._job())

    def _job(self) -> Job:
        route = route_of("desk", self.retry_safety, timeout=2.5, objective=0.2)
        request = SimpleNamespace(
            id="r",
            host="h",
            target="/",
            key=None,
            body=b"",
            prompt_parts=(),
            received_at=0.0,
        )
        caller = SimpleNamespace(
            disconnected=False, response_started=False, has_left=lambda: False
        )
        return Job(request, route, "desk", Organisation(""), caller, False, 2.5)

    def _head(self, status, headers, request) -> AnswerHead:
        answer_kind = AnswerKind.REJECTED if status == REJECTED else AnswerKind.ANSWERED
        return AnswerHead(status, headers, answer_kind)

    async def reserve(self, address, fresh) -> SimpleNamespace | NotSent:
        if self.unsent is not None:
            return NotSent(self.unsent)
        return SimpleNamespace(close=lambda: None, reused=not fresh)

    async def send(self, job, sending, fresh) -> FakeExchange | NotSent:
        return await Sender.send(self, job, sending, fresh)

    #: Retries and limits are checked by the real sender.
    release_holds = Sender.release_holds
    end = Sender.end
    _claim_send = Sender._claim_send
    crash_refusal = staticmethod(lambda job: None)

    @property
    def limits(self) -> SendLimits:
        return self.routing_state.send_limits

    @property
    def backoffs(self):
        return self.routing_state.backoffs

    def start(self, job, sending, connection) -> FakeExchange:
        seconds = FAST_SECONDS if self.sends else self.slow
        dropped = self.drops and connection.reused
        self.sends.append(FakeExchange(sending.endpoint, seconds, self.status, dropped))
        self.sent_to.append(sending.endpoint)
        return self.sends[-1]

    def release(self, exchange, head) -> None:
        """Do nothing: no connection is kept."""


@pytest.mark.parametrize("lacks", [{"slack": NO_RETRIES}, {"endpoints": 1}])
def test_slow_endpoint_is_awaited_without_a_retry_or_another_endpoint(lacks):
    played = CallPlay(**lacks)
    answer = run_virtual(played.serve())
    assert isinstance(answer, WholeAnswer)
    assert len(played.sends) == 1


def test_slow_endpoint_is_abandoned_for_another_endpoint():
    played = CallPlay()
    answer = run_virtual(played.serve())
    assert isinstance(answer, WholeAnswer)
    assert [send.abandoned for send in played.sends] == [True, False]


def test_non_idempotent_call_waits_for_its_endpoint():
    played = CallPlay(retry_safety=RetrySafety.ONCE)
    assert isinstance(run_virtual(played.serve()), WholeAnswer)
    assert len(played.sends) == 1


@pytest.mark.parametrize("retry_safety", [RetrySafety.IDEMPOTENT, RetrySafety.ONCE])
def test_call_is_answered_after_kept_connections_were_dropped(retry_safety):
    """Callers got 502 although the endpoint was alive."""
    played = CallPlay(
        slack=NO_RETRIES, endpoints=1, drops=True, retry_safety=retry_safety
    )
    assert isinstance(run_virtual(played.serve()), WholeAnswer)


@pytest.mark.parametrize(
    ("cause", "kind"),
    [
        (Unsent.OVERDUE, ErrorKind.DEADLINE_EXCEEDED),
        (Unsent.NO_DESCRIPTOR, ErrorKind.OVERLOADED),
    ],
)
def test_local_send_failure_does_not_suspect_the_endpoint(cause, kind):
    """The endpoint was taken for unreachable, and excluded for all calls."""
    played = CallPlay(unsent=cause)
    ended = run_virtual(played.serve())
    assert ended.kind is kind
    assert ended.outcome is Outcome.NOT_RUN
    assert played.routing_state.suspects.excluded(0.0) == set()


def test_rejected_call_without_a_retry_is_reported_as_not_run():
    """Its caller was told that it may have run, and not when to retry."""
    ended = run_virtual(CallPlay(slack=NO_RETRIES, status=REJECTED).serve())
    assert ended.kind is ErrorKind.RETRIES_EXHAUSTED
    assert ended.outcome is Outcome.NOT_RUN
    assert ended.retry_after is not None


def test_exception_while_reading_the_answer_abandons_the_exchange():
    """The endpoint kept working for a caller that had been answered 500."""
    played = CallPlay(endpoints=1)

    def fails(status, headers, request):
        raise ValueError("a defect")

    played.codec.head = fails
    with pytest.raises(ValueError, match="a defect"):
        run_virtual(played.serve())
    assert [send.abandoned for send in played.sends] == [True]


def name_limit(played, *names):
    """Let endpoints name limits, without granting permits."""
    for name in names:
        played.routing_state.limits.observe(name, 2.0, 0.0, 0.0)


def test_call_skips_an_endpoint_at_its_limit():
    played = CallPlay(slow=FAST_SECONDS)
    name_limit(played, "e0")
    assert isinstance(run_virtual(played.serve()), WholeAnswer)
    assert played.sent_to == ["e1"]


def test_call_is_overloaded_when_every_endpoint_is_at_its_limit():
    played = CallPlay()
    name_limit(played, "e0", "e1")
    ended = run_virtual(played.serve())
    assert ended.kind is ErrorKind.OVERLOADED
    assert ended.outcome is Outcome.NOT_RUN
    assert ended.retry_after > 0
    assert played.sends == []


def test_slow_endpoint_is_not_abandoned_for_one_at_its_limit():
    played = CallPlay()
    name_limit(played, "e0", "e1")
    grant = Grant("i", (0.0,), 10.0)
    played.routing_state.send_limits.sharing.accept_grant(
        "e0", grant, "i", 0.0, 0.0, 0.0
    )
    assert isinstance(run_virtual(played.serve()), WholeAnswer)
    assert played.sent_to == ["e0"]


def test_resend_after_a_dropped_connection_needs_another_permit():
    """The endpoint may have received the first send, so the second one counts too."""
    played = CallPlay(endpoints=1, drops=True, slow=FAST_SECONDS)
    name_limit(played, "e0")
    grant = Grant("i", (0.0,), 10.0)
    played.routing_state.send_limits.sharing.accept_grant(
        "e0", grant, "i", 0.0, 0.0, 0.0
    )
    ended = run_virtual(played.serve())
    assert ended.outcome is Outcome.UNKNOWN
    assert played.sent_to == ["e0"]
