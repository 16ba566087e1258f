"""Order in which an agent gives work to its engine, and what it lets in."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import ErrorKind
from lacewingcourse.core.priorities import DEFAULT_PACE

if TYPE_CHECKING:
    from lacewingcourse.core.effects import RunForward
    from lacewingcourse.core.messages import OpenStage

#: Prompt positions that join a step beside the work that is due first.
PREFILL_POSITIONS = 256


@attrs.frozen(order=True)
class QueuedForward:
    """Work that waits for the engine.

    Attributes:
        due_at: When it should be done, seconds; the earliest runs first.
        order: Count of the work that came before.
        effect: The work.
        positions: Positions that it runs, as far as known.
    """

    due_at: float
    order: int
    effect: RunForward = attrs.field(order=False)
    positions: int = attrs.field(order=False)

    @property
    def decodes(self) -> bool:
        """Whether it makes one token's pass and is no prompt."""
        return self.effect.prompt is None and self.positions == 1


class ForwardQueue:
    """Work that waits for the engine, earliest due first.

    Every item is due a bounded time after it came, so an item is overtaken only by
    items that come before its own due time: nothing waits for good. The number of
    items is bounded by the streams that the agent lets in, each with a bounded
    number of hops.

    Attributes:
        heap: The waiting work.
        waiting_positions: Positions of all of it.
    """

    def __init__(self) -> None:
        self.heap: list[QueuedForward] = []
        self.waiting_positions = 0
        self._order = itertools.count()

    def __len__(self) -> int:
        return len(self.heap)

    def positions(self) -> int:
        """Return the positions that wait."""
        return self.waiting_positions

    def next_is_solo(self) -> bool:
        """Tell whether the work that comes first has to run alone."""
        return bool(self.heap) and self.heap[0].effect.solo

    def clear(self) -> list[RunForward]:
        """Remove and return all work."""
        waiting = [entry.effect for entry in self.heap]
        self.heap = []
        self.waiting_positions = 0
        return waiting

    def push(self, effect: RunForward, due_at: float, positions: int) -> None:
        """Add work.

        Args:
            effect: The work.
            due_at: When it should be done, seconds.
            positions: Positions that it runs.
        """
        entry = QueuedForward(due_at, next(self._order), effect, positions)
        heapq.heappush(self.heap, entry)
        self.waiting_positions += positions

    def take(
        self, limit: int, prefill_positions: int = PREFILL_POSITIONS
    ) -> list[QueuedForward]:
        """Remove and return the work of the next step.

        The work that is due first always goes. Prompts join only up to a number of
        positions, so that they do not hold up the tokens of other answers. Work that
        has to run alone goes by itself.

        Args:
            limit: Items at the most.
            prefill_positions: Prompt positions at the most, behind the first item.
        """
        taken: list[QueuedForward] = []
        passed: list[QueuedForward] = []
        room = prefill_positions
        if self.next_is_solo():
            limit = 1
        while self.heap and len(taken) < limit:
            entry = heapq.heappop(self.heap)
            if entry.effect.solo and taken:
                passed.append(entry)
            elif entry.decodes or not taken or entry.positions <= room:
                taken.append(entry)
                room -= 0 if entry.decodes else entry.positions
            else:
                passed.append(entry)
        for entry in passed:
            heapq.heappush(self.heap, entry)
        self.waiting_positions -= sum(entry.positions for entry in taken)
        return taken

    def drop(self, stream: str, attempt: int) -> None:
        """Remove the work of an attempt."""
        kept = [
            entry
            for entry in self.heap
            if (entry.effect.stream, entry.effect.attempt) != (stream, attempt)
        ]
        if len(kept) == len(self.heap):
            return
        self.heap = kept
        heapq.heapify(self.heap)
        self.waiting_positions = sum(entry.positions for entry in kept)


def due_at(effect: RunForward, pace: float, stages: int, now: float) -> float:
    """Return when work should be done.

    Each stage of a route may use an equal part of the time.

    Args:
        effect: The work.
        pace: Seconds between tokens that its class asks for; 0.0 for none.
        stages: Stages of its route.
        now: Present time in seconds.
    """
    allowed = pace or DEFAULT_PACE
    if effect.prompt is not None or len(effect.values) > 1:
        allowed = max(0.0, effect.priority)
    return now + allowed / max(1, stages)


@attrs.frozen
class AgentLoad:
    """What an agent has before it when it is asked to take a stream.

    Attributes:
        streams: Streams that are open.
        limit: Streams that may be open.
        backlog_time: Seconds of work that waits for the engine.
    """

    streams: int
    limit: int
    backlog_time: float


def refusal_kind(message: OpenStage, load: AgentLoad) -> ErrorKind | None:
    """Return why an agent does not let a new stream in, or None.

    A first attempt is refused if its first token cannot come in time; a later one
    continues an answer that a caller already waits for, so only the bound counts.
    """
    if load.streams >= load.limit:
        return ErrorKind.OVERLOADED
    if message.attempt == 1 and load.backlog_time > message.priority > 0.0:
        return ErrorKind.DEADLINE_UNREACHABLE
    return None
