"""Tests of what an entry takes that was asked to end.

Callers lost answers that they were reading. An entry was asked to end; three seconds
later, when the balancer had no other instance to send callers to, it took a stream,
since answers of that route were usually over in two seconds. This one was as long as
its caller allowed. The engine wrote on without a fault until the grace time was over,
and the entry closed the connection in the middle of the answer. The log showed the
cause: `broken_off` with kind `draining`, events until two milliseconds before it, and
12 seconds left of the caller's time.

What nearly all answers take is a guess, and the caller of the one that takes longer
pays for it.
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
from lacewingcourse.relay.gateway import Gateway
from lacewingcourse.relay.leaving import Departure
from lacewingcourse.relay.readiness import Readiness
from lacewingcourse.relay.routing_state import RoutingState
from lacewingcourse.relay.settings import RelaySettings

from .routes import route_of
from .stream_play import CallerStub, Decisions
from .virtual_time import run_virtual

if TYPE_CHECKING:
    from collections.abc import Callable

#: Seconds in which the entry must have ended.
GRACE = 8.0
#: Events of the longest answer that callers allow, and seconds between two.
MAX_EVENTS = 173
INTERVAL = 0.028
#: Tokens in one event.
EVENT_TOKENS = 2
#: Header of a request that tells how many events its answer may have.
MAX_EVENTS_HEADER = "Max-Events"
#: Header that tells for how many seconds its caller waits.
PATIENCE_HEADER = "Patience"
#: What is taken unless an operator chooses otherwise.
DEFAULT = RelaySettings.__attrs_attrs__.last_requests.default


class Caller(CallerStub):
    """A caller of a request whose answer has a number of events."""

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
class LeavingEntry:
    """An entry that serves streams until it ends.

    Attributes:
        gateway: Takes requests.
        departure: Ends the entry.
        slowness: How many times as long as usual endpoints take for an event.
    """

    gateway: Gateway
    departure: Departure
    slowness: float = 1.0

    def call(
        self,
        events: int,
        max_events: int = MAX_EVENTS,
        patience: float | None = None,
    ) -> Caller:
        """Send it a request whose answer has a number of events."""
        caller = Caller(events, max_events, patience, self.interval)
        caller.task = asyncio.ensure_future(self.gateway.serve(caller))
        self.departure.callers.open.add(caller)
        caller.task.add_done_callback(
            lambda task: self.departure.callers.open.discard(caller)
        )
        return caller

    def interval(self) -> float:
        """Return the seconds between two events of an answer."""
        return INTERVAL * self.slowness

    async def serve_usual_answers(self) -> None:
        """Serve answers of which nearly all are over in two seconds."""
        callers = [self.call(events) for events in range(41, 73)]
        await asyncio.gather(*(caller.task for caller in callers))


async def write_events(job, shape) -> None:
    """Write an answer as an engine does that is well."""
    job.caller.begin(200, HTTPHeaders())
    clock = asyncio.get_running_loop().time
    for _ in range(job.caller.events):
        await asyncio.sleep(job.caller.interval())
        job.progress(clock())
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
        timeout=float(headers.get(PATIENCE_HEADER, "inf")),
        received_at=now,
        max_answer_tokens=int(headers[MAX_EVENTS_HEADER]) * EVENT_TOKENS,
    )


@pytest.fixture
def entry(shape):
    """Return a function that makes an entry in the running loop."""

    def make(choice: str) -> LeavingEntry:
        clock = asyncio.get_running_loop().time
        routing_state = RoutingState()
        figures = attrs.evolve(shape, event_tokens=EVENT_TOKENS)
        route = route_of("rooms", RetrySafety.RESUMABLE_STREAM)
        routing_state.table = SimpleNamespace(
            services={"rooms": SimpleNamespace(shape=figures)},
            route=lambda host, path: route,
            organisation=lambda found, key: Organisation(""),
            keys=None,
        )
        readiness = Readiness(routing_state, GRACE, LAST_REQUESTS.get(choice))
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
            Decisions(),
            clock,
            lambda: 0.0,
            Random(1),
        )
        callers = SimpleNamespace(open=set())
        return LeavingEntry(gateway, Departure(readiness, callers, gateway, clock))

    return make


async def call_while_leaving(
    entry: LeavingEntry, after: float, patience: float | None = None
) -> Caller:
    """Return a caller that met an entry some seconds after it was asked to end.

    Its answer is the longest that it allows, as is one that was begun before.
    """
    await entry.serve_usual_answers()
    clock = asyncio.get_running_loop().time
    entry.call(MAX_EVENTS)
    await asyncio.sleep(INTERVAL)
    entry.gateway.readiness.leave(clock())
    ending = asyncio.ensure_future(entry.departure.carry_out())
    await asyncio.sleep(after)
    caller = entry.call(MAX_EVENTS, patience=patience)
    await ending
    return caller


@pytest.mark.parametrize("choice", ["limited", "redirected"])
@pytest.mark.parametrize("after", [0.1, 1.0, 2.0, 2.9, 3.1, 4.5])
def test_no_answer_is_cut_off_that_was_begun_after_the_request_to_end(
    entry, choice, after
):
    async def test():
        caller = await call_while_leaving(entry(choice), after)
        assert not caller.broken
        assert caller.whole

    run_virtual(test())


@pytest.mark.parametrize("choice", ["limited", "redirected"])
def test_an_answer_that_may_outlast_the_end_is_refused_at_once(entry, choice):
    async def test():
        caller = await call_while_leaving(entry(choice), 3.0)
        assert caller.status == 503
        assert float(caller.headers["Retry-After"]) < 0.1

    run_virtual(test())


def test_an_answer_whose_caller_leaves_before_the_end_is_taken(entry):
    """While all entries end one after the other, callers have no other one."""

    async def test():
        caller = await call_while_leaving(entry("limited"), 1.0, patience=6.0)
        assert caller.status == 200

    run_virtual(test())


def test_a_caller_that_can_meet_no_other_instance_yet_is_taken(entry):
    """The balancer sends it here until it has missed two answers.

    Refused, it came back to the same entry, and had no further try.
    """

    async def test():
        caller = await call_while_leaving(entry("redirected"), 2.0)
        assert caller.whole

    run_virtual(test())


def test_an_expectation_takes_an_answer_that_is_then_cut_off(entry):
    """What was seen, kept as a choice for deployments where no answer is that long."""

    async def test():
        caller = await call_while_leaving(entry("expected"), 3.0)
        assert caller.broken

    run_virtual(test())


def test_an_entry_may_take_nothing_more(entry):
    async def test():
        caller = await call_while_leaving(entry("none"), 0.1)
        assert caller.status == 503

    run_virtual(test())


@pytest.mark.parametrize("choice", ["limited", "none"])
def test_each_request_that_comes_while_ending_is_logged(entry, choice):
    async def test():
        leaving = entry(choice)
        await leaving.call(1).task
        leaving.gateway.readiness.leave(asyncio.get_running_loop().time())
        await leaving.call(1).task
        assert leaving.gateway.log.events.count("last_request") == 1

    run_virtual(test())


@pytest.mark.parametrize("slowness", [1.5, 2.0, 4.0])
@pytest.mark.parametrize("events", [60, 100, 130])
@pytest.mark.parametrize("after", [2.6, 3.1, 3.4, 4.5])
def test_no_answer_begun_late_is_cut_off_when_endpoints_slow_down_meanwhile(
    entry, after, events, slowness
):
    async def test():
        leaving = entry(DEFAULT)
        await leaving.serve_usual_answers()
        leaving.gateway.readiness.leave(asyncio.get_running_loop().time())
        ending = asyncio.ensure_future(leaving.departure.carry_out())
        leaving.call(MAX_EVENTS)
        await asyncio.sleep(after)
        caller = leaving.call(events, max_events=events)
        await asyncio.sleep(0.2)
        leaving.slowness = slowness
        await ending
        assert not caller.broken

    run_virtual(test())
