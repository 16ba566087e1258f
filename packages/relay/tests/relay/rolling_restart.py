"""A simulated rolling restart: entries drain one after the other and start again."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from types import SimpleNamespace

import attrs
from tornado.httputil import HTTPHeaders

from lacewingcourse.core.pipelines.freshness import Freshness
from lacewingcourse.core.pipelines.peers import PeerTable
from lacewingcourse.core.pipelines.restart_estimate import RESTART_TIME, STARTUP_TIME
from lacewingcourse.core.pipelines.routing import Organisation, RetrySafety
from lacewingcourse.core.pipelines.shape import EngineShape
from lacewingcourse.core.pipelines.shutdown import LAST_REQUESTS
from lacewingcourse.relay.drain import Drainer
from lacewingcourse.relay.gateway import Gateway
from lacewingcourse.relay.gossip import Gossip
from lacewingcourse.relay.peer_messages import GossipMessage, decode, encode
from lacewingcourse.relay.peers import GOSSIP_PERIOD
from lacewingcourse.relay.readiness import Readiness
from lacewingcourse.relay.restart_estimate import RestartEstimator
from lacewingcourse.relay.routing_state import RoutingState

from .routes import route_of
from .stream_scenario import CallerStub, RecordingLog

#: Seconds from the shutdown request within which an entry must have ended.
GRACE = 8.0
#: Seconds between the shutdown requests of two entries.
STAGGER = 0.38
#: Tokens in one event of an answer, and seconds between two events.
EVENT_TOKENS = 2
INTERVAL = 0.028
#: Events that callers allow.
MAX_EVENTS = 173
#: Seconds that a message between entries takes.
MESSAGE_DELAY = 0.005
#: Seconds between two callers of an entry.
CALL_PERIOD = 0.07
#: Least seconds between the end of an entry and its first connections.
MIN_RESTART_TIME = 0.9


#: Draws the number of events of an answer.
DrawEventCount = Callable[[Random], int]


class Caller(CallerStub):
    """A caller whose answer has a given number of events."""

    def __init__(self, events: int, now: float) -> None:
        super().__init__()
        self.events = events
        self.method, self.target, self.headers = "POST", "/", HTTPHeaders()
        self.arrived_at = now
        self.task: asyncio.Task | None = None

    def cancel(self) -> None:
        """Stop serving the request."""
        self.task.cancel()


@attrs.frozen
class RefusedCaller:
    """A caller that was refused while entries were draining.

    Attributes:
        at: When it was refused, seconds.
        returns_at: When its `Retry-After` expires, seconds.
    """

    at: float
    returns_at: float


@attrs.define
class Process:
    """One process of an entry.

    Attributes:
        gateway: Serves requests.
        drainer: Drains it.
        gossip: Exchanges state with other entries.
    """

    gateway: Gateway
    drainer: Drainer
    gossip: Gossip

    def call(self, events: int) -> Caller:
        """Send a request whose answer has a given number of events."""
        caller = Caller(events, self.gateway.clock())
        caller.task = asyncio.ensure_future(self.gateway.serve(caller))
        callers = self.drainer.callers.open
        callers.add(caller)
        caller.task.add_done_callback(lambda task: callers.discard(caller))
        return caller


async def write_events(job, shape) -> None:
    """Write an answer as a healthy engine does."""
    job.caller.begin(200, HTTPHeaders())
    clock = asyncio.get_running_loop().time
    for _ in range(job.caller.events):
        await asyncio.sleep(INTERVAL)
        job.record_events(clock())
    job.caller.end()


def decode_request(method, target, headers, now):
    """Return the request of a caller."""
    return SimpleNamespace(
        id="r",
        host="h",
        path="/",
        target="/",
        key=None,
        body=b"",
        prompt_parts=(),
        timeout=None,
        received_at=now,
        max_answer_tokens=MAX_EVENTS * EVENT_TOKENS,
    )


class RollingRestart:
    """A deployment whose entries are all restarted within some seconds.

    Attributes:
        processes: The running processes, by name of the entry.
        draw_event_count: Draws the number of events of an answer.
        ready_at: When each entry accepted connections again, by name.
        refused: Callers that were refused before any entry was back.
    """

    def __init__(
        self,
        shape: EngineShape,
        count: int,
        seed: int,
        draw_event_count: DrawEventCount,
    ) -> None:
        self.draw_event_count = draw_event_count
        self.shape = attrs.evolve(shape, event_tokens=EVENT_TOKENS)
        self.clock = asyncio.get_running_loop().time
        self.rng = Random(seed)
        self.names = [f"entry-{number}" for number in range(count)]
        self.processes: dict[str, Process] = {}
        self.ready_at: dict[str, float] = {}
        self.refused: list[RefusedCaller] = []

    def start(self, name: str) -> None:
        """Start a process of an entry, and its gossip."""
        routing_state = RoutingState()
        route = route_of("rooms", RetrySafety.RESUMABLE_STREAM)
        routing_state.table = SimpleNamespace(
            version=1,
            services={"rooms": SimpleNamespace(shape=self.shape)},
            route=lambda host, path: route,
            organisation=lambda found, key: Organisation(""),
            keys=None,
        )
        for _ in range(64):
            events = self.draw_event_count(self.rng)
            routing_state.durations.record_answer("rooms", events * INTERVAL)
            routing_state.durations.record_stream("rooms", INTERVAL, INTERVAL)
        process = self._process(name, routing_state)
        self.processes[name] = process
        asyncio.ensure_future(self._run_gossip(name, process))

    def _process(self, name: str, routing_state: RoutingState) -> Process:
        readiness = Readiness(routing_state, GRACE, LAST_REQUESTS.get("redirected"))
        codec = SimpleNamespace(
            decode=decode_request,
            refusal=lambda refusal, request: (
                refusal.answer.status,
                HTTPHeaders({"Retry-After": str(refusal.retry_after)}),
                b"",
            ),
        )
        book = PeerTable(name)
        for other in self.names:
            book.set_address(other, other, self.clock())
        gateway = Gateway(
            routing_state,
            codec,
            SimpleNamespace(budget=SimpleNamespace(on_request=lambda *args: None)),
            SimpleNamespace(serve=write_events),
            readiness,
            RecordingLog(),
            self.clock,
            lambda: estimator.ready_in(),
            Random(self.rng.random()),
        )
        callers = SimpleNamespace(open=set())
        estimator = RestartEstimator(readiness, callers, gateway, book, self.clock)
        follower = SimpleNamespace(
            freshness=Freshness(1.0, 0.1), position=None, reachable=True
        )
        gossip = Gossip(
            name,
            name,
            book,
            routing_state,
            follower,
            follower,
            SimpleNamespace(lease=None, released=0, from_peer=lambda *news: None),
            readiness,
            RecordingLog(),
            self.clock,
            estimator.ends_in,
        )
        drainer = Drainer(readiness, callers, gateway, self.clock)
        return Process(gateway, drainer, gossip)

    async def _run_gossip(self, name: str, process: Process) -> None:
        """Exchange state with the other entries while the process runs."""
        await asyncio.sleep(self.rng.uniform(0.0, GOSSIP_PERIOD))
        while self.processes.get(name) is process:
            for peer in process.gossip.book.gossip_targets(self.clock()):
                asyncio.ensure_future(self._exchange(process, peer.name))
            await asyncio.sleep(GOSSIP_PERIOD)

    async def _exchange(self, process: Process, other_name: str) -> None:
        """Send the state of a process to another one, and process the reply."""
        news = encode(process.gossip.message_for(other_name, ""))
        await asyncio.sleep(MESSAGE_DELAY)
        other = self.processes.get(other_name)
        if other is None:
            return
        other.gossip.receive(decode(news, GossipMessage))
        answer = encode(other.gossip.message_for(process.gossip.name, ""))
        await asyncio.sleep(MESSAGE_DELAY)
        process.gossip.receive(decode(answer, GossipMessage))

    async def restart(self, name: str) -> None:
        """Ask an entry to shut down, and start it again."""
        process = self.processes[name]
        process.gateway.readiness.start_drain(self.clock())
        calls = asyncio.ensure_future(self._send_callers(process))
        await process.drainer.run()
        calls.cancel()
        del self.processes[name]
        await asyncio.sleep(
            self.rng.uniform(MIN_RESTART_TIME, RESTART_TIME + STARTUP_TIME)
        )
        self.start(name)
        self.ready_at[name] = self.clock()

    async def _send_callers(self, process: Process) -> None:
        """Send callers to a process, and record those that it refuses."""
        while True:
            await asyncio.sleep(CALL_PERIOD)
            caller = process.call(self.draw_event_count(self.rng))
            await asyncio.sleep(0)
            if caller.task.done() and not self.ready_at:
                wait = float(caller.headers["Retry-After"])
                self.refused.append(RefusedCaller(self.clock(), self.clock() + wait))

    async def restart_all(self) -> None:
        """Restart all entries, each with an open answer."""
        for name in self.names:
            self.start(name)
        await asyncio.sleep(5 * GOSSIP_PERIOD)
        restarts = []
        for name in self.names:
            self.processes[name].call(self.draw_event_count(self.rng))
            restarts.append(asyncio.ensure_future(self.restart(name)))
            await asyncio.sleep(STAGGER)
        await asyncio.gather(*restarts)
