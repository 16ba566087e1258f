"""Plays the decisions over pipelines against the engines' step formula.

Time goes in ticks. In each, every stream on a path gets as far as the step times of its
parts allow with the requests that run there at that moment; a prompt is read at the
pace of its path, behind the prompts that came before it; a part whose memory overflows
stops its newest request, which is read again.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import Refusal
from lacewingcourse.core.pipelines.admission_queue import WAIT_POLICIES, retry_after
from lacewingcourse.core.pipelines.capacity import RoundRobin, fleet_capacity
from lacewingcourse.core.pipelines.choice import Demand, PathChooser
from lacewingcourse.core.pipelines.layout import plan_layout
from lacewingcourse.core.pipelines.links import LinkUsage
from lacewingcourse.core.pipelines.load import LoadTable
from lacewingcourse.core.pipelines.path import LOCAL_HOP_MS, Path, candidate_paths
from lacewingcourse.core.registry import Registry

if TYPE_CHECKING:
    from lacewingcourse.bench.pipeline_fleets import FleetPlan
    from lacewingcourse.core.pipelines.fleet import Endpoint

#: Seconds of a tick.
TICK = 0.01
#: Seconds after the last request at which the play ends.
PATIENCE = 10.0
#: Seconds of silence after which a caller leaves, as the platform's callers do.
CALLER_PATIENCE = 2.0
#: Ticks between two looks for callers that leave.
LEAVING_TICKS = 10
#: Ticks between two tries of those that wait, as entries have it.
ADMISSION_TICKS = 3
#: Requests without room after which the others are not tried in the same tick.
MOST_FAILURES = 4
#: Spread of prompts and answers around their means (sigma of a lognormal).
SPREAD = 0.7
#: Share of the requests that the first organisation sends.
LARGE_SHARE = 1 / 3

#: What chooses one of the candidate paths, or says why none is taken.
CHOICES: Registry[Callable[..., Path | Refusal]] = Registry("choice of path")


@CHOICES.register("predicted")
def predicted(chooser, paths, demand, rng, now):
    """Choose as entries do, and refuse what has no room."""
    return chooser.choose(paths, demand, (), rng, now)


@CHOICES.register("shortest")
def shortest(chooser, paths, demand, rng, now):
    """Choose the shortest predicted time, whatever the memory."""
    return min(paths, key=lambda path: chooser.predicted_ms(path, demand, now=0.0))


@CHOICES.register("least_loaded")
def least_loaded(chooser, paths, demand, rng, now):
    """Choose the path whose fullest part runs the fewest requests."""

    def most(path):
        return max(chooser.loads.get(part.endpoint).requests for part in path.parts)

    return min(paths, key=lambda path: (most(path), rng.random()))


@CHOICES.register("random")
def at_random(chooser, paths, demand, rng, now):
    """Choose any path."""
    return rng.choice(paths)


@attrs.define(eq=False)
class Stream:
    """A request of the play.

    Attributes:
        arrived: When it came, seconds.
        demand: What it was expected to need.
        answer: Tokens that it really has.
        organisation: Who sent it.
        path: Its path, None before it has one.
        ready_at: When its prompt is read.
        written: Tokens written.
        first_at: When its first token was written.
        late: Whether a pause was too long.
        refused: Whether it was refused.
        progressed_at: When it was last written, or came.
        ended: Whether it was written to its end.
        entry: Entry at which it is, by number.
        asked_at: When its caller last asked.
        returns_at: When its caller comes back after a refusal, None if it does not.
    """

    arrived: float
    demand: Demand
    answer: int
    organisation: int
    path: Path | None = None
    ready_at: float = 0.0
    written: float = 0.0
    first_at: float | None = None
    late: bool = False
    refused: bool = False
    progressed_at: float = 0.0
    ended: bool = False
    entry: int = 0
    asked_at: float = 0.0
    returns_at: float | None = None


@attrs.frozen
class Callers:
    """What is between the callers and the fleet.

    Attributes:
        entries: Entries, each of which knows only its own requests that wait.
        wait: Name of how long these wait.
        returns: Whether a refused caller comes back once, when it is told to.
    """

    entries: int = 1
    wait: str = "in_time"
    returns: bool = False


@attrs.frozen
class Result:
    """What callers got in a play.

    Attributes:
        asked: Requests.
        in_time: Share of them served within their targets.
        late: Share served late.
        refused: Share refused.
        preempted: Requests that were stopped for want of memory.
        goodput: Requests a second that were served in time.
        worst_organisation: Share served in time of the organisation served worst.
        largest: Share served of the largest tenth.
    """

    asked: int
    in_time: float
    late: float
    refused: float
    preempted: int
    goodput: float
    worst_organisation: float
    largest: float


class Play:
    """One play of a fleet under a load.

    Attributes:
        plan: The fleet.
        choice: How paths are chosen.
        rate: Requests a second.
        seconds: Seconds for which requests come.
        last: When the play ends at the latest, seconds.
        full_token_ms: Milliseconds of a token with all memory taken.
    """

    def __init__(
        self,
        plan: FleetPlan,
        choice: str,
        rate: float,
        seconds: float,
        seed: int,
        callers: Callers = Callers(),
    ) -> None:
        self.plan = plan
        self.callers = callers
        self.wait = WAIT_POLICIES.get(callers.wait)
        self.shape = plan.shape
        self.choose = CHOICES.get(choice)
        self.rate = rate
        self.seconds = seconds
        self.last = seconds + PATIENCE
        self.rng = random.Random(seed)
        self.loads = LoadTable()
        self.links = LinkUsage()
        self.streams: list[Stream] = []
        self.running: list[Stream] = []
        self.returning: list[Stream] = []
        self.waiting: list[Stream] = []
        self.reading_until: dict[str, float] = {}
        self.preempted = 0
        self.lost: set[str] = set()
        self.endpoints: dict[str, Endpoint] = {}
        self.paths: list[Path] = []
        self._place(list(plan.endpoints))
        placed = list(self.endpoints.values())
        self.full_token_ms = fleet_capacity(
            placed, self.shape, RoundRobin()
        ).full_token_ms

    def run(self) -> Result:
        """Play until all has ended or callers have left; return what callers got."""
        arrivals = self._arrivals()
        losses = sorted(self.plan.losses, key=lambda loss: loss.at)
        now, ticks = 0.0, 0
        while now < self.last and (
            arrivals or self.running or self.waiting or self.returning
        ):
            now += TICK
            while losses and losses[0].at <= now:
                self._lose(losses.pop(0).endpoint, now)
            while arrivals and arrivals[0].arrived <= now:
                self.waiting.append(arrivals.pop(0))
            self._return(now)
            ticks += 1
            if ticks % ADMISSION_TICKS == 0:
                self._admit(now)
            if ticks % LEAVING_TICKS == 0:
                self._leave(now)
            self._write(now)
            self._preempt(now)
        return self._result()

    def _place(self, endpoints: list[Endpoint]) -> None:
        planned = {a.endpoint: a.layers for a in plan_layout(endpoints, self.shape)}
        placed = [
            attrs.evolve(e, layers=planned.get(e.id, e.layers)) for e in endpoints
        ]
        self.endpoints = {endpoint.id: endpoint for endpoint in placed}
        self.paths = candidate_paths(placed, self.shape)

    def _arrivals(self) -> list[Stream]:
        """Return the requests in order of their times."""
        now, found = 0.0, []
        while (now := now + self.rng.expovariate(self.rate)) < self.seconds:
            prompt = self._around(self.shape.usual_prompt)
            answer = self._around(self.shape.usual_answer)
            expected = max(1, int(answer * self.rng.lognormvariate(0.0, 0.5)))
            large = self.rng.random() < LARGE_SHARE
            organisation = 0 if large else self.rng.randrange(self.plan.organisations)
            demand = Demand(prompt, min(expected, 4 * self.shape.usual_answer))
            entry = self.rng.randrange(self.callers.entries)
            stream = Stream(now, demand, answer, organisation, progressed_at=now)
            stream.entry, stream.asked_at = entry, now
            found.append(stream)
        self.streams = list(found)
        return found

    def _around(self, mean: int) -> int:
        drawn = mean * self.rng.lognormvariate(-(SPREAD**2) / 2, SPREAD)
        return max(1, min(int(drawn), 3 * mean))

    def _admit(self, now: float) -> None:
        """Give paths to those that wait; refuse those that waited for too long."""
        chooser = PathChooser(self.shape, self.endpoints, self.loads, self.links)
        still: list[Stream] = []
        failures: Counter[int] = Counter()
        for stream in self._by_entry():
            path = None
            if self.paths and failures[stream.entry] < MOST_FAILURES:
                path = self.choose(chooser, self.paths, stream.demand, self.rng, now)
            if isinstance(path, Path):
                self._start(stream, path, now)
                continue
            failures[stream.entry] += 1
            if now < self.wait(stream.asked_at, self.plan.first_within):
                still.append(stream)
            else:
                self._refuse(stream, now)
        self.waiting = still

    def _by_entry(self) -> list[Stream]:
        """Return those that wait, one entry after another in any order."""
        order = list(range(self.callers.entries))
        if len(order) == 1:
            return self.waiting
        self.rng.shuffle(order)
        rank = {entry: place for place, entry in enumerate(order)}
        return sorted(self.waiting, key=lambda stream: rank[stream.entry])

    def _refuse(self, stream: Stream, now: float) -> None:
        """Refuse a request; its caller may come back once."""
        if not self.callers.returns or stream.returns_at is not None:
            stream.refused = True
            return
        seconds = self.shape.usual_answer * self.full_token_ms / 1000
        stream.returns_at = now + retry_after(seconds, self.rng.random())
        self.returning.append(stream)

    def _return(self, now: float) -> None:
        """Let the callers come back whose time has come, at any entry."""
        for stream in [s for s in self.returning if s.returns_at <= now]:
            self.returning.remove(stream)
            stream.asked_at = stream.progressed_at = now
            stream.entry = self.rng.randrange(self.callers.entries)
            self.waiting.append(stream)

    def _start(self, stream: Stream, path: Path, now: float) -> None:
        """Begin to read a prompt, behind those that are being read on the path."""
        stream.path = path
        tokens = stream.demand.prompt_tokens + int(stream.written)
        ready = now
        for part in path.parts:
            kind = self._kind(part.endpoint)
            busy = self.reading_until.get(part.endpoint, 0.0)
            took = self.shape.prefill_ms(kind, len(part.layers), tokens) / 1000
            ready = max(ready, busy) + took
            self.reading_until[part.endpoint] = ready
        for pair in path.crossings:
            seconds = self.shape.transfer_seconds(tokens)
            ready += seconds / max(0.05, 1.0 - self.links.utilisation(pair, now))
            self.links.record_transfer(pair, seconds, now)
        stream.ready_at = ready
        self.loads.begin(path, stream.demand.tokens)
        self.running.append(stream)

    def _write(self, now: float) -> None:
        """Let every stream write for a tick."""
        times: dict[int, float] = {}
        for stream in list(self.running):
            if now < stream.ready_at:
                continue
            token = times.get(id(stream.path))
            if token is None:
                token = times[id(stream.path)] = self._token_seconds(stream.path)
            if token * self.plan.tokens_per_event > self.plan.gap_within:
                stream.late = True
            if stream.first_at is None:
                stream.first_at = now
                stream.late |= now - stream.arrived > self.plan.first_within
            stream.written += TICK / token
            stream.progressed_at = now
            if stream.written >= stream.answer:
                stream.ended = True
                self._stop(stream)

    def _leave(self, now: float) -> None:
        """Let the callers leave that have heard nothing for too long."""
        for stream in list(self.running):
            if now - stream.progressed_at > CALLER_PATIENCE:
                self._stop(stream)
        self.waiting = [
            s for s in self.waiting if now - s.progressed_at <= CALLER_PATIENCE
        ]

    def _preempt(self, now: float) -> None:
        """Stop the newest requests of parts whose memory has overflowed."""
        used: dict[str, float] = {}
        for stream in self.running:
            tokens = stream.demand.prompt_tokens + stream.written
            for part in stream.path.parts:
                cells = tokens * len(part.layers)
                used[part.endpoint] = used.get(part.endpoint, 0.0) + cells
        for name, cells in used.items():
            endpoint = self.endpoints[name]
            room = self.shape.kv_capacity(self._kind(name), len(endpoint.layers))
            if cells > room:
                self._stop_newest(name, cells - room, now)

    def _stop_newest(self, name: str, excess: float, now: float) -> None:
        """Stop the newest requests of a part until enough of its memory is free."""
        for stream in list(reversed(self.running)):
            if excess <= 0:
                return
            tokens = stream.demand.prompt_tokens + stream.written
            held = [p for p in stream.path.parts if p.endpoint == name]
            if held:
                excess -= tokens * len(held[0].layers)
                self._interrupt(stream, now)
                self.preempted += 1

    def _lose(self, name: str, now: float) -> None:
        """Take an endpoint away; its streams go on on other paths."""
        left = [e for e in self.endpoints.values() if e.id != name]
        for stream in [s for s in self.running if s.path.uses({name})]:
            self._interrupt(stream, now)
        self._place(left)

    def _interrupt(self, stream: Stream, now: float) -> None:
        self._stop(stream)
        stream.late |= stream.first_at is not None
        stream.path = None
        self.waiting.insert(0, stream)

    def _stop(self, stream: Stream) -> None:
        self.running.remove(stream)
        self.loads.end(stream.path, stream.demand.tokens)

    def _token_seconds(self, path: Path) -> float:
        total = 0.0
        for part in path.parts:
            running = self.loads.get(part.endpoint).requests
            kind = self._kind(part.endpoint)
            total += self.shape.decode_step_ms(kind, len(part.layers), running)
            total += LOCAL_HOP_MS
        return total / 1000

    def _kind(self, endpoint: str):
        return self.shape.accelerators[self.endpoints[endpoint].accelerator]

    def _result(self) -> Result:
        asked = self.streams
        good = [s for s in asked if s.ended and not s.late]
        by_size = sorted(asked, key=lambda s: s.demand.prompt_tokens + 10 * s.answer)
        largest = by_size[-max(1, len(asked) // 10) :]
        shares = []
        for organisation in range(self.plan.organisations):
            own = [s for s in asked if s.organisation == organisation]
            if own:
                served = sum(s.ended and not s.late for s in own)
                shares.append(served / len(own))
        return Result(
            asked=len(asked),
            in_time=len(good) / len(asked),
            late=sum(s.ended and s.late for s in asked) / len(asked),
            refused=sum(s.refused for s in asked) / len(asked),
            preempted=self.preempted,
            goodput=len(good) / self.seconds,
            worst_organisation=min(shares),
            largest=sum(s.ended for s in largest) / len(largest),
        )
