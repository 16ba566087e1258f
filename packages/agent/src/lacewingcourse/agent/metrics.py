"""Counters of the agent."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from prometheus_client import Counter, Gauge, Histogram

from lacewingcourse.daemon.daemon import BaseMetrics

if TYPE_CHECKING:
    from collections.abc import Sized

    from lacewingcourse.core.messages import CallReply, HopVerdict, OpenReply

#: Upper bounds of the buckets for the items of an engine step.
BATCH_BOUNDS = (1, 2, 4, 8, 16, 32, 64, 128, 256)
#: Upper bounds of the buckets for an engine step, seconds.
STEP_BOUNDS = (
    *(0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.04, 0.058, 0.08),
    *(0.1, 0.2, 0.5, 1.0, 5.0),
)
#: Gauges by name, with what they show.
GAUGES = {
    "endpoint_ready": "Whether the engine or service answers",
    "leaving": "Whether new work is refused",
    "work_running": "Streams or calls that run here",
    "engine_queue_length": "Items that wait for the engine",
    "engine_steps_in_flight": "Steps given to the engine",
}


class WorkShown(Protocol):
    """Work for the engine, as the gauges show it.

    Attributes:
        queue: Items that wait for the engine.
        steps: Steps given to the engine.
    """

    queue: Sized
    steps: Sized


class StagesShown(Protocol):
    """Stages, as the gauges show them.

    Attributes:
        work: Work for the engine.
    """

    work: WorkShown


class Watched(Protocol):
    """What the gauges of an agent are read from.

    Attributes:
        leaving: Whether the instance is leaving for good.
        stages: Runs stages of a model; None beside a plain service.
    """

    leaving: bool
    stages: StagesShown | None

    def endpoint_ready(self) -> bool:
        """Tell whether the endpoint answers."""

    def running(self) -> int:
        """Return how many streams and calls run here."""


class AgentMetrics(BaseMetrics):
    """Counters of one agent.

    Attributes:
        opens: Stages that were asked for, by answer.
        hops: Hops that came in, by verdict.
        hops_sent: Hops that were passed on to other agents.
        send_retries: Batches that were sent again.
        send_failures: Batches whose receiver was given up.
        tokens: Tokens that were sampled here.
        steps: Steps that the engine ended, by outcome.
        batch_items: Items of a step.
        step_time: Time of a step.
        calls: Plain calls, by answer.
        revocations: Revocations that were acknowledged.
        drains: Times that the process was asked to end.
    """

    def __init__(self) -> None:
        super().__init__()
        self.opens = self._counter("stage_opens", "Stages asked for", "answer")
        self.hops = self._counter("hops", "Hops that came in", "verdict")
        self.hops_sent = self._counter("hops_sent", "Hops passed on")
        self.send_retries = self._counter("send_retries", "Batches sent again")
        self.send_failures = self._counter("send_failures", "Batches given up")
        self.tokens = self._counter("tokens_sampled", "Tokens sampled here")
        self.steps = self._counter("engine_steps", "Steps that ended", "outcome")
        self.batch_items = self._histogram(
            "engine_batch_items", "Items of a step", BATCH_BOUNDS
        )
        self.step_time = self._histogram(
            "engine_step_seconds", "Time of a step", STEP_BOUNDS
        )
        self.calls = self._counter("calls", "Plain calls", "answer")
        self.revocations = self._counter("revocations", "Revocations acknowledged")
        self.drains = self._counter("drains", "Times asked to end")
        self.gauges = {
            name: Gauge("lacewingcourse_" + name, text, registry=self.registry)
            for name, text in GAUGES.items()
        }

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        full = "lacewingcourse_" + name
        return Counter(full, text, labels, registry=self.registry)

    def _histogram(self, name: str, text: str, bounds: tuple) -> Histogram:
        full = "lacewingcourse_" + name
        return Histogram(full, text, buckets=bounds, registry=self.registry)

    def watch(self, agent: Watched) -> None:
        """Read the gauges from an agent whenever they are asked for."""
        stages = agent.stages
        sources = {
            "endpoint_ready": agent.endpoint_ready,
            "leaving": lambda: agent.leaving,
            "work_running": agent.running,
            "engine_queue_length": lambda: len(stages.work.queue) if stages else 0,
            "engine_steps_in_flight": lambda: len(stages.work.steps) if stages else 0,
        }
        for name, source in sources.items():
            self.gauges[name].set_function(source)

    def on_open(self, reply: OpenReply) -> None:
        """Count the answer to a stage that was asked for."""
        answer = reply.kind.value if reply.kind else "accepted"
        self.opens.labels(answer).inc()

    def on_hop(self, verdict: HopVerdict) -> None:
        """Count a hop that came in."""
        self.hops.labels(verdict.value).inc()

    def on_step(self, items: int, seconds: float | None) -> None:
        """Count a step of the engine.

        Args:
            items: Items of the step.
            seconds: What the engine spent, or None if the step failed.
        """
        self.batch_items.observe(items)
        self.steps.labels("failed" if seconds is None else "done").inc()
        if seconds is not None:
            self.step_time.observe(seconds)

    def on_call(self, reply: CallReply) -> None:
        """Count a plain call."""
        answer = reply.kind.value if reply.kind else "answered"
        self.calls.labels(answer).inc()
