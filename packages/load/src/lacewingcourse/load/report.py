"""Summary of a run: counts, percentiles and shares, as a table or as JSON."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs
from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from lacewingcourse.load.client import Sample
    from lacewingcourse.load.runner import RunResult

#: Histograms count microseconds up to this many seconds.
LONGEST = 3600
MICROSECONDS = 1_000_000
#: Digits that a histogram keeps.
DIGITS = 3
PERCENTILES = (50.0, 90.0, 95.0, 99.0, 100.0)


@attrs.frozen
class Percentiles:
    """Percentiles of a duration, seconds.

    Attributes:
        count: Values.
        p50: Median.
        p90: 90 in 100 are at or below it.
        p95: 95 in 100 are at or below it.
        p99: 99 in 100 are at or below it.
        p100: The longest.
    """

    count: int = 0
    p50: float = 0.0
    p90: float = 0.0
    p95: float = 0.0
    p99: float = 0.0
    p100: float = 0.0


def percentiles(seconds: Iterable[float]) -> Percentiles:
    """Return the percentiles of durations."""
    histogram = HdrHistogram(1, LONGEST * MICROSECONDS, DIGITS)
    for value in seconds:
        histogram.record_value(max(1, int(value * MICROSECONDS)))
    if not histogram.total_count:
        return Percentiles()
    values = [
        histogram.get_value_at_percentile(each) / MICROSECONDS for each in PERCENTILES
    ]
    return Percentiles(histogram.total_count, *values)


@attrs.frozen
class GroupSummary:
    """What a group of requests came to.

    Attributes:
        name: Name of the class or the organisation, or `all`.
        requests: Requests, resends not counted.
        sent: Requests sent, resends counted.
        whole: Whole answers.
        in_target: Whole answers within the class target.
        late: Whole answers past the class target.
        refused: Refusals by kind.
        left: Requests whose caller went away before the answer was whole.
        cut: Answers that began and did not end whole for a caller who waited.
        lost: Requests without answer and without reason.
        tokens: Tokens that came.
        first_token: Time to the first token, from the due time.
        between_tokens: Time between consecutive tokens.
        answer: Time to the whole answer, from the due time.
    """

    name: str
    requests: int
    sent: int
    whole: int
    in_target: int
    late: int
    refused: dict[str, int]
    left: int
    cut: int
    lost: int
    tokens: int
    first_token: Percentiles
    between_tokens: Percentiles
    answer: Percentiles

    @property
    def share_in_target(self) -> float:
        """Answers in target as a share of the requests."""
        return self.in_target / self.requests if self.requests else 0.0


def summarise(name: str, samples: list[Sample]) -> GroupSummary:
    """Return the summary of a group of samples."""
    whole = [sample for sample in samples if sample.whole]
    in_target = sum(sample.in_target for sample in whole)
    refused = Counter(sample.kind for sample in samples if sample.refused)
    left = sum(sample.left for sample in samples)
    cut = sum(sample.cut for sample in samples)
    return GroupSummary(
        name=name,
        requests=sum(sample.tries == 0 for sample in samples),
        sent=len(samples),
        whole=len(whole),
        in_target=in_target,
        late=len(whole) - in_target,
        refused=dict(refused),
        left=left,
        cut=cut,
        lost=len(samples) - len(whole) - refused.total() - left - cut,
        tokens=sum(sample.tokens for sample in samples),
        first_token=percentiles(
            sample.first_token for sample in samples if sample.tokens
        ),
        between_tokens=percentiles(gap for sample in samples for gap in sample.gaps),
        answer=percentiles(sample.answer for sample in whole),
    )


@attrs.frozen
class Report:
    """A whole run.

    Attributes:
        seconds: How long it took.
        unsent: Requests that were due while too many were in flight.
        generator_cpu: Share of one core that the load generator used.
        total: All requests.
        classes: By class of work.
        organisations: By organisation.
    """

    seconds: float
    unsent: int
    generator_cpu: float
    total: GroupSummary
    classes: tuple[GroupSummary, ...]
    organisations: tuple[GroupSummary, ...]


def report(result: RunResult) -> Report:
    """Return the report of a run."""
    seconds = max(result.ended_at - result.started_at, 1e-9)
    samples = result.samples
    return Report(
        seconds=seconds,
        unsent=result.unsent,
        generator_cpu=result.cpu_seconds / seconds,
        total=summarise("all", samples),
        classes=groups(samples, lambda each: each.request.work_class.name or "default"),
        organisations=groups(samples, lambda each: each.request.organisation.name),
    )


def groups(
    samples: list[Sample], key: Callable[[Sample], str]
) -> tuple[GroupSummary, ...]:
    """Return the summaries of the groups that a key makes, in order of name."""
    found: dict[str, list[Sample]] = {}
    for sample in samples:
        found.setdefault(key(sample), []).append(sample)
    return tuple(summarise(name, found[name]) for name in sorted(found))


COLUMNS = "requests sent whole in-target late refused left cut lost".split()


def table(made: Report) -> str:
    """Return a report as text."""
    rows = [made.total, *made.classes, *made.organisations]
    width = max(len(row.name) for row in rows) + 2
    lines = [" " * width + "".join(f"{name:>10}" for name in COLUMNS)]
    lines += [f"{row.name:<{width}}" + counts_line(row) for row in rows]
    lines.append("")
    lines += times_lines(made)
    refused = made.total.refused
    kinds = ", ".join(f"{kind}: {count}" for kind, count in sorted(refused.items()))
    lines.append(f"refused by kind    {kinds or 'none'}")
    lines.append(f"not sent           {made.unsent}")
    rate = made.total.in_target / made.seconds
    lines.append(f"goodput            {rate:.2f} answers/s within target")
    lines.append(f"tokens             {made.total.tokens / made.seconds:.1f} /s")
    lines.append(f"load generator     {made.generator_cpu:.0%} of a core")
    return "\n".join(lines)


def counts_line(row: GroupSummary) -> str:
    """Return the counts of a group as one line."""
    refused = sum(row.refused.values())
    counts = (row.requests, row.sent, row.whole, row.in_target, row.late)
    counts += (refused, row.left, row.cut, row.lost)
    return "".join(f"{count:>10}" for count in counts)


def times_lines(made: Report) -> list[str]:
    """Return the percentiles of all requests as lines."""
    header = "".join(f"{name:>10}" for name in ("p50", "p90", "p95", "p99", "max"))
    lines = [" " * 17 + header + "   milliseconds"]
    for name in ("first_token", "between_tokens", "answer"):
        found = getattr(made.total, name)
        values = (found.p50, found.p90, found.p95, found.p99, found.p100)
        shown = "".join(f"{value * 1000:>10.1f}" for value in values)
        lines.append(f"{name.replace('_', ' '):<17}{shown}")
    return lines
