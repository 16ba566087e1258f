"""Demand for the room of a service, as entries measure it and report it."""

from __future__ import annotations

from heapq import nlargest
from math import exp, inf, isfinite
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lacewingcourse.core.pipelines.scheduling import QueuedRequest

#: Seconds over which rates are averaged: above a round of gossip with its delay.
AVERAGING_TIME = 1.0
#: Ranks that are told apart; all that are less urgent count as the last of them.
MAX_RANKS = 10
#: Organisations of a rank that a report names, the largest first.
MAX_NAMED = 16
#: Organisations of a rank that an entry measures one by one.
MAX_MEASURED = 64
#: Characters of the longest name of an organisation that a report contains.
MAX_NAME_LENGTH = 80
#: Requests without room that are remembered.
MAX_WAITING = 4096
#: Tokens a second, and tokens, above which a reported value is an error.
MAX_VALUE = 1e12
#: Rates in tokens per second below which nothing is reported.
MIN_RATE = 0.01
#: Unnamed organisations of a rank above which a reported number is an error.
MAX_COUNT = 1_000_000


@attrs.define
class Rate:
    """A rate with an exponential average.

    Attributes:
        value: Rate per second at the last change.
        at: Time of that change, seconds.
    """

    value: float = 0.0
    at: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Count an amount."""
        self.value = self.read(now) + amount / AVERAGING_TIME
        self.at = now

    def read(self, now: float) -> float:
        """Return the rate per second."""
        return self.value * exp(min(0.0, self.at - now) / AVERAGING_TIME)


@attrs.define
class RankDemand:
    """Demand of one rank.

    Attributes:
        arrived: Tokens per second that arrived.
        certain: Those of them that are started before others of the rank: of callers
            that return at their time, and of answers that are being read.
        started: Tokens per second that took room.
        waiting: Tokens of requests that wait for room.
        unnamed: Tokens per second that arrived from organisations without a name in
            the report, apart from the certain ones.
        unnamed_count: Number of these organisations, at least.
    """

    arrived: float = 0.0
    certain: float = 0.0
    started: float = 0.0
    waiting: float = 0.0
    unnamed: float = 0.0
    unnamed_count: int = 0

    def add(self, other: RankDemand, sign: int = 1) -> None:
        """Add the demand of other entries, or subtract it if the sign is -1."""
        self.arrived += sign * other.arrived
        self.certain += sign * other.certain
        self.started += sign * other.started
        self.waiting += sign * other.waiting
        self.unnamed += sign * other.unnamed
        # The same organisations come to many entries, so numbers don't add up.
        self.unnamed_count = max(self.unnamed_count, other.unnamed_count)


@attrs.define
class RoomDemand:
    """Demand for the room of a service, of one entry or a sum of several.

    Attributes:
        ranks: Demand by rank.
        organisations: Tokens per second that arrived by rank and organisation, apart
            from the certain ones.
        short_at: When a request last found no room, seconds.
    """

    ranks: dict[int, RankDemand] = attrs.field(factory=dict)
    organisations: dict[int, dict[str, float]] = attrs.field(factory=dict)
    short_at: float = -inf

    def add(self, other: RoomDemand) -> None:
        """Add the demand of another entry."""
        for rank, demand in other.ranks.items():
            self.ranks.setdefault(rank, RankDemand()).add(demand)
        for rank, rates in other.organisations.items():
            named = self.organisations.get(rank)
            if named is None:
                self.organisations[rank] = dict(rates)
                continue
            for organisation, rate in rates.items():
                named[organisation] = named.get(organisation, 0.0) + rate
        self.short_at = max(self.short_at, other.short_at)

    def without(self, others: list[RoomDemand], short_at: float) -> RoomDemand:
        """Return this sum without some of its parts.

        Args:
            others: The parts.
            short_at: When a request of the rest last found no room, seconds.
        """
        rest = RoomDemand(short_at=short_at)
        rest.add(attrs.evolve(self, short_at=short_at))
        for other in others:
            for rank, demand in other.ranks.items():
                rest.ranks[rank].add(demand, -1)
            for rank, rates in other.organisations.items():
                named = rest.organisations[rank]
                for organisation, rate in rates.items():
                    named[organisation] -= rate
        return rest

    @property
    def started(self) -> float:
        """Tokens per second that took room, over all ranks."""
        return sum(demand.started for demand in self.ranks.values())


@attrs.frozen
class RoomReport:
    """Demand for the room of a service in the form of messages.

    Attributes:
        ranks: For each rank its number, the tokens per second that arrived, those of
            them that are certain, those that were started, the tokens that wait, the
            tokens per second of unnamed organisations, and their number.
        organisations: Rank, name and tokens per second of the largest organisations,
            empty while no room is short.
        short_for: Seconds since a request last found no room, None if not lately.
    """

    ranks: list[tuple[int, float, float, float, float, float, int]] = attrs.field(
        factory=list
    )
    organisations: list[tuple[int, str, float]] = attrs.field(factory=list)
    short_for: float | None = None


def sum_of(demands: Iterable[RoomDemand]) -> RoomDemand:
    """Return the sum of the demands of entries."""
    total = RoomDemand()
    for demand in demands:
        total.add(demand)
    return total


def report_of(demand: RoomDemand, max_age: float, now: float) -> RoomReport:
    """Return a demand in the form of messages.

    Args:
        demand: The demand.
        max_age: Seconds after which a shortage is not reported; without a shortage no
            organisations are named.
        now: Present time in seconds.
    """
    short_for = max(0.0, now - demand.short_at)
    is_short = short_for <= max_age
    ranks, organisations = [], []
    for rank, figures in sorted(demand.ranks.items()):
        measured = demand.organisations.get(rank, {})
        named = _largest(measured) if is_short else {}
        organisations += [
            (rank, name, round(rate, 2))
            for name, rate in named.items()
            if rate >= MIN_RATE
        ]
        unnamed = figures.unnamed + sum(measured.values()) - sum(named.values())
        count = figures.unnamed_count + len(measured) - len(named)
        values = (figures.arrived, figures.certain, figures.started, figures.waiting)
        if max(values) >= MIN_RATE:
            # Differences of sums may lie below 0 by an error of rounding.
            rounded = [max(0.0, round(value, 2)) for value in (*values, unnamed)]
            ranks.append((rank, *rounded, min(count, MAX_COUNT)))
    return RoomReport(ranks, organisations, round(short_for, 3) if is_short else None)


def demand_of(report: RoomReport, now: float) -> RoomDemand | None:
    """Return the demand that a report contains, None if a value is absurd."""
    demand = RoomDemand()
    if len(report.ranks) > MAX_RANKS:
        return None
    for rank, *values, count in report.ranks:
        known = rank in demand.ranks
        if known or not 0 <= rank < MAX_RANKS or not 0 <= count <= MAX_COUNT:
            return None
        if not all(_is_plausible(value) for value in values):
            return None
        demand.ranks[rank] = RankDemand(*values, count)
    for rank, name, rate in report.organisations:
        named = demand.organisations.setdefault(rank, {})
        if rank not in demand.ranks or not _is_plausible(rate):
            return None
        if len(named) == MAX_NAMED or len(name) > MAX_NAME_LENGTH:
            return None
        named[name] = rate
    if report.short_for is not None:
        if not _is_plausible(report.short_for):
            return None
        demand.short_at = now - report.short_for
    return demand


def level_of(rank: int) -> int:
    """Return the number under which a rank is counted."""
    return max(0, min(rank, MAX_RANKS - 1))


def _is_plausible(value: float) -> bool:
    return isfinite(value) and 0.0 <= value <= MAX_VALUE


def _largest(rates: dict[str, float]) -> dict[str, float]:
    """Return the largest rates that a report may name."""
    fitting = [name for name in rates if len(name) <= MAX_NAME_LENGTH]
    return {name: rates[name] for name in nlargest(MAX_NAMED, fitting, rates.get)}


@attrs.define
class RankMeter:
    """Measures the demand of one rank at this entry.

    Attributes:
        arrived: Tokens that arrived.
        certain: Those that are started before others of the rank.
        started: Tokens that took room.
        organisations: Tokens that arrived by organisation, apart from the certain ones.
        unmeasured: Those of organisations beyond `MAX_MEASURED`.
    """

    arrived: Rate = attrs.field(factory=Rate)
    certain: Rate = attrs.field(factory=Rate)
    started: Rate = attrs.field(factory=Rate)
    organisations: dict[str, Rate] = attrs.field(factory=dict)
    unmeasured: Rate = attrs.field(factory=Rate)

    def record_arrival(self, request: QueuedRequest, now: float) -> None:
        """Count the demand of a request."""
        tokens = _tokens(request)
        self.arrived.add(tokens, now)
        if request.due or request.resumed:
            self.certain.add(tokens, now)
            return
        rate = self.organisations.get(request.organisation)
        if rate is None:
            if len(self.organisations) >= MAX_MEASURED:
                self._drop_smallest(now)
            rate = self.organisations[request.organisation] = Rate()
        rate.add(tokens, now)

    def _drop_smallest(self, now: float) -> None:
        rates = self.organisations
        smallest = min(rates, key=lambda name: rates[name].read(now))
        self.unmeasured.add(rates.pop(smallest).read(now) * AVERAGING_TIME, now)

    def expire(self, now: float) -> None:
        """Remove organisations without demand."""
        for name, rate in list(self.organisations.items()):
            if rate.read(now) < MIN_RATE:
                del self.organisations[name]


@attrs.define
class DemandMeter:
    """Measures the demand for the room of a service at this entry.

    Attributes:
        ranks: Measurements by rank.
        waiting: Rank, tokens and latest start of requests that found no room, by id.
        short_at: When a request last found no room, seconds.
    """

    ranks: dict[int, RankMeter] = attrs.field(factory=dict)
    waiting: dict[str, tuple[int, float, float]] = attrs.field(factory=dict)
    short_at: float = -inf

    def record_arrival(self, request: QueuedRequest, now: float) -> None:
        """Count the demand of a request that has arrived."""
        self._meter(request).record_arrival(request, now)

    def record_start(self, request: QueuedRequest, now: float) -> None:
        """Count the room that a request has taken."""
        self._meter(request).started.add(_tokens(request), now)
        self.waiting.pop(request.id, None)

    def record_shortage(self, request: QueuedRequest, now: float) -> None:
        """Record that a request has found no room, and waits."""
        self.short_at = now
        if request.id in self.waiting or len(self.waiting) < MAX_WAITING:
            rank = level_of(request.rank)
            self.waiting[request.id] = (rank, _tokens(request), request.latest_start)

    def read(self, now: float) -> RoomDemand:
        """Return the present demand."""
        self.short_at = min(self.short_at, now)
        demand = RoomDemand(short_at=self.short_at)
        for rank, meter in self.ranks.items():
            rates = {name: r.read(now) for name, r in meter.organisations.items()}
            demand.organisations[rank] = rates
            unnamed = meter.unmeasured.read(now)
            demand.ranks[rank] = RankDemand(
                arrived=meter.arrived.read(now),
                certain=meter.certain.read(now),
                started=meter.started.read(now),
                unnamed=unnamed,
                unnamed_count=int(unnamed >= MIN_RATE),
            )
        for request, (rank, tokens, latest_start) in list(self.waiting.items()):
            if latest_start <= now:
                del self.waiting[request]
            else:
                demand.ranks.setdefault(rank, RankDemand()).waiting += tokens
        return demand

    def expire(self, now: float) -> None:
        """Remove organisations without demand."""
        for meter in self.ranks.values():
            meter.expire(now)

    def _meter(self, request: QueuedRequest) -> RankMeter:
        return self.ranks.setdefault(level_of(request.rank), RankMeter())


def _tokens(request: QueuedRequest) -> float:
    """Return the tokens of a request, within the bounds of reports."""
    return max(1.0, min(float(request.tokens), MAX_VALUE / MAX_WAITING))
