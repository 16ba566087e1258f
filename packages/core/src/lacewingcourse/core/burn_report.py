"""Burn rates and alarms from the counts of one entry or of all."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.burn_windows import OTHER, WINDOWS, Counts, Pair

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lacewingcourse.core.burn_windows import BurnBook

#: Rows that one entry reports; the others are summed up a class.
MAX_ROWS = 256
#: Lines of organisations that a report over all entries has.
MAX_LINES = 512
#: Pairs that are merged in one step.
STEP_PAIRS = 256
#: Burn rate that spends a month's budget in two days.
FAST_RATE = 14.4
#: Burn rate that spends the budget just as fast as it accrues.
SLOW_RATE = 1.0
#: Requests that must have spent the budget before an alarm fires.
MIN_SPENT = 3


class Budget(Enum):
    """What a class target allows a share of."""

    COMPLETENESS = "completeness"
    LATENESS = "lateness"


class Speed(Enum):
    """How fast a budget is spent."""

    FAST = "fast"
    SLOW = "slow"


#: The short and the long window of each alarm, both of which must be over its rate.
ALARM_WINDOWS = {Speed.FAST: ("5m", "1h"), Speed.SLOW: ("6h", "3d")}


@attrs.frozen
class BurnRow:
    """Counts of one pair over every window.

    Attributes:
        work_class: Name of the class of work, or empty.
        organisation: Name of the organisation; empty where it is not known.
        windows: Counts in the order of `WINDOWS`.
    """

    work_class: str
    organisation: str
    windows: tuple[Counts, ...]


@attrs.frozen
class SeriesPoint:
    """Counts of a class in one bucket of a window.

    Attributes:
        work_class: Name of the class of work.
        window: Name of the window.
        start: When the bucket began, seconds since the epoch.
        counts: The counts.
    """

    work_class: str
    window: str
    start: float
    counts: Counts


@attrs.frozen
class EntryBurn:
    """What one entry counted.

    Attributes:
        instance: Name of the instance.
        run: Which start of the process this is; new at each start.
        since: When it began to count, seconds since the epoch.
        now: Its present time, seconds since the epoch.
        rows: Counts by pair.
        series: Counts by class and bucket.
    """

    instance: str
    run: str
    since: float
    now: float
    rows: tuple[BurnRow, ...]
    series: tuple[SeriesPoint, ...]


@attrs.frozen
class BurnRate:
    """How fast one window spends the budgets.

    Attributes:
        window: Name of the window.
        completeness: Rate of the completeness budget; None if nothing was allowed.
        lateness: Rate of the lateness budget; None if nothing was allowed.
        counts: The counts behind them.
    """

    window: str
    completeness: float | None
    lateness: float | None
    counts: Counts


@attrs.frozen
class Alarm:
    """An alarm that fires.

    Attributes:
        speed: How fast the budget is spent.
        budget: Which budget.
        threshold: Rate that both windows have reached.
    """

    speed: Speed
    budget: Budget
    threshold: float


@attrs.frozen
class BurnLine:
    """Burn of one pair, or of a whole class.

    Attributes:
        work_class: Name of the class of work, or empty.
        organisation: Name of the organisation, or None for the whole class.
        rates: Rates in the order of `WINDOWS`.
        alarms: Alarms that fire.
    """

    work_class: str
    organisation: str | None
    rates: tuple[BurnRate, ...]
    alarms: tuple[Alarm, ...]


def burn_rate(spent: int, allowed: float) -> float | None:
    """Return how many times faster than allowed a budget is spent.

    Args:
        spent: Requests that spent the budget.
        allowed: Requests that might have.
    """
    return spent / allowed if allowed else None


def rate_of(window: str, counts: Counts) -> BurnRate:
    """Return the burn rates of a window's counts."""
    return BurnRate(
        window=window,
        completeness=burn_rate(counts.incomplete, counts.allowed_incomplete),
        lateness=burn_rate(counts.late, counts.allowed_late),
        counts=counts,
    )


def threshold_of(speed: Speed, of_all: float) -> float:
    """Return the rate at which an alarm fires.

    A wide budget cannot burn at the usual fast rate even if every request fails; there
    the fast alarm fires at half the greatest rate, though never within the budget.

    Args:
        speed: Speed of the alarm.
        of_all: Rate at which the budget would burn if every request spent it.
    """
    if speed is Speed.SLOW:
        return SLOW_RATE
    return max(SLOW_RATE, min(FAST_RATE, of_all / 2))


def spending(counts: Counts, budget: Budget) -> tuple[int, int, float]:
    """Return the requests that spent a budget, those in it, and those allowed."""
    if budget is Budget.COMPLETENESS:
        return counts.incomplete, counts.requests, counts.allowed_incomplete
    return counts.late, counts.timed, counts.allowed_late


def alarms_of(rates: tuple[BurnRate, ...]) -> tuple[Alarm, ...]:
    """Return the alarms that fire on the rates of every window."""
    by_name = {rate.window: rate.counts for rate in rates}
    firing = []
    for speed, (short, long) in ALARM_WINDOWS.items():
        for budget in Budget:
            spent, total, allowed = spending(by_name[long], budget)
            if spent < MIN_SPENT or not allowed:
                continue
            threshold = threshold_of(speed, total / allowed)
            recent, _, recent_allowed = spending(by_name[short], budget)
            short_rate = burn_rate(recent, recent_allowed) or 0.0
            if min(spent / allowed, short_rate) >= threshold:
                firing.append(Alarm(speed, budget, threshold))
    return tuple(firing)


def line_of(row: BurnRow, organisation: str | None) -> BurnLine:
    """Return the burn of a row's counts."""
    rates = tuple(
        rate_of(window.name, counts)
        for window, counts in zip(WINDOWS, row.windows, strict=True)
    )
    return BurnLine(row.work_class, organisation, rates, alarms_of(rates))


def no_counts() -> tuple[Counts, ...]:
    """Return empty counts for every window."""
    return tuple(Counts() for _ in WINDOWS)


@attrs.frozen
class Selection:
    """Which lines of a report are wanted.

    Attributes:
        work_class: Name of the only class of work, or None for all.
        organisation: Name of the only organisation, or None for all.
        limit: Organisations' lines at the most; those that spent most are taken.
    """

    work_class: str | None = None
    organisation: str | None = None
    limit: int = MAX_LINES

    def takes_class(self, name: str) -> bool:
        """Tell whether a class of work is wanted."""
        return self.work_class is None or name == self.work_class

    def takes_organisation(self, name: str) -> bool:
        """Tell whether an organisation is wanted."""
        return self.organisation is None or name == self.organisation


@attrs.define
class BurnMerge:
    """Sums up rows of many entries.

    Attributes:
        pairs: Counts for every window by pair.
        series: Counts of a class by window and start of the bucket.
    """

    pairs: dict[Pair, tuple[Counts, ...]] = attrs.field(factory=dict)
    series: dict[tuple[str, str, float], Counts] = attrs.field(factory=dict)

    def add_counts(self, pair: Pair, window: int, counts: Counts) -> None:
        """Add counts of a pair to one window."""
        windows = self.pairs.get(pair)
        if windows is None:
            windows = self.pairs[pair] = no_counts()
        windows[window].merge(counts)

    def add(self, burn: EntryBurn) -> None:
        """Add what one entry counted."""
        for row in burn.rows:
            pair = Pair(row.work_class, row.organisation)
            for index, counts in enumerate(row.windows):
                self.add_counts(pair, index, counts)
        for point in burn.series:
            self.add_point(point.work_class, point.window, point.start, point.counts)

    def add_point(
        self, work_class: str, window: str, start: float, counts: Counts
    ) -> None:
        """Add counts of a class to one bucket of a window."""
        key = (work_class, window, start)
        known = self.series.get(key)
        if known is None:
            known = self.series[key] = Counts()
        known.merge(counts)

    def rows(self, limit: int | None = None) -> tuple[BurnRow, ...]:
        """Return a row for each pair; past a limit, one for the rest of a class.

        Pairs that spent most come first.
        """
        order = sorted(self.pairs.items(), key=lambda item: spent_order(*item))
        kept: dict[Pair, tuple[Counts, ...]] = {}
        others = BurnMerge()
        for pair, windows in order:
            if pair.organisation != OTHER and (limit is None or len(kept) < limit):
                kept[pair] = windows
                continue
            for index, counts in enumerate(windows):
                others.add_counts(Pair(pair.work_class, OTHER), index, counts)
        return tuple(
            BurnRow(pair.work_class, pair.organisation, windows)
            for pair, windows in [*kept.items(), *others.pairs.items()]
        )

    def points(self) -> tuple[SeriesPoint, ...]:
        """Return the series in order of time."""
        return tuple(
            SeriesPoint(work_class, window, start, counts)
            for (work_class, window, start), counts in sorted(
                self.series.items(), key=lambda item: item[0]
            )
        )

    def lines(self, chosen: Selection) -> tuple[BurnLine, ...]:
        """Return the burn of every class, each followed by its organisations.

        Args:
            chosen: Which lines are wanted.
        """
        rows = [row for row in self.rows() if chosen.takes_class(row.work_class)]
        totals: dict[str, tuple[Counts, ...]] = {}
        for row in rows:
            total = totals.setdefault(row.work_class, no_counts())
            for sum_of_all, counts in zip(total, row.windows, strict=True):
                sum_of_all.merge(counts)
        members = [row for row in rows if chosen.takes_organisation(row.organisation)]
        lines = []
        for work_class, total in sorted(totals.items()):
            if chosen.organisation is None:
                lines.append(line_of(BurnRow(work_class, "", total), None))
            lines.extend(
                line_of(row, row.organisation)
                for row in members[: chosen.limit]
                if row.work_class == work_class
            )
        return tuple(lines)


def spent_order(pair: Pair, windows: tuple[Counts, ...]) -> tuple:
    """Return a sort key that puts pairs first that spent or asked most."""
    longest = windows[-1]
    spent = longest.incomplete + longest.late
    return (-spent, -longest.ended, pair.work_class, pair.organisation)


def collect(book: BurnBook, merge: BurnMerge, now: float) -> Iterator[None]:
    """Add what one entry counted to a merge in small steps.

    Done at a stretch, all buckets together would hold up the process's loop.

    Args:
        book: The counts.
        merge: Where they go.
        now: The present time, seconds since the epoch.
    """
    for index, ring in enumerate(book.rings):
        ring.prune(now)
        for number, bucket in list(ring.buckets.items()):
            start = float(number * ring.window.bucket)
            pairs = list(bucket.items())
            for place, (pair, counts) in enumerate(pairs, 1):
                merge.add_counts(pair, index, counts)
                merge.add_point(pair.work_class, ring.window.name, start, counts)
                if place % STEP_PAIRS == 0:
                    yield
            yield


def burn_from(
    merge: BurnMerge, book: BurnBook, instance: str, run: str, now: float
) -> EntryBurn:
    """Return what one entry counted, in bounded size.

    Args:
        merge: All that the entry counted.
        book: Where it was counted.
        instance: Name of the instance.
        run: Which start of the process this is.
        now: The present time, seconds since the epoch.
    """
    return EntryBurn(
        instance=instance,
        run=run,
        since=book.since,
        now=now,
        rows=merge.rows(MAX_ROWS),
        series=merge.points(),
    )


def burn_of(book: BurnBook, instance: str, run: str, now: float) -> EntryBurn:
    """Return what one entry counted, all in one step."""
    merge = BurnMerge()
    for _ in collect(book, merge, now):
        pass
    return burn_from(merge, book, instance, run, now)
