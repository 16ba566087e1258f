"""Log lines for decisions: one JSON object a line on standard output."""

from __future__ import annotations

import os
import sys
from typing import TYPE_CHECKING, Any

import attrs
import orjson
from loguru import logger

from lacewingcourse.core.pipelines.request_limits import NO_LIMIT

if TYPE_CHECKING:
    from collections.abc import Callable

    from loguru import Message

    from lacewingcourse.core.errors import Refusal
    from lacewingcourse.core.pipelines.shutdown import AnswerTime
    from lacewingcourse.relay.job import Job
    from lacewingcourse.relay.metrics import Metrics
    from lacewingcourse.relay.ports import CallerRequest

#: File descriptor of standard output.
STDOUT = 1
#: Lines a second of events without a budget of their own.
USUAL_LINES_A_SECOND = 200
#: Lines a second of the events that come with each request. Failures and refusals keep
#: theirs for longest.
LINES_A_SECOND = {"served": 60, "sent": 60, "refused": 150, "defect": 5}


@attrs.define
class LineBudget:
    """Lines of each event that may be written in a second.

    Attributes:
        second: The second that is counted.
        written: Lines written in it, by event.
        left_out: Lines left out since this was last told.
    """

    second: int = 0
    written: dict[str, int] = attrs.field(factory=dict)
    left_out: int = 0

    def take(self, event: str, now: float) -> bool:
        """Take one line; tell whether it may be written."""
        if int(now) != self.second:
            self.second = int(now)
            self.written.clear()
        count = self.written.get(event, 0)
        if count >= LINES_A_SECOND.get(event, USUAL_LINES_A_SECOND):
            self.left_out += 1
            return False
        self.written[event] = count + 1
        return True


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


def configure_decision_log(process: str, level: str) -> LineWriter:
    """Send all log lines from a level on to standard output as JSON."""
    os.set_blocking(sys.stdout.fileno(), False)
    writer = LineWriter()
    logger.remove()
    logger.configure(extra={"process": process})
    # The values of variables hold callers' keys, and make lines too long for a pipe.
    logger.add(
        writer.write, level=level, format="{message}", diagnose=False, backtrace=False
    )
    return writer


@attrs.define
class DecisionLog:
    """Lines about requests and beliefs.

    Attributes:
        clock: Returns the present time in seconds.
        metrics: Counters that go with the lines.
        version: Returns the version of the configuration in force.
        version_age: Returns the seconds since it was known to be the newest.
        budget: Lines that may be written.
    """

    clock: Callable[[], float]
    metrics: Metrics
    version: Callable[[], int]
    version_age: Callable[[], float] = lambda: 0.0
    budget: LineBudget = attrs.field(factory=LineBudget)

    def served(self, job: Job, now: float) -> None:
        """Tell of the end of a request that was answered by an endpoint."""
        self.metrics.served(job, now)
        first = job.first_at
        self._line(
            "served",
            request=job.request.id,
            route=job.route.name,
            sends=job.sends,
            gone=job.caller.gone,
            whole=job.caller.whole,
            took_ms=_ms(now - job.request.received_at),
            first_ms=None if first is None else _ms(first - job.request.received_at),
            gap_ms=_ms(job.longest_gap),
            objective_ms=_ms(job.route.objective),
            pause_ms=_ms(job.route.max_event_gap),
            path=_path(job),
            version=self.version(),
            reason=job.reason,
        )

    def broken_off(self, job: Job, cause: Refusal, now: float) -> None:
        """Tell of an answer that a caller was reading and that was not ended whole.

        Args:
            job: The request.
            cause: Why the answer could not go on.
            now: Present time in seconds.
        """
        self.metrics.broken_off(cause, job)
        self._line(
            "broken_off",
            request=job.request.id,
            route=job.route.name,
            kind=cause.kind.value,
            cause=cause.reason,
            reason=job.reason,
            sends=job.sends,
            rejections=job.rejections,
            events=job.events,
            quiet_ms=_ms(now - job.progressed_at),
            left_ms=_ms(job.until - now),
            path=_path(job),
            version=self.version(),
        )

    def refused(
        self,
        request: CallerRequest,
        refusal: Refusal,
        job: Job | None,
        waits_for: str = "",
    ) -> None:
        """Tell of a request that ended without an endpoint's answer.

        Args:
            request: The request.
            refusal: Why it was refused.
            job: What was done for it, None if nothing was.
            waits_for: What its caller is told to wait for, empty if that is no other
                entry.
        """
        self.metrics.refused(refusal, job)
        basis = {"waits_for": waits_for} if waits_for else {}
        self._line(
            "refused",
            request=request.id,
            kind=refusal.kind.value,
            outcome=refusal.outcome.value,
            reason=refusal.reason,
            retry_after=refusal.retry_after,
            sends=job.sends if job else 0,
            limited=sorted(job.limited) if job else [],
            path=_path(job) if job else [],
            version=self.version(),
            version_age_ms=_ms(self.version_age()),
            took_ms=_ms(self.clock() - request.received_at),
            **basis,
        )

    def last_request(
        self, request: CallerRequest, taken: bool, time: AnswerTime, left: float
    ) -> None:
        """Tell whether a request was taken that came while this entry ends.

        Args:
            request: The request.
            taken: Whether it was.
            time: How long its answer may take.
            left: Seconds until every answer must have ended.
        """
        self.metrics.last_requests.labels("taken" if taken else "refused").inc()
        self._line(
            "last_request",
            request=request.id,
            taken=taken,
            since_asked_ms=_ms(time.since_asked),
            left_ms=_ms(left),
            expected_ms=None if time.expected is None else _ms(time.expected),
            limit_ms=_ms(time.limit),
        )

    def belief(self, event: str, **fields: Any) -> None:
        """Tell of a change of what this process believes."""
        self._line(event, **fields)

    def failed(self, error: Exception) -> None:
        """Tell of a defect."""
        if self.budget.take("defect", self.clock()):
            logger.opt(exception=error).error("defect")
        else:
            self.metrics.lines_left_out.inc()

    def limit(self, endpoint: str, named: float, before: float, origin: str) -> None:
        """Tell of a limit that an endpoint names, or has withdrawn.

        Args:
            endpoint: Id of the endpoint.
            named: Requests a second that it takes, `NO_LIMIT` if it names none.
            before: The same as it was known before.
            origin: Who told it: an answer, or the name of an entry.
        """
        self._line(
            "limit",
            endpoint=endpoint,
            named=_limit(named),
            before=_limit(before),
            origin=origin,
        )

    def sent(
        self,
        job: Job,
        endpoint: str,
        age: float,
        waited: float,
        limit: float = NO_LIMIT,
    ) -> None:
        """Tell of a send, with what decided where it went.

        Args:
            job: The request.
            endpoint: Id of the endpoint that it was sent to.
            age: Age of what is known of the endpoints, seconds.
            waited: Seconds for which it waited for room.
            limit: Requests a second that the endpoint had named, `NO_LIMIT` for none.
        """
        basis = {} if limit == NO_LIMIT else {"limit": limit}
        if basis:
            self.metrics.limited_send(job)
        self._line(
            "sent",
            request=job.request.id,
            route=job.route.name,
            organisation=job.organisation.name,
            endpoint=endpoint,
            path=_path(job),
            attempt=job.sends,
            avoided=sorted(job.avoid),
            directory_age_ms=_ms(age),
            waited_ms=_ms(waited),
            limited=sorted(job.limited),
            version=self.version(),
            **basis,
        )

    def not_moved(self, job: Job, cause: Refusal, now: float) -> None:
        """Tell that a run which stands still is kept, as nothing can replace it.

        Args:
            job: The request.
            cause: Why it cannot go on elsewhere at present.
            now: Present time in seconds.
        """
        self._line(
            "not_moved",
            request=job.request.id,
            kind=cause.kind.value,
            cause=cause.reason,
            sends=job.sends,
            events=job.events,
            avoided=sorted(job.avoid),
            quiet_ms=_ms(now - job.progressed_at) if job.events else None,
            left_ms=_ms(job.until - now),
            path=_path(job),
        )

    def standby_dropped(self, job: Job, ran: float) -> None:
        """Tell that a run begun beside another one was closed.

        Args:
            job: The request; its path is that of the run that was closed.
            ran: Seconds for which it was open.
        """
        self._line(
            "standby_dropped",
            request=job.request.id,
            sends=job.sends,
            events=job.events,
            ran_ms=_ms(ran),
            path=_path(job),
        )

    def lost(
        self,
        job: Job,
        endpoint: str,
        reason: str,
        fault: str = "",
        filled: float | None = None,
    ) -> None:
        """Tell of a send that brought no answer, or of a stream that broke off.

        Args:
            job: The request.
            endpoint: Where it was sent.
            reason: What happened.
            fault: Endpoint on its path that was named as at fault, or empty.
            filled: Share of that one's memory that is believed to be taken.
        """
        self._line(
            "lost",
            request=job.request.id,
            endpoint=endpoint,
            attempt=job.sends,
            outcome=job.worst.value,
            events=job.events,
            reason=reason,
            fault=fault,
            filled=None if filled is None else round(filled, 2),
        )

    def _line(self, event: str, **fields: Any) -> None:
        now = self.clock()
        if not self.budget.take(event, now):
            self.metrics.lines_left_out.inc()
            return
        if self.budget.left_out and event != "left_out":
            count, self.budget.left_out = self.budget.left_out, 0
            logger.bind(lines=count).info("left_out")
        logger.bind(**fields).info(event)


def _path(job: Job) -> list[str]:
    """Return the parts of a request's path as log lines show them."""
    parts = job.path.parts if job.path else ()
    return [f"{p.address}={p.layers.start}-{p.layers.end}" for p in parts]


def _limit(named: float) -> float | None:
    """Return a limit as log lines show it, None for none."""
    return None if named == NO_LIMIT else named


def _ms(seconds: float) -> float:
    """Return a time in milliseconds as log lines show it."""
    return round(seconds * 1000, 1)
