"""A stream through the real forwarder, with engines that follow a script."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
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
from lacewingcourse.core.pipelines.suspects import Grade
from lacewingcourse.relay.admission import Admission
from lacewingcourse.relay.connections import (
    ConnectionPool,
    NotSent,
    Unsent,
)
from lacewingcourse.relay.crash_guard import CrashGuard
from lacewingcourse.relay.held_answers import HeldAnswers
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

#: Events of a response.
EVENT_COUNT = 20
#: Header of a response that names the engine.
ENGINE_HEADER = "X-Engine"
#: Seconds between two events.
EVENT_INTERVAL = 0.05
#: Slack of a retry budget that never runs out, and of one that allows no retry.
UNLIMITED_RETRIES = 10_000.0
NO_RETRIES = 0.0


def event(number: int) -> bytes:
    """Return one event of a response."""
    return b"id: %d\ndata: word %d\n\n" % (number, number)


def path_of(*names: str) -> Path:
    """Return a path through endpoints that hold a layer each."""
    parts = [Part(n, f"{n}:1", "east", Layers(i, i + 1)) for i, n in enumerate(names)]
    return Path(tuple(parts), 5.0)


@attrs.define
class Engine:
    """How the first engine of a path responds to an attempt.

    Attributes:
        pause_after: Event after which it pauses, 0 for before the first one, None for
            no pause.
        pause: Seconds of that pause.
        breaks: Whether it breaks off the response after the pause.
        status: HTTP status of its response.
        drops: Whether it has closed the pooled connections to it.
        stops_after: Event after which it writes nothing more, None for none.
        accepts_after: Seconds after which its response begins.
        chunks: Returns the bytes that it writes in place of sound events, after the
            identifier of the last event that it was given; None for sound events.
        end: End of a response of such bytes, None if it falls silent after them.
    """

    pause_after: int | None = None
    pause: float = 0.0
    breaks: bool = False
    status: int = 200
    drops: bool = False
    stops_after: int | None = None
    accepts_after: float = 0.0
    chunks: Callable[[str], list[bytes]] | None = None
    end: End | None = End(True)


class EngineRun:
    """An attempt on a scripted engine, in place of the HTTP exchange."""

    def __init__(self, engine: Engine, after: str, fresh: bool, name: str = "") -> None:
        self.arrivals: asyncio.Queue = asyncio.Queue()
        self.sink = None
        self.reusable = True
        self.head = Head(engine.status, HTTPHeaders({ENGINE_HEADER: name}))
        self.abandoned = False
        self.was_dropped = engine.drops and not fresh
        self._task = asyncio.ensure_future(self._write(engine, after))

    def abandon(self) -> None:
        """Stop the engine's work."""
        self.abandoned = True
        self._task.cancel()

    async def _write(self, engine: Engine, after: str) -> None:
        if self.was_dropped:
            self.arrivals.put_nowait(End(False, "closed"))
            return
        await asyncio.sleep(engine.accepts_after)
        self.arrivals.put_nowait(self.head)
        if engine.status != 200:
            self.arrivals.put_nowait(End(True))
            return
        if engine.breaks and engine.pause_after == 0:
            self.arrivals.put_nowait(End(False, "ended early"))
            return
        if engine.chunks is not None:
            await self._write_chunks(engine, after)
            return
        for number in range(int(after or 0) + 1, EVENT_COUNT + 1):
            await asyncio.sleep(EVENT_INTERVAL)
            self._put(event(number))
            if number == engine.stops_after:
                return
            if number == engine.pause_after:
                await asyncio.sleep(engine.pause)
                if engine.breaks:
                    self.arrivals.put_nowait(End(False, "ended early"))
                    return
        self.arrivals.put_nowait(End(True))

    async def _write_chunks(self, engine: Engine, after: str) -> None:
        for chunk in engine.chunks(after):
            await asyncio.sleep(EVENT_INTERVAL)
            self._put(chunk)
        if engine.end is not None:
            self.arrivals.put_nowait(engine.end)

    def _put(self, data: bytes) -> None:
        if self.sink is not None:
            self.sink(data)
        else:
            self.arrivals.put_nowait(Data(data))


class CallerStub:
    """A caller that reads everything and does not leave."""

    def __init__(self) -> None:
        self.body = b""
        self.status = 0
        self.disconnected = False
        self.response_started = False
        self.response_ended = False
        self.response_complete = False
        self.aborted = False

    def has_left(self) -> bool:
        return self.disconnected

    def begin(self, status, headers, first=b"") -> None:
        self.response_started = True
        self.status = status
        self.headers = headers
        self.body += first

    def write(self, data) -> None:
        self.body += data

    def end(self) -> None:
        self.response_ended = self.response_complete = True

    def answer(self, status, headers, body) -> None:
        self.begin(status, headers, body)
        self.end()

    def abort(self) -> None:
        self.response_ended = self.aborted = True


class RecordingLog:
    """A decision log that keeps the events logged."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def log_event(self, event: str, **fields) -> None:
        self.events.append(event)

    def __getattr__(self, name: str):
        return lambda *args, **fields: self.events.append(name)


@attrs.define(slots=False)
class StreamScenario:
    """A stream through endpoints a and b; c and d hold the same layers.

    Attributes:
        shape: Performance figures of the engines.
        engines: Behaviour of the first engine of each path, by its name.
        slack: Retries that the budget allows.
        room_available_at: Time from which the second path has room, seconds.
        descriptor_outage: Start and end of the time without file descriptors, seconds.
        retry_safety: What may be sent again.
        attempts: Maximum number of attempts of the route.
        resume_after: Last event that the caller already has, or empty.
        prompt_parts: Parts of the prompt, the last one of which is the stream's own.
    """

    shape: EngineShape
    engines: dict[str, Engine]
    slack: float = UNLIMITED_RETRIES
    room_available_at: float = 0.0
    descriptor_outage: tuple[float, float] = (0.0, 0.0)
    retry_safety: RetrySafety = RetrySafety.RESUMABLE_STREAM
    attempts: int = 2
    resume_after: str = ""
    prompt_parts: tuple[str, ...] = ()

    def __attrs_post_init__(self) -> None:
        self.runs: list[tuple[float, str, EngineRun]] = []
        self.caller = CallerStub()
        self.ended_at = 0.0
        self.pool = ConnectionPool()
        self.answers = HeldAnswers()
        self.log = RecordingLog()
        self.budget = RetryBudget(0.0, 10.0, self.slack)
        self.routing_state = RoutingState()
        service = SimpleNamespace(shape=self.shape)
        self.routing_state.table = SimpleNamespace(services={"rooms": service})

    @property
    def firsts(self) -> list[str]:
        """First endpoints of the attempts, in order."""
        return [name for _, name, _ in self.runs]

    def clock(self) -> float:
        return asyncio.get_running_loop().time()

    async def serve(self, *scheduled_calls) -> Refusal | None:
        """Serve the stream; return the refusal if the response is not complete.

        Args:
            scheduled_calls: Pairs of a time in seconds and a function that is called
                with the stall watcher at that time.
        """
        watcher = StallWatcher(
            SimpleNamespace(report=self._report),
            self.routing_state.suspects,
            SpeedEstimator(),
            SimpleNamespace(is_idle=lambda job, avoid: False),
            self.clock,
            self.log,
            lambda endpoints, reason, grade: None,
            lambda name, born: False,
        )
        forwarder = StreamForwarder(
            self.routing_state,
            SimpleNamespace(find=self._find, oversized=lambda *demand: None),
            self,
            self.budget,
            Random(1),
            Admission(self.clock),
            watcher,
            self.log,
        )
        for at, call in scheduled_calls:
            asyncio.get_running_loop().call_at(at, call, watcher)
        self.job = self._job()
        ended = await forwarder.serve(self.job, self.shape)
        self.ended_at = self.clock()
        return ended

    def declare_dead(self, *names: str):
        """Return a function that makes a watcher declare endpoints dead."""
        return lambda watcher: watcher._declare_dead(
            set(names), "no report", Grade.DOUBTFUL
        )

    def set_slack(self, slack: float):
        """Return a function that changes the retries that the budget allows."""

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
        if self.clock() < self.room_available_at:
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
            max_answer_tokens=EVENT_COUNT,
            prompt=100,
            prompt_parts=self.prompt_parts,
        )
        return Job(request, route, "rooms", Organisation(""), self.caller, False, 20.0)

    @property
    def codec(self):
        """A codec for which every response without success is a rejection."""
        length = str(len(whole_answer()))

        def for_caller(head: AnswerHead) -> HTTPHeaders:
            return HTTPHeaders({**head.headers, "Content-Length": length})

        return SimpleNamespace(head=self._head, for_caller=for_caller)

    def _head(self, status, headers, request) -> AnswerHead:
        answer_kind = AnswerKind.ANSWERED if status == 200 else AnswerKind.REJECTED
        return AnswerHead(status, headers, answer_kind)

    async def reserve(self, address, fresh) -> SimpleNamespace | NotSent:
        start, end = self.descriptor_outage
        if start <= self.clock() < end:
            return NotSent(Unsent.NO_DESCRIPTOR)
        return SimpleNamespace(close=lambda: None, reused=not fresh)

    async def send(self, job, sending, fresh, reserved=None) -> EngineRun | NotSent:
        return await Sender.send(self, job, sending, fresh, reserved)

    #: The checks of a send are those of the real sender.
    release_holds = Sender.release_holds
    end = Sender.end
    _claim_send = Sender._claim_send

    @property
    def crash_refusal(self):
        return CrashGuard(self.routing_state, self.log, self.clock).refusal

    @property
    def limits(self) -> SendLimits:
        return self.routing_state.send_limits

    @property
    def backoffs(self):
        """Delays that endpoints asked for."""
        return self.routing_state.backoffs

    def start(self, job, sending, connection) -> EngineRun:
        name = sending.path.first.endpoint
        engine = self.engines.get(name, Engine())
        run = EngineRun(engine, sending.resume_after, not connection.reused, name)
        self.runs.append((self.clock(), name, run))
        return run

    def release(self, exchange, head) -> None:
        """Return no connection to a pool."""


def whole_answer() -> bytes:
    """Return the body of a complete response."""
    return b"".join(event(number) for number in range(1, EVENT_COUNT + 1))
