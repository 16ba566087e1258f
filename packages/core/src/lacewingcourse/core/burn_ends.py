"""How a request ended, and whether that was within its class target."""

from __future__ import annotations

from bisect import bisect_left
from enum import Enum
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import ErrorKind, Outcome

if TYPE_CHECKING:
    from lacewingcourse.core.configuration import WorkClass
    from lacewingcourse.core.errors import Refusal

#: Upper bounds of the buckets for time between tokens, seconds.
GAP_BOUNDS = (
    *(0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.04, 0.058, 0.08),
    *(0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0),
)
#: Slack for the rounding of shares, in gaps.
ROUNDING = 1e-6
#: Refusals whose cause lies with the caller; they spend no budget.
CALLER_FAULTS = frozenset(
    {
        ErrorKind.MALFORMED,
        ErrorKind.INVALID_FIELD,
        ErrorKind.UNAUTHENTICATED,
        ErrorKind.FORBIDDEN,
        ErrorKind.UNKNOWN_MODEL,
        ErrorKind.UNKNOWN_SERVICE,
        ErrorKind.UNKNOWN_CLASS,
        ErrorKind.UNKNOWN_RESOURCE,
        ErrorKind.METHOD_NOT_ALLOWED,
        ErrorKind.TOO_LARGE,
        ErrorKind.PROMPT_TOO_LONG,
        ErrorKind.REQUEST_TIMEOUT,
        ErrorKind.KEY_REUSED,
        ErrorKind.KEY_IN_PROGRESS,
        ErrorKind.KEY_EXPIRED,
        ErrorKind.KEY_IN_FUTURE,
        ErrorKind.KEY_REQUIRED,
    }
)


class Result(Enum):
    """How a request ended."""

    WHOLE = "whole"
    REFUSED = "refused"
    RAN = "ran"
    PARTIAL = "partial"
    UNKNOWN = "unknown"
    CALLER_FAULT = "caller_fault"
    CALLER_GONE = "caller_gone"


#: Results that spend the completeness budget.
INCOMPLETE = frozenset({Result.REFUSED, Result.RAN, Result.PARTIAL, Result.UNKNOWN})

RESULT_OF_OUTCOME = {
    Outcome.NOT_RUN: Result.REFUSED,
    Outcome.RAN: Result.RAN,
    Outcome.PARTIAL: Result.PARTIAL,
    Outcome.UNKNOWN: Result.UNKNOWN,
}


def result_of(refusal: Refusal) -> Result:
    """Return how a request ended that got a refusal."""
    if refusal.kind is ErrorKind.CALLER_GONE:
        return Result.CALLER_GONE
    if refusal.kind in CALLER_FAULTS:
        return Result.CALLER_FAULT
    return RESULT_OF_OUTCOME[refusal.outcome]


@attrs.frozen
class Lateness:
    """Which targets an answer missed.

    Attributes:
        first_token: Whether the first token was late.
        between_tokens: Whether more gaps were late than the percentile allows.
        answer: Whether the whole answer was late.
    """

    first_token: bool = False
    between_tokens: bool = False
    answer: bool = False

    @property
    def late(self) -> bool:
        """Whether any target was missed."""
        return self.first_token or self.between_tokens or self.answer


@attrs.frozen
class RequestEnd:
    """One request's end.

    Attributes:
        work_class: Name of its class of work, or empty.
        organisation: Whose request it was, or empty if not known.
        target: Name of the model or plain service, or empty if not known.
        result: How it ended.
        kind: Why it was not whole, or None.
        answer_time: Seconds from its arrival to its end.
        first_token: Seconds to the first token, or None.
        tokens: Tokens that were delivered.
        gap: Upper bound of the gap at the class percentile, seconds, or None.
        worst_gap: Longest gap between two tokens, seconds, or None.
        lateness: Which targets were missed.
        lateness_budget: Share of answers that may be late; None without a target.
        completeness_budget: Share that may be incomplete; None without a class.
    """

    work_class: str
    organisation: str
    target: str
    result: Result
    kind: ErrorKind | None = None
    answer_time: float = 0.0
    first_token: float | None = None
    tokens: int = 0
    gap: float | None = None
    worst_gap: float | None = None
    lateness: Lateness = Lateness()
    lateness_budget: float | None = None
    completeness_budget: float | None = None


@attrs.define
class AnswerMeter:
    """Measures one answer against the targets in force at its arrival.

    A change of targets while an answer runs leaves its own targets as they were, as
    admission and deadline were reckoned from them.

    Attributes:
        started_at: When the request arrived, seconds.
        work_class: Its class of work, or None.
        first_token: Seconds to the first token, or None.
        last_at: When the newest token was delivered.
        tokens: Tokens delivered.
        gaps: Count of gaps by bucket of `GAP_BOUNDS`, one more for longer ones.
        late_gaps: Gaps longer than the class allows.
        worst_gap: The longest gap, seconds.
        lost_at: When an attempt was lost that no token has followed yet, or None.
        recoveries: Seconds from each lost attempt to the next token.
    """

    started_at: float
    work_class: WorkClass | None = None
    first_token: float | None = None
    last_at: float = 0.0
    tokens: int = 0
    gaps: list[int] = attrs.field(factory=lambda: [0] * (len(GAP_BOUNDS) + 1))
    late_gaps: int = 0
    worst_gap: float = 0.0
    lost_at: float | None = None
    recoveries: list[float] = attrs.field(factory=list)

    def on_lost(self, now: float) -> None:
        """Note that an attempt was lost after the first token."""
        if self.lost_at is None:
            self.lost_at = now

    def on_token(self, now: float) -> None:
        """Note the delivery of a token."""
        self.tokens += 1
        if self.first_token is None:
            self.first_token = now - self.started_at
        else:
            self._on_gap(now - self.last_at)
        self.last_at = now
        if self.lost_at is not None:
            self.recoveries.append(now - self.lost_at)
            self.lost_at = None

    def _on_gap(self, gap: float) -> None:
        self.gaps[bisect_left(GAP_BOUNDS, gap)] += 1
        self.worst_gap = max(self.worst_gap, gap)
        target = self.work_class and self.work_class.between_tokens
        if target is not None and gap > target:
            self.late_gaps += 1

    def gap_at(self, share: float) -> float | None:
        """Return an upper bound of the gap at a share of all gaps, seconds."""
        total = sum(self.gaps)
        if not total:
            return None
        seen = 0
        for count, bound in zip(self.gaps, GAP_BOUNDS, strict=False):
            seen += count
            if seen >= share * total:
                return min(bound, self.worst_gap)
        return self.worst_gap

    def lateness(self, now: float) -> Lateness:
        """Return which targets the answer misses if it ends now."""
        work_class = self.work_class
        if work_class is None:
            return Lateness()
        allowed_gaps = (1 - work_class.percentile) * max(self.tokens - 1, 0)
        return Lateness(
            first_token=exceeds(self.first_token, work_class.first_token),
            between_tokens=self.late_gaps > allowed_gaps + ROUNDING,
            answer=exceeds(now - self.started_at, work_class.answer),
        )

    def end(
        self,
        organisation: str,
        target: str,
        result: Result,
        kind: ErrorKind | None,
        now: float,
    ) -> RequestEnd:
        """Return the request's end.

        Args:
            organisation: Whose request it was.
            target: Name of the model or plain service.
            result: How it ended.
            kind: Why it was not whole, or None.
            now: The present time, seconds.
        """
        work_class = self.work_class
        share = work_class.percentile if work_class else 1.0
        return RequestEnd(
            work_class=work_class.name if work_class else "",
            organisation=organisation,
            target=target,
            result=result,
            kind=kind,
            answer_time=now - self.started_at,
            first_token=self.first_token,
            tokens=self.tokens,
            gap=self.gap_at(share),
            worst_gap=self.worst_gap if self.tokens > 1 else None,
            lateness=self.lateness(now) if result is Result.WHOLE else Lateness(),
            lateness_budget=lateness_budget(work_class),
            completeness_budget=1 - work_class.completeness if work_class else None,
        )


def exceeds(measured: float | None, target: float | None) -> bool:
    """Tell whether a measured time is over its target; false if either is unknown."""
    return measured is not None and target is not None and measured > target


def lateness_budget(work_class: WorkClass | None) -> float | None:
    """Return the share of a class's answers that may be late, None without target."""
    if work_class is None:
        return None
    targets = (work_class.first_token, work_class.between_tokens, work_class.answer)
    if all(target is None for target in targets):
        return None
    return 1 - work_class.percentile
