"""Charges answers to the memory of the process, and gives up those that hold most."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.answer_faults import AnswerFault
from lacewingcourse.core.pipelines.answer_memory import AnswerMemory

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.relay.job import Job

#: Bytes of an answer that are not charged, as the process's own share covers them.
FREE_BYTES = 4096
#: Limit of a process without settings, in bytes.
DEFAULT_LIMIT = 64 * 1024 * 1024
#: Reason of an answer that was given up.
NO_MEMORY = "the answers of all endpoints hold too much memory"


@attrs.define
class HeldAnswers:
    """Charges what answers hold, and gives up some of them once that is too much.

    Attributes:
        memory: The bytes held, and their bound.
        on_given_up: Called for each answer that is given up.
    """

    memory: AnswerMemory = attrs.field(factory=lambda: AnswerMemory(DEFAULT_LIMIT))
    on_given_up: Callable[[], None] = lambda: None

    def add(self, job: Job, count: int) -> None:
        """Charge bytes of an answer to a request; others may be given up for them.

        Args:
            job: The request.
            count: Number of bytes, negative for bytes that were dropped.
        """
        self.memory.add(job, count)
        if self.memory.is_exceeded:
            self._relieve()

    def release(self, job: Job) -> None:
        """Release all that the answers to a request hold."""
        self.memory.release(job)

    def _relieve(self) -> None:
        for job in self.memory.largest_first():
            if not self.memory.is_exceeded:
                break
            if job.current_exchange is not None:
                self.memory.release(job)
                job.current_exchange.give_up(NO_MEMORY, AnswerFault.OVERSIZED)
                self.on_given_up()
