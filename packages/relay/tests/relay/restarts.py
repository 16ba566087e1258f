"""Entries that are asked to end one after the other, and start again."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from types import SimpleNamespace

import attrs
from tornado.httputil import HTTPHeaders

from lacewingcourse.core.pipelines.ending import RESTART_TIME, START_TIME
from lacewingcourse.core.pipelines.freshness import Freshness
from lacewingcourse.core.pipelines.peers import PeerBook
from lacewingcourse.core.pipelines.routing import Organisation, RetrySafety
from lacewingcourse.core.pipelines.shape import EngineShape
from lacewingcourse.core.pipelines.shutdown import LAST_REQUESTS
from lacewingcourse.relay.beliefs import Beliefs
from lacewingcourse.relay.endings import Endings
from lacewingcourse.relay.gateway import Gateway
from lacewingcourse.relay.gossip import Gossip
from lacewingcourse.relay.leaving import Departure
from lacewingcourse.relay.peer_messages import PeerNews, decode, encode
from lacewingcourse.relay.peers import PERIOD
from lacewingcourse.relay.readiness import Readiness

from .routes import route_of
from .stream_play import CallerStub, Decisions

#: Seconds in which an entry must have ended.
GRACE = 8.0
#: Seconds between the requests to end of two entries.
APART = 0.38
#: Tokens in one event of an answer, and seconds between two events.
EVENT_TOKENS = 2
INTERVAL = 0.028
#: Events that callers allow.
MAX_EVENTS = 173
#: Seconds that a message between entries takes.
TRIP = 0.005
#: Seconds between two callers of an entry.
CALL_PERIOD = 0.07
#: Seconds between the end of an entry and its first connections, at the least.
LEAST_BACK = 0.9


#: Draws how many events an answer has.
Lengths = Callable[[Random], int]


class Caller(CallerStub):
    """A caller whose answer has a number of events."""

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
class Refused:
    """A caller that was refused while entries were ending.

    Attributes:
        at: When, seconds.
        comes_at: When it was told to come back.
    """

    at: float
    comes_at: float


@attrs.define
class Process:
    """One process of an entry.

    Attributes:
        gateway: Takes requests.
        departure: Ends it.
        gossip: Speaks with others.
    """

    gateway: Gateway
    departure: Departure
    gossip: Gossip

    def call(self, events: int) -> Caller:
        """Send it a request whose answer has a number of events."""
        caller = Caller(events, self.gateway.clock())
        caller.task = asyncio.ensure_future(self.gateway.serve(caller))
        callers = self.departure.callers.open
        callers.add(caller)
        caller.task.add_done_callback(lambda task: callers.discard(caller))
        return caller


async def write_events(job, shape) -> None:
    """Write an answer as an engine does that is well."""
    job.caller.begin(200, HTTPHeaders())
    clock = asyncio.get_running_loop().time
    for _ in range(job.caller.events):
        await asyncio.sleep(INTERVAL)
        job.progress(clock())
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
        patience=None,
        received_at=now,
        most_answer=MAX_EVENTS * EVENT_TOKENS,
    )


class Restarts:
    """A deployment whose entries are all restarted within some seconds.

    Attributes:
        processes: The processes that run, by name of the entry.
        lengths: Draws how many events an answer has.
        back: When each entry took connections again, by name.
        refused: Callers that were refused while no entry was back.
    """

    def __init__(
        self, shape: EngineShape, count: int, seed: int, lengths: Lengths
    ) -> None:
        self.lengths = lengths
        self.shape = attrs.evolve(shape, event_tokens=EVENT_TOKENS)
        self.clock = asyncio.get_running_loop().time
        self.rng = Random(seed)
        self.names = [f"entry-{number}" for number in range(count)]
        self.processes: dict[str, Process] = {}
        self.back: dict[str, float] = {}
        self.refused: list[Refused] = []

    def start(self, name: str) -> None:
        """Start a process of an entry, and let it speak."""
        beliefs = Beliefs()
        route = route_of("rooms", RetrySafety.RESUMABLE_STREAM)
        beliefs.table = SimpleNamespace(
            version=1,
            services={"rooms": SimpleNamespace(shape=self.shape)},
            route=lambda host, path: route,
            organisation=lambda found, key: Organisation(""),
            keys=None,
        )
        for _ in range(64):
            events = self.lengths(self.rng)
            beliefs.durations.record_answer("rooms", events * INTERVAL)
            beliefs.durations.record_stream("rooms", INTERVAL, INTERVAL)
        process = self._process(name, beliefs)
        self.processes[name] = process
        asyncio.ensure_future(self._speak(name, process))

    def _process(self, name: str, beliefs: Beliefs) -> Process:
        readiness = Readiness(beliefs, GRACE, LAST_REQUESTS.get("redirected"))
        codec = SimpleNamespace(
            decode=decode_request,
            refusal=lambda refusal, request: (
                refusal.answer.status,
                HTTPHeaders({"Retry-After": str(refusal.retry_after)}),
                b"",
            ),
        )
        book = PeerBook(name)
        for other in self.names:
            book.learn(other, other, self.clock())
        gateway = Gateway(
            beliefs,
            codec,
            SimpleNamespace(budget=SimpleNamespace(on_request=lambda *args: None)),
            SimpleNamespace(serve=write_events),
            readiness,
            Decisions(),
            self.clock,
            lambda: endings.ready_in(),
            Random(self.rng.random()),
        )
        callers = SimpleNamespace(open=set())
        endings = Endings(readiness, callers, gateway, book, self.clock)
        follower = SimpleNamespace(
            freshness=Freshness(1.0, 0.1), position=None, reachable=True
        )
        gossip = Gossip(
            name,
            name,
            book,
            beliefs,
            follower,
            follower,
            SimpleNamespace(lease=None, released=0, hear=lambda *news: None),
            readiness,
            Decisions(),
            self.clock,
            endings.ends_in,
        )
        departure = Departure(readiness, callers, gateway, self.clock)
        return Process(gateway, departure, gossip)

    async def _speak(self, name: str, process: Process) -> None:
        """Speak with the other entries as long as a process runs."""
        await asyncio.sleep(self.rng.uniform(0.0, PERIOD))
        while self.processes.get(name) is process:
            for peer in process.gossip.book.partners(self.clock()):
                asyncio.ensure_future(self._exchange(process, peer.name))
            await asyncio.sleep(PERIOD)

    async def _exchange(self, process: Process, other_name: str) -> None:
        """Let a process speak to another one, and that one answer."""
        news = encode(process.gossip.news_for(other_name, ""))
        await asyncio.sleep(TRIP)
        other = self.processes.get(other_name)
        if other is None:
            return
        other.gossip.take(decode(news, PeerNews))
        answer = encode(other.gossip.news_for(process.gossip.name, ""))
        await asyncio.sleep(TRIP)
        process.gossip.take(decode(answer, PeerNews))

    async def restart(self, name: str) -> None:
        """Ask an entry to end, and start it again."""
        process = self.processes[name]
        process.gateway.readiness.leave(self.clock())
        calls = asyncio.ensure_future(self._call(process))
        await process.departure.carry_out()
        calls.cancel()
        del self.processes[name]
        await asyncio.sleep(self.rng.uniform(LEAST_BACK, RESTART_TIME + START_TIME))
        self.start(name)
        self.back[name] = self.clock()

    async def _call(self, process: Process) -> None:
        """Send callers to a process, and keep those that it refuses."""
        while True:
            await asyncio.sleep(CALL_PERIOD)
            caller = process.call(self.lengths(self.rng))
            await asyncio.sleep(0)
            if caller.task.done() and not self.back:
                wait = float(caller.headers["Retry-After"])
                self.refused.append(Refused(self.clock(), self.clock() + wait))

    async def play(self) -> None:
        """Restart all entries, each with an open answer."""
        for name in self.names:
            self.start(name)
        await asyncio.sleep(5 * PERIOD)
        restarts = []
        for name in self.names:
            self.processes[name].call(self.lengths(self.rng))
            restarts.append(asyncio.ensure_future(self.restart(name)))
            await asyncio.sleep(APART)
        await asyncio.gather(*restarts)
