"""Bounds what the answers of endpoints make a process hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.client_memory import PROCESS_BYTES

if TYPE_CHECKING:
    from collections.abc import Hashable

#: Share of the memory beside the process's own that answers may hold. Clients may hold
#: another one; the rest covers copies, what the kernel holds, and fragmentation.
ANSWER_SHARE = 0.15
#: Least share of a process's memory that answers may hold.
MIN_ANSWER_SHARE = 0.03


def answer_limit(memory: int) -> int:
    """Return the bytes that all answers together may hold.

    Args:
        memory: Memory of the process in bytes.
    """
    spare = (memory - PROCESS_BYTES) * ANSWER_SHARE
    return int(max(spare, memory * MIN_ANSWER_SHARE))


@attrs.define
class AnswerMemory:
    """The bytes that the answers to requests hold, and which of them have to go.

    Attributes:
        limit: Bytes that all of them may hold together.
        held: Bytes that the answers to each request hold.
        total: Their sum.
    """

    limit: int
    held: dict[Hashable, int] = attrs.field(factory=dict)
    total: int = 0

    def add(self, request: Hashable, count: int) -> None:
        """Add to the bytes that the answers to a request hold, at least to 0.

        Args:
            request: The request.
            count: Number of bytes, negative for bytes that were dropped.
        """
        before = self.held.get(request, 0)
        after = max(0, before + count)
        self.total += after - before
        if after:
            self.held[request] = after
        else:
            self.held.pop(request, None)

    def release(self, request: Hashable) -> None:
        """Forget a request, whose answers are held no more."""
        self.total -= self.held.pop(request, 0)

    @property
    def is_exceeded(self) -> bool:
        """Whether an answer has to be given up."""
        return self.total > self.limit

    def largest_first(self) -> list[Hashable]:
        """Return the requests whose answers hold bytes, the first to go first.

        Small answers are kept beside those without end, however many these are.
        """
        return sorted(self.held, key=self.held.__getitem__, reverse=True)
