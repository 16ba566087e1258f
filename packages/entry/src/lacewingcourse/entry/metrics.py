"""Counters of the entry."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from prometheus_client import Counter, Gauge, Histogram
from prometheus_client.core import HistogramMetricFamily

from lacewingcourse.core.burn_ends import GAP_BOUNDS, INCOMPLETE, Result
from lacewingcourse.core.burn_report import Budget
from lacewingcourse.core.burn_windows import BUDGET_FLOOR, OTHER
from lacewingcourse.daemon.daemon import BaseMetrics

if TYPE_CHECKING:
    from collections.abc import Iterator, Sized

    from lacewingcourse.core.admission import Admission
    from lacewingcourse.core.burn_ends import AnswerMeter, RequestEnd
    from lacewingcourse.core.routes import Fleet
    from lacewingcourse.daemon.daemon import Readiness

#: Organisations that get a label value of their own in one entry.
MAX_ORGANISATIONS = 100
#: Classes of work that get a label value of their own in one entry.
MAX_CLASSES = 64
#: Upper bounds of the buckets for whole answers and first tokens, seconds.
ANSWER_BOUNDS = (
    *(0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.74, 1.0),
    *(1.5, 2.5, 5.0, 10.0, 30.0, 60.0, 300.0),
)


class AdmissionShown(Protocol):
    """Admission, as the gauges show it.

    Attributes:
        decisions: What was decided of requests.
    """

    decisions: Admission


class DirectoryShown(Protocol):
    """The directory, as the gauges show it.

    Attributes:
        endpoints: What is known of the endpoints.
    """

    endpoints: Fleet


class Watched(Protocol):
    """What the gauges of an entry are read from.

    Attributes:
        answers: Answers in flight.
        calls_running: Plain calls in flight.
        admission: Lets requests start, wait or be refused.
        directory: What is known of the endpoints.
    """

    answers: Sized
    calls_running: int
    admission: AdmissionShown
    directory: DirectoryShown

    def readiness(self) -> Readiness:
        """Tell whether the entry takes new work."""


class BoundedLabel:
    """Lets a label take a limited number of values.

    Attributes:
        limit: Values at the most.
        known: Values that were let through.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.known: set[str] = set()

    def value(self, name: str) -> str:
        """Return a name, or the value that all beyond the limit share."""
        if name in self.known:
            return name
        if len(self.known) >= self.limit:
            return OTHER
        self.known.add(name)
        return name


class GapHistogram:
    """Histogram of the time between tokens that takes a whole answer at once.

    One observation a token would be the costliest thing an entry counts; an answer's
    meter already holds its gaps by bucket.

    Attributes:
        counts: Count of gaps by bucket, by class of work.
        sums: Seconds of all gaps, by class of work.
    """

    name = "lacewingcourse_time_between_tokens_seconds"

    def __init__(self) -> None:
        self.counts: dict[str, list[int]] = {}
        self.sums: dict[str, float] = {}

    def add(self, work_class: str, gaps: list[int], seconds: float) -> None:
        """Add an answer's gaps."""
        counts = self.counts.setdefault(work_class, [0] * len(gaps))
        for index, count in enumerate(gaps):
            counts[index] += count
        self.sums[work_class] = self.sums.get(work_class, 0.0) + seconds

    def collect(self) -> Iterator[HistogramMetricFamily]:
        """Yield the histogram for Prometheus."""
        family = HistogramMetricFamily(
            self.name, "Time between two tokens of an answer", labels=["work_class"]
        )
        for work_class, counts in self.counts.items():
            buckets = []
            total = 0
            for count, bound in zip(counts, [*GAP_BOUNDS, "+Inf"], strict=True):
                total += count
                buckets.append((str(bound), total))
            family.add_metric([work_class], buckets, self.sums[work_class])
        yield family


class EntryMetrics(BaseMetrics):
    """Counters of one entry.

    Attributes:
        requests: Requests that ended, by class of work, result and error kind.
        organisation_requests: Requests that ended, by organisation and result.
        burn_spent: Requests that spent a budget.
        burn_counted: Requests that a budget is reckoned from.
        burn_allowed: Requests that a budget allows to spend it.
        tokens: Tokens delivered.
        first_token: Time to the first token.
        answer_time: Time to a whole answer.
        gaps: Time between tokens.
        attempts: Routes that were tried.
        recovery_time: Time from a lost attempt to the next token.
        drains: Times that the process was asked to end.
        retries: Lost attempts, by whether another was allowed.
        ejections: Times that an endpoint was left out as an outlier.
    """

    def __init__(self) -> None:
        super().__init__()
        self.retries = self._counter("retries", "Lost attempts", "allowed")
        self.ejections = self._counter("ejections", "Endpoints left out")
        self.classes = BoundedLabel(MAX_CLASSES)
        self.organisations = BoundedLabel(MAX_ORGANISATIONS)
        self.requests = self._counter(
            "requests", "Requests that ended", "work_class", "result", "kind"
        )
        self.organisation_requests = self._counter(
            "organisation_requests", "Requests that ended", "organisation", "result"
        )
        self.burn_spent = self._counter(
            "burn_spent", "Requests that spent a budget", "work_class", "budget"
        )
        self.burn_counted = self._counter(
            "burn_counted", "Requests in a budget", "work_class", "budget"
        )
        self.burn_allowed = self._counter(
            "burn_allowed", "Requests that a budget allows", "work_class", "budget"
        )
        self.tokens = self._counter("tokens", "Tokens delivered", "work_class")
        self.first_token = self._histogram(
            "time_to_first_token_seconds", "Time to the first token", "work_class"
        )
        self.answer_time = self._histogram(
            "answer_seconds", "Time to a whole answer", "work_class"
        )
        self.gaps = GapHistogram()
        self.registry.register(self.gaps)
        self.attempts = self._counter("attempts", "Routes that were tried", "reason")
        self.recovery_time = self._histogram(
            "recovery_seconds", "Time from a lost attempt to the next token"
        )
        self.drains = self._counter("drains", "Times asked to end")
        self.gauges = {
            name: Gauge("lacewingcourse_" + name, text, registry=self.registry)
            for name, text in GAUGES.items()
        }

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        full = "lacewingcourse_" + name
        return Counter(full, text, labels, registry=self.registry)

    def _histogram(self, name: str, text: str, *labels: str) -> Histogram:
        full = "lacewingcourse_" + name
        return Histogram(
            full, text, labels, buckets=ANSWER_BOUNDS, registry=self.registry
        )

    def watch(self, entry: Watched) -> None:
        """Read the gauges from an entry whenever they are asked for."""
        endpoints = entry.directory.endpoints
        sources = {
            "ready": lambda: entry.readiness().ready,
            "answers_running": lambda: len(entry.answers),
            "admission_queue_length": lambda: entry.admission.decisions.queue.size,
            "calls_running": lambda: entry.calls_running,
            "endpoints_usable": lambda: sum(
                each.takes_new_work() for each in endpoints.values()
            ),
            "endpoints_known": lambda: len(endpoints),
        }
        for name, source in sources.items():
            self.gauges[name].set_function(source)

    def on_end(self, end: RequestEnd, meter: AnswerMeter) -> None:
        """Count a request's end."""
        work_class = self.classes.value(end.work_class)
        organisation = self.organisations.value(end.organisation)
        kind = end.kind.value if end.kind else ""
        result = end.result.value
        self.requests.labels(work_class, result, kind).inc()
        self.organisation_requests.labels(organisation, result).inc()
        self.tokens.labels(work_class).inc(end.tokens)
        self._count_times(work_class, end, meter)
        self._count_budgets(work_class, end)

    def _count_times(
        self, work_class: str, end: RequestEnd, meter: AnswerMeter
    ) -> None:
        if end.first_token is not None:
            self.first_token.labels(work_class).observe(end.first_token)
        if end.tokens > 1:
            seconds = meter.last_at - meter.started_at - end.first_token
            self.gaps.add(work_class, meter.gaps, seconds)
        for seconds in meter.recoveries:
            self.recovery_time.observe(seconds)
        if end.result is Result.WHOLE:
            self.answer_time.labels(work_class).observe(end.answer_time)

    def _count_budgets(self, work_class: str, end: RequestEnd) -> None:
        whole = end.result is Result.WHOLE
        if whole or end.result in INCOMPLETE:
            self._count_budget(
                work_class, Budget.COMPLETENESS, not whole, end.completeness_budget
            )
        if whole:
            self._count_budget(
                work_class, Budget.LATENESS, end.lateness.late, end.lateness_budget
            )

    def _count_budget(
        self, work_class: str, budget: Budget, spent: bool, allowed: float | None
    ) -> None:
        if allowed is None:
            return
        self.burn_spent.labels(work_class, budget.value).inc(spent)
        self.burn_counted.labels(work_class, budget.value).inc()
        allowance = max(allowed, BUDGET_FLOOR)
        self.burn_allowed.labels(work_class, budget.value).inc(allowance)

    def on_attempt(self, attempt: int, delivered: int) -> None:
        """Count an attempt.

        Args:
            attempt: Number of the attempt, from 1.
            delivered: Tokens that the caller already has.
        """
        reason = "first"
        if attempt > 1:
            reason = "recovery" if delivered else "retry"
        self.attempts.labels(reason).inc()


#: Gauges by name, with what they show.
GAUGES = {
    "ready": "Whether the process takes new work",
    "answers_running": "Streamed answers in flight",
    "admission_queue_length": "Requests that wait to be let in",
    "calls_running": "Plain calls in flight",
    "endpoints_usable": "Endpoints that take new work",
    "endpoints_known": "Endpoints whose agents have answered",
}
