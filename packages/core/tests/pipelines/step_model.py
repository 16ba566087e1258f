"""A small model of engines that read and write in steps, under a stream of requests."""

from __future__ import annotations

import random
from collections import deque

import attrs

from lacewingcourse.core.errors import Refusal
from lacewingcourse.core.pipelines.choice import Demand, PathChooser
from lacewingcourse.core.pipelines.links import LinkUsage
from lacewingcourse.core.pipelines.load import LoadTable
from lacewingcourse.core.pipelines.path import LOCAL_HOP_MS, candidate_paths

#: Seconds of a tick of the model, and between two reports of loads to other entries.
TICK = 0.01
REPORT_PERIOD = 0.2


@attrs.define(eq=False)
class Run:
    """A stream in the model; `to_read` counts the parts that have read its prompt."""

    entry: PathChooser
    path: object
    demand: Demand
    predicted: object
    running: object
    started_at: float
    read_parts: int = 0
    written: float = 0.0
    first_at: float | None = None
    longest_pause: float = 0.0


class StepModel:
    """Engines, and entries that send to them and report their loads to each other.

    Attributes:
        slowness: How many times slower than published the engines run.
        outcomes: Time of arrival and outcome of each request that has ended.
        ended: Time of the end and outcome of each stream.
    """

    def __init__(self, fleet, shape, limits, entries=4, limited=True, seed=1):
        self.shape, self.limits, self.limited = shape, limits, limited
        self.rng = random.Random(seed)
        self.paths = candidate_paths(fleet, shape)
        endpoints = {endpoint.id: endpoint for endpoint in fleet}
        self.entries = [
            PathChooser(shape, endpoints, LoadTable(), LinkUsage())
            for _ in range(entries)
        ]
        self.queues = {name: deque() for name in endpoints}
        self.runs, self.outcomes, self.ended = [], [], []
        self.now, self.slowness, self.reported_at = 0.0, 1.0, 0.0
        self.costs = {id(p): self.entries[0]._costs_of(p).parts for p in self.paths}

    def play(self, rate, seconds):
        """Let requests arrive for some seconds."""
        until = self.now + seconds
        arrival = self.now + self.rng.expovariate(rate)
        while self.now < until:
            self.now += TICK
            while arrival <= self.now:
                self._arrive()
                arrival += self.rng.expovariate(rate)
            if self.now - self.reported_at >= REPORT_PERIOD:
                self._report()
            self._work()

    def goodput(self, since):
        """Return the answers in time a second of requests that came after a time."""
        good = sum(what == "in time" for at, what in self.ended if at >= since)
        return good / (self.now - since)

    def share(self, outcome, since, until=float("inf")):
        """Return the share of an outcome among the requests of a time."""
        found = [what for at, what in self.outcomes if since <= at < until]
        return found.count(outcome) / max(1, len(found))

    def _arrive(self):
        usual = self.shape.usual_prompt, self.shape.usual_answer
        demand = Demand(
            *(max(1, int(n * self.rng.lognormvariate(-0.1, 0.4))) for n in usual)
        )
        entry = self.rng.choice(self.entries)
        limits = self.limits if self.limited else None
        path = entry.choose(self.paths, demand, (), self.rng, self.now, limits=limits)
        if isinstance(path, Refusal):
            self.outcomes.append((self.now, "refused"))
            return
        predicted = entry.predictor.predict(path, demand, "rooms", self.now)
        entry.loads.begin(path, demand.tokens)
        running = entry.running.begin(
            path, demand.prompt_tokens, self.limits.max_event_gap
        )
        run = Run(entry, path, demand, predicted, running, self.now)
        self.queues[path.first.endpoint].append([run, demand.prompt_tokens])
        self.runs.append(run)

    def _report(self):
        self.reported_at = self.now
        for entry in self.entries:
            for number, other in enumerate(self.entries):
                if other is not entry:
                    loads = {
                        n: attrs.evolve(load) for n, load in other.loads.own.items()
                    }
                    entry.loads.from_peer(str(number), loads, self.now)

    def _work(self):
        writers = {}
        for run in self.runs:
            if run.read_parts == len(run.path.parts):
                for part in run.path.parts:
                    writers[part.endpoint] = writers.get(part.endpoint, 0) + 1
        self._read(writers)
        for run in list(self.runs):
            if run.read_parts == len(run.path.parts):
                self._write(run, writers)

    def _read(self, writers):
        for name, queue in self.queues.items():
            left_ms = TICK * 1000 / self.slowness
            while queue and left_ms > 0:
                run, tokens = queue[0]
                part = self.costs[id(run.path)][run.read_parts]
                per_token = part.prefill_ms_per_token
                if writers.get(name):
                    step = part.step_ms + writers[name] * part.ms_per_other_request
                    per_token += step / self.shape.chunk_tokens
                done = min(tokens, left_ms / per_token)
                left_ms -= done * per_token
                queue[0][1] -= done
                if queue[0][1] > 1e-6:
                    break
                queue.popleft()
                run.read_parts += 1
                if run.read_parts < len(run.path.parts):
                    following = run.path.parts[run.read_parts].endpoint
                    self.queues[following].append([run, run.demand.prompt_tokens])

    def _write(self, run, writers):
        token_ms = LOCAL_HOP_MS * (len(run.path.parts) - 1)
        for part in self.costs[id(run.path)]:
            others = writers.get(part.endpoint, 1) - 1
            token_ms += part.step_ms + others * part.ms_per_other_request
            if self.queues[part.endpoint]:
                chunk = min(self.shape.chunk_tokens, self.queues[part.endpoint][0][1])
                token_ms += part.prefill_ms_per_token * chunk
        token_ms *= self.slowness
        pause = token_ms * self.shape.event_tokens / 1000
        run.written += TICK * 1000 / token_ms
        if run.first_at is None and run.written >= self.shape.event_tokens:
            run.first_at = self.now
            seen = self.now - run.started_at
            run.entry.running.record_first_event(run.running)
            run.entry.ratios.record_first_event(
                "rooms", run.predicted.published_first_event, seen, self.now
            )
        run.longest_pause = max(run.longest_pause, pause)
        if run.written >= run.demand.answer_tokens:
            self._end(run)

    def _end(self, run):
        self.runs.remove(run)
        run.entry.loads.end(run.path, run.demand.tokens)
        run.entry.running.end(run.running)
        run.entry.ratios.record_pause(
            "rooms", run.predicted.published_pause, run.longest_pause, self.now
        )
        first = (run.first_at or self.now) - run.started_at
        late = (
            first > self.limits.objective
            or run.longest_pause > self.limits.max_event_gap
        )
        self.outcomes.append((run.started_at, "late" if late else "in time"))
        self.ended.append((self.now, self.outcomes[-1][1]))
