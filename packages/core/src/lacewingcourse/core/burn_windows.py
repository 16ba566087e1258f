"""Counts of ended requests over sliding windows, in bounded memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.burn_ends import INCOMPLETE, Result

if TYPE_CHECKING:
    from lacewingcourse.core.burn_ends import RequestEnd

#: Organisation under which all beyond the limit are counted.
OTHER = "(other)"
#: Pairs of class and organisation that are counted apart.
MAX_PAIRS = 2048
#: Least budget that is reckoned with, so that a target of 1.0 has a burn rate.
BUDGET_FLOOR = 1e-4


@attrs.frozen
class Window:
    """A sliding window.

    It is the sum of whole buckets, so it reaches back by at least its length and by
    at most one bucket more.

    Attributes:
        name: Short name, as people write it.
        length: Seconds.
        bucket: Seconds of one bucket.
    """

    name: str
    length: int
    bucket: int


#: Windows in order of length.
WINDOWS = (
    Window("5m", 300, 30),
    Window("1h", 3600, 300),
    Window("6h", 6 * 3600, 1800),
    Window("3d", 72 * 3600, 6 * 3600),
)


@attrs.frozen
class Pair:
    """A class of work and an organisation.

    Attributes:
        work_class: Name of the class, or empty.
        organisation: Name of the organisation, or empty.
    """

    work_class: str
    organisation: str


@attrs.define
class Counts:
    """How many requests ended in which way.

    Attributes:
        whole: Answers that were whole.
        refused: Requests that were not run.
        ran: Requests that ran without an answer.
        partial: Answers that broke off.
        unknown: Requests of which it is not known whether they ran.
        caller_fault: Requests refused for a fault of the caller; in no budget.
        caller_gone: Requests whose caller went away; in no budget.
        late: Whole answers that missed a lateness target.
        late_first_token: Those whose first token was late.
        late_between_tokens: Those with too many late gaps.
        late_answer: Those that were late as a whole.
        timed: Whole answers of a class with a lateness target.
        allowed_incomplete: Requests that the completeness budget allows to fail.
        allowed_late: Answers that the lateness budget allows to be late.
        kinds: Requests that were not whole, by error kind.
    """

    whole: int = 0
    refused: int = 0
    ran: int = 0
    partial: int = 0
    unknown: int = 0
    caller_fault: int = 0
    caller_gone: int = 0
    late: int = 0
    late_first_token: int = 0
    late_between_tokens: int = 0
    late_answer: int = 0
    timed: int = 0
    allowed_incomplete: float = 0.0
    allowed_late: float = 0.0
    kinds: dict[str, int] = attrs.field(factory=dict)

    @property
    def incomplete(self) -> int:
        """Requests that spent the completeness budget."""
        return self.refused + self.ran + self.partial + self.unknown

    @property
    def requests(self) -> int:
        """Requests that the completeness budget is reckoned from."""
        return self.whole + self.incomplete

    @property
    def ended(self) -> int:
        """All requests that ended."""
        return self.requests + self.caller_fault + self.caller_gone

    def add(self, end: RequestEnd) -> None:
        """Count a request's end."""
        name = end.result.value
        setattr(self, name, getattr(self, name) + 1)
        if end.kind is not None:
            kind = end.kind.value
            self.kinds[kind] = self.kinds.get(kind, 0) + 1
        if end.result is Result.WHOLE:
            self._add_whole(end)
        counted = end.result is Result.WHOLE or end.result in INCOMPLETE
        if counted and end.completeness_budget is not None:
            self.allowed_incomplete += max(end.completeness_budget, BUDGET_FLOOR)

    def _add_whole(self, end: RequestEnd) -> None:
        """Count whether a whole answer was in time."""
        if end.lateness_budget is None:
            return
        self.timed += 1
        self.allowed_late += max(end.lateness_budget, BUDGET_FLOOR)
        self.late += end.lateness.late
        self.late_first_token += end.lateness.first_token
        self.late_between_tokens += end.lateness.between_tokens
        self.late_answer += end.lateness.answer

    def merge(self, other: Counts) -> None:
        """Add the counts of another; written out, as reports do little else."""
        self.whole += other.whole
        self.refused += other.refused
        self.ran += other.ran
        self.partial += other.partial
        self.unknown += other.unknown
        self.caller_fault += other.caller_fault
        self.caller_gone += other.caller_gone
        self.late += other.late
        self.late_first_token += other.late_first_token
        self.late_between_tokens += other.late_between_tokens
        self.late_answer += other.late_answer
        self.timed += other.timed
        self.allowed_incomplete += other.allowed_incomplete
        self.allowed_late += other.allowed_late
        for kind, count in other.kinds.items():
            self.kinds[kind] = self.kinds.get(kind, 0) + count


#: Names of the numbers of `Counts`.
NUMBERS = tuple(field.name for field in attrs.fields(Counts) if field.name != "kinds")


@attrs.define
class Ring:
    """The buckets of one window; a bucket holds only pairs that were seen in it.

    Attributes:
        window: The window.
        buckets: Counts by pair, by the bucket's number since the epoch.
    """

    window: Window
    buckets: dict[int, dict[Pair, Counts]] = attrs.field(factory=dict)

    def oldest(self, now: float) -> int:
        """Return the number of the oldest bucket in the window."""
        return int((now - self.window.length) // self.window.bucket)

    def prune(self, now: float) -> None:
        """Drop buckets that have left the window."""
        oldest = self.oldest(now)
        for number in [number for number in self.buckets if number < oldest]:
            del self.buckets[number]

    def at(self, pair: Pair, now: float) -> Counts:
        """Return the counts of a pair in the present bucket."""
        number = int(now // self.window.bucket)
        if number not in self.buckets:
            self.prune(now)
            self.buckets[number] = {}
        bucket = self.buckets[number]
        counts = bucket.get(pair)
        if counts is None:
            counts = bucket[pair] = Counts()
        return counts


@attrs.define
class BurnBook:
    """Every window's counts of one process.

    Attributes:
        since: When counting began, seconds since the epoch.
        max_pairs: Pairs that are counted apart; others share one a class.
        rings: One ring a window, in the order of `WINDOWS`.
        pairs: Pairs that are counted apart, one object each for all buckets.
    """

    since: float
    max_pairs: int = MAX_PAIRS
    rings: tuple[Ring, ...] = attrs.field(
        factory=lambda: tuple(Ring(window) for window in WINDOWS)
    )
    pairs: dict[Pair, Pair] = attrs.field(factory=dict)

    def add(self, end: RequestEnd, now: float) -> Pair:
        """Count a request's end and return the pair under which it is counted.

        Args:
            end: The end.
            now: The present time, seconds since the epoch.
        """
        pair = self._pair(end, now)
        for ring in self.rings:
            ring.at(pair, now).add(end)
        return pair

    def _pair(self, end: RequestEnd, now: float) -> Pair:
        """Return the pair under which an end is counted."""
        pair = Pair(end.work_class, end.organisation)
        known = self.pairs.get(pair)
        if known is not None:
            return known
        if len(self.pairs) >= self.max_pairs:
            self.pairs = self._recent_pairs(now)
        if len(self.pairs) >= self.max_pairs:
            return Pair(end.work_class, OTHER)
        self.pairs[pair] = pair
        return pair

    def _recent_pairs(self, now: float) -> dict[Pair, Pair]:
        """Return the pairs that the longest window still holds."""
        longest = self.rings[-1]
        longest.prune(now)
        return {pair: pair for bucket in longest.buckets.values() for pair in bucket}
