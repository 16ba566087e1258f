"""Log lines for decisions: one JSON object a line on standard output."""

from __future__ import annotations

import os
import sys
from typing import TYPE_CHECKING, Any

import attrs
import orjson
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from loguru import Message

    from lacewingcourse.core.errors import Refusal
    from lacewingcourse.relay.job import Job
    from lacewingcourse.relay.ports import CallerRequest

#: File descriptor of standard output.
STDOUT = 1


@attrs.define
class LineWriter:
    """Writes lines without ever waiting for their reader.

    Attributes:
        dropped: Lines that the reader had no room for.
    """

    dropped: int = 0

    def write(self, message: Message) -> None:
        """Write a log record as one JSON object."""
        record = message.record
        document = {
            "time": record["time"].timestamp(),
            "level": record["level"].name,
            "event": record["message"],
            **record["extra"],
        }
        if record["exception"] is not None:
            document["exception"] = str(message).partition("\n")[2]
        line = orjson.dumps(document, default=str) + b"\n"
        try:
            os.write(STDOUT, line)
        except BlockingIOError:
            self.dropped += 1


def configure_decision_log(process: str) -> LineWriter:
    """Send all log lines to standard output as JSON."""
    os.set_blocking(sys.stdout.fileno(), False)
    writer = LineWriter()
    logger.remove()
    logger.configure(extra={"process": process})
    logger.add(writer.write, level="INFO", format="{message}")
    return writer


@attrs.define
class DecisionLog:
    """Lines about requests and beliefs.

    Attributes:
        clock: Returns the present time in seconds.
    """

    clock: Callable[[], float]

    def served(self, job: Job, now: float) -> None:
        """Tell of the end of a request that was answered by an endpoint."""
        first = job.first_at
        parts = job.path.parts if job.path else ()
        self._line(
            "served",
            request=job.request.id,
            route=job.route.name,
            sends=job.sends,
            gone=job.caller.gone,
            whole=job.caller.ended,
            took_ms=_ms(now - job.request.received_at),
            first_ms=None if first is None else _ms(first - job.request.received_at),
            gap_ms=_ms(job.longest_gap),
            path=[f"{p.address}={p.layers.start}-{p.layers.end}" for p in parts],
            reason=job.reason,
        )

    def refused(
        self, request: CallerRequest, refusal: Refusal, job: Job | None
    ) -> None:
        """Tell of a request that ended without an endpoint's answer."""
        self._line(
            "refused",
            request=request.id,
            kind=refusal.kind.value,
            outcome=refusal.outcome.value,
            reason=refusal.reason,
            sends=job.sends if job else 0,
            took_ms=_ms(self.clock() - request.received_at),
        )

    def belief(self, event: str, **fields: Any) -> None:
        """Tell of a change of what this process believes."""
        self._line(event, **fields)

    def failed(self, error: Exception) -> None:
        """Tell of a defect."""
        logger.opt(exception=error).error("defect")

    def _line(self, event: str, **fields: Any) -> None:
        logger.bind(**fields).info(event)


def _ms(seconds: float) -> float:
    """Return a time in milliseconds as log lines show it."""
    return round(seconds * 1000, 1)
