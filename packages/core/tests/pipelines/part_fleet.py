"""Simulated entries and endpoints that a part of a prompt crashes, in virtual time."""

from __future__ import annotations

import heapq
from itertools import count
from random import Random
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.crashes import ESTABLISHED_AFTER, AnswerProgress
from lacewingcourse.core.pipelines.prompt_parts import PartHistory, PartRefusal

if TYPE_CHECKING:
    from collections.abc import Callable

#: Seconds in which an endpoint reads a prompt, and after which one that begins to write
#: an answer with a crashing part has crashed.
PREFILL_TIME = 0.12
CRASH_DELAY = 0.09
#: Seconds that a sound answer takes from its first event on.
ANSWER_TIME = 2.5
#: Seconds after which a crashed endpoint is back.
RESTART_TIME = 3.5
#: Seconds between two rounds of gossip.
GOSSIP_PERIOD = 0.2
#: Seconds between two removals of expired state.
EXPIRY_PERIOD = 0.25
#: Sends of a request at most.
MAX_SENDS = 2
#: Crashes by which a part has to be known, and seconds until all entries know it.
CRASHES = 5
STABLE_WINDOW = 3.0
#: Parts that all prompts share, callers' parts, and parts of their conversations.
COMMON = "common"
CALLERS = 6
TOPICS = 8


@attrs.frozen
class Scene:
    """What happens to the fleet.

    Attributes:
        crashing_rate: Requests with each crashing part per second.
        position: Position of the crashing part among the shared ones.
        parts: Number of crashing parts.
        pause: Start and end of the time without such requests, seconds.
        crash_share: Share of the endpoints that crash for another reason, all at once,
            each ten seconds.
        restarts: Seconds between two restarts of an entry, 0 for none.
        frozen: Seconds for which an entry is frozen, each ten seconds.
        herd_at: When all entries restart at once, seconds, None for never.
        stored: Whether entries that start read the refusals from a store.
        early_event: Whether an endpoint sends an event before it crashes.
        entries: Number of entries.
        endpoints: Number of endpoints.
        duration: Seconds that are simulated.
    """

    crashing_rate: float = 3.0
    position: int = 2
    parts: int = 1
    pause: tuple[float, float] = (0.0, 0.0)
    crash_share: float = 0.0
    restarts: float = 0.0
    frozen: float = 0.0
    herd_at: float | None = None
    stored: bool = True
    early_event: bool = False
    entries: int = 5
    endpoints: int = 33
    duration: float = 40.0


@attrs.define(eq=False)
class Entry:
    """An entry.

    Attributes:
        history: What it knows of parts.
        started_at: When its process started, seconds.
        frozen_until: Until when it does nothing, seconds.
    """

    history: PartHistory = attrs.field(factory=PartHistory)
    started_at: float = float("-inf")
    frozen_until: float = float("-inf")


@attrs.define(eq=False)
class Run:
    """A request that an endpoint holds.

    Attributes:
        request: The request.
        entry: The entry that sent it.
        progress: How far its answer has come.
    """

    request: Request
    entry: Entry
    progress: AnswerProgress = AnswerProgress.UNANSWERED


@attrs.define(eq=False)
class Request:
    """A request.

    Attributes:
        parts: Parts of its prompt that others may share.
        arrived_at: When it arrived, seconds.
        sends: Number of sends so far.
        crashes: Whether it crashes the endpoints that begin to answer it.
        established: Whether its answer was established once.
    """

    parts: tuple[str, ...]
    arrived_at: float
    sends: int = 0
    crashes: bool = False
    established: bool = False

    @property
    def caller(self) -> str:
        """Part of its caller."""
        return next(part for part in self.parts if part.startswith("caller"))


class PartFleet:
    """Entries and endpoints.

    Attributes:
        now: Present time in seconds.
        arrivals: When requests with a crashing part reached endpoints, with the entry's
            time since its start, seconds.
        crashes: When endpoints crashed because of such requests, seconds.
        refused: Sound requests that were refused, by the time of their arrival.
        begun: Sound requests of the caller with the crashing part whose answer began at
            the first send: time of their arrival, and whether it did.
    """

    def __init__(
        self, scene: Scene, seed: int, make_history: Callable[[], PartHistory]
    ) -> None:
        self.scene = scene
        self.rng = Random(seed)
        self.make_history = make_history
        self.now = 0.0
        self.events: list = []
        self.order = count()
        self.entries = [Entry(make_history()) for _ in range(scene.entries)]
        self.servers: dict[str, list[Run]] = {
            f"s{number}#0": [] for number in range(scene.endpoints)
        }
        self.arrivals: list[tuple[float, float]] = []
        self.crashes: list[float] = []
        self.refused: list[float] = []
        self.sound_count = 0
        self.begun: list[tuple[float, bool]] = []
        self.store: dict[str, PartRefusal] = {}
        self.schedule(0.0, self.generate_sound)
        for number in range(scene.parts):
            self.schedule(8.0, lambda n=number: self.generate_crashing(f"crash{n}"))
        self.schedule(GOSSIP_PERIOD, self.gossip)
        self.schedule(EXPIRY_PERIOD, self.expire)
        if scene.crash_share:
            self.schedule(5.0, self.crash_others)
        if scene.restarts:
            self.schedule(scene.restarts, self.restart_entry)
        if scene.frozen:
            self.schedule(9.0, self.freeze_entry)
        if scene.herd_at is not None:
            self.schedule(scene.herd_at, self.restart_all)

    def schedule(self, time: float, call: Callable[[], None]) -> None:
        """Schedule a call."""
        heapq.heappush(self.events, (time, next(self.order), call))

    def after(self, delay: float, call: Callable[[], None]) -> None:
        """Schedule a call some seconds from now."""
        self.schedule(self.now + delay, call)

    def run(self) -> PartFleet:
        """Run the scene to its end."""
        while self.events and self.events[0][0] < self.scene.duration:
            self.now, _, call = heapq.heappop(self.events)
            call()
        return self

    def generate_sound(self) -> None:
        """Send a sound request, and schedule the next."""
        caller = self.rng.randrange(CALLERS)
        topic = f"topic{caller}.{self.rng.randrange(TOPICS)}"
        parts = (COMMON, f"caller{caller}", topic)
        self.sound_count += 1
        self.send(self.pick_entry(), Request(parts, self.now))
        self.after(self.rng.expovariate(40.0), self.generate_sound)

    def generate_crashing(self, part: str) -> None:
        """Send a request with a crashing part, and schedule the next."""
        start, end = self.scene.pause
        if not start <= self.now < end:
            parts = [COMMON, "caller0"]
            parts.insert(min(self.scene.position, 2), part)
            request = Request(tuple(parts), self.now, crashes=True)
            self.send(self.pick_entry(), request)
        rate = self.scene.crashing_rate
        self.after(self.rng.expovariate(rate), lambda: self.generate_crashing(part))

    def pick_entry(self) -> Entry:
        """Return a random entry that is not frozen."""
        running = [e for e in self.entries if e.frozen_until <= self.now]
        return self.rng.choice(running)

    def send(self, entry: Entry, request: Request) -> None:
        """Send a request unless it is refused."""
        history = entry.history
        if history.judge(request.parts, self.now):
            self.store_refusals(history)
        if history.refused_part(request.parts, self.now) is not None:
            if not request.crashes:
                self.refused.append(request.arrived_at)
                self.record_begun(request, False)
            return
        if not self.servers:
            return
        request.sends += 1
        server = self.rng.choice(sorted(self.servers))
        if request.crashes:
            self.arrivals.append((self.now, self.now - entry.started_at))
        run = Run(request, entry)
        self.servers[server].append(run)
        self.after(
            PREFILL_TIME * self.rng.uniform(0.5, 1.5), lambda: self.begin(server, run)
        )

    def begin(self, server: str, run: Run) -> None:
        """Begin the answer of a request that its endpoint has read."""
        if run not in self.servers.get(server, ()):
            return
        run.progress = AnswerProgress.BEGUN
        if run.request.crashes:
            if self.scene.early_event:
                run.progress = AnswerProgress.EARLY
            delay = CRASH_DELAY * self.rng.uniform(0.5, 1.5)
            self.after(delay, lambda: self.crash_by(server))
            return
        run.progress = AnswerProgress.EARLY
        if run.request.sends == 1:
            self.record_begun(run.request, True)
        self.after(ESTABLISHED_AFTER, lambda: self.establish(server, run))
        self.after(ANSWER_TIME, lambda: self.end(server, run))

    def establish(self, server: str, run: Run) -> None:
        """Record that the answer to a request is established."""
        if run in self.servers.get(server, ()):
            run.progress = AnswerProgress.ESTABLISHED
            run.request.established = True
            run.entry.history.record_sound(run.request.parts, self.now)

    def end(self, server: str, run: Run) -> None:
        """End an answer."""
        if run in self.servers.get(server, ()):
            self.servers[server].remove(run)

    def crash_by(self, server: str) -> None:
        """Crash an endpoint because of a crashing part."""
        if server in self.servers:
            self.crashes.append(self.now)
            self.crash(server)

    def crash(self, server: str) -> None:
        """Crash an endpoint, and start it again later."""
        runs = self.servers.pop(server)
        name, _, number = server.partition("#")
        restarted = f"{name}#{int(number) + 1}"
        self.after(RESTART_TIME, lambda: self.servers.setdefault(restarted, []))
        for run in runs:
            self.lose(server, run)

    def lose(self, server: str, run: Run) -> None:
        """Record a loss at the entry that sent the request, and send it again."""
        request, history = run.request, run.entry.history
        if run.entry not in self.entries:
            return
        if not request.established:
            history.record_loss(request.parts, server, run.progress, self.now)
            if history.judge(request.parts, self.now):
                self.store_refusals(history)
        if run.progress in (AnswerProgress.UNANSWERED, AnswerProgress.BEGUN):
            if request.sends == 1:
                self.record_begun(request, False)
        if request.sends < MAX_SENDS:
            self.send(run.entry, request)

    def record_begun(self, request: Request, begun: bool) -> None:
        """Record whether a sound request's answer began at the first send."""
        if not request.crashes and request.caller == "caller0":
            self.begun.append((request.arrived_at, begun))

    def store_refusals(self, history: PartHistory) -> None:
        """Store the refusals of an entry."""
        for part, refusal in history.refused.items():
            self.store[part] = refusal

    def gossip(self) -> None:
        """Let all entries tell each other what they know."""
        running = [e for e in self.entries if e.frozen_until <= self.now]
        for sender in running:
            reports = sender.history.reports(self.now)
            for receiver in running:
                if receiver is not sender:
                    receiver.history.from_peer(reports, self.now)
        self.after(GOSSIP_PERIOD, self.gossip)

    def expire(self) -> None:
        """Remove what no longer counts."""
        for entry in self.entries:
            entry.history.expire(self.now)
        self.after(EXPIRY_PERIOD, self.expire)

    def crash_others(self) -> None:
        """Crash a share of the endpoints for another reason."""
        for server in sorted(self.servers):
            if self.rng.random() < self.scene.crash_share:
                self.crash(server)
        self.after(10.0, self.crash_others)

    def restart_entry(self) -> None:
        """Restart a random entry."""
        self.start_anew(self.rng.randrange(len(self.entries)))
        self.after(self.scene.restarts, self.restart_entry)

    def restart_all(self) -> None:
        """Restart all entries."""
        for number in range(len(self.entries)):
            self.start_anew(number)

    def start_anew(self, number: int) -> None:
        """Replace an entry by a new process."""
        entry = Entry(self.make_history(), started_at=self.now)
        entry.history.started_at = self.now
        if self.scene.stored:
            for part, refusal in self.store.items():
                entry.history.restore(part, refusal.count, refusal.companions, self.now)
        self.entries[number] = entry

    def freeze_entry(self) -> None:
        """Freeze a random entry."""
        entry = self.rng.choice(self.entries)
        entry.frozen_until = self.now + self.scene.frozen
        self.after(10.0, self.freeze_entry)

    @property
    def known_at(self) -> float:
        """By when all entries have to know the crashing part, seconds."""
        at = self.crashes[min(CRASHES, len(self.crashes)) - 1]
        return at + STABLE_WINDOW

    @property
    def late_arrivals(self) -> int:
        """Requests with a crashing part that should not have reached endpoints."""
        return sum(
            at > self.known_at and since_start > STABLE_WINDOW
            for at, since_start in self.arrivals
        )

    @property
    def refused_share(self) -> float:
        """Share of the sound requests that were refused."""
        return len(self.refused) / self.sound_count

    def begun_share(self, since: float, until: float) -> float:
        """Return the share of the caller's sound requests that began at once."""
        found = [begun for at, begun in self.begun if since <= at < until]
        return sum(found) / len(found) if found else 1.0
