"""Tests of the requests that a draining entry accepts.

Answers were aborted while callers were reading them. Three seconds after the shutdown
request, when the balancer had no other instance to send callers to, an entry accepted a
stream because answers of that route usually ended within two seconds. This one was as
long as its caller allowed. The engine kept writing until the grace time was over, and
the entry closed the connection in the middle of the answer. The log showed `broken_off`
with kind `draining`, events until two milliseconds before it, and 12 seconds left of
the caller's time.

The usual duration of a route is no bound: the answer that takes longer is aborted.
"""

from __future__ import annotations

import asyncio
from random import Random
from types import SimpleNamespace
from typing import TYPE_CHECKING

import attrs
import pytest
from tornado.httputil import HTTPHeaders

from lacewingcourse.core.pipelines.routing import Organisation, RetrySafety
from lacewingcourse.core.pipelines.shutdown import LAST_REQUESTS
from lacewingcourse.relay.drain import Drainer
from lacewingcourse.relay.gateway import Gateway
from lacewingcourse.relay.readiness import Readiness
from lacewingcourse.relay.routing_state import RoutingState
from lacewingcourse.relay.settings import RelaySettings
from lacewingcourse.testing.virtual_time import run_virtual

from .routes import route_of
from .stream_scenario import CallerStub, RecordingLog

if TYPE_CHECKING:
    from collections.abc import Callable

#: Seconds from the shutdown request within which the entry must have ended.
GRACE = 8.0
#: Events of the longest answer that callers allow, and seconds between two.
MAX_EVENTS = 173
INTERVAL = 0.028
#: Tokens in one event.
EVENT_TOKENS = 2
#: Header of a request with the number of events that its answer may have.
MAX_EVENTS_HEADER = "Max-Events"
#: Header of a request with the seconds for which its caller waits.
PATIENCE_HEADER = "Patience"
#: Policy that applies unless an operator chooses another one.
DEFAULT_POLICY = RelaySettings.__attrs_attrs__.last_requests.default


class Caller(CallerStub):
    """A caller of a request whose answer has a given number of events."""

    def __init__(
        self,
        events: int,
        max_events: int = MAX_EVENTS,
        patience: float | None = None,
        interval: Callable[[], float] = lambda: INTERVAL,
    ) -> None:
        super().__init__()
        self.events = events
        self.interval = interval
        self.cancelled = False
        self.task: asyncio.Task | None = None
        self.method, self.target = "POST", "/"
        self.headers = HTTPHeaders({MAX_EVENTS_HEADER: str(max_events)})
        if patience is not None:
            self.headers[PATIENCE_HEADER] = str(patience)
        self.arrived_at = asyncio.get_running_loop().time()

    def cancel(self) -> None:
        """Stop serving the request."""
        self.task.cancel()


@attrs.define
class DrainingEntry:
    """An entry that serves streams until it ends.

    Attributes:
        gateway: Serves requests.
        drainer: Drains the entry.
        slowdown: Factor by which endpoints take longer than usual for an event.
    """

    gateway: Gateway
    drainer: Drainer
    slowdown: float = 1.0

    def call(
        self,
        events: int,
        max_events: int = MAX_EVENTS,
        patience: float | None = None,
    ) -> Caller:
        """Send a request whose answer has a given number of events."""
        caller = Caller(events, max_events, patience, self.interval)
        caller.task = asyncio.ensure_future(self.gateway.serve(caller))
        self.drainer.callers.open.add(caller)
        caller.task.add_done_callback(
            lambda task: self.drainer.callers.open.discard(caller)
        )
        return caller

    def interval(self) -> float:
        """Return the seconds between two events of an answer."""
        return INTERVAL * self.slowdown

    async def serve_usual_answers(self) -> None:
        """Serve answers of which nearly all end within two seconds."""
        callers = [self.call(events) for events in range(41, 73)]
        await asyncio.gather(*(caller.task for caller in callers))


async def write_events(job, shape) -> None:
    """Write an answer as a healthy engine does."""
    job.caller.begin(200, HTTPHeaders())
    clock = asyncio.get_running_loop().time
    for _ in range(job.caller.events):
        await asyncio.sleep(job.caller.interval())
        job.record_events(clock())
    job.caller.end()


def decode(method, target, headers, now):
    """Return the request of a caller."""
    return SimpleNamespace(
        id="r",
        host="h",
        path="/",
        target="/",
        key=None,
        body=b"",
        prompt_parts=(),
        timeout=float(headers.get(PATIENCE_HEADER, "inf")),
        received_at=now,
        max_answer_tokens=int(headers[MAX_EVENTS_HEADER]) * EVENT_TOKENS,
    )


@pytest.fixture
def entry(shape):
    """Return a function that makes an entry in the running loop."""

    def make(policy: str) -> DrainingEntry:
        clock = asyncio.get_running_loop().time
        routing_state = RoutingState()
        engine_shape = attrs.evolve(shape, event_tokens=EVENT_TOKENS)
        route = route_of("rooms", RetrySafety.RESUMABLE_STREAM)
        routing_state.table = SimpleNamespace(
            services={"rooms": SimpleNamespace(shape=engine_shape)},
            route=lambda host, path: route,
            organisation=lambda found, key: Organisation(""),
            keys=None,
        )
        readiness = Readiness(routing_state, GRACE, LAST_REQUESTS.get(policy))
        codec = SimpleNamespace(
            decode=decode,
            refusal=lambda refusal, request: (
                refusal.answer.status,
                HTTPHeaders({"Retry-After": str(refusal.retry_after)}),
                b"",
            ),
        )
        streams = SimpleNamespace(serve=write_events)
        calls = SimpleNamespace(budget=SimpleNamespace(on_request=lambda *args: None))
        gateway = Gateway(
            routing_state,
            codec,
            calls,
            streams,
            readiness,
            RecordingLog(),
            clock,
            lambda: 0.0,
            Random(1),
        )
        callers = SimpleNamespace(open=set())
        return DrainingEntry(gateway, Drainer(readiness, callers, gateway, clock))

    return make


async def call_while_draining(
    entry: DrainingEntry, after: float, patience: float | None = None
) -> Caller:
    """Return a caller whose request arrives some seconds after the shutdown request.

    Its answer is the longest that it allows, like one that was started before.
    """
    await entry.serve_usual_answers()
    clock = asyncio.get_running_loop().time
    entry.call(MAX_EVENTS)
    await asyncio.sleep(INTERVAL)
    entry.gateway.readiness.start_drain(clock())
    drain_task = asyncio.ensure_future(entry.drainer.run())
    await asyncio.sleep(after)
    caller = entry.call(MAX_EVENTS, patience=patience)
    await drain_task
    return caller


@pytest.mark.parametrize("policy", ["limited", "redirected"])
@pytest.mark.parametrize("after", [0.1, 1.0, 2.0, 2.9, 3.1, 4.5])
def test_answer_started_while_draining_is_not_aborted(entry, policy, after):
    async def test():
        caller = await call_while_draining(entry(policy), after)
        assert not caller.aborted
        assert caller.response_complete

    run_virtual(test())


@pytest.mark.parametrize("policy", ["limited", "redirected"])
def test_request_that_may_outlast_the_drain_is_refused_at_once(entry, policy):
    async def test():
        caller = await call_while_draining(entry(policy), 3.0)
        assert caller.status == 503
        assert float(caller.headers["Retry-After"]) < 0.1

    run_virtual(test())


def test_request_with_a_deadline_before_the_drain_deadline_is_accepted(entry):
    """During a rolling restart callers may have no other entry to go to."""

    async def test():
        caller = await call_while_draining(entry("limited"), 1.0, patience=6.0)
        assert caller.status == 200

    run_virtual(test())


def test_request_is_accepted_until_the_balancer_redirects_callers(entry):
    """The balancer sends callers here until it has missed two probes.

    A refused caller returned to the same entry, and had no further retry.
    """

    async def test():
        caller = await call_while_draining(entry("redirected"), 2.0)
        assert caller.response_complete

    run_virtual(test())


def test_expected_policy_accepts_an_answer_that_is_then_aborted(entry):
    """The failure above. The policy is kept for deployments without long answers."""

    async def test():
        caller = await call_while_draining(entry("expected"), 3.0)
        assert caller.aborted

    run_virtual(test())


def test_none_policy_refuses_every_request(entry):
    async def test():
        caller = await call_while_draining(entry("none"), 0.1)
        assert caller.status == 503

    run_virtual(test())


@pytest.mark.parametrize("policy", ["limited", "none"])
def test_each_request_received_while_draining_is_logged(entry, policy):
    async def test():
        draining_entry = entry(policy)
        await draining_entry.call(1).task
        draining_entry.gateway.readiness.start_drain(asyncio.get_running_loop().time())
        await draining_entry.call(1).task
        assert draining_entry.gateway.log.events.count("last_request") == 1

    run_virtual(test())


@pytest.mark.parametrize("slowdown", [1.5, 2.0, 4.0])
@pytest.mark.parametrize("events", [60, 100, 130])
@pytest.mark.parametrize("after", [2.6, 3.1, 3.4, 4.5])
def test_answer_accepted_late_is_not_aborted_when_endpoints_slow_down(
    entry, after, events, slowdown
):
    async def test():
        draining_entry = entry(DEFAULT_POLICY)
        await draining_entry.serve_usual_answers()
        draining_entry.gateway.readiness.start_drain(asyncio.get_running_loop().time())
        drain_task = asyncio.ensure_future(draining_entry.drainer.run())
        draining_entry.call(MAX_EVENTS)
        await asyncio.sleep(after)
        caller = draining_entry.call(events, max_events=events)
        await asyncio.sleep(0.2)
        draining_entry.slowdown = slowdown
        await drain_task
        assert not caller.aborted

    run_virtual(test())
