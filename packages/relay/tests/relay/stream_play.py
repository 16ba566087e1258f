"""One stream on its way through the forwarder, with engines that follow a script."""

from __future__ import annotations

import asyncio
from random import Random
from types import SimpleNamespace

import attrs
from tornado.httputil import HTTPHeaders

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.pipelines.path import Part, Path
from lacewingcourse.core.pipelines.retry_budget import RetryBudget
from lacewingcourse.core.pipelines.routing import Organisation, RetrySafety
from lacewingcourse.core.pipelines.send_limits import SendLimits
from lacewingcourse.core.pipelines.shape import EngineShape, Layers
from lacewingcourse.core.pipelines.speed import SpeedEstimator
from lacewingcourse.relay.admission import Admission
from lacewingcourse.relay.connections import (
    ConnectionPool,
    NotSent,
    Unsent,
)
from lacewingcourse.relay.job import Job
from lacewingcourse.relay.ports import AnswerHead, AnswerKind, EngineReport
from lacewingcourse.relay.routing_state import RoutingState
from lacewingcourse.relay.sending import Sender
from lacewingcourse.relay.stall_watcher import StallWatcher
from lacewingcourse.relay.streams import StreamForwarder
from lacewingcourse.relay.upstream import (
    Data,
    End,
    Head,
)

from .routes import route_of

#: Events of an answer.
EVENTS = 20
#: Seconds between two of them.
STEP = 0.05
#: A budget that allows retries without end, and one that allows none.
PLENTY = 10_000.0
NONE = 0.0


def event(number: int) -> bytes:
    """Return one event of an answer."""
    return b"id: %d\ndata: word %d\n\n" % (number, number)


def path_of(*names: str) -> Path:
    """Return a path through endpoints that hold a layer each."""
    parts = [Part(n, f"{n}:1", "east", Layers(i, i + 1)) for i, n in enumerate(names)]
    return Path(tuple(parts), 5.0)


@attrs.define
class Engine:
    """What the first engine of a path does with a run.

    Attributes:
        pause_after: Event after which it pauses, 0 for before the first one, None for
            no pause.
        pause: Seconds of that pause.
        breaks: Whether it ends the run there.
        status: Status of its answer.
        drops: Whether it has dropped the connections that are kept to it.
        stops_after: Event after which it writes nothing more, None for none.
        accepts_after: Seconds after which its answer begins.
    """

    pause_after: int | None = None
    pause: float = 0.0
    breaks: bool = False
    status: int = 200
    drops: bool = False
    stops_after: int | None = None
    accepts_after: float = 0.0


class Run:
    """A run of a stream on an engine; stands for the exchange that carries it."""

    def __init__(self, engine: Engine, after: int, fresh: bool) -> None:
        self.arrivals: asyncio.Queue = asyncio.Queue()
        self.sink = None
        self.reusable = True
        self.abandoned = False
        self.was_dropped = engine.drops and not fresh
        self._task = asyncio.ensure_future(self._write(engine, after))

    def abandon(self) -> None:
        """Stop the engine's work."""
        self.abandoned = True
        self._task.cancel()

    async def _write(self, engine: Engine, after: int) -> None:
        if self.was_dropped:
            self.arrivals.put_nowait(End(False, "closed"))
            return
        await asyncio.sleep(engine.accepts_after)
        self.arrivals.put_nowait(Head(engine.status, HTTPHeaders()))
        if engine.status != 200:
            self.arrivals.put_nowait(End(True))
            return
        if engine.breaks and engine.pause_after == 0:
            self.arrivals.put_nowait(End(False, "ended early"))
            return
        for number in range(after + 1, EVENTS + 1):
            await asyncio.sleep(STEP)
            self._put(event(number))
            if number == engine.stops_after:
                return
            if number == engine.pause_after:
                await asyncio.sleep(engine.pause)
                if engine.breaks:
                    self.arrivals.put_nowait(End(False, "ended early"))
                    return
        self.arrivals.put_nowait(End(True))

    def _put(self, data: bytes) -> None:
        if self.sink is not None:
            self.sink(data)
        else:
            self.arrivals.put_nowait(Data(data))


class CallerStub:
    """A caller that reads what it is sent, and stays."""

    def __init__(self) -> None:
        self.body = b""
        self.status = 0
        self.gone = False
        self.begun = False
        self.ended = False
        self.whole = False
        self.broken = False

    def begin(self, status, headers, first=b"") -> None:
        self.begun = True
        self.status = status
        self.headers = headers
        self.body += first

    def write(self, data) -> None:
        self.body += data

    def end(self) -> None:
        self.ended = self.whole = True

    def answer(self, status, headers, body) -> None:
        self.begin(status, headers, body)
        self.end()

    def break_off(self) -> None:
        self.ended = self.broken = True


class Decisions:
    """Keeps the events that are logged."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def log_event(self, event: str, **fields) -> None:
        self.events.append(event)

    def __getattr__(self, name: str):
        return lambda *args, **fields: self.events.append(name)


@attrs.define(slots=False)
class StreamPlay:
    """A stream through endpoints a and b; c and d hold the same layers.

    Attributes:
        shape: Figures of the engines.
        engines: What the first engine of each path does, by its name.
        slack: Repeats that are allowed.
        room_from: Time from which the second path has room, seconds.
        lacks_descriptors: From when until when there are no file descriptors, seconds.
        retry_safety: What may be repeated.
        attempts: Endpoints to which the route lets a request be sent.
        resume_after: Last event that the caller has already, or empty.
    """

    shape: EngineShape
    engines: dict[str, Engine]
    slack: float = PLENTY
    room_from: float = 0.0
    lacks_descriptors: tuple[float, float] = (0.0, 0.0)
    retry_safety: RetrySafety = RetrySafety.RESUMABLE_STREAM
    attempts: int = 2
    resume_after: str = ""

    def __attrs_post_init__(self) -> None:
        self.runs: list[tuple[float, str, Run]] = []
        self.caller = CallerStub()
        self.ended_at = 0.0
        self.pool = ConnectionPool()
        self.log = Decisions()
        self.budget = RetryBudget(0.0, 10.0, self.slack)
        self.routing_state = RoutingState()
        service = SimpleNamespace(shape=self.shape)
        self.routing_state.table = SimpleNamespace(services={"rooms": service})

    @property
    def firsts(self) -> list[str]:
        """First endpoints of the runs, in order."""
        return [name for _, name, _ in self.runs]

    def clock(self) -> float:
        return asyncio.get_running_loop().time()

    async def serve(self, *happenings) -> Refusal | None:
        """Serve the stream; return how it ended if not whole.

        Args:
            happenings: Pairs of a time and what is called with the watcher then.
        """
        watcher = StallWatcher(
            SimpleNamespace(report=self._report),
            self.routing_state.suspects,
            SpeedEstimator(),
            SimpleNamespace(is_idle=lambda job, avoid: False),
            self.clock,
            self.log,
            lambda endpoints, reason: None,
            lambda name, born: False,
        )
        forwarder = StreamForwarder(
            self.routing_state,
            SimpleNamespace(find=self._find),
            self,
            self.budget,
            Random(1),
            Admission(self.clock),
            watcher,
            self.log,
        )
        for at, call in happenings:
            asyncio.get_running_loop().call_at(at, call, watcher)
        self.job = self._job()
        ended = await forwarder.serve(self.job, self.shape)
        self.ended_at = self.clock()
        return ended

    def dies(self, *names: str):
        """Return what tells a watcher that endpoints are dead."""
        return lambda watcher: watcher._dead(set(names), "no report")

    def allow(self, slack: float):
        """Return what changes the retries that are allowed."""

        def change(watcher) -> None:
            self.budget.slack = slack

        return change

    async def _report(self, address: str, timeout: float) -> EngineReport:
        return EngineReport()

    def _find(self, job, shape, demand, besides=()) -> Path | Refusal:
        avoided = job.avoid.union(besides)
        first = path_of("a", "b")
        if not first.uses(avoided):
            return first
        second = path_of("c", "d")
        if second.uses(avoided):
            return Refusal(ErrorKind.NO_ROUTE, "no path holds every layer")
        if self.clock() < self.room_from:
            return Refusal(ErrorKind.OVERLOADED, "no path has memory")
        return second

    def _job(self) -> Job:
        route = route_of("rooms", self.retry_safety, self.attempts)
        request = SimpleNamespace(
            id="r",
            host="h",
            target="/",
            key=None,
            body=b"",
            received_at=0.0,
            resume_after=self.resume_after,
            answer_hint=None,
            max_answer_tokens=EVENTS,
            prompt=100,
        )
        return Job(request, route, "rooms", Organisation(""), self.caller, False, 20.0)

    @property
    def codec(self):
        """What reads heads; an answer without success is a rejection."""
        headers = {"Content-Length": str(len(whole_answer()))}
        return SimpleNamespace(
            head=self._head, for_caller=lambda head: HTTPHeaders(headers)
        )

    def _head(self, status, headers, request) -> AnswerHead:
        answer_kind = AnswerKind.ANSWERED if status == 200 else AnswerKind.REJECTED
        return AnswerHead(status, headers, answer_kind)

    async def reserve(self, address, fresh) -> SimpleNamespace | NotSent:
        start, end = self.lacks_descriptors
        if start <= self.clock() < end:
            return NotSent(Unsent.NO_DESCRIPTOR)
        return SimpleNamespace(close=lambda: None, reused=not fresh)

    async def send(self, job, sending, fresh, reserved=None) -> Run | NotSent:
        return await Sender.send(self, job, sending, fresh, reserved)

    #: What a send needs is decided as it really is.
    drop_holds = Sender.drop_holds
    _cause_unsent = Sender._cause_unsent

    @property
    def limits(self) -> SendLimits:
        return self.routing_state.send_limits

    def start(self, job, sending, connection) -> Run:
        name = sending.path.first.endpoint
        after = int(sending.resume_after or 0)
        run = Run(self.engines.get(name, Engine()), after, not connection.reused)
        self.runs.append((self.clock(), name, run))
        return run

    def release(self, exchange, head) -> None:
        """Keep nothing."""


def whole_answer() -> bytes:
    """Return what a caller has read of a whole answer."""
    return b"".join(event(number) for number in range(1, EVENTS + 1))
