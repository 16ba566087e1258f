"""Gives work to the engine in steps, and notices its crashes and lateness."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

import attrs
from loguru import logger

from lacewingcourse.agent.engine import EngineCrash, ForwardReply, item_of
from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.core.estimates import EndpointEstimates
from lacewingcourse.core.poison import CrashedItem, suspects_of
from lacewingcourse.core.queueing import ForwardQueue, QueuedForward
from lacewingcourse.core.step_times import StepTimes

if TYPE_CHECKING:
    from lacewingcourse.agent.engine import EngineClient, EngineState, ForwardOutput
    from lacewingcourse.agent.host import Host
    from lacewingcourse.core.effects import RunForward

#: Seconds between two looks for late steps.
WATCH_INTERVAL = 0.1


class StepListener(Protocol):
    """What becomes of the work that the engine was given."""

    def running(self) -> int:
        """Return how many stages run here."""

    def completed(self, work: RunForward, output: ForwardOutput) -> None:
        """Take the result of a piece of work."""

    def failed(
        self,
        work: RunForward,
        reason: str,
        crash: str = "",
        newcomer: bool = False,
        alone: bool = False,
    ) -> None:
        """Take the failure of a piece of work.

        Args:
            work: The work.
            reason: What happened.
            crash: Name of the crash that it may be guilty of, or empty.
            newcomer: Whether it was in its first step.
            alone: Whether nothing else ran.
        """


@attrs.define(eq=False)
class StepInFlight:
    """A step that the engine was given.

    Attributes:
        batch: Its work.
        started_at: When it was given, seconds.
        late_at: When it is late, seconds.
        reported: Whether its streams were told of a crash.
    """

    batch: list[RunForward]
    started_at: float
    late_at: float
    reported: bool = False


def positions_of(work: RunForward) -> int:
    """Return how many positions a piece of work has at the most."""
    if work.prompt is None:
        return len(work.values)
    return len(work.prompt.text) + len(work.prompt.delivered)


class EngineSteps:
    """The steps of the engine beside the agent.

    Attributes:
        host: The agent's process.
        settings: Its settings.
        engine: Client of the engine.
        listener: What becomes of the work.
        state: What the engine last said, or None while it does not answer.
        queue: Work that waits for the engine.
        steps: Steps given to the engine.
        step_time: Seconds of the last step.
        step_times: Learned times of steps.
        late: Whether the engine is late with a step.
        crashes: Crashes of the engine that were seen.
        estimates: What was learned of the engine's speed.
        present: Items given to the engine.
    """

    def __init__(
        self, host: Host, engine: EngineClient, listener: StepListener
    ) -> None:
        self.host = host
        self.settings = host.settings
        self.engine = engine
        self.listener = listener
        self.state: EngineState | None = None
        self.queue = ForwardQueue()
        self.steps: set[StepInFlight] = set()
        self.step_time = 0.0
        self.step_times = StepTimes()
        self.late = False
        self.crashes = 0
        self.estimates = EndpointEstimates(
            self.settings.batch_items, self.settings.max_streams
        )
        self.present = 0

    def feed(self) -> None:
        """Give waiting work to the engine while it has room."""
        while self.queue and self._has_room():
            queued = self.queue.take(self.settings.batch_items)
            batch = [entry.effect for entry in queued]
            now = self.host.now()
            positions = sum(positions_of(work) for work in batch)
            allowance = self.step_times.allowance(
                positions, self.settings.endpoint_timeout
            )
            step = StepInFlight(batch, now, now + allowance)
            self.steps.add(step)
            self.present += len(batch)
            waiting = self.present + len(self.queue)
            self.estimates.on_load(waiting, self.listener.running())
            self.host.spawn(self._step(step, queued))

    def _has_room(self) -> bool:
        """Tell whether the work that comes first may be given to the engine."""
        if self.queue.next_is_solo():
            return not self.steps
        if any(step.batch[0].solo for step in self.steps):
            return False
        return len(self.steps) < self.settings.steps_in_flight

    async def _step(self, step: StepInFlight, queued: list[QueuedForward]) -> None:
        """Run one batch on the engine and pass its results on."""
        batch = step.batch
        items = tuple(item_of(entry.effect, entry.due_at) for entry in queued)
        answered = self.state is not None
        try:
            reply = await self.engine.forward(items, batch[0].solo)
        finally:
            self.present -= len(batch)
        if isinstance(reply, EngineCrash) and not answered:
            kind = ErrorKind.ENDPOINT_FAILED
            reply = Refusal(kind, reply.reason, Outcome.UNKNOWN)
        if isinstance(reply, EngineCrash):
            self._on_crash(reply)
        self.steps.discard(step)
        failed = not isinstance(reply, ForwardReply)
        self.host.metrics.on_step(len(batch), None if failed else reply.step_time)
        if isinstance(reply, EngineCrash):
            self.feed()
            return
        if failed:
            self._fail_batch(batch, reply)
            return
        positions = sum(output.count for output in reply.items)
        self.step_times.note(positions, self.host.now() - step.started_at)
        self.step_time = reply.step_time
        self.estimates.on_step(positions, step.started_at, self.host.now())
        for work, output in zip(batch, reply.items, strict=True):
            self.listener.completed(work, output)
        self.feed()

    def _on_crash(self, crash: EngineCrash) -> None:
        """Report all work of the engine once; name the attempts that may be guilty."""
        fresh = [step for step in self.steps if not step.reported]
        if not fresh:
            return
        self.crashes += 1
        self.state = None
        name = f"{self.host.incarnation}.{self.crashes}"
        logger.warning("the engine crashed", crash=name)
        items = {
            CrashedItem(work.stream, work.attempt, work.position == 0): work
            for step in fresh
            for work in step.batch
        }
        suspects = set(suspects_of(items))
        for step in fresh:
            step.reported = True
        alone = len(items) == 1
        for item, work in items.items():
            guilty = name if item in suspects else ""
            first = item.first_step
            self.listener.failed(work, crash.reason, guilty, first, alone)

    def _fail_batch(self, batch: list[RunForward], refusal: Refusal) -> None:
        """Report each attempt of a failed batch."""
        for work in batch:
            self.listener.failed(work, refusal.reason)
        self.feed()

    async def watch(self) -> None:
        """Report the streams of steps that are late, for ever."""
        while True:
            await asyncio.sleep(WATCH_INTERVAL)
            now = self.host.now()
            late = [step for step in self.steps if step.late_at < now]
            if late and not self.late:
                self._leave()
            self.late = bool(late)

    def _leave(self) -> None:
        """Report every stream that has work at an engine that does not answer."""
        logger.warning("the engine is late", steps=len(self.steps))
        self.late = True
        waiting = self.queue.clear()
        given = [work for step in self.steps for work in step.batch]
        for work in [*given, *waiting]:
            self.listener.failed(work, "a step of the engine is late")
